// Package replayer replays a recorded trace through one decision plug-in and
// compares the resulting figures with the expected outcome of the trace.
//
// It replays decisions only and doesn't simulate a cluster. The contents of a
// trace and the figures of its replay depend on the kind of the trace. Each
// Kind registers itself under the kind that trace headers name.
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
		// Replay passes the events of a trace to the plug-in named policy
		// and returns figures by name. The body begins with the line after
		// the header.
		Replay(header tracer.Header, body io.Reader, policy string) (map[string]float64, error)
	}

	// Report is the result of one replay, with the trace and policy that
	// produced it.
	Report struct {
		Trace   string             `json:"trace"`
		Kind    tracer.Kind        `json:"kind"`
		Source  string             `json:"source"`
		Policy  string             `json:"policy"`
		Figures map[string]float64 `json:"figures"`
		// Misses describes each bound of the outcome that a figure violates.
		Misses []string `json:"misses"`
	}
)

// Kinds holds the registered kinds of traces, by the kind in trace headers.
var Kinds carawaybeam.Registry[Kind]

// Replay reads a trace, replays it through the plug-in named policy, and checks
// the figures against the bounds of the outcome. An empty policy selects the
// plug-in that the outcome names. It returns an error for invalid input or an
// unknown plug-in; violated bounds are listed in the Report instead.
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
