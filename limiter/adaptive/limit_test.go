package adaptive_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/limiter/adaptive"
	"github.com/carawaybeam/carawaybeam/replayer/queuer"
)

func TestLimitShrinksAndRecovers(t *testing.T) {
	is := is.New(t)
	l := adaptive.New(64)
	for range 200 {
		l.Observe(10, 100*time.Millisecond)
	}
	is.Equal(l.Value(), 64)
	for range 200 {
		l.Observe(60, 3*time.Second)
	}
	is.True(l.Value() < 10) // The smallest limit is 8.
	for range 500 {
		l.Observe(l.Value(), 100*time.Millisecond)
	}
	is.True(l.Value() > 50)
}

func TestLimitKeepsItsValueWhileUnused(t *testing.T) {
	is := is.New(t)
	l := adaptive.New(64)
	for range 50 {
		l.Observe(60, 100*time.Millisecond)
	}
	for range 40 {
		l.Observe(60, 3*time.Second)
	}
	low := l.Value()
	for range 100 {
		l.Observe(0, 100*time.Millisecond)
	}
	is.True(l.Value() <= low+1)
}

// result is the outcome of an overload of one backend server.
type result struct {
	// median is the median time to the first token in the second half of the
	// answered requests.
	median   time.Duration
	answered int
}

// overload sends a backend server twice the requests that it can serve for a
// minute, limited either adaptively or to a fixed number of 64 at once.
func overload(fixed bool) result {
	const maxLimit = 64
	var (
		clock   queuer.Clock
		first   []time.Duration
		running int
		limit   = adaptive.New(maxLimit)
		random  = rand.New(rand.NewPCG(1, 0))
	)
	server := queuer.New(queuer.Options{
		Clock: &clock, Slots: 16, PromptRate: 8000, TokenTime: 40 * time.Millisecond,
	})
	arrive := func() {
		if fixed && running >= maxLimit || !fixed && !limit.Allows(running) {
			return
		}
		running++
		began := clock.Now()
		job := &queuer.Job{Prompt: 1000, Output: 100, OnDone: func() { running-- }}
		job.OnFirstToken = func() {
			took := clock.Now() - began
			first = append(first, took)
			limit.Observe(running, took)
		}
		server.Enqueue(job)
	}
	// The capacity is 4 requests per second: 16 slots that take 4 s each.
	rate := 2.0
	for at := time.Duration(0); at < 90*time.Second; {
		if at > 30*time.Second {
			rate = 8
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		clock.At(at, arrive)
	}
	clock.Run(3 * time.Minute)
	late := first[len(first)/2:]
	slices.Sort(late)
	return result{median: late[len(late)/2], answered: len(first)}
}

// Without an adaptive limit, an overloaded backend server admits so many requests
// that the time to the first token grows for all of them.
func TestLimitKeepsTimeToFirstTokenShort(t *testing.T) {
	is := is.New(t)
	fixed, adapted := overload(true), overload(false)
	t.Logf("median first token and calls answered: fixed %v %d, adaptive %v %d",
		fixed.median, fixed.answered, adapted.median, adapted.answered)
	is.True(adapted.median < fixed.median/3)
	is.True(adapted.answered > fixed.answered*8/10)
}
