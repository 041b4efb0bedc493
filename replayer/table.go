package replayer

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/carawaybeam/carawaybeam/tracer"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// WriteTable writes the figures of a report beside their bounds, and then the
// bounds that were missed.
func WriteTable(w io.Writer, report Report, outcome tracer.Outcome) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	if _, err := fmt.Fprintf(table, "%s (%s)\tpolicy %s\t%s\n", report.Trace, report.Kind, report.Policy,
		report.Source); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(report.Figures)) {
		if _, err := fmt.Fprintf(table, "  %s\t%.6g\t%s\n", name, report.Figures[name],
			describe(outcome.Bounds[name])); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, miss := range report.Misses {
		if _, err := fmt.Fprintf(w, "  MISSED: %s\n", miss); err != nil {
			return err
		}
	}
	return nil
}

func describe(bound tracer.Bound) string {
	text := ""
	if bound.Min != nil {
		text += fmt.Sprintf("at least %g ", *bound.Min)
	}
	if bound.Max != nil {
		text += fmt.Sprintf("at most %g ", *bound.Max)
	}
	if text == "" {
		return ""
	}
	return text + "(" + bound.Why + ")"
}
