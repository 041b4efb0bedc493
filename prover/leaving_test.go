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
	// lastStartBound is how long after the stop signal to its agent a leaving backend
	// server may still be given new work.
	lastStartBound = 3 * time.Second

	trafficInterval    = 25 * time.Millisecond
	leavingPause       = 20 * time.Second
	trafficAfterSignal = 22 * time.Second
)

// lookUp requests a work order, an idempotent call of a plain service.
func lookUp(entry *launcher.Entry, id string) reply {
	request, err := http.NewRequest(http.MethodGet, entry.URL+"/services/lookups/orders/"+id, http.NoBody)
	if err != nil {
		return reply{err: err}
	}
	return exchange(request)
}

// sendTraffic starts to send requests at a steady rate for the given duration, through
// the entries in turn. The returned function waits for all replies and returns them.
func sendTraffic(f *launcher.Fleet, duration time.Duration, ask func(*launcher.Entry, int) reply) func() []reply {
	var wait sync.WaitGroup
	replies := make([]reply, duration/trafficInterval)
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

// countReplies counts the complete answers, and the replies that are neither a
// complete answer nor a refusal with proof that the request was not run.
func countReplies(replies []reply) (whole, broken int) {
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

// startedLate reports whether the service of a slot started a call more than
// lastStartBound after the signal, and how long after the signal its last call
// started.
func startedLate(t *testing.T, s *launcher.Slot, signalled time.Time) (bool, time.Duration) {
	t.Helper()
	var counts booker.Counts
	if err := launcher.FetchJSON(t.Context(), s.URL+"/counts", &counts); err != nil {
		t.Fatal(err)
	}
	if counts.LastStart.IsZero() {
		t.Fatal("service has received no call")
	}
	late := counts.LastStart.Sub(signalled)
	return late > lastStartBound, late
}

// TestPromiseProcessLeaving checks that a leaving backend server gets no new work and
// that no request is lost. It sends a stop signal to an agent under steady traffic,
// with the agent running or paused after the signal, while the VM list of the
// platform shows its VM as live.
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

// leavingTrial stops one agent and returns the number of violations. A request that
// is not idempotent may end with an unknown outcome while the agent is paused, so the
// traffic is idempotent in that trial.
func leavingTrial(t *testing.T, paused bool) int {
	t.Helper()
	f := startFleet(t)
	ask := func(e *launcher.Entry, i int) reply { return book(e, fmt.Sprintf("v%d", i), "") }
	if paused {
		ask = func(e *launcher.Entry, i int) reply { return lookUp(e, fmt.Sprintf("v%d", i)) }
	}
	finished := sendTraffic(f, time.Second+trafficAfterSignal, ask)
	time.Sleep(time.Second)
	signalled := time.Now()
	leave(t, f.Slots[0].Agent, paused)
	replies := finished()
	whole, violations := countReplies(replies)
	late, last := startedLate(t, f.Slots[0], signalled)
	fmt.Printf("processes: leaving, paused %t: whole %d of %d, without proof %d, last start %v after the signal\n",
		paused, whole, len(replies), violations, last.Round(time.Millisecond))
	if late {
		violations++
	}
	return violations
}

// leave sends the stop signal to an agent. If paused is set, it also pauses the
// agent for leavingPause.
func leave(t *testing.T, agent *launcher.Process, paused bool) {
	t.Helper()
	signals := []syscall.Signal{syscall.SIGTERM}
	if paused {
		signals = append(signals, syscall.SIGSTOP)
	}
	for _, signal := range signals {
		if err := agent.Signal(signal); err != nil {
			t.Errorf("%v: %v", signal, err)
		}
	}
	if !paused {
		return
	}
	stopped := time.Now()
	select {
	case <-agent.Ended():
		// A stopped process cannot end by itself.
		t.Errorf("agent ended %v after SIGSTOP: %v", time.Since(stopped), agent.Err())
	case <-time.After(leavingPause):
	}
	if err := agent.Signal(syscall.SIGCONT); err != nil {
		t.Errorf("%v: %v", syscall.SIGCONT, err)
	}
}
