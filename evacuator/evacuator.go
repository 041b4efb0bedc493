// Package evacuator maintains the set of data centres that operators have evacuated, from
// objects in the platform's store.
//
// The last known set holds while the store is unavailable. Only an answer of the store ends an
// evacuation.
package evacuator

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// liftTime is how long an evacuation remains in force after its removal was read. One that is
	// set again within this time has not ended, so that a removal by mistake sends no requests.
	liftTime = time.Second

	// endedTime is how long the end of an evacuation is remembered. It is much longer than
	// backend servers are treated as cold after it.
	endedTime = time.Minute

	// maxNameBytes is the maximum length of the name of a data centre.
	maxNameBytes = 253

	// maxKept is the maximum number of evacuations that are kept by name, and also of those in the
	// overflow that are lifted. There are some ten data centres, and a misbehaving writer could fill the
	// memory with other names.
	maxKept = 1024

	// maxLogged is the maximum number of names whose oddity was logged.
	maxLogged = 256
)

type (
	// Options configures an Evacuator.
	Options struct {
		Log zerolog.Logger
	}

	// Evacuator holds the evacuated data centres. A follower of the store keeps it up to date
	// through Replace and Apply. Its methods are safe for concurrent use.
	Evacuator struct {
		options Options
		// view is replaced as a whole, because each request reads it.
		view atomic.Pointer[view]
		// version is the store version up to which view has all changes, or 0.
		version atomic.Uint64

		mu sync.Mutex
		// logged holds the names that were logged as unknown, and allEvacuated the pools whose
		// data centres were all evacuated when Review was last called.
		logged       map[carawaybeam.DataCentre]struct{}
		allEvacuated map[carawaybeam.PoolID]struct{}
	}

	// view is an immutable state. It is nil before the first read.
	view struct {
		kept map[carawaybeam.DataCentre]evacuation
		// overflow has the evacuations beyond maxKept, or is nil. An evacuation in kept takes
		// precedence, since nothing can be removed from a filter.
		overflow *filter
		// former has what overflow had before all evacuations were read again, or is nil. Those that
		// the store does not have any more have ended at formerEnd.
		former    *filter
		formerEnd time.Time
	}

	evacuation struct {
		// set is set while the object is in the store.
		set bool
		// since is when the evacuation was read.
		since time.Time
		// end is when the evacuation ends or has ended. It is zero while set.
		end time.Time
		// overflowed is set if the overflow has the data centre, too.
		overflowed bool
	}

	// State is the state dump of an Evacuator.
	State struct {
		// Loaded is set once the evacuations have been read.
		Loaded bool `json:"loaded"`
		// Version is the store version up to which they have been read, or 0 if it is not needed.
		Version carawaybeam.StoreVersion `json:"version,omitempty"`
		// DataCentres lists the evacuated data centres.
		DataCentres []carawaybeam.DataCentre `json:"dataCentres"`
		// Overflow is set while there are more evacuations than are kept by name. Those beyond
		// are obeyed and not listed, and a few other data centres may be taken for evacuated.
		Overflow bool `json:"overflow,omitempty"`
		// Ended holds when the last evacuation of a data centre ended, for a minute.
		Ended map[carawaybeam.DataCentre]time.Time `json:"ended,omitempty"`
	}
)

// New returns an Evacuator that has not read any evacuations.
func New(options Options) *Evacuator {
	return &Evacuator{
		options:      options,
		logged:       make(map[carawaybeam.DataCentre]struct{}),
		allEvacuated: make(map[carawaybeam.PoolID]struct{}),
	}
}

// Loaded reports whether the evacuations have been read.
func (e *Evacuator) Loaded() bool { return e.view.Load() != nil }

// Complete records the store version up to which the evacuations have been read.
func (e *Evacuator) Complete(version carawaybeam.StoreVersion) { e.version.Store(uint64(version)) }

// Version returns the store version up to which the evacuations have been read. What the other
// methods report afterwards is of this version or a later one.
func (e *Evacuator) Version() carawaybeam.StoreVersion {
	return carawaybeam.StoreVersion(e.version.Load())
}

// Active reports whether a data centre may be evacuated. Unless it does, Evacuated is false for
// all.
func (e *Evacuator) Active() bool {
	current := e.view.Load()
	return current != nil &&
		(len(current.kept) > 0 || current.overflow != nil || current.former != nil)
}

// Evacuated reports whether nothing may be sent to the backend servers of a data centre.
func (e *Evacuator) Evacuated(dataCentre carawaybeam.DataCentre) bool {
	current := e.view.Load()
	if current == nil {
		return false
	}
	found, ok := current.find(dataCentre)
	return ok && found.inForce(time.Now())
}

// find returns the evacuation of a data centre, or false.
func (v *view) find(dataCentre carawaybeam.DataCentre) (evacuation, bool) {
	found, ok := v.kept[dataCentre]
	switch {
	case ok:
		return found, true
	case v.overflow.has(dataCentre):
		return evacuation{set: true}, true
	case v.former.has(dataCentre):
		return evacuation{end: v.formerEnd}, true
	}
	return evacuation{}, false
}

// startOver empties the overflow before all evacuations are read again.
func (v *view) startOver(now time.Time) {
	for dataCentre, s := range v.kept {
		s.overflowed = false
		v.kept[dataCentre] = s
	}
	if v.overflow != nil {
		v.former, v.formerEnd = v.overflow.union(v.former), now.Add(liftTime)
		v.overflow = nil
	}
}

// forget forgets evacuations that ended long ago.
func (v *view) forget(now time.Time) {
	maps.DeleteFunc(v.kept, func(_ carawaybeam.DataCentre, s evacuation) bool {
		return !s.set && !s.overflowed && now.Sub(s.end) > endedTime
	})
	if now.Sub(v.formerEnd) > endedTime {
		v.former = nil
	}
}

func (s evacuation) inForce(now time.Time) bool { return s.set || now.Before(s.end) }

// EndedAt returns when the last evacuation of a data centre ended. It returns false while one is
// in force, and if none ended in the last minute.
func (e *Evacuator) EndedAt(dataCentre carawaybeam.DataCentre) (time.Time, bool) {
	current := e.view.Load()
	if current == nil {
		return time.Time{}, false
	}
	found, ok := current.find(dataCentre)
	if !ok || found.inForce(time.Now()) {
		return time.Time{}, false
	}
	if time.Since(found.end) > endedTime {
		return time.Time{}, false
	}
	return found.end, true
}

// Replace replaces all evacuations by those of the objects.
func (e *Evacuator) Replace(objects []carawaybeam.Object) {
	present := make(map[carawaybeam.DataCentre]struct{}, len(objects))
	for _, o := range objects {
		present[carawaybeam.DataCentre(o.Name)] = struct{}{}
	}
	e.update(func(next *view, now time.Time) {
		for dataCentre := range next.kept {
			if _, ok := present[dataCentre]; !ok {
				e.lift(next, dataCentre, now)
			}
		}
		next.startOver(now)
		for dataCentre := range present {
			e.set(next, dataCentre, now)
		}
	})
}

// Apply sets and lifts evacuations whose objects have changed. The value of an object does not
// matter.
func (e *Evacuator) Apply(changes []carawaybeam.Object) {
	e.update(func(next *view, now time.Time) {
		for _, o := range changes {
			if o.Deleted {
				e.lift(next, carawaybeam.DataCentre(o.Name), now)
			} else {
				e.set(next, carawaybeam.DataCentre(o.Name), now)
			}
		}
	})
}

// update changes a copy of the state, and forgets evacuations that ended long ago.
func (e *Evacuator) update(change func(next *view, now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	next := &view{kept: make(map[carawaybeam.DataCentre]evacuation)}
	if current := e.view.Load(); current != nil {
		maps.Copy(next.kept, current.kept)
		next.overflow = current.overflow.clone()
		next.former, next.formerEnd = current.former, current.formerEnd
	}
	before := next.overflow != nil
	change(next, now)
	next.forget(now)
	e.view.Store(next)
	if after := next.overflow != nil; after && !before {
		e.options.Log.Error().Int("kept", maxKept).Msg("evacuator: more evacuations than are kept by name, " +
			"those beyond are obeyed, and a few other data centres may be taken for evacuated")
	}
}

func (e *Evacuator) set(next *view, dataCentre carawaybeam.DataCentre, now time.Time) {
	if len(dataCentre) > maxNameBytes {
		e.logUnknown(dataCentre)
		return
	}
	before, known := next.kept[dataCentre]
	switch {
	case known && before.set:
		return
	case known && before.inForce(now):
		next.kept[dataCentre] = evacuation{set: true, since: before.since, overflowed: before.overflowed}
		e.options.Log.Info().Str("dataCentre", string(dataCentre)).
			Msg("evacuator: evacuation was set again within a second and goes on")
		return
	case !known && next.overflow.has(dataCentre):
		return
	case !known && len(next.kept) >= maxKept:
		next.overflow = next.overflow.add(dataCentre)
		return
	}
	next.kept[dataCentre] = evacuation{set: true, since: now, overflowed: before.overflowed}
	e.options.Log.Warn().Str("dataCentre", string(dataCentre)).Msg("evacuator: data centre is evacuated")
}

func (e *Evacuator) lift(next *view, dataCentre carawaybeam.DataCentre, now time.Time) {
	before, known := next.kept[dataCentre]
	if !known && next.overflow.has(dataCentre) && len(next.kept) < 2*maxKept {
		before, known = evacuation{set: true, since: now, overflowed: true}, true
	}
	if !known || !before.set {
		return
	}
	next.kept[dataCentre] = evacuation{since: before.since, end: now.Add(liftTime), overflowed: before.overflowed}
	e.options.Log.Warn().Str("dataCentre", string(dataCentre)).Dur("lasted", now.Sub(before.since)).
		Msg("evacuator: evacuation is lifted and ends in a second")
}

// logUnknown logs the name of an unknown data centre once. The caller holds mu.
func (e *Evacuator) logUnknown(dataCentre carawaybeam.DataCentre) {
	shown := dataCentre[:min(len(dataCentre), maxNameBytes)]
	if _, ok := e.logged[shown]; ok || len(e.logged) >= maxLogged {
		return
	}
	e.logged[shown] = struct{}{}
	e.options.Log.Warn().Str("dataCentre", string(shown)).
		Msg("evacuator: evacuated data centre is unknown, so that the evacuation has no effect")
}

// Review logs evacuations of data centres that none of the backend servers is in, and pools whose
// backend servers are all in evacuated data centres. It is called from time to time.
func (e *Evacuator) Review(instances []carawaybeam.Instance) {
	if !e.Active() || len(instances) == 0 {
		return
	}
	known := make(map[carawaybeam.DataCentre]struct{})
	pools := make(map[carawaybeam.PoolID]bool)
	for _, instance := range instances {
		known[instance.DataCentre] = struct{}{}
		before, seen := pools[instance.Pool]
		pools[instance.Pool] = (before || !seen) && e.Evacuated(instance.DataCentre)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, dataCentre := range e.State().DataCentres {
		if _, ok := known[dataCentre]; !ok {
			e.logUnknown(dataCentre)
		}
	}
	maps.DeleteFunc(e.allEvacuated, func(pool carawaybeam.PoolID, _ struct{}) bool {
		_, ok := pools[pool]
		return !ok
	})
	for pool, all := range pools {
		switch _, before := e.allEvacuated[pool]; {
		case all && !before:
			e.allEvacuated[pool] = struct{}{}
			e.options.Log.Warn().Str("pool", string(pool)).
				Msg("evacuator: all data centres of the pool are evacuated, its requests are rejected")
		case !all && before:
			delete(e.allEvacuated, pool)
			e.options.Log.Info().Str("pool", string(pool)).Msg("evacuator: pool is served again")
		}
	}
}

// State returns the state dump.
func (e *Evacuator) State() State {
	state := State{DataCentres: []carawaybeam.DataCentre{}, Ended: make(map[carawaybeam.DataCentre]time.Time)}
	current := e.view.Load()
	if current == nil {
		return state
	}
	state.Loaded, state.Version = true, e.Version()
	now := time.Now()
	state.Overflow = current.overflow != nil
	for dataCentre, s := range current.kept {
		switch {
		case s.inForce(now):
			state.DataCentres = append(state.DataCentres, dataCentre)
		case now.Sub(s.end) <= endedTime:
			state.Ended[dataCentre] = s.end
		}
	}
	slices.Sort(state.DataCentres)
	return state
}
