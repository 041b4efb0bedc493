package dispatcher_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/framer"
)

// newPath returns one entry before several agents, closed at the test's end.
func newPath(t *testing.T, agents int) *assembler.Assembler {
	t.Helper()
	a := assembler.New(assembler.Options{
		Entries: 1, Agents: agents, Concurrency: 8, Pace: 100 * time.Millisecond,
	})
	t.Cleanup(func() {
		if err := a.Close(); err != nil {
			t.Error(err)
		}
	})
	return a
}

// runs adds up the runs of a body on all backend servers.
func runs(a *assembler.Assembler, body string) int {
	n := 0
	for _, s := range a.Slots {
		n += s.Backend.Runs(body)
	}
	return n
}

func booking(body, key string) dispatcher.Request {
	return dispatcher.Request{
		ID:           carawaybeam.NewRequestID(),
		Class:        carawaybeam.Class{ID: "bookings", Kind: carawaybeam.WorkService, Pool: assembler.Pool},
		Organisation: "org",
		Key:          carawaybeam.IdempotencyKey(key),
		Method:       "POST",
		Path:         "/bookings",
		Body:         []byte(body),
		Deadline:     time.Now().Add(time.Minute),
	}
}

func TestAnswerIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(t, 2)
		var a assembler.Answer
		is.True(p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", ""), &a) == nil)
		is.Equal(a.Body.String(), assembler.Whole("b1"))
		is.Equal(runs(p, "b1"), 1)
	})
}

func TestSilentLinkIsResolvedOverNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(t, 2)
		// All frames of the streams open at 300 ms are lost from then on.
		start := time.Now()
		silent := start.Add(300 * time.Millisecond)
		p.Network.Inject(func(_ carawaybeam.Address, d linker.Direction, f *framer.Frame) linker.Verdict {
			now := time.Now()
			lost := now.After(silent) && now.Before(silent.Add(4*time.Second))
			return linker.Verdict{Drop: lost && d == linker.ToDialer && f.GetHeartbeat() == nil}
		})
		var a assembler.Answer
		failure := p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", ""), &a)
		is.True(failure == nil)
		is.Equal(a.Body.String(), assembler.Whole("b1"))
		is.Equal(runs(p, "b1"), 1)
	})
}

func TestSameKeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(t, 3)
		var wait sync.WaitGroup
		answers := make([]assembler.Answer, 4)
		for i := range answers {
			wait.Go(func() { _ = p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", "k1"), &answers[i]) })
		}
		wait.Wait()
		for i := range answers {
			is.Equal(answers[i].Body.String(), assembler.Whole("b1"))
		}
		is.Equal(runs(p, "b1"), 1)
	})
}

func TestOtherBodyUnderSameKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(t, 1)
		var a assembler.Answer
		is.True(p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", "k1"), &a) == nil)
		failure := p.Entries[0].Dispatcher.Do(t.Context(), booking("b2", "k1"), &a)
		is.Equal(failure.Reason, carawaybeam.ReasonKeyReused)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		is.Equal(runs(p, "b2"), 0)
	})
}

func TestPausedAgentIsNeverGuessedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(t, 1)
		// The dispatch arrives long after the entry has stopped waiting for it.
		p.Network.Inject(func(_ carawaybeam.Address, _ linker.Direction, f *framer.Frame) linker.Verdict {
			if f.GetDispatch() != nil {
				return linker.Verdict{Delay: 20 * time.Second}
			}
			return linker.Verdict{}
		})
		var a assembler.Answer
		failure := p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", ""), &a)
		is.True(failure != nil)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		time.Sleep(time.Minute)
		is.Equal(runs(p, "b1"), 0)
	})
}

func TestLeavingAgentGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(t, 1)
		is.NoErr(p.Drain(t.Context(), 0))
		var a assembler.Answer
		failure := p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", ""), &a)
		is.True(failure != nil)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		is.True(failure.RetryAfter > 0)
		is.Equal(runs(p, "b1"), 0)
	})
}

// loseAgent loses all frames from the first agent that gets a request, from then
// on, and with others set those from all agents.
func loseAgent(p *assembler.Assembler, others bool) {
	var mu sync.Mutex
	var lost carawaybeam.Address
	p.Network.Inject(func(address carawaybeam.Address, d linker.Direction, f *framer.Frame) linker.Verdict {
		mu.Lock()
		defer mu.Unlock()
		if f.GetDispatch() != nil && lost == "" {
			lost = address
		}
		silent := lost != "" && (others || address == lost)
		return linker.Verdict{Drop: silent && d == linker.ToDialer}
	})
}

func lookup(body string) dispatcher.Request {
	request := booking(body, "")
	request.Class.ID, request.Class.Idempotent = "lookups", true
	return request
}

func TestIdempotentRequestLeavesSilentAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(t, 2)
		loseAgent(p, false)
		began := time.Now()
		var a assembler.Answer
		is.True(p.Entries[0].Dispatcher.Do(t.Context(), lookup("l1"), &a) == nil)
		is.Equal(a.Body.String(), assembler.Whole("l1"))
		// The target of such a class in the examples.
		is.True(time.Since(began) <= 5*time.Second)
	})
}

func TestRequestOfSilentAgentsIsNotCalledNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(t, 2)
		loseAgent(p, true)
		var a assembler.Answer
		failure := p.Entries[0].Dispatcher.Do(t.Context(), lookup("l1"), &a)
		is.True(failure != nil)
		is.True(runs(p, "l1") > 0)
		is.Equal(failure.Outcome, carawaybeam.OutcomeUnknown)
	})
}
