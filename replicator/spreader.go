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
	// selectInterval is how often the peers are chosen anew.
	selectInterval = time.Second

	// beatInterval is how often each side speaks on a stream between entries.
	beatInterval = 2 * time.Second

	// beatSilence is how long a peer may be silent before its link is replaced.
	beatSilence = 5 * time.Second

	// redialInterval is the pause before a link is made anew.
	redialInterval = 500 * time.Millisecond
)

type (
	// Options is what a Spreader is made from.
	Options struct {
		Process     string
		Incarnation carawaybeam.Incarnation
		DataCentre  carawaybeam.DataCentre
		// Address is where this process listens for links, which tells its own
		// row in the list of entries.
		Address    carawaybeam.Address
		Configurer *configurer.Configurer
		Dialer     carawaybeam.Dialer
		// Entries returns the entries that are known.
		Entries func() []carawaybeam.VM
		// List shares the list of VMs with peers, for those that start while
		// the platform gives none.
		List VMList
		// Answerer answers operators' questions from other entries.
		Answerer Answerer
		Log      zerolog.Logger
	}

	// VMList is the list of VMs as a process knows it.
	VMList interface {
		// Ready tells whether the list is known.
		Ready() bool
		// Rows returns the VMs known.
		Rows() []carawaybeam.VM
		// Seed takes the rows of a peer.
		Seed(vms []carawaybeam.VM)
	}

	// Replicator keeps links to some of the other entries and exchanges changes
	// of the configuration with them.
	Replicator struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu    sync.Mutex
		heard chan struct{}
		// entries is the list from which peers were last chosen, and chosen
		// tells whether this entry is one of its watchers.
		entries  []carawaybeam.VM
		chosen   bool
		links    map[carawaybeam.Address]context.CancelFunc
		sessions map[*session]struct{}
	}

	// session is one control stream between two entries.
	session struct {
		peer     string
		exchange *Exchange
		version  carawaybeam.ConfigVersion
		newest   carawaybeam.ConfigVersion
	}

	// PeerState is what the state dump tells of a peer.
	PeerState struct {
		Process       string                    `json:"process"`
		ConfigVersion carawaybeam.ConfigVersion `json:"configVersion"`
	}
)

var _ carawaybeam.StreamHandler = (*Replicator)(nil)

// New returns a Spreader that links to its peers until Close.
func New(options Options) *Replicator {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Replicator{
		options:  options,
		ctx:      ctx,
		cancel:   cancel,
		links:    make(map[carawaybeam.Address]context.CancelFunc),
		sessions: make(map[*session]struct{}),
		heard:    make(chan struct{}),
	}
	s.wait.Go(s.follow)
	return s
}

// Close ends the own links and waits for their goroutines. Streams of peers end
// with their listener.
func (s *Replicator) Close() error {
	s.cancel()
	s.wait.Wait()
	return nil
}

// IsWatcher tells whether this entry is one of those that watch the store.
func (s *Replicator) IsWatcher() bool {
	s.selectPeers()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chosen
}

// Peers returns the peers that speak now, in the order of their names.
func (s *Replicator) Peers() []PeerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	byName := make(map[string]carawaybeam.ConfigVersion)
	for session := range s.sessions {
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

// follow keeps links to the chosen peers.
func (s *Replicator) follow() {
	ticker := time.NewTicker(selectInterval)
	defer ticker.Stop()
	for {
		s.selectPeers()
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

// selectPeers chooses peers anew if the list of entries has changed.
func (s *Replicator) selectPeers() {
	entries := s.options.Entries()
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(entries, s.entries) || s.ctx.Err() != nil {
		return
	}
	s.entries = entries
	watchers := Watchers(entries, s.options.DataCentre)
	s.chosen = slices.ContainsFunc(watchers, func(vm carawaybeam.VM) bool { return vm.Address == s.options.Address })
	peers := Peers(entries, s.options.Address, s.options.DataCentre)
	chosen := make(map[carawaybeam.Address]bool, len(peers))
	for _, vm := range peers {
		chosen[vm.Address] = true
		if _, ok := s.links[vm.Address]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(s.ctx)
		s.links[vm.Address] = cancel
		s.wait.Go(func() { s.keep(ctx, vm.Address) })
	}
	for address, cancel := range s.links {
		if !chosen[address] {
			cancel()
			delete(s.links, address)
		}
	}
}

// keep holds a link to one peer until it is no longer chosen.
func (s *Replicator) keep(ctx context.Context, address carawaybeam.Address) {
	for ctx.Err() == nil {
		s.connect(ctx, address)
		select {
		case <-time.After(redialInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Replicator) connect(ctx context.Context, address carawaybeam.Address) {
	link, err := s.options.Dialer.Dial(ctx, address)
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
	s.converse(ctx, nil, stream)
}

// ServeStream speaks with a peer that opened the stream.
func (s *Replicator) ServeStream(ctx context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	if s.options.Answerer.Answer(s.options.Configurer, first, stream) {
		return
	}
	if first.GetHello().GetRole() != carawaybeam.RoleEntry {
		s.options.Log.Warn().Msg("spreader: stream begins with an unexpected frame")
		return
	}
	s.converse(ctx, first, stream)
}

// converse exchanges changes on one stream until it fails or goes silent.
func (s *Replicator) converse(ctx context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	this := &session{exchange: NewExchange(s.options.Configurer, s.options.Log)}
	s.add(this)
	defer s.remove(this)
	if first != nil {
		s.receive(this, first)
	}
	var sender sync.WaitGroup
	defer sender.Wait()
	defer cancel()
	sender.Go(func() {
		s.send(ctx, this, stream)
		_ = stream.Close()
	})
	for {
		frame, err := stream.Receive(beatSilence)
		if err != nil {
			return
		}
		s.receive(this, frame)
	}
}

func (s *Replicator) receive(from *session, frame *framer.Frame) {
	from.exchange.Receive(frame)
	s.shareList(from.exchange, frame)
	s.mu.Lock()
	defer s.mu.Unlock()
	from.version = carawaybeam.ConfigVersion(frame.GetConfigVersion())
	from.newest = carawaybeam.ConfigVersion(frame.GetConfigState().GetNewest())
	if hello := frame.GetHello(); hello != nil {
		from.peer = hello.GetProcess()
	}
	close(s.heard)
	s.heard = make(chan struct{})
}

// AwaitHeld waits until that many peers hold an object of the version or a later
// one, or ctx ends. It returns how many do.
func (s *Replicator) AwaitHeld(ctx context.Context, version carawaybeam.ConfigVersion, peers int) int {
	for {
		holders, heard := s.holders(version)
		if holders >= peers {
			return holders
		}
		select {
		case <-heard:
		case <-ctx.Done():
			return holders
		}
	}
}

func (s *Replicator) holders(version carawaybeam.ConfigVersion) (int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := make(map[string]bool)
	for session := range s.sessions {
		if session.newest >= version {
			holders[session.peer] = true
		}
	}
	return len(holders), s.heard
}

// send speaks on a stream: at once, at each change, and regularly.
func (s *Replicator) send(ctx context.Context, to *session, stream carawaybeam.Stream) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	if stream.Send(to.exchange.Stamp(s.hello())) != nil {
		return
	}
	for {
		changed := s.options.Configurer.Changed()
		for _, frame := range to.exchange.Outgoing() {
			if stream.Send(frame) != nil {
				return
			}
		}
		select {
		case <-ticker.C:
			beat := &framer.Frame{Body: &framer.Frame_KeepAlive{KeepAlive: &framer.KeepAlive{}}}
			if stream.Send(to.exchange.Stamp(beat)) != nil {
				return
			}
		case <-to.exchange.Pending():
		case <-changed:
		case <-ctx.Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Replicator) hello() *framer.Frame {
	return &framer.Frame{Body: &framer.Frame_Hello{Hello: &framer.Hello{
		Process:     s.options.Process,
		Incarnation: string(s.options.Incarnation),
		DataCentre:  string(s.options.DataCentre),
		Role:        carawaybeam.RoleEntry,
	}}}
}

func (s *Replicator) add(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session] = struct{}{}
}

func (s *Replicator) remove(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}
