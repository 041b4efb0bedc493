package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/prover"
)

// newDivided returns a system whose entries follow evacuations, with two agents in each of two data centres.
func newDivided(t *testing.T, entries int) *assembler.Assembler {
	t.Helper()
	a := assembler.New(assembler.Options{
		Entries:     entries,
		Agents:      4,
		DataCentres: 2,
		Evacuations: true,
		Concurrency: 8,
		PartTime:    100 * time.Millisecond,
	})
	t.Cleanup(func() {
		a.Store.SetFault(storer.Fault{})
		if err := a.Close(); err != nil {
			t.Error(err)
		}
	})
	return a
}

func setEvacuated(t *testing.T, a *assembler.Assembler, dataCentre int, set bool) {
	t.Helper()
	name := string(assembler.DataCentre(dataCentre))
	var err error
	if set {
		object := carawaybeam.Object{Kind: carawaybeam.KindEvacuation, Name: name, Value: []byte(`{}`)}
		_, err = a.Store.Put(t.Context(), object, 0)
	} else {
		var stored carawaybeam.Object
		if stored, err = a.Store.Get(t.Context(), carawaybeam.KindEvacuation, name); err == nil {
			_, err = a.Store.Delete(t.Context(), carawaybeam.KindEvacuation, name, stored.Version)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
}

// startsIn returns the number of requests that the backend servers in a data centre have started.
func startsIn(a *assembler.Assembler, dataCentre int) int {
	n := 0
	for i, slot := range a.Slots {
		if i%2 == dataCentre {
			n += slot.Backend.Calls()
		}
	}
	return n
}

func do(t *testing.T, e *assembler.Entry, request dispatcher.Request) (string, *carawaybeam.RequestError) {
	t.Helper()
	var answer assembler.Answer
	failure := e.Dispatcher.Do(t.Context(), request, &answer)
	return answer.Body.String(), failure
}

// TestEvacuatedDataCentre guards against new work for an evacuated data centre, against requests that fail
// although other data centres have backend servers, and against the loss of running requests. If all data
// centres are evacuated, requests are refused at once.
func TestEvacuatedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newDivided(t, 1)
		e := a.Entries[0]
		running := make(chan *carawaybeam.RequestError, 4)
		for range cap(running) {
			go func() {
				request := drafting(assembler.LongPrefix + "x")
				running <- e.Dispatcher.Do(t.Context(), request, &assembler.Answer{})
			}()
			time.Sleep(time.Millisecond)
		}
		is.Equal(startsIn(a, 0), 2)
		setEvacuated(t, a, 0, true)
		time.Sleep(time.Second)
		for range 20 {
			body, failure := do(t, e, booking("b", ""))
			is.True(failure == nil)
			is.Equal(body, assembler.FullAnswer("b"))
		}
		is.Equal(startsIn(a, 0), 2)
		is.True(a.Slots[0].Executor.State().Evacuated && !a.Slots[1].Executor.State().Evacuated)
		for range cap(running) {
			is.True(<-running == nil)
		}
		setEvacuated(t, a, 1, true)
		time.Sleep(time.Second)
		began := time.Now()
		_, failure := do(t, e, booking("none", ""))
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		is.Equal(failure.Reason, carawaybeam.ReasonNoBackend)
		is.True(failure.RetryAfter >= 500*time.Millisecond && failure.RetryAfter < 1500*time.Millisecond)
		is.True(time.Since(began) < 2*time.Second)
		setEvacuated(t, a, 0, false)
		time.Sleep(3 * time.Second)
		_, failure = do(t, e, booking("again", ""))
		is.True(failure == nil)
		is.Equal(startsIn(a, 0), 3)
	})
}

// TestUnreadEvacuations guards against requests sent by an entry that has started while the store was away.
func TestUnreadEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newDivided(t, 0)
		a.Store.SetFault(storer.Fault{Mode: storer.FaultDown})
		e := a.StartEntry()
		time.Sleep(5 * time.Second)
		_, failure := do(t, e, booking("b", ""))
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		is.Equal(failure.RetryAfter, 100*time.Millisecond)
		_, failure = e.Dispatcher.ObtainTicket(t.Context(), booking("b", "").Class, "org")
		is.Equal(failure.RetryAfter, 100*time.Millisecond)
		a.Store.SetFault(storer.Fault{})
		time.Sleep(3 * time.Second)
		_, failure = do(t, e, booking("b", ""))
		is.True(failure == nil)
	})
}

// TestEvacuatedKey guards against a second run of a request whose key or ticket belongs to an agent in an
// evacuated data centre, against the loss of its answer, and against keys that no other agent may run
// although the one that holds them has not.
func TestEvacuatedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newDivided(t, 1)
		e := a.Entries[0]
		keys := []string{"k0", "k1", "k2", "k3"}
		for _, key := range keys {
			_, failure := do(t, e, booking(key, key))
			is.True(failure == nil)
		}
		ticket, failure := e.Dispatcher.ObtainTicket(t.Context(), booking("", "").Class, "org")
		is.True(failure == nil)
		// Backend servers refuse connections, so that keys are bound but their requests have not run.
		bound := []string{"b0", "b1", "b2", "b3", "b4", "b5"}
		for _, slot := range a.Slots {
			slot.Backend.Crash()
		}
		for _, key := range bound {
			_, failure = do(t, e, booking(key, key))
			is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		}
		for _, slot := range a.Slots {
			slot.Backend.Recover()
		}
		evacuated := 0
		if ticket.Backend == "desk-1" || ticket.Backend == "desk-3" {
			evacuated = 1
		}
		held := startsIn(a, evacuated)
		setEvacuated(t, a, evacuated, true)
		time.Sleep(time.Second)
		for _, key := range keys {
			body, failure := do(t, e, booking(key, key))
			is.True(failure == nil)
			is.Equal(body, assembler.FullAnswer(key))
			is.Equal(a.Runs(key), 1)
		}
		for _, key := range bound {
			_, failure = do(t, e, booking(key, key))
			is.True(failure == nil)
			is.Equal(a.Runs(key), 1)
		}
		ticketed := booking("ticketed", "")
		ticketed.Ticket = ticket
		_, failure = do(t, e, ticketed)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		is.Equal(startsIn(a, evacuated), held)
	})
}

// TestAgentObeysEvacuation guards against work that an agent starts for an entry that is cut off from the
// store, and against an agent that believes such an entry although others have read a newer state.
func TestAgentObeysEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newDivided(t, 2)
		cut := a.Entries[0]
		cut.Store.SetCut(true)
		setEvacuated(t, a, 0, true)
		time.Sleep(2 * time.Second)
		is.True(!cut.Evacuator.Evacuated(assembler.DataCentre(0)))
		for range 20 {
			_, failure := do(t, cut, booking("b", ""))
			is.True(failure == nil)
		}
		is.Equal(startsIn(a, 0), 0)
		// The evacuation is lifted while the other entry is cut off, which repeats what it knows.
		cut.Store.SetCut(false)
		time.Sleep(3 * time.Second)
		a.Entries[1].Store.SetCut(true)
		setEvacuated(t, a, 0, false)
		time.Sleep(10 * time.Second)
		for range 20 {
			is.True(!a.Slots[0].Executor.State().Evacuated && !a.Slots[2].Executor.State().Evacuated)
			time.Sleep(100 * time.Millisecond)
		}
		// Requests that run at the same time are spread evenly.
		answered := make(chan *carawaybeam.RequestError, 4)
		for range cap(answered) {
			go func() { answered <- cut.Dispatcher.Do(t.Context(), booking("c", ""), &assembler.Answer{}) }()
			time.Sleep(time.Millisecond)
		}
		for range cap(answered) {
			is.True(<-answered == nil)
		}
		is.Equal(startsIn(a, 0), 2)
	})
}

// changingEvacuations are evacuations that begin and end at random right after the choice of a backend
// server. They are the router that makes the choice, too.
type changingEvacuations struct {
	random    *rand.Rand
	evacuated map[carawaybeam.DataCentre]bool
}

func (*changingEvacuations) Loaded() bool { return true }

func (e *changingEvacuations) Evacuated(dataCentre carawaybeam.DataCentre) bool {
	return e.evacuated[dataCentre]
}

// Route chooses any candidate.
func (e *changingEvacuations) Route(
	_ time.Time,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	_ *rand.Rand,
) (carawaybeam.RouteDecision, bool) {
	if e.random.IntN(3) == 0 {
		dataCentre := assembler.DataCentre(e.random.IntN(2))
		e.evacuated[dataCentre] = !e.evacuated[dataCentre]
	}
	if len(candidates) == 0 {
		return carawaybeam.RouteDecision{}, false
	}
	chosen := candidates[e.random.IntN(len(candidates))]
	return carawaybeam.RouteDecision{Backend: chosen.Backend, Pool: request.Pool}, true
}

func (*changingEvacuations) Observe(time.Time, carawaybeam.RouteDecision, carawaybeam.RouteOutcome) {}

// TestPromiseEvacuationBeforeDispatch checks that no request starts in a data centre whose evacuation was
// read after the choice of a backend server there, with and without keys.
func TestPromiseEvacuationBeforeDispatch(t *testing.T) {
	trials, violations := 0, 0
	for seed := range prover.Seeds() {
		synctest.Test(t, func(t *testing.T) {
			a := assembler.New(assembler.Options{
				Entries: 1, Agents: 4, DataCentres: 2, Concurrency: 8, PartTime: time.Millisecond,
			})
			evacuations := &changingEvacuations{
				random: rand.New(rand.NewPCG(uint64(seed), 0)), evacuated: make(map[carawaybeam.DataCentre]bool),
			}
			d := newDispatcherWith(a, evacuations, evacuations)
			for i := range 60 {
				request := drafting(fmt.Sprint(i))
				if i%2 == 0 {
					request = booking(fmt.Sprint(i), fmt.Sprint("key", i%6))
				}
				before := []int{startsIn(a, 0), startsIn(a, 1)}
				_ = d.Do(t.Context(), request, &assembler.Answer{})
				for number, n := range before {
					if started := startsIn(a, number) - n; evacuations.evacuated[assembler.DataCentre(number)] {
						violations += started
					}
				}
			}
			if err := a.Close(); err != nil {
				t.Error(err)
			}
			trials++
		})
	}
	prover.Report(t, prover.Evacuation, trials, violations)
}
