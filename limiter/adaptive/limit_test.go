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
	is.True(l.Value() < 10) // The least is 8.
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

// result is how one backend server fares with twice the calls it can serve.
type result struct {
	median   time.Duration
	answered int
}

// overload offers calls to one queue for a minute, behind a limit or a fixed
// bound of 64.
func overload(fixed bool) result {
	const most = 64
	var (
		clock  queuer.Clock
		first  []time.Duration
		inside int
		limit  = adaptive.New(most)
		random = rand.New(rand.NewPCG(1, 0))
	)
	server := queuer.New(queuer.Options{
		Clock: &clock, Slots: 16, PromptRate: 8000, TokenTime: 40 * time.Millisecond,
	})
	arrive := func() {
		if fixed && inside >= most || !fixed && !limit.Allows(inside) {
			return
		}
		inside++
		began := clock.Now()
		job := &queuer.Job{Prompt: 1000, Output: 100, OnDone: func() { inside-- }}
		job.OnFirstToken = func() {
			took := clock.Now() - began
			first = append(first, took)
			limit.Observe(inside, took)
		}
		server.Put(job)
	}
	// Capacity is 4 a second: 16 slots of 4 s.
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

func TestOverloadedBackendKeepsItsPace(t *testing.T) {
	is := is.New(t)
	fixed, adapted := overload(true), overload(false)
	t.Logf("median first token and calls answered: fixed %v %d, adaptive %v %d",
		fixed.median, fixed.answered, adapted.median, adapted.answered)
	is.True(adapted.median < fixed.median/3)
	is.True(adapted.answered > fixed.answered*8/10)
}
