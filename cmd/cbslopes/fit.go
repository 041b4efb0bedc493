package main

import (
	"fmt"
	"io"
	"math"
)

type (
	// line is a straight line fitted by the method of least squares.
	line struct {
		intercept float64
		slope     float64
		// residual is the largest vertical distance of a point from the line.
		residual float64
	}

	// metric is one kind of cost, a row of the table.
	metric struct {
		name  string
		value func(costs) float64
	}
)

var metrics = []metric{
	{"entry CPU %", func(c costs) float64 { return c.entry.cpu }},
	{"entry MiB", func(c costs) float64 { return c.entry.memory }},
	{"entry KiB/s", func(c costs) float64 { return c.entry.traffic }},
	{"entry msg/s", func(c costs) float64 { return c.entry.messages }},
	{"agent CPU %", func(c costs) float64 { return c.agent.cpu }},
	{"agent MiB", func(c costs) float64 { return c.agent.memory }},
	{"agent KiB/s", func(c costs) float64 { return c.agent.traffic }},
	{"agent msg/s", func(c costs) float64 { return c.agent.messages }},
	{"store reads/s", func(c costs) float64 { return c.storeReads }},
	{"store writes/s", func(c costs) float64 { return c.storeWrites }},
	{"store watches/s", func(c costs) float64 { return c.storeWatches }},
}

// fit fits a line to points by least squares. If all xs are equal, the line has
// slope 0.
func fit(xs, ys []float64) line {
	n := float64(len(xs))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range xs {
		sumX += x
		sumY += ys[i]
		sumXX += x * x
		sumXY += x * ys[i]
	}
	l := line{intercept: sumY / n}
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		l.slope = (n*sumXY - sumX*sumY) / spread
		l.intercept = (sumY - l.slope*sumX) / n
	}
	for i, x := range xs {
		l.residual = math.Max(l.residual, math.Abs(ys[i]-l.intercept-l.slope*x))
	}
	return l
}

// printAxis prints the measured costs of an axis and the fitted lines as a
// Markdown table.
func printAxis(w io.Writer, a axis, points []costs) {
	xs := make([]float64, len(a.values))
	for i, value := range a.values {
		xs[i] = float64(value)
	}
	_, _ = fmt.Fprintf(w, "### By %s\n\n| cost |", a.name)
	for _, value := range a.values {
		_, _ = fmt.Fprintf(w, " %d |", value)
	}
	_, _ = fmt.Fprint(w, " slope | at 0 | residual |\n|---|")
	for range len(a.values) + 3 {
		_, _ = fmt.Fprint(w, "---|")
	}
	_, _ = fmt.Fprintln(w)
	for _, m := range metrics {
		ys := make([]float64, len(points))
		_, _ = fmt.Fprintf(w, "| %s |", m.name)
		for i, point := range points {
			ys[i] = m.value(point)
			_, _ = fmt.Fprintf(w, " %.3g |", ys[i])
		}
		l := fit(xs, ys)
		_, _ = fmt.Fprintf(w, " %.3g | %.3g | %.2g |\n", l.slope, l.intercept, l.residual)
	}
	_, _ = fmt.Fprintln(w)
}
