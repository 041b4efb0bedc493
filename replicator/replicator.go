package replicator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// selectInterval is the interval at which the peers are selected again.
	selectInterval = time.Second

	// keepAliveInterval is the interval at which each side of a stream between
	// entries sends a keep-alive frame.
	keepAliveInterval = 2 * time.Second

	// keepAliveTimeout is how long a peer may send nothing before its link is
	// replaced.
	keepAliveTimeout = 5 * time.Second

	// redialDelay is the delay before a lost link is dialled again.
	redialDelay = 500 * time.Millisecond
)

type (
	// Options configures a Replicator.
	Options struct {
		Process     string
		Incarnation carawaybeam.Incarnation
		DataCentre  carawaybeam.DataCentre
		// Address is the address on which this process accepts links. It
		// identifies the process in the list of entries.
		Address    carawaybeam.Address
		Configurer *configurer.Configurer
		Dialer     carawaybeam.Dialer
		// Entries returns the known entries.
		Entries func() []carawaybeam.VM
		// List is the list of VMs. It is shared with peers that start while the
		// platform does not provide it.
		List VMList
		// Answerer answers operators' requests forwarded by other entries.
		Answerer Answerer
		Log      zerolog.Logger
	}

	// VMList is the list of VMs that a process holds.
	VMList interface {
		// Ready reports whether the list is known.
		Ready() bool
		// VMs returns the known VMs.
		VMs() []carawaybeam.VM
		// ApplyList replaces the list by one received from a peer.
		ApplyList(vms []carawaybeam.VM)
	}

	// Replicator maintains links to some of the other entries and exchanges
	// configuration changes with them. It is safe for concurrent use.
	Replicator struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu sync.Mutex
		// received is closed and replaced when a frame is received.
		received chan struct{}
		// entries is the list from which the peers were last selected, and
		// isWatcher reports whether this entry is one of its watchers.
		entries   []carawaybeam.VM
		isWatcher bool
		links     map[carawaybeam.Address]context.CancelFunc
		sessions  map[*session]struct{}
	}

	// session is the state of one control stream between two entries.
	session struct {
		// peer is the name of the other process, or empty until its hello.
		peer     string
		exchange *Exchange
		// version is the configuration version of the peer, and newest the
		// version of its newest object.
		version carawaybeam.ConfigVersion
		newest  carawaybeam.ConfigVersion
	}

	// PeerState is the state of a peer in the state dump.
	PeerState struct {
		Process       string                    `json:"process"`
		ConfigVersion carawaybeam.ConfigVersion `json:"configVersion"`
	}
)

var _ carawaybeam.StreamHandler = (*Replicator)(nil)

// New returns a Replicator that links to its peers until Close.
func New(options Options) *Replicator {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replicator{
		options:  options,
		ctx:      ctx,
		cancel:   cancel,
		links:    make(map[carawaybeam.Address]context.CancelFunc),
		sessions: make(map[*session]struct{}),
		received: make(chan struct{}),
	}
	r.wait.Go(r.maintainLinks)
	return r
}

// Close closes the links made by this process and waits for their goroutines. The
// streams opened by peers end when the listener is closed. The error is always nil.
func (r *Replicator) Close() error {
	r.cancel()
	r.wait.Wait()
	return nil
}

// IsWatcher reports whether this entry is one of those that should watch the store.
func (r *Replicator) IsWatcher() bool {
	r.selectPeers()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isWatcher
}

// Peers returns the connected peers, sorted by name.
func (r *Replicator) Peers() []PeerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	byName := make(map[string]carawaybeam.ConfigVersion)
	for session := range r.sessions {
		if session.peer != "" {
			byName[session.peer] = max(byName[session.peer], session.version)
		}
	}
	peers := make([]PeerState, 0, len(byName))
	for name, version := range byName {
		peers = append(peers, PeerState{Process: name, ConfigVersion: version})
	}
	slices.SortFunc(peers, func(a, b PeerState) int {
		if a.Process < b.Process {
			return -1
		}
		return 1
	})
	return peers
}

// maintainLinks maintains links to the selected peers until Close.
func (r *Replicator) maintainLinks() {
	ticker := time.NewTicker(selectInterval)
	defer ticker.Stop()
	for {
		r.selectPeers()
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
	}
}

// selectPeers selects the peers again if the list of entries has changed, and opens
// and closes links accordingly.
func (r *Replicator) selectPeers() {
	entries := r.options.Entries()
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(entries, r.entries) || r.ctx.Err() != nil {
		return
	}
	r.entries = entries
	watchers := Watchers(entries, r.options.DataCentre)
	r.isWatcher = slices.ContainsFunc(watchers, func(vm carawaybeam.VM) bool { return vm.Address == r.options.Address })
	peers := Peers(entries, r.options.Address, r.options.DataCentre)
	selected := make(map[carawaybeam.Address]bool, len(peers))
	for _, vm := range peers {
		selected[vm.Address] = true
		if _, ok := r.links[vm.Address]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(r.ctx)
		r.links[vm.Address] = cancel
		r.wait.Go(func() { r.maintainLink(ctx, vm.Address) })
	}
	for address, cancel := range r.links {
		if !selected[address] {
			cancel()
			delete(r.links, address)
		}
	}
}

// maintainLink maintains a link to one peer until ctx ends.
func (r *Replicator) maintainLink(ctx context.Context, address carawaybeam.Address) {
	for ctx.Err() == nil {
		r.connect(ctx, address)
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

func (r *Replicator) connect(ctx context.Context, address carawaybeam.Address) {
	link, err := r.options.Dialer.Dial(ctx, address)
	if err != nil {
		return
	}
	defer func() { _ = link.Close() }()
	stream, err := link.Open(ctx)
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = link.Close() })
	defer stop()
	r.runSession(ctx, nil, stream)
}

// ServeStream handles a stream opened by a peer: an operator's request or the
// control stream of another entry.
func (r *Replicator) ServeStream(ctx context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	if r.options.Answerer.Answer(r.options.Configurer, first, stream) {
		return
	}
	if first.GetHello().GetRole() != carawaybeam.RoleEntry {
		r.options.Log.Warn().Msg("replicator: stream begins with an unexpected frame")
		return
	}
	r.runSession(ctx, first, stream)
}

// runSession exchanges changes on one control stream until it fails or the peer
// has sent nothing for keepAliveTimeout.
func (r *Replicator) runSession(ctx context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	this := &session{exchange: NewExchange(r.options.Configurer, r.options.Log)}
	r.add(this)
	defer r.remove(this)
	if first != nil {
		r.receive(this, first)
	}
	var sender sync.WaitGroup
	defer sender.Wait()
	defer cancel()
	sender.Go(func() {
		r.send(ctx, this, stream)
		_ = stream.Close()
	})
	for {
		frame, err := stream.Receive(keepAliveTimeout)
		if err != nil {
			return
		}
		r.receive(this, frame)
	}
}

func (r *Replicator) receive(from *session, frame *framer.Frame) {
	from.exchange.Receive(frame)
	r.shareList(from.exchange, frame)
	r.mu.Lock()
	defer r.mu.Unlock()
	from.version = carawaybeam.ConfigVersion(frame.GetConfigVersion())
	from.newest = carawaybeam.ConfigVersion(frame.GetConfigState().GetNewest())
	if hello := frame.GetHello(); hello != nil {
		from.peer = hello.GetProcess()
	}
	close(r.received)
	r.received = make(chan struct{})
}

// AwaitHeld waits until the given number of peers hold an object of the version or
// a later one, or until ctx ends. It returns how many do.
func (r *Replicator) AwaitHeld(ctx context.Context, version carawaybeam.ConfigVersion, peers int) int {
	for {
		holders, received := r.holders(version)
		if holders >= peers {
			return holders
		}
		select {
		case <-received:
		case <-ctx.Done():
			return holders
		}
	}
}

// holders returns the number of peers that hold an object of the version or a later
// one, and a channel that is closed when the next frame is received.
func (r *Replicator) holders(version carawaybeam.ConfigVersion) (int, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders := make(map[string]bool)
	for session := range r.sessions {
		if session.newest >= version {
			holders[session.peer] = true
		}
	}
	return len(holders), r.received
}

// send sends a hello frame, and then the outgoing frames after each change and
// keep-alive frames at regular intervals, until a send fails or ctx ends.
func (r *Replicator) send(ctx context.Context, to *session, stream carawaybeam.Stream) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	if stream.Send(to.exchange.Stamp(r.hello())) != nil {
		return
	}
	for {
		changed := r.options.Configurer.Changed()
		for _, frame := range to.exchange.Outgoing() {
			if stream.Send(frame) != nil {
				return
			}
		}
		select {
		case <-ticker.C:
			keepAlive := &framer.Frame{Body: &framer.Frame_KeepAlive{KeepAlive: &framer.KeepAlive{}}}
			if stream.Send(to.exchange.Stamp(keepAlive)) != nil {
				return
			}
		case <-to.exchange.Pending():
		case <-changed:
		case <-ctx.Done():
			return
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *Replicator) hello() *framer.Frame {
	return &framer.Frame{Body: &framer.Frame_Hello{Hello: &framer.Hello{
		Process:     r.options.Process,
		Incarnation: string(r.options.Incarnation),
		DataCentre:  string(r.options.DataCentre),
		Role:        carawaybeam.RoleEntry,
	}}}
}

func (r *Replicator) add(session *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions[session] = struct{}{}
}

func (r *Replicator) remove(session *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, session)
}
