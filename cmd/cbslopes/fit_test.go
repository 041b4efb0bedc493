package main

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		xs, ys []float64
		want   line
	}{
		{"exact line", []float64{1, 2, 4, 8}, []float64{3, 5, 9, 17}, line{intercept: 1, slope: 2}},
		{"flat", []float64{1, 2, 3, 4}, []float64{5, 5, 5, 5}, line{intercept: 5}},
		{"one size only", []float64{2, 2}, []float64{1, 3}, line{intercept: 2, residual: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := fit(test.xs, test.ys)
			is.True(math.Abs(got.slope-test.want.slope) < 1e-9)
			is.True(math.Abs(got.intercept-test.want.intercept) < 1e-9)
			is.True(math.Abs(got.residual-test.want.residual) < 1e-9)
		})
	}
}
