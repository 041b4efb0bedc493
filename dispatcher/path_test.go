package dispatcher_test

import (
	"strings"
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

// newSystem returns a system of one entry and several agents. It is closed at the
// end of the test.
func newSystem(t *testing.T, agents int) *assembler.Assembler {
	t.Helper()
	a := assembler.New(assembler.Options{
		Entries: 1, Agents: agents, Concurrency: 8, PartTime: 100 * time.Millisecond,
	})
	t.Cleanup(func() {
		if err := a.Close(); err != nil {
			t.Error(err)
		}
	})
	return a
}

// runs returns how often the backend servers ran requests with the body in total.
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

func TestAnswerIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newSystem(t, 2)
		var a assembler.Answer
		is.True(p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", ""), &a) == nil)
		is.Equal(a.Body.String(), assembler.FullAnswer("b1"))
		is.Equal(runs(p, "b1"), 1)
	})
}

// TestAttemptIsResolvedOverNewLink checks that an attempt whose link loses frames is
// resolved over a new link and not run again.
func TestAttemptIsResolvedOverNewLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newSystem(t, 2)
		// From 300 ms on, all frames to the entry except heartbeats are lost for
		// 4 s.
		start := time.Now()
		silent := start.Add(300 * time.Millisecond)
		p.Network.SetInjector(func(_ carawaybeam.Address, d linker.Direction, f *framer.Frame) linker.Decision {
			now := time.Now()
			lost := now.After(silent) && now.Before(silent.Add(4*time.Second))
			return linker.Decision{Drop: lost && d == linker.ToDialer && f.GetHeartbeat() == nil}
		})
		var a assembler.Answer
		failure := p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", ""), &a)
		is.True(failure == nil)
		is.Equal(a.Body.String(), assembler.FullAnswer("b1"))
		is.Equal(runs(p, "b1"), 1)
	})
}

// TestBrokenStreamLeavesOtherRequests checks that a stream that breaks off does not
// interrupt the other requests on its link.
func TestBrokenStreamLeavesOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newSystem(t, 1)
		var mu sync.Mutex
		var cut string
		resolved := make(map[string]bool)
		p.Network.SetInjector(func(_ carawaybeam.Address, _ linker.Direction, f *framer.Frame) linker.Decision {
			mu.Lock()
			defer mu.Unlock()
			if id := f.GetResolve().GetAttempt(); id != "" {
				resolved[id] = true
			}
			if chunk := f.GetChunk(); chunk.GetOffset() > 0 && cut == "" {
				cut = chunk.GetAttempt()
				return linker.Decision{Cut: true}
			}
			return linker.Decision{}
		})
		var wait sync.WaitGroup
		answers := make([]assembler.Answer, 4)
		for i := range answers {
			wait.Go(func() { _ = p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", ""), &answers[i]) })
		}
		wait.Wait()
		for i := range answers {
			is.Equal(answers[i].Body.String(), assembler.FullAnswer("b1"))
		}
		is.Equal(resolved, map[string]bool{cut: true})
	})
}

func TestSameKeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newSystem(t, 3)
		var wait sync.WaitGroup
		answers := make([]assembler.Answer, 4)
		for i := range answers {
			wait.Go(func() { _ = p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", "k1"), &answers[i]) })
		}
		wait.Wait()
		for i := range answers {
			is.Equal(answers[i].Body.String(), assembler.FullAnswer("b1"))
		}
		is.Equal(runs(p, "b1"), 1)
	})
}

func TestSameKeyWithOtherBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newSystem(t, 1)
		var a assembler.Answer
		is.True(p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", "k1"), &a) == nil)
		failure := p.Entries[0].Dispatcher.Do(t.Context(), booking("b2", "k1"), &a)
		is.Equal(failure.Reason, carawaybeam.ReasonKeyReused)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		is.Equal(runs(p, "b2"), 0)
	})
}

// TestLateDispatchIsNotRun checks that a request reported as not run does not run
// when its dispatch frame reaches the agent later.
func TestLateDispatchIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newSystem(t, 1)
		// The dispatch frame arrives long after the entry has given up.
		p.Network.SetInjector(func(_ carawaybeam.Address, _ linker.Direction, f *framer.Frame) linker.Decision {
			if f.GetDispatch() != nil {
				return linker.Decision{Delay: 20 * time.Second}
			}
			return linker.Decision{}
		})
		var a assembler.Answer
		failure := p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", ""), &a)
		is.True(failure != nil)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		time.Sleep(time.Minute)
		is.Equal(runs(p, "b1"), 0)
	})
}

func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newSystem(t, 1)
		is.NoErr(p.DrainAgent(t.Context(), 0))
		var a assembler.Answer
		failure := p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", ""), &a)
		is.True(failure != nil)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		is.True(failure.RetryAfter > 0)
		is.Equal(runs(p, "b1"), 0)
	})
}

// TestRequestCrossesStopOfIdleAgent checks that a request that is on its way to an agent
// without work, as that agent is stopped, is refused by it and runs elsewhere.
func TestRequestCrossesStopOfIdleAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newSystem(t, 2)
		dispatched := make(chan carawaybeam.Address, 4)
		p.Network.SetInjector(func(address carawaybeam.Address, _ linker.Direction, f *framer.Frame) linker.Decision {
			if f.GetDispatch() != nil {
				dispatched <- address
			}
			return linker.Decision{Latency: 5 * time.Millisecond}
		})
		var stopped sync.WaitGroup
		stopped.Go(func() {
			address := <-dispatched
			for i, s := range p.Slots {
				if s.VM.Address != address {
					continue
				}
				if err := p.StopAgent(t.Context(), i); err != nil {
					t.Error(err)
				}
			}
		})
		var a assembler.Answer
		failure := p.Entries[0].Dispatcher.Do(t.Context(), booking("b1", ""), &a)
		stopped.Wait()
		is.True(failure == nil)
		is.Equal(a.Body.String(), assembler.FullAnswer("b1"))
		is.Equal(runs(p, "b1"), 1)
	})
}

// silenceAgent drops all frames from the first agent that is sent a request, from
// that moment on. If others is set, it drops the frames from all agents.
func silenceAgent(p *assembler.Assembler, others bool) {
	var mu sync.Mutex
	var lost carawaybeam.Address
	p.Network.SetInjector(func(address carawaybeam.Address, d linker.Direction, f *framer.Frame) linker.Decision {
		mu.Lock()
		defer mu.Unlock()
		if f.GetDispatch() != nil && lost == "" {
			lost = address
		}
		silent := lost != "" && (others || address == lost)
		return linker.Decision{Drop: silent && d == linker.ToDialer}
	})
}

func lookup(body string) dispatcher.Request {
	request := booking(body, "")
	request.Class.ID, request.Class.Idempotent = "lookups", true
	return request
}

func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newSystem(t, 2)
		silenceAgent(p, false)
		began := time.Now()
		var a assembler.Answer
		is.True(p.Entries[0].Dispatcher.Do(t.Context(), lookup("l1"), &a) == nil)
		is.Equal(a.Body.String(), assembler.FullAnswer("l1"))
		// The completion target of such a class in the examples is 5 s.
		is.True(time.Since(began) <= 5*time.Second)
	})
}

func TestRequestOnSilentAgentsIsNotReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newSystem(t, 2)
		silenceAgent(p, true)
		var a assembler.Answer
		failure := p.Entries[0].Dispatcher.Do(t.Context(), lookup("l1"), &a)
		is.True(failure != nil)
		is.True(runs(p, "l1") > 0)
		is.Equal(failure.Outcome, carawaybeam.OutcomeUnknown)
	})
}

// TestStreamIsContinuedByItsType guards against continuing an answer with one of another content type,
// such as an error with the same status.
func TestStreamIsContinuedByItsType(t *testing.T) {
	for name, contentType := range map[string]string{"same": "text/plain", "other": "application/json"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newSystem(t, 2)
				p.Network.SetInjector(func(_ carawaybeam.Address, _ linker.Direction, f *framer.Frame) linker.Decision {
					if head := f.GetHead(); head != nil && !strings.HasSuffix(head.GetAttempt(), ".1") {
						head.ContentType = contentType
					}
					return linker.Decision{}
				})
				time.AfterFunc(350*time.Millisecond, func() {
					for i, slot := range p.Slots {
						if slot.Backend.Runs("d") > 0 {
							is.NoErr(p.KillAgent(i))
						}
					}
				})
				var a assembler.Answer
				failure := p.Entries[0].Dispatcher.Do(t.Context(), dispatcher.Request{
					ID: carawaybeam.NewRequestID(),
					Class: carawaybeam.Class{
						ID:         assembler.ClassDrafting,
						Kind:       carawaybeam.WorkModel,
						Pool:       assembler.Pool,
						Idempotent: true,
					},
					Organisation: "org", Method: "POST", Path: "/" + string(assembler.ClassDrafting), Body: []byte("d"),
					Deadline: time.Now().Add(time.Minute),
				}, &a)
				whole := assembler.FullAnswer("d")
				is.Equal(failure == nil, name == "same")
				is.Equal(a.Body.String() == whole, name == "same")
				is.True(strings.HasPrefix(whole, a.Body.String()) && a.Body.Len() > 0)
			})
		})
	}
}
