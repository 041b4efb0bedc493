// Package discoverer maintains the set of backend servers that may receive
// requests, from their announcements in the platform's store.
//
// An incarnation of a backend server that has announced that it is leaving
// never becomes available again. Announcements that lapse during a store outage
// reappear soon after it, so their backend servers stay in use for that time.
package discoverer

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// reannounceTime is how long after a store outage a lapsed announcement may
	// take to reappear: about 2 s according to the platform.
	reannounceTime = 2 * time.Second

	// lapseTime is longer than the announcement of a dead backend server stays in
	// the store.
	lapseTime = 5 * time.Second

	// maxEnded is the maximum number of ended incarnations that are remembered, and
	// of those whose announcements were removed. The oldest are forgotten first.
	maxEnded = 4096

	// maxInvalid is the maximum number of invalid announcements whose errors are
	// remembered, so that each is logged once.
	maxInvalid = 256
)

type (
	// Options configures a Discoverer.
	Options struct {
		// Decode decodes an announcement.
		Decode func(carawaybeam.Object) (carawaybeam.Instance, error)
		// SinceOutage returns how long the store has been reachable since its
		// last failure, and false if it has never failed.
		SinceOutage func() (time.Duration, bool)
		// Announced receives each valid announcement, if it is not nil.
		Announced func(carawaybeam.Instance)
		Log       zerolog.Logger
	}

	// Discoverer maintains the set of backend servers. It is safe for concurrent
	// use.
	Discoverer struct {
		options Options

		mu      sync.Mutex
		members map[carawaybeam.BackendID]*member
		// ended holds the incarnations that are leaving or were replaced.
		ended *simplelru.LRU[carawaybeam.BackendIncarnation, struct{}]
		// removed holds the incarnations whose announcements were removed. They
		// may be announced again.
		removed *simplelru.LRU[carawaybeam.BackendIncarnation, struct{}]
		// invalid holds the errors of invalid announcements by their names.
		invalid *simplelru.LRU[carawaybeam.BackendID, string]
		loaded  bool
		// era is the newest era of the store in which announcements were read.
		era   carawaybeam.StoreEra
		pools map[carawaybeam.PoolID][]carawaybeam.Instance
		// nextUpdate is the earliest time at which a member is dropped or becomes
		// usable, or zero if there is none.
		nextUpdate time.Time
	}

	member struct {
		instance carawaybeam.Instance
		// dropAt is when a member whose announcement lapsed is removed. It is
		// zero for announced members.
		dropAt time.Time
		// usableAt is when a member is used whose announcement was removed and is
		// back from an older copy of the store. It is zero for other members.
		usableAt time.Time
		// seenAt is when the incarnation was first announced at its address.
		seenAt  time.Time
		version carawaybeam.StoreVersion
	}
)

// New returns a Discoverer without backend servers.
func New(options Options) *Discoverer {
	// The only error is about a size below 1.
	invalid, _ := simplelru.NewLRU[carawaybeam.BackendID, string](maxInvalid, nil)
	return &Discoverer{
		options: options,
		invalid: invalid,
		members: make(map[carawaybeam.BackendID]*member),
		ended:   newIncarnations(),
		removed: newIncarnations(),
		pools:   make(map[carawaybeam.PoolID][]carawaybeam.Instance),
	}
}

func newIncarnations() *simplelru.LRU[carawaybeam.BackendIncarnation, struct{}] {
	// The only error is about a size below 1.
	incarnations, _ := simplelru.NewLRU[carawaybeam.BackendIncarnation, struct{}](maxEnded, nil)
	return incarnations
}

// Loaded reports whether the announcements have been read.
func (d *Discoverer) Loaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// Instances returns the backend servers of a pool that may receive requests,
// ordered by ID. The caller must not modify the slice.
func (d *Discoverer) Instances(pool carawaybeam.PoolID) []carawaybeam.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.nextUpdate.IsZero() && !time.Now().Before(d.nextUpdate) {
		d.rebuild()
	}
	return d.pools[pool]
}

// Known returns all backend servers that are announced, also those that receive no more
// requests.
func (d *Discoverer) Known() []carawaybeam.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := make([]carawaybeam.Instance, 0, len(d.members))
	for _, m := range d.members {
		known = append(known, m.instance)
	}
	return known
}

// Pools returns the number of backend servers that may receive requests, by
// pool.
func (d *Discoverer) Pools() map[carawaybeam.PoolID]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[carawaybeam.PoolID]int, len(d.pools))
	for pool, instances := range d.pools {
		counts[pool] = len(instances)
	}
	return counts
}

// PoolAt returns the pool of the backend server at an address, or false if none
// is known there.
func (d *Discoverer) PoolAt(address carawaybeam.Address) (carawaybeam.PoolID, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.members {
		if m.instance.Address == address {
			return m.instance.Pool, true
		}
	}
	return "", false
}

// ReportMisdirected records that another backend server answers at the address of an
// incarnation, which has therefore ended whatever its announcement says.
func (d *Discoverer) ReportMisdirected(incarnation carawaybeam.BackendIncarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[incarnation.ID]
	if !ok || m.instance.BackendIncarnation != incarnation || m.instance.Leaving {
		return
	}
	d.options.Log.Info().Str("backend", string(incarnation.ID)).Int64("started", incarnation.Started).
		Msg("discoverer: another backend server answers at the address")
	m.instance.Leaving = true
	d.markEnded(incarnation)
	d.rebuild()
}

// Uses reports whether an incarnation of a backend server may receive requests.
func (d *Discoverer) Uses(incarnation carawaybeam.BackendIncarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[incarnation.ID]
	return ok && m.instance.BackendIncarnation == incarnation && !m.instance.Leaving
}

// InUse reports whether a backend server may receive requests.
func (d *Discoverer) InUse(instance carawaybeam.Instance) bool {
	return slices.ContainsFunc(d.Instances(instance.Pool), func(other carawaybeam.Instance) bool {
		return other.BackendIncarnation == instance.BackendIncarnation
	})
}

// Replace replaces all announcements by the given ones.
func (d *Discoverer) Replace(objects []carawaybeam.Object) {
	d.notify(d.replace(objects))
}

// notify passes announcements on to Options.Announced.
func (d *Discoverer) notify(announced []carawaybeam.Instance) {
	if d.options.Announced == nil {
		return
	}
	for _, instance := range announced {
		d.options.Announced(instance)
	}
}

// replace implements Replace and returns the valid announcements.
func (d *Discoverer) replace(objects []carawaybeam.Object) []carawaybeam.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	newEra := d.advanceEra(objects)
	d.loaded = true
	var announced []carawaybeam.Instance
	present := make(map[carawaybeam.BackendID]struct{}, len(objects))
	for _, o := range objects {
		present[carawaybeam.BackendID(o.Name)] = struct{}{}
		if instance, ok := d.applyAnnouncement(o, newEra); ok {
			announced = append(announced, instance)
		}
	}
	for id := range d.members {
		if _, ok := present[id]; !ok {
			d.withdraw(id, newEra)
		}
	}
	d.rebuild()
	return announced
}

// advanceEra records the era of announcements that were read, and reports whether it is
// a later one than before. The caller holds mu.
func (d *Discoverer) advanceEra(objects []carawaybeam.Object) bool {
	before := d.era
	for _, o := range objects {
		d.era = max(d.era, o.Version.Era())
	}
	return d.loaded && d.era > before
}

// Apply applies changed and deleted announcements.
func (d *Discoverer) Apply(changes []carawaybeam.Object) {
	d.notify(d.apply(changes))
}

// apply implements Apply and returns the valid announcements.
func (d *Discoverer) apply(changes []carawaybeam.Object) []carawaybeam.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var announced []carawaybeam.Instance
	for _, o := range changes {
		if o.Deleted {
			d.withdraw(carawaybeam.BackendID(o.Name), false)
			continue
		}
		if instance, ok := d.applyAnnouncement(o, false); ok {
			announced = append(announced, instance)
		}
	}
	d.rebuild()
	return announced
}

// applyAnnouncement applies one announcement, which is from an older copy of the store
// if newEra is set. It returns false if the announcement is invalid. The caller holds
// mu.
func (d *Discoverer) applyAnnouncement(o carawaybeam.Object, newEra bool) (carawaybeam.Instance, bool) {
	instance, err := d.options.Decode(o)
	if err != nil {
		// An invalid announcement also ends the use of a backend server that
		// was known before.
		d.logInvalid(carawaybeam.BackendID(o.Name), err)
		d.withdraw(carawaybeam.BackendID(o.Name), false)
		return instance, false
	}
	d.invalid.Remove(instance.ID)
	if d.ended.Contains(instance.BackendIncarnation) {
		instance.Leaving = true
	}
	previous, known := d.members[instance.ID]
	if !known || previous.instance != instance {
		d.options.Log.Info().Str("backend", string(instance.ID)).Int64("started", instance.Started).
			Str("pool", string(instance.Pool)).Str("address", string(instance.Address)).
			Bool("leaving", instance.Leaving).Uint64("version", uint64(o.Version)).
			Msg("discoverer: backend server announced")
	}
	if instance.Leaving {
		d.markEnded(instance.BackendIncarnation)
	}
	next := &member{instance: instance, version: o.Version, seenAt: time.Now()}
	if known && previous.instance.BackendIncarnation == instance.BackendIncarnation &&
		previous.instance.Address == instance.Address {
		next.seenAt = previous.seenAt
	}
	switch removed := d.removed.Contains(instance.BackendIncarnation); {
	case removed && newEra:
		// It may have gone for good. If so, it does not renew the announcement.
		next.usableAt = time.Now().Add(lapseTime)
		d.options.Log.Info().Str("backend", string(instance.ID)).Dur("for", lapseTime).
			Msg("discoverer: removed announcement is back from an older copy and not used yet")
	case known && previous.version == o.Version:
		next.usableAt = previous.usableAt
	}
	if next.usableAt.IsZero() {
		d.removed.Remove(instance.BackendIncarnation)
	}
	d.members[instance.ID] = next
	return instance, true
}

// logInvalid logs an invalid announcement, unless it was logged before. The caller holds mu.
func (d *Discoverer) logInvalid(name carawaybeam.BackendID, err error) {
	detail := err.Error()
	if known, ok := d.invalid.Get(name); ok && known == detail {
		return
	}
	d.invalid.Add(name, detail)
	d.options.Log.Warn().Str("error", detail).Msg("discoverer: announcement is invalid and not used")
}

// remove removes a member. The caller holds mu.
func (d *Discoverer) remove(m *member) {
	d.removed.Add(m.instance.BackendIncarnation, struct{}{})
	delete(d.members, m.instance.ID)
}

// markEnded records that an incarnation receives no more requests. The caller
// holds mu.
func (d *Discoverer) markEnded(incarnation carawaybeam.BackendIncarnation) {
	d.ended.Add(incarnation, struct{}{})
}

// withdraw handles a deleted or lapsed announcement, which an older copy of the store
// lacks if newEra is set. The caller holds mu.
func (d *Discoverer) withdraw(id carawaybeam.BackendID, newEra bool) {
	m, known := d.members[id]
	if !known || !m.dropAt.IsZero() {
		return
	}
	since, failed := d.options.SinceOutage()
	if newEra {
		since, failed = 0, true
	}
	if failed && since < reannounceTime && !m.instance.Leaving {
		m.dropAt = time.Now().Add(reannounceTime - since)
		d.options.Log.Info().Str("backend", string(id)).Dur("for", reannounceTime-since).
			Msg("discoverer: announcement lapsed during a store outage, backend server stays in use")
		return
	}
	d.options.Log.Info().Str("backend", string(id)).Bool("leaving", m.instance.Leaving).
		Msg("discoverer: backend server is gone")
	d.remove(m)
}

// latestAt returns the latest incarnation at each address. The caller holds mu.
func (d *Discoverer) latestAt() map[carawaybeam.Address]*member {
	latest := make(map[carawaybeam.Address]*member, len(d.members))
	for _, m := range d.members {
		if other, ok := latest[m.instance.Address]; !ok || m.instance.Started > other.instance.Started {
			latest[m.instance.Address] = m
		}
	}
	return latest
}

// dropLapsed removes the members that were not announced again in time, and sets
// nextUpdate. The caller holds mu.
func (d *Discoverer) dropLapsed(now time.Time) {
	d.nextUpdate = time.Time{}
	for id, m := range d.members {
		if !m.dropAt.IsZero() && !now.Before(m.dropAt) {
			d.options.Log.Info().Str("backend", string(id)).Msg("discoverer: backend server was not announced again")
			d.remove(m)
			continue
		}
		for _, at := range []time.Time{m.dropAt, m.usableAt} {
			if at.After(now) {
				d.updateAt(at)
			}
		}
	}
}

// rebuild removes the members that were not announced again in time and groups
// the available ones by pool. The caller holds mu.
//
// Of two incarnations at one address, the earlier one has probably ended, and its announcement
// lapses within lapseTime. Until then it is used only if its pool has no other. If it is still
// announced afterwards, the later announcement may be that of another writer. A backend server that
// is not the one which a request names does not run it.
func (d *Discoverer) rebuild() {
	now := time.Now()
	d.dropLapsed(now)
	latest := d.latestAt()
	pools := make(map[carawaybeam.PoolID][]carawaybeam.Instance)
	superseded := make(map[carawaybeam.PoolID][]carawaybeam.Instance)
	for _, m := range d.members {
		if !m.usableAt.IsZero() && !now.Before(m.usableAt) {
			m.usableAt = time.Time{}
			d.removed.Remove(m.instance.BackendIncarnation)
		}
		if m.instance.Leaving || !m.usableAt.IsZero() {
			continue
		}
		into := pools
		if later := latest[m.instance.Address]; later.instance.Started > m.instance.Started {
			if until := later.seenAt.Add(lapseTime); until.After(now) {
				into = superseded
				d.updateAt(until)
			}
		}
		into[m.instance.Pool] = append(into[m.instance.Pool], m.instance)
	}
	for pool, instances := range superseded {
		if len(pools[pool]) == 0 {
			pools[pool] = instances
		}
	}
	for _, instances := range pools {
		slices.SortFunc(instances, func(a, b carawaybeam.Instance) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	d.pools = pools
}

// updateAt makes a rebuild due at a time. The caller holds mu.
func (d *Discoverer) updateAt(at time.Time) {
	if d.nextUpdate.IsZero() || at.Before(d.nextUpdate) {
		d.nextUpdate = at
	}
}
