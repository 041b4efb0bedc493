package soaker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

const (
	// historyFile is the name of the file with the faults, requests and runs of a run
	// in which a promise was violated.
	historyFile = "history.log"

	// maxEvidence is the maximum number of lines that PrintEvidence prints.
	maxEvidence = 400
)

// crashTerms are the words in log lines about crashes and what follows from them.
var crashTerms = []string{`"crash":`, "quarantined", "records of crashes", "entry: started", "it has not crashed"}

// writeHistory writes the faults, requests and runs next to the logs of the processes.
func (s *Soaker) writeHistory() error {
	var b strings.Builder
	h := &s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.faults {
		ended := f.endedAt.Format(timeFormat)
		fmt.Fprintf(&b, "%s fault %s target %d ended %s\n", f.beganAt.Format(timeFormat), f.kind, f.target, ended)
	}
	for _, v := range h.evacuations {
		fmt.Fprintf(&b, "%s evacuation of %s ended %s\n", v.setAt.Format(timeFormat), dataCentres[v.dataCentre],
			v.liftedAt.Format(timeFormat))
	}
	for _, v := range h.cold {
		fmt.Fprintf(&b, "%s cold %s until %s\n", v.from.Format(timeFormat), v.server, v.to.Format(timeFormat))
	}
	for _, r := range h.requests {
		fmt.Fprintf(&b, "%s request %s %s entry-%d ended %s status %d error %v\n", r.sentAt.Format(timeFormat), r.id,
			r.path, r.entry, r.endedAt.Format(timeFormat), r.reply.Status, r.err)
	}
	for _, r := range s.journal.Runs() {
		fmt.Fprintf(&b, "%s run %s on %s crashes %t\n", r.At.Format(timeFormat), r.Request, r.Server, r.Crashes)
	}
	lines := strings.SplitAfter(b.String(), "\n")
	slices.Sort(lines)
	return os.WriteFile(filepath.Join(s.options.Directory, historyFile), []byte(strings.Join(lines, "")), 0o600)
}

// PrintEvidence prints the lines about crashes and about the requests in the violations
// from the logs in the directory of a run.
func PrintEvidence(w io.Writer, directory string, violations []string) error {
	terms := slices.Clone(crashTerms)
	for _, v := range violations {
		if rest, ok := strings.CutPrefix(v, "request "); ok {
			id, _, _ := strings.Cut(rest, " ")
			terms = append(terms, strings.TrimPrefix(emulator.BodyOf(id), emulator.BodyOf("")))
		}
	}
	logs, err := filepath.Glob(filepath.Join(directory, "*.log"))
	if err != nil {
		return err
	}
	printed := 0
	for _, log := range logs {
		file, err := os.Open(log)
		if err != nil {
			return err
		}
		scanner := bufio.NewScanner(file)
		for scanner.Scan() && printed < maxEvidence {
			line := scanner.Text()
			if slices.ContainsFunc(terms, func(term string) bool { return strings.Contains(line, term) }) {
				printed++
				_, err = fmt.Fprintf(w, "%s: %s\n", filepath.Base(log), line)
			}
		}
		if err = errors.Join(err, scanner.Err(), file.Close()); err != nil {
			return err
		}
	}
	return nil
}
