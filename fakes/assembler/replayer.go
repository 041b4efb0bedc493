package assembler

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
)

const (
	// requestTimeout is the time from sending a replayed request to its
	// deadline.
	requestTimeout = 30 * time.Second

	// settlePeriod is how long Replay waits for late frames after the last
	// answer.
	settlePeriod = time.Minute
)

type (
	// SentRequest is one request sent by a replay, with its result.
	SentRequest struct {
		Event   Event
		Request carawaybeam.RequestID
		Answer  Answer
		Failure *carawaybeam.RequestError
		// EntryKilled is set if the entry was killed before the request ended
		// or was sent.
		EntryKilled bool
		// Start and End are when the entry was given the request and when it
		// returned.
		Start, End time.Time
	}

	// replay is the state of one call of Replay.
	replay struct {
		assembler *Assembler
		injector  *injector
		wait      sync.WaitGroup

		mu       sync.Mutex
		requests []*SentRequest
		tickets  map[string]dispatcher.Ticket
		killed   map[int]bool
		errs     []error
	}
)

// Replay runs the events of a trace and returns the requests sent, and the
// errors that occurred when agents and entries were stopped. The seed
// determines which frames a fault affects. It must run in a testing/synctest
// bubble.
func Replay(a *Assembler, seed uint64, events []Event) ([]*SentRequest, []error) {
	r := &replay{
		assembler: a,
		injector:  newInjector(seed),
		tickets:   make(map[string]dispatcher.Ticket),
		killed:    make(map[int]bool),
	}
	a.Network.SetInjector(r.injector.decide)
	start := time.Now()
	for _, event := range events {
		time.Sleep(time.Until(start.Add(event.When())))
		r.do(event)
	}
	r.wait.Wait()
	time.Sleep(settlePeriod)
	return r.requests, r.errs
}

func (r *replay) do(event Event) {
	switch event.Do {
	case ActionRequest:
		r.request(event)
	case ActionKillEntry, ActionDrainEntry:
		r.doEntry(event)
	case ActionStoreFault:
		r.storeFault(event)
	case ActionLoseFrames, ActionDelayFrames, ActionCopyFrames, ActionCrossFrames, ActionCutStreams:
		r.injector.add(fault{event: event, until: time.Now().Add(time.Duration(event.For))})
	default:
		r.doSlot(event)
	}
}

func (r *replay) doSlot(event Event) {
	a := r.assembler
	slot := a.Slots[event.Slot]
	switch event.Do {
	case ActionCutLinks:
		a.Network.Cut(slot.VM.Address)
	case ActionSilenceLinks:
		a.Network.Silence(slot.VM.Address)
	case ActionPauseAgent:
		until := time.Now().Add(time.Duration(event.For))
		r.injector.add(fault{event: event, until: until, address: slot.VM.Address})
	case ActionKillAgent:
		r.addError(a.KillAgent(event.Slot))
	case ActionStartAgent:
		if slot.running() == nil {
			a.StartAgent(event.Slot)
		}
	case ActionRemoveVM:
		r.addError(a.KillAgent(event.Slot))
		slot.VM.State = carawaybeam.VMLeaving
		a.RemoveVM(event.Slot)
	case ActionDrainAgent:
		r.wait.Go(func() { r.addError(a.StopAgent(context.Background(), event.Slot)) })
	case ActionCrashBackend:
		slot.Backend.Crash()
	case ActionRecoverBackend:
		slot.Backend.Recover()
	case ActionPoison:
		for _, s := range a.Slots {
			s.Backend.Poison(event.Body)
		}
	}
}

func (r *replay) addError(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

func (r *replay) storeFault(event Event) {
	store := r.assembler.Store
	store.SetFault(storer.Fault{Mode: event.Mode, Delay: time.Duration(event.Delay), Calls: event.Calls})
	if event.For == 0 {
		return
	}
	r.wait.Go(func() {
		time.Sleep(time.Duration(event.For))
		store.SetFault(storer.Fault{})
	})
}

func (r *replay) doEntry(event Event) {
	entry := r.assembler.Entries[event.Entry]
	r.mu.Lock()
	wasKilled := r.killed[event.Entry]
	r.killed[event.Entry] = r.killed[event.Entry] || event.Do == ActionKillEntry
	r.mu.Unlock()
	if wasKilled {
		return
	}
	if event.Do == ActionKillEntry {
		r.addError(entry.Tracker.Close())
		return
	}
	r.wait.Go(func() {
		// Requests sent at the same instant must reach the dispatcher before it
		// closes, as they do when a server shuts down.
		time.Sleep(time.Millisecond)
		r.addError(entry.Dispatcher.Close())
		r.addError(entry.Tracker.Close())
	})
}

// request sends a request in its own goroutine.
func (r *replay) request(event Event) {
	s := &SentRequest{Event: event, Request: carawaybeam.NewRequestID()}
	s.Answer.Buffered = ClassOf(event.Class).Kind == carawaybeam.WorkService
	r.mu.Lock()
	r.requests = append(r.requests, s)
	killed := r.killed[event.Entry]
	r.mu.Unlock()
	if killed {
		s.EntryKilled = true
		return
	}
	r.wait.Go(func() { r.send(s) })
}

func (r *replay) send(s *SentRequest) {
	entry := r.assembler.Entries[s.Event.Entry]
	request := dispatcher.Request{
		ID:           s.Request,
		Class:        ClassOf(s.Event.Class),
		Organisation: "org",
		Key:          carawaybeam.IdempotencyKey(s.Event.Key),
		Method:       "POST",
		Path:         "/" + string(s.Event.Class),
		Body:         []byte(s.Event.Body),
		Deadline:     time.Now().Add(requestTimeout),
	}
	if s.Event.Ticket != "" {
		ticket, failure := r.ticket(entry, request, s.Event.Ticket)
		if failure != nil {
			s.Failure = failure
			return
		}
		request.Ticket = ticket
	}
	s.Start = time.Now()
	failure := entry.Dispatcher.Do(context.Background(), request, &s.Answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Failure = failure
	s.End = time.Now()
	s.EntryKilled = r.killed[s.Event.Entry]
}

// ticket returns the ticket stored under the name. If there is none, it
// requests one from the entry and stores it.
func (r *replay) ticket(
	entry *Entry,
	request dispatcher.Request,
	name string,
) (dispatcher.Ticket, *carawaybeam.RequestError) {
	r.mu.Lock()
	ticket, ok := r.tickets[name]
	r.mu.Unlock()
	if ok {
		return ticket, nil
	}
	ticket, failure := entry.Dispatcher.ObtainTicket(context.Background(), request.Class, request.Organisation)
	if failure != nil {
		return ticket, failure
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.tickets[name]; ok {
		return known, nil
	}
	r.tickets[name] = ticket
	return ticket, nil
}

// ClassOf returns the class with the ID.
func ClassOf(id carawaybeam.ClassID) carawaybeam.Class {
	class := carawaybeam.Class{ID: id, Kind: carawaybeam.WorkService, Pool: Pool, Idempotent: id != ClassBookings}
	if id == ClassDrafting {
		class.Kind = carawaybeam.WorkModel
	}
	return class
}

// Complete reports whether the whole answer arrived.
func (s *SentRequest) Complete() bool {
	return !s.EntryKilled && s.Failure == nil && s.Answer.Body.String() == FullAnswer(s.Event.Body)
}

// WrongAnswer reports whether the request received bytes that are not part of
// its own answer, or ended without an error although its answer is incomplete.
func (s *SentRequest) WrongAnswer() bool {
	if s.EntryKilled {
		return false
	}
	body := s.Answer.Body.String()
	if s.Failure == nil {
		return body != FullAnswer(s.Event.Body)
	}
	return !strings.HasPrefix(FullAnswer(s.Event.Body), body)
}
