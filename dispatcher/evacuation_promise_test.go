package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/prover"
)

const (
	// evacuationBound is the time from the acknowledgement of an evacuation on at which it is in
	// force in entries that are in contact with the store.
	evacuationBound = 5 * time.Second

	historyAgents      = 6
	historyDataCentres = 2
	historyEvents      = 25
)

type (
	// span is a time during which something holds. to is zero while it goes on.
	span struct{ from, to time.Time }

	// history is one random history of entries, agents and evacuations.
	history struct {
		system *assembler.Assembler
		ctx    context.Context
		cancel context.CancelFunc
		wait   sync.WaitGroup

		mu     sync.Mutex
		random *rand.Rand
		// live holds the running entries.
		live []*assembler.Entry
		// evacuated holds when evacuations were acknowledged and were about to be lifted.
		evacuated map[carawaybeam.DataCentre][]span
		operated  map[carawaybeam.DataCentre]bool
		// gaps holds when evacuations that are set again within a second were lifted, until that
		// was acknowledged. An entry that starts meanwhile cannot know of the evacuation before.
		gaps    map[carawaybeam.DataCentre][]span
		started map[*assembler.Entry]time.Time
		// storeDisturbed and cut hold when the store was disturbed, and when entries were cut
		// off from it.
		storeDisturbed []span
		cut            map[*assembler.Entry][]span
		// senders holds the entry of each request.
		senders  map[carawaybeam.RequestID]*assembler.Entry
		requests []*sentInHistory
		errs     []error
		// unread is the number of requests that were answered through entries that had not
		// read the evacuations.
		unread int
		// faults holds until when frames of a kind are lost, copied or late.
		frames   map[string]linker.Decision
		faultEnd time.Time
	}

	sentInHistory struct {
		id      carawaybeam.RequestID
		class   carawaybeam.ClassID
		body    string
		failure *carawaybeam.RequestError
	}
)

func newHistory(seed uint64) *history {
	ctx, cancel := context.WithCancel(context.Background())
	h := &history{
		system: assembler.New(assembler.Options{
			Entries: 3, Agents: historyAgents, DataCentres: historyDataCentres, Evacuations: true,
			Concurrency: 16, PartTime: 50 * time.Millisecond, Restart: time.Second,
		}),
		ctx: ctx, cancel: cancel,
		random:    rand.New(rand.NewPCG(seed, 0)),
		evacuated: make(map[carawaybeam.DataCentre][]span),
		operated:  make(map[carawaybeam.DataCentre]bool),
		gaps:      make(map[carawaybeam.DataCentre][]span),
		started:   make(map[*assembler.Entry]time.Time),
		cut:       make(map[*assembler.Entry][]span),
		senders:   make(map[carawaybeam.RequestID]*assembler.Entry),
	}
	h.system.Store.SetEra(1)
	h.live = append(h.live, h.system.Entries...)
	h.system.Network.SetInjector(h.inject)
	for _, slot := range h.system.Slots {
		slot.Backend.Poison("poison")
	}
	return h
}

func (h *history) intN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

func (h *history) within(d time.Duration) time.Duration {
	return time.Duration(h.intN(int(d/time.Millisecond))) * time.Millisecond
}

// inject loses, copies or delays frames while there is a fault.
func (h *history) inject(_ carawaybeam.Address, _ linker.Direction, frame *framer.Frame) linker.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().After(h.faultEnd) || h.random.IntN(2) == 0 {
		return linker.Decision{}
	}
	kind := ""
	switch frame.GetBody().(type) {
	case *framer.Frame_Dispatch:
		kind = "dispatch"
	case *framer.Frame_KeepAlive, *framer.Frame_Hello:
		kind = "control"
	case *framer.Frame_Chunk, *framer.Frame_Tail, *framer.Frame_Refused:
		kind = "answer"
	}
	return h.frames[kind]
}

// sendRequests sends requests through an entry until it stops.
func (h *history) sendRequests(e *assembler.Entry, stopped <-chan struct{}) {
	classes := []carawaybeam.ClassID{assembler.ClassBookings, assembler.ClassLookups, assembler.ClassDrafting}
	for number := 0; ; number++ {
		select {
		case <-time.After(20*time.Millisecond + h.within(80*time.Millisecond)):
		case <-stopped:
			return
		case <-h.ctx.Done():
			return
		}
		class := classes[number%len(classes)]
		s := &sentInHistory{id: carawaybeam.NewRequestID(), class: class, body: fmt.Sprintf("%p-%d", e, number)}
		request := dispatcher.Request{
			ID: s.id, Class: assembler.ClassOf(class), Organisation: "org", Method: "POST",
			Path: "/" + string(class), Deadline: time.Now().Add(15 * time.Second),
		}
		switch h.intN(12) {
		case 0:
			s.body = assembler.LongPrefix + s.body
		case 1:
			if class != assembler.ClassBookings {
				s.body = "poison"
			}
		case 2, 3, 4:
			request.Key = carawaybeam.IdempotencyKey(s.body)
		}
		request.Body = []byte(s.body)
		ticketed := request.Key == "" && s.body != "poison" && h.intN(8) == 0
		h.mu.Lock()
		h.senders[s.id] = e
		h.requests = append(h.requests, s)
		h.mu.Unlock()
		h.wait.Go(func() { h.send(e, s, request, ticketed) })
	}
}

// send sends one request, at times twice with the same key.
func (h *history) send(e *assembler.Entry, s *sentInHistory, request dispatcher.Request, ticketed bool) {
	if ticketed {
		ticket, failure := e.Dispatcher.ObtainTicket(h.ctx, request.Class, request.Organisation)
		if failure != nil {
			s.failure = failure
			return
		}
		request.Ticket = ticket
		time.Sleep(h.within(3 * time.Second))
	}
	answer := &assembler.Answer{Buffered: request.Class.Kind == carawaybeam.WorkService}
	s.failure = e.Dispatcher.Do(h.ctx, request, answer)
	if s.failure == nil && !e.Evacuator.Loaded() {
		h.mu.Lock()
		h.unread++
		h.mu.Unlock()
	}
	if request.Key == "" || h.intN(2) == 0 {
		return
	}
	time.Sleep(h.within(8 * time.Second))
	again := request
	again.ID, again.Deadline = carawaybeam.NewRequestID(), time.Now().Add(15*time.Second)
	h.mu.Lock()
	h.senders[again.ID] = e
	h.mu.Unlock()
	// What the second one reports says nothing of the first.
	_ = e.Dispatcher.Do(h.ctx, again, &assembler.Answer{Buffered: true})
}

// write sets or lifts an evacuation until the store acknowledges it.
func (h *history) write(dataCentre carawaybeam.DataCentre, set bool) {
	for h.ctx.Err() == nil {
		stored, err := h.system.Store.Get(h.ctx, carawaybeam.KindEvacuation, string(dataCentre))
		var failed *carawaybeam.StoreError
		missing := errors.As(err, &failed) && failed.Failure == carawaybeam.StoreNotFound
		switch {
		case err != nil && !missing:
		case !set && missing:
			return
		case set:
			_, err = h.system.Store.Put(h.ctx, carawaybeam.Object{
				Kind: carawaybeam.KindEvacuation, Name: string(dataCentre), Value: []byte(`{}`),
			}, stored.Version)
		default:
			_, err = h.system.Store.Delete(h.ctx, carawaybeam.KindEvacuation, string(dataCentre), stored.Version)
		}
		if err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// evacuate evacuates a data centre for a time. At times the evacuation is lifted and set again
// within a second.
func (h *history) evacuate(dataCentre carawaybeam.DataCentre, duration time.Duration) {
	h.mu.Lock()
	busy := h.operated[dataCentre]
	h.operated[dataCentre] = true
	h.mu.Unlock()
	if busy {
		return
	}
	h.write(dataCentre, true)
	h.mark(dataCentre, true)
	time.Sleep(duration / 2)
	if h.intN(2) == 0 && h.isUndisturbed(3*time.Second) {
		// One that is set again within a second counts as still set.
		lifted := time.Now()
		h.write(dataCentre, false)
		time.Sleep(h.within(800 * time.Millisecond))
		h.write(dataCentre, true)
		h.mu.Lock()
		h.gaps[dataCentre] = append(h.gaps[dataCentre], span{from: lifted, to: time.Now()})
		h.mu.Unlock()
	}
	time.Sleep(duration / 2)
	h.mark(dataCentre, false)
	h.write(dataCentre, false)
	// The store may have come back meanwhile with the evacuation.
	h.mark(dataCentre, false)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operated[dataCentre] = false
}

// isUndisturbed reports whether the store was not disturbed for a time.
func (h *history) isUndisturbed(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !overlaps(h.storeDisturbed, time.Now().Add(-d), time.Now())
}

// mark records that an evacuation is acknowledged or about to be lifted.
func (h *history) mark(dataCentre carawaybeam.DataCentre, set bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	spans := h.evacuated[dataCentre]
	if n := len(spans); n > 0 && spans[n-1].to.IsZero() {
		spans[n-1].to = time.Now()
	}
	if set {
		spans = append(spans, span{from: time.Now()})
	}
	h.evacuated[dataCentre] = spans
}

// restore brings the store back from an older copy. Evacuations then are those of the copy.
func (h *history) restore(copied storer.Snapshot) {
	h.system.Store.Restore(copied)
	h.mu.Lock()
	h.storeDisturbed = append(h.storeDisturbed, span{from: time.Now(), to: time.Now()})
	h.mu.Unlock()
	for number := range historyDataCentres {
		dataCentre := assembler.DataCentre(number)
		_, err := h.system.Store.Get(h.ctx, carawaybeam.KindEvacuation, string(dataCentre))
		h.mark(dataCentre, err == nil)
	}
}

func (h *history) disturbStore(fault storer.Fault, duration time.Duration) {
	h.mu.Lock()
	h.storeDisturbed = append(h.storeDisturbed, span{from: time.Now(), to: time.Now().Add(duration)})
	h.mu.Unlock()
	h.system.Store.SetFault(fault)
	time.Sleep(duration)
	h.system.Store.SetFault(storer.Fault{})
}

func (h *history) cutOff(e *assembler.Entry, duration time.Duration) {
	h.mu.Lock()
	h.cut[e] = append(h.cut[e], span{from: time.Now(), to: time.Now().Add(duration)})
	h.mu.Unlock()
	e.Store.SetCut(true)
	time.Sleep(duration)
	e.Store.SetCut(false)
}

func overlaps(spans []span, from, to time.Time) bool {
	for _, s := range spans {
		if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
			return true
		}
	}
	return false
}

func (h *history) addError(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.errs = append(h.errs, err)
	}
}

// happen makes one thing happen. stops holds the channels that end the senders of entries.
func (h *history) happen(stops map[*assembler.Entry]chan struct{}) {
	position, duration := h.intN(len(h.live)), h.within(8*time.Second)
	entry, slot := h.live[position], h.intN(historyAgents)
	address := h.system.Slots[slot].VM.Address
	switch h.intN(12) {
	case 0, 1, 2:
		dataCentre := assembler.DataCentre(h.intN(historyDataCentres))
		h.wait.Go(func() { h.evacuate(dataCentre, 7*time.Second+duration) })
	case 3:
		close(stops[entry])
		delete(stops, entry)
		if h.intN(2) == 0 {
			h.addError(entry.Kill())
		} else {
			h.wait.Go(func() { h.addError(entry.Close()) })
		}
		started := h.startEntry(duration)
		h.live[position] = started
		h.started[started] = time.Now()
		h.begin(started, stops)
	case 4:
		h.wait.Go(func() { h.cutOff(entry, duration) })
	case 5:
		modes := []storer.FaultMode{storer.FaultDown, storer.FaultSilentWatch, storer.FaultSlow}
		fault := storer.Fault{Mode: modes[h.intN(len(modes))], Delay: duration / 4}
		h.wait.Go(func() { h.disturbStore(fault, duration) })
	case 6:
		copied := h.system.Store.Snapshot()
		time.Sleep(duration / 2)
		h.restore(copied)
	case 7:
		h.system.Network.Cut(address)
	case 8:
		h.system.Network.Silence(address)
	case 9:
		if h.system.Slots[slot].Agent != nil {
			h.addError(h.system.KillAgent(slot))
			time.Sleep(h.within(time.Second))
			h.system.StartAgent(slot)
		}
	case 10, 11:
		decisions := []linker.Decision{{Drop: true}, {Copies: 1}, {Delay: h.within(2 * time.Second)}, {Cut: true}}
		kinds := []string{"dispatch", "control", "answer"}
		h.mu.Lock()
		h.frames = map[string]linker.Decision{
			kinds[h.random.IntN(len(kinds))]: decisions[h.random.IntN(len(decisions))],
		}
		h.faultEnd = time.Now().Add(duration / 4)
		h.mu.Unlock()
	}
}

// startEntry starts an entry. At times it is cut off from the store at first.
func (h *history) startEntry(duration time.Duration) *assembler.Entry {
	if h.intN(3) > 0 {
		return h.system.StartEntry()
	}
	started := h.system.StartEntryCutOff()
	h.wait.Go(func() { h.cutOff(started, duration) })
	return started
}

// begin begins to send requests through an entry.
func (h *history) begin(e *assembler.Entry, stops map[*assembler.Entry]chan struct{}) {
	stopped := make(chan struct{})
	stops[e] = stopped
	h.wait.Go(func() { h.sendRequests(e, stopped) })
}

// run runs the history to its end.
func (h *history) run() error {
	stops := make(map[*assembler.Entry]chan struct{})
	for _, e := range h.live {
		h.begin(e, stops)
	}
	for range historyEvents {
		time.Sleep(h.within(3 * time.Second))
		h.happen(stops)
	}
	time.Sleep(10 * time.Second)
	h.cancel()
	h.system.Store.SetFault(storer.Fault{})
	h.wait.Wait()
	h.system.Network.SetInjector(nil)
	h.addError(h.system.Close())
	return errors.Join(h.errs...)
}

// startedInGap reports whether an entry started while an evacuation was lifted that was set again after
// the given time.
func (h *history) startedInGap(e *assembler.Entry, dataCentre carawaybeam.DataCentre, since time.Time) bool {
	for _, gap := range h.gaps[dataCentre] {
		if overlaps([]span{gap}, h.started[e], h.started[e]) && gap.to.After(since) {
			return true
		}
	}
	return false
}

// violations returns the numbers of starts in evacuated data centres or by entries that had not read the
// evacuations, of requests that ran although
// they were told not to have run, and of all starts.
func (h *history) violations() (evacuated, falseNotRuns, starts int) {
	started := make(map[carawaybeam.RequestID]int)
	for i, slot := range h.system.Slots {
		dataCentre := assembler.DataCentre(i % historyDataCentres)
		slot.Backend.EachStart(func(at time.Time, attempt carawaybeam.AttemptID) {
			starts++
			name, _, _ := strings.Cut(string(attempt), ".")
			request := carawaybeam.RequestID(name)
			started[request]++
			sender := h.senders[request]
			since := at.Add(-evacuationBound)
			if overlaps(h.storeDisturbed, since, at) || overlaps(h.cut[sender], since, at) {
				return
			}
			if h.startedInGap(sender, dataCentre, since) {
				return
			}
			for _, s := range h.evacuated[dataCentre] {
				if at.Sub(s.from) > evacuationBound && (s.to.IsZero() || at.Before(s.to)) {
					evacuated++
				}
			}
		})
	}
	for _, s := range h.requests {
		if s.failure != nil && s.failure.Outcome == carawaybeam.OutcomeNotRun && started[s.id] > 0 {
			falseNotRuns++
		}
	}
	return evacuated + h.unread, falseNotRuns, starts
}

// TestPromiseEvacuationOnLinkedPath checks over random histories that no backend server in an evacuated
// data centre starts a request of an entry in contact with the store: first attempts, retries, resumed
// streams, suspects that wait at the agent, and requests with keys or tickets of agents there. Nor may
// any request run that was told not to have run. Entries are started, stopped, killed and cut off from
// the store; agents are killed, and links cut, silent, lossy and late by up to 2 s; the store is down,
// silent, slow and comes back from an older copy; and evacuations are set again within a second.
func TestPromiseEvacuationOnLinkedPath(t *testing.T) {
	trials, evacuationRuns, notRuns := 0, 0, 0
	for seed := range prover.Seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(uint64(seed))
				if err := h.run(); err != nil {
					t.Error(err)
				}
				evacuated, falseNotRuns, starts := h.violations()
				trials++
				evacuationRuns += evacuated
				notRuns += falseNotRuns
				if evacuated > 0 || falseNotRuns > 0 {
					t.Errorf("%d starts in evacuated data centres, %d of requests told not to have run",
						evacuated, falseNotRuns)
				}
				if starts < 100 {
					t.Errorf("only %d starts", starts)
				}
			})
		})
	}
	prover.Report(t, prover.Evacuation, trials, evacuationRuns)
	prover.Report(t, prover.NotRun, trials, notRuns)
}
