package prover_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/booker"
	"github.com/carawaybeam/carawaybeam/fakes/launcher"
	"github.com/carawaybeam/carawaybeam/prover"
)

const (
	// leaveBound is how long after its signal a leaving backend server may be
	// given new work.
	leaveBound = 3 * time.Second

	trafficInterval = 25 * time.Millisecond
	leavePause      = 20 * time.Second
	trafficAfter    = 22 * time.Second
)

// lookUp asks a plain service for a work order.
func lookUp(entry *launcher.Entry, id string) reply {
	request, err := http.NewRequest(http.MethodGet, entry.URL+"/services/lookups/orders/"+id, http.NoBody)
	if err != nil {
		return reply{err: err}
	}
	return answer(request)
}

// traffic sends requests through the entries in turn until the time is over and
// returns the replies once all have come.
func traffic(f *launcher.Fleet, lasts time.Duration, ask func(*launcher.Entry, int) reply) func() []reply {
	var wait sync.WaitGroup
	replies := make([]reply, lasts/trafficInterval)
	for i := range replies {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * trafficInterval)
			replies[i] = ask(f.Entries[i%len(f.Entries)], i)
		})
	}
	return func() []reply {
		wait.Wait()
		return replies
	}
}

// unproved counts the replies that are neither a whole answer nor a proved
// refusal.
func unproved(replies []reply) (whole, broken int) {
	for _, r := range replies {
		switch {
		case r.err == nil && r.status == http.StatusOK:
			whole++
		case r.err != nil || r.outcome != carawaybeam.OutcomeNotRun:
			broken++
		}
	}
	return whole, broken
}

// startsLate tells whether the service of a slot started a call too long after
// the signal, and how long after.
func startsLate(t *testing.T, s *launcher.Slot, signalled time.Time) (bool, time.Duration) {
	t.Helper()
	var counts booker.Counts
	if err := launcher.FetchJSON(t.Context(), s.URL+"/counts", &counts); err != nil {
		t.Fatal(err)
	}
	if counts.LastStart.IsZero() {
		t.Fatal("service was given no call")
	}
	late := counts.LastStart.Sub(signalled)
	return late > leaveBound, late
}

// TestPromiseProcessLeaving stops an agent under steady traffic, running or
// paused after its signal, while the platform's list shows its VM as live.
func TestPromiseProcessLeaving(t *testing.T) {
	var trials, violations atomic.Int64
	t.Run("group", func(t *testing.T) {
		for name, paused := range map[string]bool{"running": false, "paused": true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				violations.Add(int64(leavingTrial(t, paused)))
				trials.Add(1)
			})
		}
	})
	prover.Report(t, prover.LeavingServer, int(trials.Load()), int(violations.Load()))
}

// leavingTrial stops one agent and returns how often the promise was broken.
// While it is paused, a request that is not idempotent may end as unknown, so
// that the traffic then is of an idempotent class.
func leavingTrial(t *testing.T, paused bool) int {
	t.Helper()
	f := startFleet(t)
	ask := func(e *launcher.Entry, i int) reply { return book(e, fmt.Sprintf("v%d", i), "") }
	if paused {
		ask = func(e *launcher.Entry, i int) reply { return lookUp(e, fmt.Sprintf("v%d", i)) }
	}
	finished := traffic(f, time.Second+trafficAfter, ask)
	time.Sleep(time.Second)
	signalled := time.Now()
	leave(t, f.Slots[0].Agent, paused)
	replies := finished()
	whole, violations := unproved(replies)
	late, last := startsLate(t, f.Slots[0], signalled)
	fmt.Printf("processes: leaving, paused %t: whole %d of %d, without proof %d, last start %v after the signal\n",
		paused, whole, len(replies), violations, last.Round(time.Millisecond))
	if late {
		violations++
	}
	return violations
}

// leave signals an agent to stop and pauses it meanwhile, if asked to.
func leave(t *testing.T, agent *launcher.Process, paused bool) {
	t.Helper()
	signals := []syscall.Signal{syscall.SIGTERM}
	if paused {
		signals = append(signals, syscall.SIGSTOP)
	}
	for _, signal := range signals {
		if err := agent.Signal(signal); err != nil {
			t.Error(err)
		}
	}
	if !paused {
		return
	}
	time.Sleep(leavePause)
	if err := agent.Signal(syscall.SIGCONT); err != nil {
		t.Error(err)
	}
}
