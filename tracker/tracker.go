// Package tracker keeps an entry's view of the backend servers: which exist,
// which are leaving, how loaded they are, and links to a subset of each pool.
//
// The platform's list of VMs lags and may be wrong, so it only seeds the view.
// What an agent says of itself on its link goes first: an agent that speaks is
// never dropped because the list does not name it.
package tracker

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

const (
	// minSilence is how long a peer may at least be silent before its link is
	// replaced. One that reports less often may be silent for silentBeats
	// reports.
	minSilence  = 3 * time.Second
	silentBeats = 3

	// redialInterval is the first pause before a link is made anew. It doubles
	// up to maxRedialInterval while the agent cannot be reached.
	redialInterval    = 500 * time.Millisecond
	maxRedialInterval = 4 * time.Second

	// pinTime is how long a link outside the subset is kept after its use.
	pinTime = 5 * time.Minute

	// reachTimeout bounds the search for an agent outside the subset, and
	// reachInterval is how often its progress is looked at.
	reachTimeout  = 2 * time.Second
	reachInterval = 20 * time.Millisecond
	// replaceInterval is the pause before a link that worked is replaced.
	replaceInterval = 20 * time.Millisecond
)

type (
	// Options is what a Tracker is made from.
	Options struct {
		Process     string
		Incarnation carawaybeam.Incarnation
		DataCentre  carawaybeam.DataCentre
		Lister      carawaybeam.Lister
		Dialer      carawaybeam.Dialer
		// Config is the configuration of the process, which it exchanges with
		// the agents.
		Config *configurer.Configurer
		// SubsetSize is how many agents of a pool are linked to that has more than
		// Whole. Both are 0 for the usual numbers.
		SubsetSize  int
		MaxFullPool int
		// Quarantiner keeps the requests that crash backend servers. Nil stands
		// for one of the Tracker's own.
		Quarantiner *quarantiner.Quarantiner
		Log         zerolog.Logger
	}

	// ConfigObserver holds the configuration of the process.
	ConfigObserver interface {
		// Version returns the version in force.
		Version() carawaybeam.ConfigVersion
		// Observe takes a version that a peer holds.
		Observe(version carawaybeam.ConfigVersion)
	}

	// Member is a snapshot of one backend server.
	Member struct {
		VM          carawaybeam.VM
		Backend     carawaybeam.BackendID
		Incarnation carawaybeam.Incarnation
		Load        carawaybeam.Load
		// ReportedAt is when Load came.
		ReportedAt time.Time
		// Leaving is set once the platform or the agent said so.
		Leaving bool
		// Linked is set while a link to the agent works.
		Linked bool
		// ConfigVersion is the version that the agent holds.
		ConfigVersion carawaybeam.ConfigVersion
	}

	// Tracker follows the backend servers. Its methods may be used by several
	// goroutines at once.
	Tracker struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu      sync.Mutex
		members map[carawaybeam.Address]*member
		entries map[carawaybeam.Address]carawaybeam.VM
		// interval is how often agents are to report.
		interval time.Duration
		listed   time.Time
		failing  bool
	}
)

// ErrNoLink reports that there is no working link to a backend server.
var ErrNoLink = errors.New("no link to the agent")

// New returns a Tracker that follows the platform's list until Close.
func New(options Options) *Tracker {
	if options.SubsetSize == 0 {
		options.SubsetSize = subsetSize
	}
	if options.MaxFullPool == 0 {
		options.MaxFullPool = wholePool
	}
	if options.Quarantiner == nil {
		options.Quarantiner = quarantiner.New()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tracker{
		options:  options,
		ctx:      ctx,
		cancel:   cancel,
		members:  make(map[carawaybeam.Address]*member),
		entries:  make(map[carawaybeam.Address]carawaybeam.VM),
		interval: minInterval,
	}
	t.wait.Go(t.follow)
	return t
}

// Close ends all links and waits for their goroutines.
func (t *Tracker) Close() error {
	t.cancel()
	t.wait.Wait()
	return nil
}

// Members returns the backend servers of a pool that have named themselves.
func (t *Tracker) Members(pool carawaybeam.PoolID) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for _, m := range t.members {
		if snapshot := m.snapshot(); snapshot.VM.Pool == pool && snapshot.Backend != "" {
			members = append(members, snapshot)
		}
	}
	return members
}

// All returns every agent known, those without a link among them.
func (t *Tracker) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		members = append(members, m.snapshot())
	}
	return members
}

// Ready tells whether the platform's list has been read.
func (t *Tracker) Ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.listed.IsZero()
}

// Open starts a stream to the agent of a backend server.
func (t *Tracker) Open(ctx context.Context, backend carawaybeam.BackendID) (carawaybeam.Stream, error) {
	m, link := t.link(backend)
	if link == nil {
		return nil, ErrNoLink
	}
	m.use(1)
	stream, err := link.Open(ctx)
	if err != nil {
		m.use(-1)
		return nil, err
	}
	return &reportingStream{Stream: stream, member: m}, nil
}

// Suspect replaces the link to a backend server, since a stream on it went
// silent.
func (t *Tracker) Suspect(backend carawaybeam.BackendID) {
	if _, link := t.link(backend); link != nil {
		_ = link.Close()
	}
}

// Reach makes a link to a backend server of the pool that is outside the subset,
// and keeps it for a while. It reports whether there is one now.
func (t *Tracker) Reach(ctx context.Context, pool carawaybeam.PoolID, backend carawaybeam.BackendID) bool {
	if _, link := t.link(backend); link != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	for pinned := t.pin(pool, backend); pinned; {
		if _, link := t.link(backend); link != nil {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// pin links to the agent of a backend server, or to all agents of the pool whose
// backend server is not known yet. It reports false if there are none.
func (t *Tracker) pin(pool carawaybeam.PoolID, backend carawaybeam.BackendID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unnamed []*member
	for _, m := range t.members {
		snapshot := m.snapshot()
		switch {
		case snapshot.Backend == backend:
			m.pin(pinTime)
			return true
		case snapshot.VM.Pool == pool && snapshot.Backend == "":
			unnamed = append(unnamed, m)
		}
	}
	for _, m := range unnamed {
		m.pin(reachTimeout)
	}
	return len(unnamed) > 0
}

func (t *Tracker) link(backend carawaybeam.BackendID) (*member, carawaybeam.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if link, id := m.current(); id == backend && link != nil {
			return m, link
		}
	}
	return nil, nil
}

// beatInterval returns how often agents are to report.
func (t *Tracker) beatInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.interval
}
