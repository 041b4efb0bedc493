package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/applier"
)

// pollInterval is how often an entry is asked whether a change is in force.
const pollInterval = 300 * time.Millisecond

// document is one object of a file, with its fields encoded as JSON.
type document struct {
	kind string
	name string
	data []byte
}

// apply creates or changes the objects defined in a file. If kind is not empty, it
// skips objects of other kinds.
func (c *command) apply(args []string, kind string) error {
	flags := flag.NewFlagSet("apply", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	wait := flags.Bool("wait", false, "wait until the changes are in force everywhere")
	if err := flags.Parse(args); err != nil || flags.NArg() != 1 {
		return usage("apply wants [-wait] FILE")
	}
	data, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		return err
	}
	documents, err := readDocuments(data, kind)
	if err != nil {
		return &exitError{code: exitRefused, detail: flags.Arg(0) + ": " + err.Error()}
	}
	for _, d := range documents {
		result := c.client.change(d.kind, d.name, d.data, nil)
		if err := c.report(result); err != nil {
			return err
		}
		if *wait && result.Status == applier.StatusAccepted {
			if err := c.awaitInForce(result); err != nil {
				return err
			}
		}
	}
	return nil
}

// readDocuments returns the objects of a TOML file, sorted by kind and name. If kind
// is not empty, it skips objects of other kinds.
func readDocuments(data []byte, kind string) ([]document, error) {
	var file map[string]map[string]map[string]any
	if err := toml.Unmarshal(data, &file); err != nil {
		return nil, err
	}
	var documents []document
	for _, table := range slices.Sorted(maps.Keys(file)) {
		if table != "class" && table != "organisation" {
			return nil, fmt.Errorf("table %s is none of class and organisation", table)
		}
		if kind != "" && table != kind {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(file[table])) {
			encoded, err := json.Marshal(file[table][name])
			if err != nil {
				return nil, err
			}
			documents = append(documents, document{kind: table, name: name, data: encoded})
		}
	}
	return documents, nil
}

// awaitInForce waits until an accepted change is in force on all entries, and prints
// each entry when the change is in force there.
func (c *command) awaitInForce(result applier.Result) error {
	path := objectPath(string(result.Kind), result.Name) + "/force"
	query := url.Values{"version": {strconv.FormatUint(uint64(result.Version), 10)}}
	printed := make(map[string]bool)
	start := time.Now()
	for {
		var processes []administrator.ProcessStatus
		if err := c.client.call(http.MethodGet, path, query, nil, &processes); err != nil {
			return err
		}
		missing := c.printProgress(processes, printed, time.Since(start))
		if missing == 0 {
			return nil
		}
		if time.Since(start) > c.timeout {
			return &exitError{
				code:   exitNotInForce,
				detail: fmt.Sprintf("not in force on %d of %d processes", missing, len(processes)),
			}
		}
		time.Sleep(pollInterval)
	}
}

// printProgress prints the processes on which the change is in force and that were
// not printed before. It returns the number of processes on which it is not.
func (c *command) printProgress(
	processes []administrator.ProcessStatus,
	printed map[string]bool,
	took time.Duration,
) int {
	missing := 0
	for _, p := range processes {
		if !p.InForce {
			missing++
		}
		if !p.InForce || printed[p.Process] {
			continue
		}
		printed[p.Process] = true
		if !c.json {
			_, _ = fmt.Fprintf(c.out, "  %s: in force after %v\n", p.Process, took.Round(time.Millisecond))
		}
	}
	return missing
}
