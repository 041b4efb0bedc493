package finisher_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/finisher"
)

const (
	kind     = finisher.Kind("lookups")
	timeLeft = 10 * time.Second
	timeout  = time.Minute
)

// run lets requests take their time, one after the other.
func run(f *finisher.Finisher, answer carawaybeam.Tokens, first, rest time.Duration, times int) {
	for range times {
		r := f.Begin(kind, answer)
		time.Sleep(first)
		r.MarkFirstPart()
		time.Sleep(rest)
		r.End(true)
	}
}

// forecast stops the process and returns the forecast of a request.
func forecast(f *finisher.Finisher, answer carawaybeam.Tokens) finisher.Forecast {
	f.Stop(time.Now().Add(timeLeft))
	return f.Forecast(finisher.Request{Kind: kind, Answer: answer, Deadline: time.Now().Add(timeout)})
}

func TestForecast(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		before func(*finisher.Finisher)
		answer carawaybeam.Tokens
		// least and most are bounds of the forecast.
		least, most time.Duration
	}{
		"nothing is known": {func(*finisher.Finisher) {}, 0, timeout, timeout},
		"one request":      {func(f *finisher.Finisher) { run(f, 0, second, second, 1) }, 0, 4 * second, 8 * second},
		"many requests": {
			func(f *finisher.Finisher) { run(f, 0, second/10, second/10, 400) }, 0, second / 5, second / 4,
		},
		"the longest counts": {
			func(f *finisher.Finisher) { run(f, 0, 0, 5*second, 1); run(f, 0, 0, second/100, 400) },
			0,
			5 * second,
			6 * second,
		},
		"requests of long ago": {
			func(f *finisher.Finisher) { run(f, 0, 0, 5*second, 1); time.Sleep(3 * time.Minute) }, 0, timeout, timeout,
		},
		"not longer than the deadline": {
			func(f *finisher.Finisher) { run(f, 0, 0, 50*second, 1) }, 0, timeout, timeout,
		},
		"a request that runs for longer": {
			func(f *finisher.Finisher) {
				run(f, 0, second, 0, 100)
				f.Begin(kind, 0)
				time.Sleep(9 * second)
			}, 0, 9 * second, 11 * second,
		},
		"a shorter answer": {
			func(f *finisher.Finisher) { run(f, 100, second, 4*second, 100) },
			10,
			1400 * time.Millisecond,
			1700 * time.Millisecond,
		},
		"a longer answer": {
			func(f *finisher.Finisher) { run(f, 100, second, 4*second, 100) }, 200, 9 * second, 11 * second,
		},
		"an answer of any length": {
			func(f *finisher.Finisher) { run(f, 100, second, 4*second, 100) }, math.MaxInt64, timeout, timeout,
		},
		"short answers that took long": {
			func(f *finisher.Finisher) {
				run(f, 100, second, 4*second, 100)
				run(f, 1, second, second, 1)
			}, 100, 5 * second, 6 * second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := finisher.New()
				test.before(f)
				got := forecast(f, test.answer)
				if got.Longest < test.least || got.Longest > test.most {
					t.Errorf("forecast is %v, want %v to %v", got.Longest, test.least, test.most)
				}
				if got.InTime() != (got.Longest <= timeLeft) || got.TimeLeft != timeLeft {
					t.Errorf("forecast is %+v", got)
				}
			})
		})
	}
}

// TestForecastOfContinuedAnswer checks that a request which continues an answer takes only the
// rest of its time.
func TestForecastOfContinuedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := finisher.New()
		run(f, 0, 0, 4*time.Second, 100)
		f.Stop(time.Now().Add(timeLeft))
		request := finisher.Request{
			Kind: kind, Deadline: time.Now().Add(timeout), Begun: time.Now().Add(-3 * time.Second),
		}
		is.True(f.Forecast(request).Longest < 2*time.Second)
		request.Begun = time.Now().Add(-time.Minute)
		is.Equal(f.Forecast(request).Longest, time.Duration(0))
	})
}

// TestNotStopping checks that all requests are in time until the process is told to stop.
func TestNotStopping(t *testing.T) {
	is := is.New(t)
	f := finisher.New()
	request := finisher.Request{Kind: kind, Deadline: time.Now().Add(time.Hour)}
	is.Equal(f.Forecast(request), finisher.Forecast{})
	is.True(f.Forecast(request).InTime())
	f.Stop(time.Now().Add(time.Second))
	is.True(!f.Forecast(request).InTime())
	// A second signal does not give more time.
	f.Stop(time.Now().Add(2 * time.Hour))
	is.True(!f.Forecast(request).InTime())
}

// TestRefusedRequestsSayNothing checks that requests which did not run do not count.
func TestRefusedRequestsSayNothing(t *testing.T) {
	is := is.New(t)
	f := finisher.New()
	f.Begin(kind, 0).End(false)
	is.Equal(forecast(f, 0).Samples, 0)
}

// TestUnusedKindsAreForgotten checks that the memory for kinds that are no longer in use is freed.
func TestUnusedKindsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := finisher.New()
		for i := range 1000 {
			f.Begin(finisher.Kind(fmt.Sprint(i)), 0).End(true)
			time.Sleep(time.Second)
		}
		is.True(f.Kinds() < 200)
	})
}
