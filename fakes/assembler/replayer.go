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
	// requestTimeout is the deadline of a replayed request.
	requestTimeout = 30 * time.Second

	// aftermath is how long late frames get to arrive after the last answer.
	aftermath = time.Minute
)

type (
	// SentRequest is one request as it was sent, with its end.
	SentRequest struct {
		Event   Event
		Request carawaybeam.RequestID
		Answer  Answer
		Failure *carawaybeam.RequestError
		// EntryKilled is set when the entry died under the request.
		EntryKilled bool
		// Start and End tell when the sending was under way.
		Start, End time.Time
	}

	// replay is one replay under way.
	replay struct {
		assembler *Assembler
		injector  *injector
		wait      sync.WaitGroup

		mu       sync.Mutex
		sendings []*SentRequest
		tickets  map[string]dispatcher.Ticket
		dead     map[int]bool
		errs     []error
	}
)

// Replay plays the events of a trace on the real parts and returns what became
// of each request. It must run in a testing/synctest bubble.
func Replay(a *Assembler, seed uint64, events []Event) ([]*SentRequest, []error) {
	r := &replay{
		assembler: a,
		injector:  newInjector(seed),
		tickets:   make(map[string]dispatcher.Ticket),
		dead:      make(map[int]bool),
	}
	a.Network.SetInjector(r.injector.verdict)
	start := time.Now()
	for _, event := range events {
		time.Sleep(time.Until(start.Add(event.When())))
		r.do(event)
	}
	r.wait.Wait()
	time.Sleep(aftermath)
	return r.sendings, r.errs
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
		r.note(a.KillAgent(event.Slot))
	case ActionStartAgent:
		if slot.running() == nil {
			a.StartAgent(event.Slot)
		}
	case ActionRemoveVM:
		r.note(a.KillAgent(event.Slot))
		slot.VM.State = carawaybeam.VMLeaving
		a.RemoveVM(event.Slot)
	case ActionDrainAgent:
		r.wait.Go(func() { r.note(a.StopAgent(context.Background(), event.Slot)) })
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

func (r *replay) note(err error) {
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
	already := r.dead[event.Entry]
	r.dead[event.Entry] = r.dead[event.Entry] || event.Do == ActionKillEntry
	r.mu.Unlock()
	if already {
		return
	}
	if event.Do == ActionKillEntry {
		r.note(entry.Tracker.Close())
		return
	}
	r.wait.Go(func() {
		// The requests of this moment have reached the dispatcher before it
		// closes, as a server that stops sees to.
		time.Sleep(time.Millisecond)
		r.note(entry.Dispatcher.Close())
		r.note(entry.Tracker.Close())
	})
}

// request sends one request as a caller does.
func (r *replay) request(event Event) {
	s := &SentRequest{Event: event, Request: carawaybeam.NewRequestID()}
	s.Answer.Buffered = ClassOf(event.Class).Kind == carawaybeam.WorkService
	r.mu.Lock()
	r.sendings = append(r.sendings, s)
	dead := r.dead[event.Entry]
	r.mu.Unlock()
	if dead {
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
	s.EntryKilled = r.dead[s.Event.Entry]
}

// ticket returns the ticket of a name, and gets it if there is none yet.
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
	ticket, failure := entry.Dispatcher.Mint(context.Background(), request.Class, request.Organisation)
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

// ClassOf returns the class of a name.
func ClassOf(id carawaybeam.ClassID) carawaybeam.Class {
	class := carawaybeam.Class{ID: id, Kind: carawaybeam.WorkService, Pool: Pool, Idempotent: id != ClassBookings}
	if id == ClassDrafting {
		class.Kind = carawaybeam.WorkModel
	}
	return class
}

// Complete tells whether the whole answer arrived.
func (s *SentRequest) Complete() bool {
	return !s.EntryKilled && s.Failure == nil && s.Answer.Body.String() == FullAnswer(s.Event.Body)
}

// WrongAnswer tells whether something that is no part of the own answer arrived, or an
// answer that is not whole looks so.
func (s *SentRequest) WrongAnswer() bool {
	if s.EntryKilled {
		return false
	}
	got := s.Answer.Body.String()
	if s.Failure == nil {
		return got != FullAnswer(s.Event.Body)
	}
	return !strings.HasPrefix(FullAnswer(s.Event.Body), got)
}
