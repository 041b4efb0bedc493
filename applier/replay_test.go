package applier_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/applier"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	// kindConfigFaults is the kind of the traces of this proof.
	kindConfigFaults tracer.Kind = "configFaults"

	// forceBound is the time within which an accepted change must be in force
	// everywhere.
	forceBound = 6 * time.Second

	sampleInterval = 100 * time.Millisecond

	// recoveryTime is how long a replay continues without faults after its
	// trace.
	recoveryTime = 12 * time.Second
)

type (
	// action is the kind of an event.
	action string

	// configEvent is one event of a trace of changes and faults.
	configEvent struct {
		At     tracer.Duration `json:"at"`
		Action action          `json:"action"`
		// Entry is the index of the entry that handles a change or has a fault.
		Entry int `json:"entry,omitempty"`
		// Class is the class that is changed.
		Class string `json:"class,omitempty"`
		// Fault is the fault injected into the store.
		Fault storer.FaultMode `json:"fault,omitempty"`
		Calls int              `json:"calls,omitempty"`
		Delay tracer.Duration  `json:"delay,omitempty"`
	}

	// outcome is one change and the result returned to its operator.
	outcome struct {
		change applier.Change
		result applier.Result
		// answered is when the result was returned.
		answered time.Time
		// value is the target that the change sets. No other change sets it.
		value time.Duration
		// settled is the status after Settle, for an uncertain change.
		settled applier.Status
	}

	// replay runs a trace and checks the configuration that the entries hold.
	replay struct {
		fleet *fleet
		wait  sync.WaitGroup

		mu       sync.Mutex
		outcomes []*outcome
		// held is the last version of each class that each incarnation of an
		// entry was seen to hold.
		held map[string]carawaybeam.StoreVersion
		// seen contains the targets that were in force in any entry.
		seen map[time.Duration]bool
		// slowest is the longest time after which an entry still lacked an
		// accepted change.
		slowest time.Duration
		// violations describes each violation of the promise.
		violations []string
		// answered, refused and failed count the requests by their outcome.
		answered int
		refused  map[carawaybeam.Reason]int
		failed   map[carawaybeam.Reason]int
	}
)

const (
	actChange     action = "change"
	actDelete     action = "delete"
	actStoreFault action = "storeFault"
	actCutStore   action = "cutStore"
	actJoinStore  action = "joinStore"
	actCutPeers   action = "cutPeers"
	actJoinPeers  action = "joinPeers"
	actKill       action = "killEntry"
	actStart      action = "startEntry"
	actSilence    action = "silence"
	actSilenceAll action = "silenceAll"
)

// When returns the time of the event since the start of the trace.
func (e configEvent) When() time.Duration { return time.Duration(e.At) }

func classDocument(value time.Duration) []byte {
	document, err := json.Marshal(configurer.ClassDocument{
		Kind: carawaybeam.WorkService, Pool: assembler.Pool,
		Targets: configurer.TargetsDocument{Completed: value.String(), Completion: "99.9%"},
	})
	if err != nil {
		panic(err)
	}
	return document
}

// run replays the events with a new fleet.
func run(t *testing.T, events []configEvent) *replay {
	t.Helper()
	r := &replay{
		fleet:   newFleet(6, 4),
		held:    make(map[string]carawaybeam.StoreVersion),
		seen:    make(map[time.Duration]bool),
		refused: make(map[carawaybeam.Reason]int),
		failed:  make(map[carawaybeam.Reason]int),
	}
	for _, class := range []string{"a", "b"} {
		r.change(r.fleet.running()[0], configEvent{Action: actChange, Class: class})
	}
	org := []byte(`{"tokenHash":"` + configurer.HashToken("t") + `"}`)
	r.fleet.running()[0].applier.Apply(t.Context(), applier.Change{
		ID: configurer.NewChangeID(), Kind: carawaybeam.KindOrganisation, Name: "org", Document: org,
	})
	time.Sleep(forceBound)
	ctx, cancel := context.WithCancel(t.Context())
	var sampler sync.WaitGroup
	sampler.Go(func() { r.sample(ctx) })
	sampler.Go(func() { r.request(ctx) })
	start := time.Now()
	for _, event := range events {
		time.Sleep(time.Until(start.Add(event.When())))
		r.apply(t, event)
	}
	r.endFaults(t)
	cancel()
	sampler.Wait()
	r.wait.Wait()
	r.finish(t.Context())
	if err := r.fleet.close(); err != nil {
		t.Error(err)
	}
	return r
}

// endFaults ends all faults and waits for the fleet to recover.
func (r *replay) endFaults(t *testing.T) {
	t.Helper()
	r.fleet.store.SetFault(storer.Fault{})
	for i := range r.fleet.entries {
		r.apply(t, configEvent{Action: actStart, Entry: i})
		r.apply(t, configEvent{Action: actJoinStore, Entry: i})
		r.fleet.cutPeers(i, false)
	}
	time.Sleep(recoveryTime)
}

// apply performs the action of an event.
func (r *replay) apply(t *testing.T, event configEvent) {
	t.Helper()
	n := r.fleet.entries[event.Entry].Load()
	switch event.Action {
	case actChange, actDelete:
		if n != nil {
			r.wait.Go(func() { r.change(n, event) })
		}
	case actStoreFault:
		r.fleet.store.SetFault(storer.Fault{Mode: event.Fault, Calls: event.Calls, Delay: time.Duration(event.Delay)})
	case actCutStore, actJoinStore:
		if n != nil {
			n.store.cut.Store(event.Action == actCutStore)
		}
	case actCutPeers, actJoinPeers:
		r.fleet.cutPeers(event.Entry, event.Action == actCutPeers)
	case actKill:
		if err := r.fleet.stopEntry(event.Entry); err != nil {
			t.Error(err)
		}
	case actStart:
		if n == nil {
			r.fleet.startEntry(event.Entry)
		}
	case actSilence:
		r.fleet.silence.Store(
			&silence{address: r.fleet.vms[event.Entry].Address, until: time.Now().Add(time.Duration(event.Delay))},
		)
	case actSilenceAll:
		r.fleet.silence.Store(&silence{until: time.Now().Add(time.Duration(event.Delay))})
	default:
		t.Fatalf("unknown action %q", event.Action)
	}
}

// change requests a change to a target that no other change sets.
func (r *replay) change(n *entryNode, event configEvent) {
	r.mu.Lock()
	o := &outcome{value: time.Second + time.Duration(len(r.outcomes))*time.Millisecond}
	o.change = applier.Change{
		ID: configurer.NewChangeID(), Kind: carawaybeam.KindClass, Name: event.Class,
		By: fmt.Sprintf("operator-%d", event.Entry),
	}
	if event.Action == actChange {
		o.change.Document = classDocument(o.value)
	}
	r.outcomes = append(r.outcomes, o)
	r.mu.Unlock()
	result := n.applier.Apply(n.ctx, o.change)
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.ctx.Err() != nil {
		// The entry was killed, so its operator received no answer.
		result.Status = applier.StatusUncertain
	}
	o.result = result
	o.answered = time.Now()
}

// sample checks the configuration of each entry at regular intervals.
func (r *replay) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, n := range r.fleet.running() {
			if n.configurer.Ready() {
				r.check(n)
			}
		}
		<-ticker.C
	}
}

// check checks that the versions held by an entry never decrease, and that every
// accepted change is in force within forceBound.
func (r *replay) check(n *entryNode) {
	held := n.configurer
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, class := range held.Classes() {
		r.seen[class.Targets.Completed] = true
	}
	for _, o := range r.outcomes {
		object, _ := held.Object(o.change.Kind, o.change.Name)
		incarnation := fmt.Sprintf("%s %p %s", n.vm.ID, held, o.change.Name)
		if object.Version < r.held[incarnation] {
			r.violate("%s went back from %d to %d", incarnation, r.held[incarnation], object.Version)
		}
		r.held[incarnation] = object.Version
		if o.result.Status != applier.StatusAccepted {
			continue
		}
		age := time.Since(o.answered)
		if object.Version < o.result.Version {
			r.slowest = max(r.slowest, age)
			if age > forceBound {
				r.violate("%s lacks version %d of %s after %v", n.vm.ID, o.result.Version, o.change.Name, age)
			}
		}
	}
}

func (r *replay) violate(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// request sends a request to every entry every two seconds.
func (r *replay) request(ctx context.Context) {
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, n := range r.fleet.running() {
			if n.configurer.Ready() {
				r.wait.Go(func() { r.send(n) })
			}
		}
		<-ticker.C
	}
}

func (r *replay) send(n *entryNode) {
	decidedOn := n.configurer.Version()
	class, ok := n.configurer.Class("a")
	if !ok {
		return
	}
	var answer assembler.Answer
	failure := n.dispatcher.Do(n.ctx, dispatcher.Request{
		ID: carawaybeam.NewRequestID(), Class: class, Organisation: "org", Method: "POST", Path: "/",
		Body: []byte("body"), Deadline: time.Now().Add(5 * time.Second), ConfigVersion: decidedOn,
	}, &answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case failure == nil:
		r.answered++
	case n.ctx.Err() != nil:
		// The entry was killed.
	case failure.Outcome == carawaybeam.OutcomeNotRun:
		r.refused[failure.Reason]++
	default:
		r.failed[failure.Reason]++
	}
}

// finish compares the results returned to operators with the final content of the
// store and the entries.
func (r *replay) finish(ctx context.Context) {
	n := r.fleet.running()[0]
	for _, o := range r.outcomes {
		if o.result.Status == applier.StatusUncertain {
			expect := o.result.Expect
			o.change.Expect = &expect
			o.settled = n.applier.Settle(ctx, o.change).Status
		}
	}
	time.Sleep(forceBound)
	written := r.written(ctx)
	for _, o := range r.outcomes {
		tookEffect := written[o.change.ID] > 0
		if written[o.change.ID] > 1 {
			r.violate("change %s of %s took effect %d times", o.change.ID, o.change.Name, written[o.change.ID])
		}
		accepted := o.result.Status == applier.StatusAccepted || o.settled == applier.StatusAccepted
		if accepted && !tookEffect {
			r.violate("accepted change %s of %s is lost", o.change.ID, o.change.Name)
		}
		uncertain := o.result.Status == applier.StatusUncertain && o.settled == applier.StatusUncertain
		if !accepted && !uncertain && (tookEffect || r.seen[o.value]) {
			r.violate("change told as %s and settled as %q was in effect", o.result.Status, o.settled)
		}
		if o.settled == applier.StatusUncertain {
			r.violate("change %s could not be settled", o.change.ID)
		}
	}
	for _, n := range r.fleet.running() {
		for _, name := range []string{"a", "b"} {
			want, _ := r.fleet.store.Get(ctx, carawaybeam.KindClass, name)
			if got, _ := n.configurer.Object(carawaybeam.KindClass, name); got.Version != want.Version {
				r.violate("%s holds version %d of %s in the end, store %d", n.vm.ID, got.Version, name, want.Version)
			}
		}
	}
}

// written counts how often each change was written to the store.
func (r *replay) written(ctx context.Context) map[configurer.ChangeID]int {
	objects, _, err := r.fleet.store.Watch(ctx, configurer.Kinds, 0, 0)
	if err != nil {
		r.violate("store gives no history: %v", err)
	}
	counts := make(map[configurer.ChangeID]int)
	for _, object := range objects {
		counts[configurer.Record(object).ID]++
	}
	return counts
}

// figures returns the figures that the outcome files set bounds for.
func (r *replay) figures() map[string]float64 {
	figures := map[string]float64{
		"violations": float64(len(r.violations)),
		"slowestMs":  float64(r.slowest.Milliseconds()),
		"requestsOk": float64(r.answered),
	}
	for reason, n := range r.refused {
		figures["requestsRefused."+string(reason)] = float64(n)
	}
	for reason, n := range r.failed {
		figures["requestsFailed."+string(reason)] = float64(n)
	}
	for _, status := range []applier.Status{
		applier.StatusAccepted, applier.StatusConflict, applier.StatusUncertain, applier.StatusUnavailable,
	} {
		figures[string(status)] = 0
	}
	for _, o := range r.outcomes {
		figures[string(o.result.Status)]++
	}
	return figures
}

// randomTrace returns a trace of concurrent operators, while the store fails and
// entries are cut off, killed and restarted.
func randomTrace(seed uint64) []configEvent {
	draw := rand.New(rand.NewPCG(seed, 0))
	var events []configEvent
	at := time.Duration(0)
	add := func(e configEvent) {
		e.At = tracer.Duration(at)
		events = append(events, e)
	}
	for range 24 {
		at += time.Duration(draw.IntN(2500)) * time.Millisecond
		entry := draw.IntN(6)
		switch draw.IntN(11) {
		case 0, 1, 2:
			class := string(rune('a' + draw.IntN(2)))
			add(configEvent{Action: actChange, Entry: entry, Class: class})
			add(configEvent{Action: actChange, Entry: draw.IntN(6), Class: class})
		case 3:
			add(configEvent{Action: actDelete, Entry: entry, Class: "b"})
		case 4:
			modes := []storer.FaultMode{
				storer.FaultDown, storer.FaultLostAnswer, storer.FaultLateWrite, storer.FaultStaleWatch,
				storer.FaultSilentWatch, storer.FaultSlow, storer.FaultStaleList,
			}
			mode := modes[draw.IntN(len(modes))]
			add(configEvent{
				Action: actStoreFault,
				Fault:  mode,
				Calls:  draw.IntN(2) * draw.IntN(30),
				Delay:  tracer.Duration(draw.IntN(5000)) * 1e6,
			})
			if draw.IntN(2) == 0 {
				add(configEvent{Action: actChange, Entry: entry, Class: "a"})
			}
		case 5:
			add(configEvent{Action: actStoreFault, Fault: storer.FaultNone})
		case 6:
			add(configEvent{Action: actCutStore, Entry: entry})
			if draw.IntN(3) == 0 {
				add(configEvent{Action: actCutPeers, Entry: entry})
			}
		case 7:
			add(configEvent{Action: actKill, Entry: entry})
			at += time.Duration(draw.IntN(1000)) * time.Millisecond
			add(configEvent{Action: actStart, Entry: entry})
		case 9:
			add(configEvent{Action: actSilence, Entry: entry, Delay: tracer.Duration(draw.IntN(8000)) * 1e6})
		case 10:
			// The entry dies and the store goes down at about the time when a
			// change is reported as accepted.
			add(configEvent{Action: actChange, Entry: entry, Class: "a"})
			at += time.Duration(draw.IntN(30)) * time.Millisecond
			add(configEvent{Action: actStoreFault, Fault: storer.FaultDown})
			add(configEvent{Action: actKill, Entry: entry})
			at += time.Duration(draw.IntN(9000)) * time.Millisecond
			add(configEvent{Action: actStart, Entry: entry})
		case 8:
			add(configEvent{Action: actJoinStore, Entry: entry})
			add(configEvent{Action: actJoinPeers, Entry: entry})
		}
	}
	return events
}
