// Package replayer puts recorded traces through one decision plug-in and
// compares the figures with the outcome stated for the trace.
//
// It replays decisions and simulates no cluster. What a trace of some kind
// holds, and which figures its replay gives, is up to a Kind, which registers
// itself under the kind named in the header of the trace.
package replayer

import (
	"bufio"
	"io"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracer"
)

type (
	// Kind replays traces of one kind.
	Kind interface {
		// Replay puts the events behind the header through the plug-in with
		// the name policy and returns figures by name. The body begins with
		// the line behind the header.
		Replay(header tracer.Header, body io.Reader, policy string) (map[string]float64, error)
	}

	// Report is the result of one replay.
	Report struct {
		Trace   string             `json:"trace"`
		Kind    tracer.Kind        `json:"kind"`
		Source  string             `json:"source"`
		Policy  string             `json:"policy"`
		Figures map[string]float64 `json:"figures"`
		// Misses describes the bounds of the outcome that were not kept.
		Misses []string `json:"misses"`
	}
)

// Kinds holds the kinds of traces by the name in their headers.
var Kinds carawaybeam.Registry[Kind]

// Replay reads a trace, puts it through the plug-in with the name policy, or
// through the one named by the outcome when policy is empty, and compares.
// Errors concern the input; a bound that is missed is no error.
func Replay(trace io.Reader, outcome tracer.Outcome, policy string) (Report, error) {
	body := bufio.NewReader(trace)
	header, err := tracer.ReadHeader(body)
	if err != nil {
		return Report{}, err
	}
	kind, err := Kinds.Lookup(string(header.Kind))
	if err != nil {
		return Report{}, err
	}
	if policy == "" {
		policy = outcome.Policy
	}
	figures, err := kind.Replay(header, body, policy)
	if err != nil {
		return Report{}, err
	}
	report := Report{
		Trace:   header.Name,
		Kind:    header.Kind,
		Source:  header.Source,
		Policy:  policy,
		Figures: figures,
		Misses:  []string{},
	}
	for _, miss := range outcome.Check(figures) {
		report.Misses = append(report.Misses, miss.String())
	}
	return report, nil
}
