package estimator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/estimator"
)

var now = time.Unix(1000, 0)

func TestModelLearnsLinearTime(t *testing.T) {
	is := is.New(t)
	e := estimator.New()
	random := rand.New(rand.NewPCG(1, 0))
	took := func(w carawaybeam.PendingWork) time.Duration {
		return time.Duration((0.01 + w.Tokens/4000 + w.Running*0.01) * float64(time.Second))
	}
	for range 3000 {
		w := carawaybeam.PendingWork{Tokens: random.Float64() * 4000, Running: random.Float64() * 16}
		e.Observe(now, "b1", w, took(w))
	}
	for _, w := range []carawaybeam.PendingWork{{Tokens: 2000, Running: 8}, {Tokens: 500, Running: 2}} {
		miss := e.Estimate(w) - took(w)
		is.True(miss.Abs() < took(w)/5)
	}
}

func TestFactorFollowsSlowBackend(t *testing.T) {
	is := is.New(t)
	e := estimator.New()
	w := carawaybeam.PendingWork{Tokens: 4000}
	for range 200 {
		e.Observe(now, "fast", w, time.Second)
	}
	for range 20 {
		e.Observe(now, "slow", w, 8*time.Second)
	}
	is.True(e.Slowdown(now, "slow") > 4)
	is.True(e.Slowdown(now, "fast") < 1.5)
	for range 30 {
		e.Observe(now, "slow", w, time.Second)
	}
	is.True(e.Slowdown(now, "slow") < 1.5)
}

func TestFailureIsBounded(t *testing.T) {
	is := is.New(t)
	e := estimator.New()
	for range 100 {
		e.ObserveFailure(now, "b1")
	}
	is.Equal(e.Slowdown(now, "b1"), 64.0)
}

func TestModerateFactorIsForgotten(t *testing.T) {
	is := is.New(t)
	e := estimator.New()
	w := carawaybeam.PendingWork{Tokens: 4000}
	for i := range 400 {
		e.Observe(now, "usual", w, time.Second)
		if i%20 > 0 {
			continue
		}
		e.Observe(now, "moderate", w, 3*time.Second)
		e.Observe(now, "slow", w, 8*time.Second)
	}
	is.True(e.Slowdown(now, "moderate") > 2)
	is.True(e.Slowdown(now.Add(time.Minute), "moderate") < 1.1)
	is.True(e.Slowdown(now.Add(time.Hour), "slow") > 4)
}
