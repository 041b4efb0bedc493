// Package storer is a stand-in for the platform: an object store with versions,
// conditional writes and watches, and a list of VMs whose changes become
// visible after a lag. It counts the requests and can be made to fail. It is
// for tests and the demo only.
package storer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// FaultMode is the way in which the store fails.
type FaultMode string

const (
	// FaultNone serves all requests.
	FaultNone FaultMode = "none"
	// FaultDown refuses all requests, without effect.
	FaultDown FaultMode = "down"
	// FaultSlow delays all requests.
	FaultSlow FaultMode = "slow"
	// FaultLostAnswer applies writes but loses their answers.
	FaultLostAnswer FaultMode = "lostAnswer"
	// FaultLateWrite loses the answers of writes and applies them only after
	// Fault.Delay.
	FaultLateWrite FaultMode = "lateWrite"
	// FaultStaleWatch makes watches report that nothing has changed. Other
	// requests are served.
	FaultStaleWatch FaultMode = "staleWatch"
	// FaultSilentWatch makes watches never answer. Other requests are served.
	FaultSilentWatch FaultMode = "silentWatch"
	// FaultStaleList makes lists return the objects of the moment at which the
	// fault was set, as a replica that lags does. Watches fail as expired, so
	// that their callers list again. Other requests are served.
	FaultStaleList FaultMode = "staleList"
	// FaultLateAnswer serves all requests but delays their answers, so that they
	// may be of an earlier era than those of later requests.
	FaultLateAnswer FaultMode = "lateAnswer"
)

// maxHistory is the number of changes kept for watches.
const maxHistory = 10000

type (
	// Fault describes how requests fail.
	Fault struct {
		Mode FaultMode `json:"mode"`
		// Delay is the delay of FaultSlow, FaultLateWrite and FaultLateAnswer, in
		// nanoseconds in JSON.
		Delay time.Duration `json:"delay,omitempty"`
		// Calls is the number of requests that fail, or 0 if they fail until
		// another fault is set.
		Calls int `json:"calls,omitempty"`
	}

	// Counts counts requests. Failed counts those that FaultDown refused.
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

	// Snapshot is a copy of the objects.
	Snapshot struct {
		objects map[key]carawaybeam.Object
		version carawaybeam.StoreVersion
	}

	// Storer is the stand-in platform. Its methods are safe for concurrent use. The
	// versions that it holds have no era, and those that it returns have the present
	// one.
	Storer struct {
		mu      sync.Mutex
		era     carawaybeam.StoreEra
		objects map[key]carawaybeam.Object
		history []carawaybeam.Object
		// trimmedThrough is the version after which history begins. Watches
		// from an older version fail as expired.
		trimmedThrough carawaybeam.StoreVersion
		version        carawaybeam.StoreVersion
		changed        chan struct{}
		fault          Fault
		// stale is the snapshot that lists return in FaultStaleList.
		stale  Snapshot
		counts Counts

		vms     []carawaybeam.VM
		listLag time.Duration
		pending []pendingList
	}

	pendingList struct {
		visibleAt time.Time
		vms       []carawaybeam.VM
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

// SetFault sets how further requests fail.
func (s *Storer) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	if fault.Mode == FaultStaleList {
		s.stale = s.snapshot()
	}
}

// SetEra sets the era of the store.
func (s *Storer) SetEra(era carawaybeam.StoreEra) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Snapshot returns a copy of the objects.
func (s *Storer) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot()
}

func (s *Storer) snapshot() Snapshot {
	return Snapshot{objects: maps.Clone(s.objects), version: s.version}
}

// Restore brings the store back from a copy and begins the next era. Changes since the
// copy are lost, and their versions are given out again.
func (s *Storer) Restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.objects, s.version = maps.Clone(from.objects), from.version
	s.history = slices.DeleteFunc(slices.Clone(s.history), func(o carawaybeam.Object) bool {
		return o.Version > from.version
	})
	s.trimmedThrough = min(s.trimmedThrough, from.version)
	close(s.changed)
	s.changed = make(chan struct{})
}

// stamp adds the present era to a version. The caller holds mu.
func (s *Storer) stamp(version carawaybeam.StoreVersion) carawaybeam.StoreVersion {
	return carawaybeam.NewStoreVersion(s.era, version.Revision())
}

// stampAll adds the present era to the versions of objects. The caller holds mu.
func (s *Storer) stampAll(objects []carawaybeam.Object) []carawaybeam.Object {
	for i := range objects {
		objects[i].Version = s.stamp(objects[i].Version)
	}
	return objects
}

// failure returns an error of the present era. The caller holds mu.
func (s *Storer) failure(failure carawaybeam.StoreFailure, detail string) *carawaybeam.StoreError {
	return &carawaybeam.StoreError{Failure: failure, Era: s.era, Detail: detail}
}

// delayAnswer delays an answer in FaultLateAnswer.
func delayAnswer(ctx context.Context, fault Fault) {
	if fault.Mode != FaultLateAnswer {
		return
	}
	timer := time.NewTimer(fault.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Counts returns the counts since the start.
func (s *Storer) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// applyFault increments the request's counter and applies the current fault, as
// far as it concerns all kinds of requests. It returns the fault.
func (s *Storer) applyFault(ctx context.Context, count *int) (Fault, error) {
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
	era := s.era
	s.mu.Unlock()
	switch fault.Mode {
	case FaultDown:
		return fault, &carawaybeam.StoreError{
			Failure: carawaybeam.StoreUnavailable, Era: era, Detail: "store is down",
		}
	case FaultSlow:
		select {
		case <-time.After(fault.Delay):
		case <-ctx.Done():
			return fault, &carawaybeam.StoreError{Failure: carawaybeam.StoreUnavailable, Detail: ctx.Err().Error()}
		}
	}
	return fault, nil
}

// Get returns one object. The error is a *carawaybeam.StoreError, as for all
// requests.
func (s *Storer) Get(ctx context.Context, kind carawaybeam.StoreKind, name string) (carawaybeam.Object, error) {
	fault, err := s.applyFault(ctx, &s.counts.Reads)
	if err != nil {
		return carawaybeam.Object{}, err
	}
	defer delayAnswer(ctx, fault)
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key{kind, name}]
	if !ok {
		return object, s.failure(carawaybeam.StoreNotFound, "no such object")
	}
	object.Version = s.stamp(object.Version)
	return object, nil
}

// List returns all objects of a kind in the order of their versions, and the
// version of the store.
func (s *Storer) List(
	ctx context.Context,
	kind carawaybeam.StoreKind,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	fault, err := s.applyFault(ctx, &s.counts.Reads)
	if err != nil {
		return nil, 0, err
	}
	defer delayAnswer(ctx, fault)
	s.mu.Lock()
	defer s.mu.Unlock()
	source := Snapshot{objects: s.objects, version: s.version}
	if fault.Mode == FaultStaleList {
		source = s.stale
	}
	var objects []carawaybeam.Object
	for k, object := range source.objects {
		if k.kind == kind {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b carawaybeam.Object) int { return int(a.Version) - int(b.Version) })
	return s.stampAll(objects), s.stamp(source.version), nil
}

// Put writes an object if its current version is expect, where 0 means that it
// does not exist.
func (s *Storer) Put(
	ctx context.Context,
	object carawaybeam.Object,
	expect carawaybeam.StoreVersion,
) (carawaybeam.StoreVersion, error) {
	object.Deleted = false
	return s.write(ctx, object, expect)
}

// Delete removes an object if its current version is expect.
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
	fault, err := s.applyFault(ctx, &s.counts.Writes)
	if err != nil {
		return 0, err
	}
	if fault.Mode == FaultLateWrite {
		time.AfterFunc(fault.Delay, func() { _, _ = s.writeNow(object, expect, true) })
		return 0, &carawaybeam.StoreError{Failure: carawaybeam.StoreUncertain, Detail: "answer was lost"}
	}
	defer delayAnswer(ctx, fault)
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
	current := s.objects[k]
	if current.Version != carawaybeam.StoreVersion(expect.Revision()) {
		conflict := s.failure(carawaybeam.StoreConflict, "object has changed")
		conflict.Current = current
		if current.Version != 0 {
			conflict.Current.Version = s.stamp(current.Version)
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
	return s.stamp(s.version), nil
}

// commit applies a change and wakes the watches. The caller holds mu.
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
		s.trimmedThrough = s.history[0].Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch returns the changes of the given kinds after version since. If there
// are none, it waits for one for up to wait. It fails as expired if changes
// after since are no longer kept.
func (s *Storer) Watch(
	ctx context.Context,
	kinds []carawaybeam.StoreKind,
	since carawaybeam.StoreVersion,
	wait time.Duration,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	fault, err := s.applyFault(ctx, &s.counts.Watches)
	if err != nil {
		return nil, 0, err
	}
	if fault.Mode == FaultStaleList {
		return nil, 0, &carawaybeam.StoreError{Failure: carawaybeam.StoreExpired, Detail: "changes are forgotten"}
	}
	if fault.Mode == FaultStaleWatch || fault.Mode == FaultSilentWatch {
		return s.watchUnchanged(ctx, since, wait, fault.Mode)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		objects, version, changed, err := s.since(kinds, since)
		if err != nil || len(objects) > 0 {
			delayAnswer(ctx, fault)
			return objects, version, err
		}
		select {
		case <-changed:
		case <-timer.C:
			delayAnswer(ctx, fault)
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, &carawaybeam.StoreError{Failure: carawaybeam.StoreUnavailable, Detail: ctx.Err().Error()}
		}
	}
}

// watchUnchanged serves a watch in FaultStaleWatch and FaultSilentWatch: it
// reports no changes after wait, or does not answer until ctx ends.
func (s *Storer) watchUnchanged(
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
		s.mu.Lock()
		defer s.mu.Unlock()
		return nil, s.stamp(since), nil
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
	from := carawaybeam.StoreVersion(since.Revision())
	if from < s.trimmedThrough || from > s.version {
		return nil, 0, nil, s.failure(carawaybeam.StoreExpired, "changes are forgotten or not known")
	}
	var objects []carawaybeam.Object
	for _, object := range s.history {
		if object.Version > from && slices.Contains(kinds, object.Kind) {
			objects = append(objects, object)
		}
	}
	return s.stampAll(objects), s.stamp(s.version), s.changed, nil
}

// SetVMs replaces the list of VMs. The change becomes visible after the list's
// lag.
func (s *Storer) SetVMs(vms []carawaybeam.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, pendingList{visibleAt: time.Now().Add(s.listLag), vms: slices.Clone(vms)})
}

// SetListLag sets how long later changes of the list of VMs take to become
// visible.
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

// List returns the VMs without the changes that are not yet visible.
func (l *vmList) List(ctx context.Context) ([]carawaybeam.VM, error) {
	s := l.storer
	if _, err := s.applyFault(ctx, &s.counts.Reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && !time.Now().Before(s.pending[0].visibleAt) {
		s.vms = s.pending[0].vms
		s.pending = s.pending[1:]
	}
	return slices.Clone(s.vms), nil
}
