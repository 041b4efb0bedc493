// Package tracker keeps an entry's view of the backend servers: which exist,
// which are leaving, how loaded they are, and a link to each.
//
// The platform's list of VMs lags, so it only seeds the view. What an agent
// says of itself on its link goes first.
package tracker

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

const (
	// listInterval is how often the platform's list is read.
	listInterval = 2 * time.Second

	// heartbeatInterval is how often each side speaks on a control stream.
	heartbeatInterval = time.Second

	// heartbeatSilence is how long a peer may be silent before its link is
	// replaced.
	heartbeatSilence = 3 * time.Second

	// redialInterval is the pause before a link is made anew.
	redialInterval = 500 * time.Millisecond

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
		// Config tells and takes configuration versions.
		Config ConfigObserver
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
		// Reported is when Load came.
		Reported time.Time
		// Leaving is set once the platform or the agent said so.
		Leaving bool
		// Linked is set while a link to the agent works.
		Linked bool
	}

	// Tracker follows the backend servers. Its methods may be used by several
	// goroutines at once.
	Tracker struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu      sync.Mutex
		members map[carawaybeam.VMID]*member
		listed  time.Time
		failing bool
	}
)

// ErrNoLink reports that there is no working link to a backend server.
var ErrNoLink = errors.New("no link to the agent")

// New returns a Tracker that follows the platform's list until Close.
func New(options Options) *Tracker {
	if options.Quarantiner == nil {
		options.Quarantiner = quarantiner.New()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tracker{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		members: make(map[carawaybeam.VMID]*member),
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

// All returns every agent that the platform lists.
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
	link := t.link(backend)
	if link == nil {
		return nil, ErrNoLink
	}
	return link.Open(ctx)
}

// Known tells whether the backend server is still among the members.
func (t *Tracker) Known(backend carawaybeam.BackendID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if m.snapshot().Backend == backend {
			return true
		}
	}
	return false
}

// Suspect replaces the link to a backend server, since a stream on it went
// silent.
func (t *Tracker) Suspect(backend carawaybeam.BackendID) {
	if link := t.link(backend); link != nil {
		_ = link.Close()
	}
}

func (t *Tracker) link(backend carawaybeam.BackendID) carawaybeam.Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if link, id := m.current(); id == backend && link != nil {
			return link
		}
	}
	return nil
}

// follow reads the platform's list until Close.
func (t *Tracker) follow() {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		t.readList()
		select {
		case <-ticker.C:
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *Tracker) readList() {
	vms, err := t.options.Lister.List(t.ctx)
	if err != nil {
		if !t.failing && t.ctx.Err() == nil {
			t.options.Log.Warn().Err(err).Msg("tracker: list of VMs is unavailable")
		}
		t.failing = true
		return
	}
	t.failing = false
	t.update(vms)
}

func (t *Tracker) update(vms []carawaybeam.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = time.Now()
	listed := make(map[carawaybeam.VMID]bool, len(vms))
	for _, vm := range vms {
		if vm.Role != carawaybeam.RoleAgent {
			continue
		}
		listed[vm.ID] = true
		if known, ok := t.members[vm.ID]; ok {
			known.setVM(vm)
			continue
		}
		m := newMember(t, vm)
		t.members[vm.ID] = m
		t.wait.Go(m.run)
	}
	for id, m := range t.members {
		if !listed[id] {
			m.cancel()
			delete(t.members, id)
		}
	}
}
