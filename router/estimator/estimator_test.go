package estimator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/estimator"
)

func TestModelLearnsLinearTime(t *testing.T) {
	is := is.New(t)
	e := estimator.New()
	random := rand.New(rand.NewPCG(1, 0))
	took := func(w carawaybeam.Work) time.Duration {
		return time.Duration((0.01 + w.Tokens/4000 + w.Running*0.01) * float64(time.Second))
	}
	for range 3000 {
		w := carawaybeam.Work{Tokens: random.Float64() * 4000, Running: random.Float64() * 16}
		e.Observe("b1", w, took(w))
	}
	for _, w := range []carawaybeam.Work{{Tokens: 2000, Running: 8}, {Tokens: 500, Running: 2}} {
		miss := e.Typical(w) - took(w)
		is.True(miss.Abs() < took(w)/5)
	}
}

func TestFactorFollowsSlowBackend(t *testing.T) {
	is := is.New(t)
	e := estimator.New()
	w := carawaybeam.Work{Tokens: 4000}
	for range 200 {
		e.Observe("fast", w, time.Second)
	}
	for range 20 {
		e.Observe("slow", w, 8*time.Second)
	}
	is.True(e.Factor("slow") > 4)
	is.True(e.Factor("fast") < 1.5)
	for range 30 {
		e.Observe("slow", w, time.Second)
	}
	is.True(e.Factor("slow") < 1.5)
}

func TestFailureIsBounded(t *testing.T) {
	is := is.New(t)
	e := estimator.New()
	for range 100 {
		e.Fail("b1")
	}
	is.Equal(e.Factor("b1"), 64.0)
}
