package replayer

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	// columnGap is the number of spaces between columns.
	columnGap = 2

	// columnSeparator separates the column of a figure from its row, as in
	// "greedy.moves". A figure without it is one of the replayed policy.
	columnSeparator = "."
)

// WriteTable writes a table of the figures of a report and their bounds,
// followed by the violated bounds. A figure "a.b" goes to row b and column a,
// so that a kind of trace can show baselines and lower bounds next to the
// policy. It returns the first error of w.
func WriteTable(w io.Writer, report Report, outcome tracer.Outcome) error {
	if _, err := fmt.Fprintf(w, "%s\n  %s\n", report.Trace, report.Source); err != nil {
		return err
	}
	columns, rows := tableLayout(report.Figures)
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	if _, err := fmt.Fprintln(table, strings.Join(headerCells(report, columns), "\t")); err != nil {
		return err
	}
	for _, row := range rows {
		cells := []string{"  " + row}
		for _, column := range columns {
			cells = append(cells, formatFigure(report.Figures, column+row))
		}
		cells = append(cells, formatBound(outcome.Bounds[row]))
		if _, err := fmt.Fprintln(table, strings.Join(cells, "\t")); err != nil {
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

// tableLayout returns the sorted columns, as prefixes of figure names, and the
// sorted rows.
func tableLayout(figures map[string]float64) (columns, rows []string) {
	columnSet := map[string]bool{}
	rowSet := map[string]bool{}
	for name := range figures {
		split := strings.Index(name, columnSeparator) + 1
		columnSet[name[:split]] = true
		rowSet[name[split:]] = true
	}
	return slices.Sorted(maps.Keys(columnSet)), slices.Sorted(maps.Keys(rowSet))
}

func headerCells(report Report, columns []string) []string {
	cells := []string{fmt.Sprintf("  (%s)", report.Kind)}
	for _, column := range columns {
		name := strings.TrimSuffix(column, columnSeparator)
		if name == "" {
			name = report.Policy
		}
		cells = append(cells, name)
	}
	return append(cells, "outcome")
}

func formatFigure(figures map[string]float64, name string) string {
	figure, ok := figures[name]
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%.5g", figure)
}

func formatBound(bound tracer.Bound) string {
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
	return text + "(" + bound.Reason + ")"
}
