// Package curator keeps the backend servers that may take work, from their
// announcements in the platform's store.
//
// Leaving is final for one life of a backend server. Announcements that lapsed
// while the store was away come back soon after its return, so those missing
// then stay in use for that time.
package curator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// returnTime is how long after the store's return a lapsed announcement may
	// take to come back: about 2 s, as the platform says.
	returnTime = 2 * time.Second

	// maxLeft bounds the ended lives that are remembered.
	maxLeft = 4096
)

type (
	// Options is what a Curator is made from.
	Options struct {
		// Decode reads an announcement.
		Decode func(carawaybeam.Object) (carawaybeam.Instance, error)
		// SinceOutage returns how long the store has answered again since its
		// last failure, and false when it never failed.
		SinceOutage func() (time.Duration, bool)
		Log         zerolog.Logger
	}

	// Curator is the set of backend servers. Its methods may be used by several
	// goroutines at once.
	Curator struct {
		options Options

		mu      sync.Mutex
		members map[carawaybeam.BackendID]*member
		// left holds lives that have said that they leave.
		left   map[carawaybeam.BackendIncarnation]struct{}
		loaded bool
		pools  map[carawaybeam.PoolID][]carawaybeam.Instance
		// nextDrop is the earliest drop time of a member, or zero.
		nextDrop time.Time
	}

	member struct {
		instance carawaybeam.Instance
		// dropAt is when a member without announcement is taken as gone. It is
		// zero for announced ones.
		dropAt time.Time
	}
)

// New returns a Curator that knows no backend server.
func New(options Options) *Curator {
	return &Curator{
		options: options,
		members: make(map[carawaybeam.BackendID]*member),
		left:    make(map[carawaybeam.BackendIncarnation]struct{}),
		pools:   make(map[carawaybeam.PoolID][]carawaybeam.Instance),
	}
}

// Loaded tells whether the announcements have been read.
func (c *Curator) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// Instances returns the backend servers of a pool that may take work, in the
// order of their identifiers. The caller does not change them.
func (c *Curator) Instances(pool carawaybeam.PoolID) []carawaybeam.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.nextDrop.IsZero() && !time.Now().Before(c.nextDrop) {
		c.rebuild()
	}
	return c.pools[pool]
}

// Pools returns how many backend servers of each pool may take work.
func (c *Curator) Pools() map[carawaybeam.PoolID]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[carawaybeam.PoolID]int, len(c.pools))
	for pool, instances := range c.pools {
		counts[pool] = len(instances)
	}
	return counts
}

// PoolAt returns the pool of the backend server at an address.
func (c *Curator) PoolAt(address carawaybeam.Address) (carawaybeam.PoolID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.instance.Address == address {
			return m.instance.Pool, true
		}
	}
	return "", false
}

// Misdirected notes that another backend server answers at the address of one
// life, so that this life is over whatever its announcement says.
func (c *Curator) Misdirected(life carawaybeam.BackendIncarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[life.ID]
	if !ok || m.instance.BackendIncarnation != life || m.instance.Leaving {
		return
	}
	c.options.Log.Info().Str("backend", string(life.ID)).Int64("started", life.Started).
		Msg("curator: another backend server has the address")
	m.instance.Leaving = true
	c.leave(life)
	c.rebuild()
}

// Replace takes all announcements.
func (c *Curator) Replace(objects []carawaybeam.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded = true
	present := make(map[carawaybeam.BackendID]struct{}, len(objects))
	for _, o := range objects {
		present[carawaybeam.BackendID(o.Name)] = struct{}{}
		c.announce(o)
	}
	for id := range c.members {
		if _, ok := present[id]; !ok {
			c.withdraw(id)
		}
	}
	c.rebuild()
}

// Apply takes changed announcements.
func (c *Curator) Apply(changes []carawaybeam.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range changes {
		if o.Deleted {
			c.withdraw(carawaybeam.BackendID(o.Name))
		} else {
			c.announce(o)
		}
	}
	c.rebuild()
}

// announce takes one announcement. The caller holds mu.
func (c *Curator) announce(o carawaybeam.Object) {
	instance, err := c.options.Decode(o)
	if err != nil {
		// The entry names no backend server, or no longer one that is known.
		c.options.Log.Warn().Err(err).Str("backend", o.Name).Msg("curator: announcement is not used")
		c.withdraw(carawaybeam.BackendID(o.Name))
		return
	}
	if _, left := c.left[instance.BackendIncarnation]; left {
		instance.Leaving = true
	}
	before, known := c.members[instance.ID]
	if !known || before.instance != instance {
		c.options.Log.Info().Str("backend", string(instance.ID)).Int64("started", instance.Started).
			Str("pool", string(instance.Pool)).Str("address", string(instance.Address)).
			Bool("leaving", instance.Leaving).Uint64("version", uint64(o.Version)).
			Msg("curator: backend server announced")
	}
	if instance.Leaving {
		c.leave(instance.BackendIncarnation)
	}
	c.members[instance.ID] = &member{instance: instance}
}

// leave remembers that one life takes no more work. The caller holds mu.
func (c *Curator) leave(life carawaybeam.BackendIncarnation) {
	if len(c.left) >= maxLeft {
		clear(c.left)
	}
	c.left[life] = struct{}{}
}

// withdraw takes the end of an announcement. The caller holds mu.
func (c *Curator) withdraw(id carawaybeam.BackendID) {
	m, known := c.members[id]
	if !known || !m.dropAt.IsZero() {
		return
	}
	since, lost := c.options.SinceOutage()
	if lost && since < returnTime && !m.instance.Leaving {
		m.dropAt = time.Now().Add(returnTime - since)
		c.options.Log.Info().Str("backend", string(id)).Dur("for", returnTime-since).
			Msg("curator: announcement lapsed while the store was away, backend server stays in use")
		return
	}
	c.options.Log.Info().Str("backend", string(id)).Bool("leaving", m.instance.Leaving).
		Msg("curator: backend server is gone")
	delete(c.members, id)
}

// latestLives returns the start of the latest life at each address. The
// announcements of earlier ones lapse only after some seconds. The caller holds mu.
func (c *Curator) latestLives() map[carawaybeam.Address]int64 {
	latest := make(map[carawaybeam.Address]int64, len(c.members))
	for _, m := range c.members {
		if started, ok := latest[m.instance.Address]; !ok || m.instance.Started > started {
			latest[m.instance.Address] = m.instance.Started
		}
	}
	return latest
}

// dropMissing drops members that did not come back. The caller holds mu.
func (c *Curator) dropMissing(now time.Time) {
	c.nextDrop = time.Time{}
	for id, m := range c.members {
		switch {
		case m.dropAt.IsZero():
		case !now.Before(m.dropAt):
			c.options.Log.Info().Str("backend", string(id)).Msg("curator: backend server did not come back")
			delete(c.members, id)
		case c.nextDrop.IsZero() || m.dropAt.Before(c.nextDrop):
			c.nextDrop = m.dropAt
		}
	}
}

// rebuild drops members that did not come back and lists the others by pool. The
// caller holds mu.
func (c *Curator) rebuild() {
	c.dropMissing(time.Now())
	latest := c.latestLives()
	pools := make(map[carawaybeam.PoolID][]carawaybeam.Instance)
	for _, m := range c.members {
		if !m.instance.Leaving && m.instance.Started >= latest[m.instance.Address] {
			pools[m.instance.Pool] = append(pools[m.instance.Pool], m.instance)
		}
	}
	for _, instances := range pools {
		slices.SortFunc(instances, func(a, b carawaybeam.Instance) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	c.pools = pools
}
