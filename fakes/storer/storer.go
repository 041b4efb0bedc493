// Package storer is a stand-in for the platform: an object store with versions,
// conditional updates and watches, and a lagging list of VMs. It counts the
// calls and fails on order. It serves tests and the demo only.
package storer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// FaultMode is a way in which the stand-in fails.
type FaultMode string

const (
	// FaultNone serves every call.
	FaultNone FaultMode = "none"
	// FaultDown refuses every call, without effect.
	FaultDown FaultMode = "down"
	// FaultSlow delays every call.
	FaultSlow FaultMode = "slow"
	// FaultLostAnswer lets writes take effect and loses their answers.
	FaultLostAnswer FaultMode = "lostAnswer"
	// FaultLateWrite loses the answers of writes, which take effect only after
	// the delay.
	FaultLateWrite FaultMode = "lateWrite"
	// FaultStaleWatch lets watches answer that nothing has changed. Other calls
	// are served.
	FaultStaleWatch FaultMode = "staleWatch"
	// FaultSilentWatch lets watches never answer. Other calls are served.
	FaultSilentWatch FaultMode = "silentWatch"
	// FaultStaleList lets lists answer what there was when the fault was
	// ordered, as a replica of the store that lags does, and sends watches there.
	// Other calls are served.
	FaultStaleList FaultMode = "staleList"
)

// maxHistory is how many changes a watch may lag behind.
const maxHistory = 10000

type (
	// Fault is an order to fail.
	Fault struct {
		Mode FaultMode `json:"mode"`
		// Delay is the delay of FaultSlow, in nanoseconds.
		Delay time.Duration `json:"delay,omitempty"`
		// Calls is how many calls fail, or 0 for all until the next order.
		Calls int `json:"calls,omitempty"`
	}

	// Counts counts the calls served and refused.
	Counts struct {
		Reads   int `json:"reads"`
		Writes  int `json:"writes"`
		Watches int `json:"watches"`
		Failed  int `json:"failed"`
	}

	key struct {
		kind carawaybeam.StoreKind
		name string
	}

	// Storer is the stand-in. Its methods may be used by several goroutines at
	// once.
	Storer struct {
		mu      sync.Mutex
		objects map[key]carawaybeam.Object
		history []carawaybeam.Object
		// forgotten is the version up to which history is incomplete.
		forgotten carawaybeam.StoreVersion
		version   carawaybeam.StoreVersion
		changed   chan struct{}
		fault     Fault
		// stale and staleVersion are what FaultStaleList answers.
		stale        map[key]carawaybeam.Object
		staleVersion carawaybeam.StoreVersion
		counts       Counts

		vms     []carawaybeam.VM
		listLag time.Duration
		pending []pendingList
	}

	pendingList struct {
		from time.Time
		vms  []carawaybeam.VM
	}
)

var (
	_ carawaybeam.Store  = (*Storer)(nil)
	_ carawaybeam.Lister = (*vmList)(nil)
)

// New returns an empty Storer.
func New() *Storer {
	return &Storer{objects: make(map[key]carawaybeam.Object), changed: make(chan struct{})}
}

// SetFault sets how the next calls fail.
func (s *Storer) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	if fault.Mode == FaultStaleList {
		s.stale, s.staleVersion = maps.Clone(s.objects), s.version
	}
}

// Counts returns the calls so far.
func (s *Storer) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// enter applies the fault in force to one call and returns it.
func (s *Storer) enter(ctx context.Context, count *int) (Fault, error) {
	s.mu.Lock()
	fault := s.fault
	*count++
	if fault.Calls > 0 {
		if s.fault.Calls--; s.fault.Calls == 0 {
			s.fault = Fault{}
		}
	}
	if fault.Mode == FaultDown {
		s.counts.Failed++
	}
	s.mu.Unlock()
	switch fault.Mode {
	case FaultDown:
		return fault, &carawaybeam.StoreError{Failure: carawaybeam.StoreUnavailable, Detail: "store is down"}
	case FaultSlow:
		select {
		case <-time.After(fault.Delay):
		case <-ctx.Done():
			return fault, &carawaybeam.StoreError{Failure: carawaybeam.StoreUnavailable, Detail: ctx.Err().Error()}
		}
	}
	return fault, nil
}

// Get returns one object.
func (s *Storer) Get(ctx context.Context, kind carawaybeam.StoreKind, name string) (carawaybeam.Object, error) {
	if _, err := s.enter(ctx, &s.counts.Reads); err != nil {
		return carawaybeam.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key{kind, name}]
	if !ok {
		return object, &carawaybeam.StoreError{Failure: carawaybeam.StoreNotFound, Detail: "no such object"}
	}
	return object, nil
}

// List returns all objects of a kind.
func (s *Storer) List(
	ctx context.Context,
	kind carawaybeam.StoreKind,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	fault, err := s.enter(ctx, &s.counts.Reads)
	if err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, version := s.objects, s.version
	if fault.Mode == FaultStaleList {
		held, version = s.stale, s.staleVersion
	}
	var objects []carawaybeam.Object
	for k, object := range held {
		if k.kind == kind {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b carawaybeam.Object) int { return int(a.Version) - int(b.Version) })
	return objects, version, nil
}

// Put writes an object if the present version is expect.
func (s *Storer) Put(
	ctx context.Context,
	object carawaybeam.Object,
	expect carawaybeam.StoreVersion,
) (carawaybeam.StoreVersion, error) {
	object.Deleted = false
	return s.write(ctx, object, expect)
}

// Delete removes an object if the present version is expect.
func (s *Storer) Delete(
	ctx context.Context,
	kind carawaybeam.StoreKind,
	name string,
	expect carawaybeam.StoreVersion,
) (carawaybeam.StoreVersion, error) {
	return s.write(ctx, carawaybeam.Object{Kind: kind, Name: name, Deleted: true}, expect)
}

func (s *Storer) write(
	ctx context.Context,
	object carawaybeam.Object,
	expect carawaybeam.StoreVersion,
) (carawaybeam.StoreVersion, error) {
	fault, err := s.enter(ctx, &s.counts.Writes)
	if err != nil {
		return 0, err
	}
	if fault.Mode == FaultLateWrite {
		time.AfterFunc(fault.Delay, func() { _, _ = s.writeNow(object, expect, true) })
		return 0, &carawaybeam.StoreError{Failure: carawaybeam.StoreUncertain, Detail: "answer was lost"}
	}
	return s.writeNow(object, expect, fault.Mode == FaultLostAnswer)
}

func (s *Storer) writeNow(
	object carawaybeam.Object,
	expect carawaybeam.StoreVersion,
	lost bool,
) (carawaybeam.StoreVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{object.Kind, object.Name}
	if present := s.objects[k]; present.Version != expect {
		conflict := &carawaybeam.StoreError{
			Failure: carawaybeam.StoreConflict,
			Current: present,
			Detail:  "object has changed",
		}
		if lost {
			conflict.Failure = carawaybeam.StoreUncertain
		}
		return 0, conflict
	}
	s.commit(k, object)
	if lost {
		return 0, &carawaybeam.StoreError{Failure: carawaybeam.StoreUncertain, Detail: "answer was lost"}
	}
	return s.version, nil
}

// commit makes a change. The caller holds mu.
func (s *Storer) commit(k key, object carawaybeam.Object) {
	s.version++
	object.Version = s.version
	if object.Deleted {
		delete(s.objects, k)
	} else {
		s.objects[k] = object
	}
	s.history = append(s.history, object)
	if len(s.history) > maxHistory {
		s.forgotten = s.history[0].Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch waits for changes of the given kinds after version since.
func (s *Storer) Watch(
	ctx context.Context,
	kinds []carawaybeam.StoreKind,
	since carawaybeam.StoreVersion,
	wait time.Duration,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	fault, err := s.enter(ctx, &s.counts.Watches)
	if err != nil {
		return nil, 0, err
	}
	if fault.Mode == FaultStaleList {
		return nil, 0, &carawaybeam.StoreError{Failure: carawaybeam.StoreExpired, Detail: "changes are forgotten"}
	}
	if fault.Mode == FaultStaleWatch || fault.Mode == FaultSilentWatch {
		return s.watchNothing(ctx, since, wait, fault.Mode)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		objects, version, changed, err := s.since(kinds, since)
		if err != nil || len(objects) > 0 {
			return objects, version, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, &carawaybeam.StoreError{Failure: carawaybeam.StoreUnavailable, Detail: ctx.Err().Error()}
		}
	}
}

// watchNothing answers a watch that does not see the changes, or never answers.
func (s *Storer) watchNothing(
	ctx context.Context,
	since carawaybeam.StoreVersion,
	wait time.Duration,
	mode FaultMode,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	var expired <-chan time.Time
	if mode == FaultStaleWatch {
		expired = time.After(wait)
	}
	select {
	case <-expired:
		return nil, since, nil
	case <-ctx.Done():
		return nil, 0, &carawaybeam.StoreError{Failure: carawaybeam.StoreUnavailable, Detail: ctx.Err().Error()}
	}
}

func (s *Storer) since(
	kinds []carawaybeam.StoreKind,
	since carawaybeam.StoreVersion,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since < s.forgotten {
		return nil, 0, nil, &carawaybeam.StoreError{Failure: carawaybeam.StoreExpired, Detail: "changes are forgotten"}
	}
	var objects []carawaybeam.Object
	for _, object := range s.history {
		if object.Version > since && slices.Contains(kinds, object.Kind) {
			objects = append(objects, object)
		}
	}
	return objects, s.version, s.changed, nil
}

// SetVMs changes the list of VMs, which shows it once the lag has passed.
func (s *Storer) SetVMs(vms []carawaybeam.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, pendingList{from: time.Now().Add(s.listLag), vms: slices.Clone(vms)})
}

// SetListLag sets how long later changes of the list of VMs take to show.
func (s *Storer) SetListLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listLag = lag
}

// VMList returns the list of VMs as a carawaybeam.Lister.
func (s *Storer) VMList() carawaybeam.Lister { return &vmList{storer: s} }

type vmList struct {
	storer *Storer
}

// List returns the VMs as the lagging list shows them.
func (l *vmList) List(ctx context.Context) ([]carawaybeam.VM, error) {
	s := l.storer
	if _, err := s.enter(ctx, &s.counts.Reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && !time.Now().Before(s.pending[0].from) {
		s.vms = s.pending[0].vms
		s.pending = s.pending[1:]
	}
	return slices.Clone(s.vms), nil
}
