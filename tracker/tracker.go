// Package tracker tracks the backend servers for an entry: which exist, which
// are leaving and how loaded they are. It keeps links to a subset of the agents
// of each pool.
//
// The platform's list of VMs is delayed and may be wrong, so it only provides
// the addresses to connect to. What an agent reports on its link takes
// precedence: an agent with a working link is never dropped because it is
// missing from the list.
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
	// minReceiveTimeout is the least time without a frame after which a link is
	// replaced. An agent with a longer report interval may miss
	// maxMissedReports reports.
	minReceiveTimeout = 3 * time.Second
	maxMissedReports  = 3

	// redialDelay is the first delay before a link is dialled again. It doubles
	// up to maxRedialDelay while the agent cannot be reached.
	redialDelay    = 500 * time.Millisecond
	maxRedialDelay = 4 * time.Second

	// pinTime is how long a link outside the subset is kept after its use.
	pinTime = 5 * time.Minute

	// linkTimeout is the timeout for linking to an agent outside the subset,
	// linkPollInterval how often the link is checked for.
	linkTimeout      = 2 * time.Second
	linkPollInterval = 20 * time.Millisecond

	// reconnectDelay is the delay before a link that worked is dialled again.
	reconnectDelay = 20 * time.Millisecond
)

type (
	// Options configures a Tracker.
	Options struct {
		Process     string
		Incarnation carawaybeam.Incarnation
		DataCentre  carawaybeam.DataCentre
		Lister      carawaybeam.Lister
		Dialer      carawaybeam.Dialer
		// Config is the configuration of the process, which is synchronised
		// with the agents.
		Config *configurer.Configurer
		// SubsetSize is how many agents the Tracker links to in a pool of more
		// than MaxFullPool agents. In a smaller pool it links to all. For each,
		// 0 stands for the default.
		SubsetSize  int
		MaxFullPool int
		// Quarantiner holds the requests that crash backend servers. If it is
		// nil, the Tracker creates its own.
		Quarantiner *quarantiner.Quarantiner
		// Evacuations knows the evacuated data centres, of which the agents are told.
		// It is nil if evacuations are not followed.
		Evacuations Evacuations
		Log         zerolog.Logger
	}

	// ConfigObserver holds the configuration of the process.
	ConfigObserver interface {
		// Version returns the version in force.
		Version() carawaybeam.ConfigVersion
		// Observe records a version that a peer has.
		Observe(version carawaybeam.ConfigVersion)
	}

	// Evacuations knows the evacuated data centres.
	Evacuations interface {
		// Loaded reports whether the evacuations have been read.
		Loaded() bool
		// Version returns the store version up to which they have been read.
		Version() carawaybeam.StoreVersion
		// Evacuated reports whether nothing may be sent to a data centre.
		Evacuated(dataCentre carawaybeam.DataCentre) bool
	}

	// Member is a snapshot of the state of one backend server.
	Member struct {
		VM          carawaybeam.VM
		Backend     carawaybeam.BackendID
		Incarnation carawaybeam.Incarnation
		Load        carawaybeam.Load
		// ReportedAt is when Load was received.
		ReportedAt time.Time
		// Leaving is set once the platform or the agent reports that the
		// backend server is leaving.
		Leaving bool
		// Linked is set while there is a working link to the agent.
		Linked bool
		// ConfigVersion is the configuration version that the agent has.
		ConfigVersion carawaybeam.ConfigVersion
	}

	// Tracker tracks the backend servers. It is safe for concurrent use.
	Tracker struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu      sync.Mutex
		members map[carawaybeam.Address]*member
		entries map[carawaybeam.Address]carawaybeam.VM
		// interval is the report interval that agents are asked to use.
		interval    time.Duration
		listedAt    time.Time
		listFailing bool
		// evacuated holds the evacuated data centres of agents at the last review.
		evacuated map[carawaybeam.DataCentre]struct{}
		// evacuationsChanged is closed and replaced when evacuated changes.
		evacuationsChanged chan struct{}
	}
)

// ErrNoLink reports that there is no working link to the agent of a backend
// server.
var ErrNoLink = errors.New("no link to the agent")

// New returns a Tracker that reads the platform's list until Close.
func New(options Options) *Tracker {
	if options.SubsetSize == 0 {
		options.SubsetSize = subsetSize
	}
	if options.MaxFullPool == 0 {
		options.MaxFullPool = maxFullPool
	}
	if options.Quarantiner == nil {
		options.Quarantiner = quarantiner.New(quarantiner.Complete)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tracker{
		options:  options,
		ctx:      ctx,
		cancel:   cancel,
		members:  make(map[carawaybeam.Address]*member),
		entries:  make(map[carawaybeam.Address]carawaybeam.VM),
		interval: minReportInterval,

		evacuationsChanged: make(chan struct{}),
	}
	t.wait.Go(t.pollList)
	return t
}

// Close ends all links and waits for their goroutines.
func (t *Tracker) Close() error {
	t.cancel()
	t.wait.Wait()
	return nil
}

// Members returns the backend servers of a pool whose agents have reported.
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

// All returns all known agents, including those without a link.
func (t *Tracker) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		members = append(members, m.snapshot())
	}
	return members
}

// Ready reports whether a list of VMs has been received.
func (t *Tracker) Ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.listedAt.IsZero()
}

// Open opens a stream to the agent of a backend server. It returns ErrNoLink if
// there is no working link.
func (t *Tracker) Open(ctx context.Context, backend carawaybeam.BackendID) (carawaybeam.Stream, error) {
	m, link := t.acquire(backend)
	if m == nil {
		return nil, ErrNoLink
	}
	stream, err := link.Open(ctx)
	if err != nil {
		m.release()
		return nil, err
	}
	return &reportingStream{Stream: stream, member: m, link: link}, nil
}

// ReportUnresponsive closes the link of a stream that timed out. A new link is made
// afterwards, or is in use already.
func (t *Tracker) ReportUnresponsive(stream carawaybeam.Stream) {
	if s, ok := stream.(*reportingStream); ok {
		_ = s.link.Close()
	}
}

// EnsureLink links to a backend server of the pool that is outside the subset, waits
// for up to linkTimeout and reports whether there is a link. The link is kept
// for some time.
func (t *Tracker) EnsureLink(ctx context.Context, pool carawaybeam.PoolID, backend carawaybeam.BackendID) bool {
	if t.isLinked(backend) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	ticker := time.NewTicker(linkPollInterval)
	defer ticker.Stop()
	for pinned := t.pin(pool, backend); pinned; {
		if t.isLinked(backend) {
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

// pin pins the link to the agent of a backend server, or to all agents of the
// pool that have not reported their backend server yet. It returns false if
// there are none.
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
		m.pin(linkTimeout)
	}
	return len(unnamed) > 0
}

// acquire returns the member of a backend server and its link, which a stream is about
// to use, or nil if there is no working link.
func (t *Tracker) acquire(backend carawaybeam.BackendID) (*member, carawaybeam.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if link, ok := m.acquire(backend); ok {
			return m, link
		}
	}
	return nil, nil
}

// isLinked reports whether there is a working link to the agent of a backend server.
func (t *Tracker) isLinked(backend carawaybeam.BackendID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if link, id := m.current(); id == backend && link != nil {
			return true
		}
	}
	return false
}

// reportInterval returns the report interval that agents are asked to use.
func (t *Tracker) reportInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.interval
}
