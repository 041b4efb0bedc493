// Package linker is a stand-in for the network between processes. It carries
// frames in memory, can delay, drop, duplicate, reorder or misdeliver them, and
// works in a testing/synctest bubble. It is for tests only.
package linker

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

// errUnreachable reports that no handler listens at an address, or that the
// link is closed.
var errUnreachable = errors.New("connection refused")

type (
	// Direction is the direction in which a frame is sent.
	Direction int

	// Decision is what happens to one frame. The zero value delivers it
	// unchanged.
	Decision struct {
		// Drop drops the frame without an error for its sender.
		Drop bool
		// Copies is the number of additional copies to deliver.
		Copies int
		// Delay delays the frame alone: later frames may overtake it, unless
		// they are delayed too.
		Delay time.Duration
		// Latency delays the frame and, since frames keep their order, those
		// after it.
		Latency time.Duration
		// Cut closes the stream instead of delivering the frame.
		Cut bool
		// Misdeliver also delivers a copy to another open stream to the same
		// address.
		Misdeliver bool
	}

	// Injector decides what happens to each frame. It must be safe for
	// concurrent use.
	Injector func(address carawaybeam.Address, direction Direction, frame *framer.Frame) Decision

	// Network connects dialers to the handlers that listen on it. Its zero
	// value is ready for use. Its methods are safe for concurrent use.
	Network struct {
		mu       sync.Mutex
		handlers map[carawaybeam.Address]carawaybeam.StreamHandler
		links    map[*link]struct{}
		streams  map[*stream]struct{}
		injector Injector
		wait     sync.WaitGroup
	}

	link struct {
		network *Network
		address carawaybeam.Address
		ctx     context.Context
		cancel  context.CancelFunc
		silent  atomic.Bool
	}

	// pipe carries the frames of one direction of a stream.
	pipe struct {
		mu     sync.Mutex
		frames []arrival
		// delayed counts frames in the pipe that are held back by
		// Decision.Delay.
		delayed int
		changed chan struct{}
	}

	// arrival is a frame and the time from which it can be read.
	arrival struct {
		frame *framer.Frame
		at    time.Time
	}

	stream struct {
		link      *link
		direction Direction
		in, out   *pipe
		ctx       context.Context
		cancel    context.CancelFunc
	}
)

const (
	// ToListener is the direction of frames sent by the process that dialled.
	ToListener Direction = iota
	// ToDialer is the direction of frames sent by the process that listens.
	ToDialer
)

var (
	_ carawaybeam.Dialer = (*Network)(nil)
	_ carawaybeam.Link   = (*link)(nil)
	_ carawaybeam.Stream = (*stream)(nil)
)

// SetInjector sets the injector for all further frames. If it is nil, they are
// delivered unchanged.
func (n *Network) SetInjector(injector Injector) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.injector = injector
}

// Listen makes the handler serve the streams to an address.
func (n *Network) Listen(address carawaybeam.Address, handler carawaybeam.StreamHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers == nil {
		n.handlers = make(map[carawaybeam.Address]carawaybeam.StreamHandler)
	}
	n.handlers[address] = handler
}

// Unlisten makes an address unreachable and closes the links to it.
func (n *Network) Unlisten(address carawaybeam.Address) {
	n.mu.Lock()
	delete(n.handlers, address)
	n.mu.Unlock()
	n.Cut(address)
}

// Cut closes all links to an address.
func (n *Network) Cut(address carawaybeam.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.address == address {
			l.cancel()
			delete(n.links, l)
		}
	}
}

// Silence drops all further frames of the current links to an address, which
// stay open. New links work.
func (n *Network) Silence(address carawaybeam.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.address == address {
			l.silent.Store(true)
		}
	}
}

// Close closes all links and waits for their handlers.
func (n *Network) Close() error {
	n.mu.Lock()
	for l := range n.links {
		l.cancel()
	}
	n.mu.Unlock()
	n.wait.Wait()
	return nil
}

// Dial opens a link to the handler that listens at an address. It fails if
// there is none.
func (n *Network) Dial(_ context.Context, address carawaybeam.Address) (carawaybeam.Link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.handlers[address]; !ok {
		return nil, errUnreachable
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{network: n, address: address, ctx: ctx, cancel: cancel}
	if n.links == nil {
		n.links = make(map[*link]struct{})
	}
	n.links[l] = struct{}{}
	return l, nil
}

func (n *Network) decide(address carawaybeam.Address, direction Direction, frame *framer.Frame) Decision {
	n.mu.Lock()
	injector := n.injector
	n.mu.Unlock()
	if injector == nil {
		return Decision{}
	}
	return injector(address, direction, frame)
}

// Open opens a stream. It fails if the link is closed or no handler listens at
// its address.
func (l *link) Open(context.Context) (carawaybeam.Stream, error) {
	l.network.mu.Lock()
	handler, ok := l.network.handlers[l.address]
	l.network.mu.Unlock()
	if !ok || l.ctx.Err() != nil {
		return nil, errUnreachable
	}
	ctx, cancel := context.WithCancel(l.ctx)
	toListener, toDialer := newPipe(), newPipe()
	dialer := &stream{link: l, direction: ToListener, in: toDialer, out: toListener, ctx: ctx, cancel: cancel}
	listener := &stream{link: l, direction: ToDialer, in: toListener, out: toDialer, ctx: ctx, cancel: cancel}
	l.network.track(dialer, listener)
	l.network.wait.Go(func() {
		defer l.network.untrack(dialer, listener)
		listener.serve(handler)
	})
	return dialer, nil
}

// Done returns a channel that is closed when the link has ended.
func (l *link) Done() <-chan struct{} { return l.ctx.Done() }

// Close closes the link and its streams.
func (l *link) Close() error {
	l.cancel()
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	delete(l.network.links, l)
	return nil
}

func (n *Network) track(streams ...*stream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.streams == nil {
		n.streams = make(map[*stream]struct{})
	}
	for _, s := range streams {
		n.streams[s] = struct{}{}
	}
}

func (n *Network) untrack(streams ...*stream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range streams {
		delete(n.streams, s)
	}
}

// another returns another open stream to the same address in the same direction
// as the given one, or nil.
func (n *Network) another(exclude *stream) *stream {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.streams {
		if s != exclude && s.direction == exclude.direction && s.link.address == exclude.link.address &&
			s.ctx.Err() == nil {
			return s
		}
	}
	return nil
}

// listens reports whether the handler still listens at the address.
func (n *Network) listens(address carawaybeam.Address, handler carawaybeam.StreamHandler) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[address] == handler
}

// serve passes the stream to the handler when its first frame arrives. A
// delayed frame reaches the handler even if the dialer has closed the stream
// meanwhile, like one in the socket buffers of a paused process.
func (s *stream) serve(handler carawaybeam.StreamHandler) {
	defer func() { _ = s.Close() }()
	first, err := s.Receive(0)
	for err != nil && s.in.awaitDelayed() {
		first, err = s.Receive(0)
	}
	if err != nil || !s.link.network.listens(s.link.address, handler) {
		return
	}
	handler.ServeStream(s.ctx, first, s)
}

// Send sends a copy of the frame as the injector decides. It fails if the
// stream is closed.
func (s *stream) Send(frame *framer.Frame) error {
	if s.ctx.Err() != nil {
		return io.ErrClosedPipe
	}
	decision := s.link.network.decide(s.link.address, s.direction, frame)
	if decision.Cut {
		s.cancel()
		return io.ErrClosedPipe
	}
	if decision.Drop || s.link.silent.Load() {
		return nil
	}
	if decision.Misdeliver {
		if another := s.link.network.another(s); another != nil {
			another.out.push(arrival{frame: proto.CloneOf(frame), at: time.Now()})
		}
	}
	for range decision.Copies + 1 {
		s.deliver(proto.CloneOf(frame), decision)
	}
	return nil
}

func (s *stream) deliver(frame *framer.Frame, decision Decision) {
	at := time.Now().Add(decision.Delay + decision.Latency)
	if decision.Delay == 0 {
		s.out.push(arrival{frame: frame, at: at})
		return
	}
	s.out.addDelayed(1)
	s.link.network.wait.Go(func() {
		time.Sleep(decision.Delay)
		s.out.push(arrival{frame: frame, at: at})
		s.out.addDelayed(-1)
	})
}

// Receive returns the next frame. A timeout of 0 means none. Frames that
// arrived before the stream ended can still be read. After them, Receive
// returns io.EOF.
func (s *stream) Receive(timeout time.Duration) (*framer.Frame, error) {
	var expired <-chan time.Time
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		frame, wait := s.in.pop()
		if frame != nil {
			return frame, nil
		}
		var arrived <-chan time.Time
		if wait > 0 {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			arrived = timer.C
		}
		select {
		case <-s.in.changed:
		case <-arrived:
		case <-expired:
			return nil, &carawaybeam.ReceiveTimeoutError{After: timeout}
		case <-s.ctx.Done():
			return s.drain()
		}
	}
}

// drain returns the next frame that was sent before the stream ended, or
// io.EOF.
func (s *stream) drain() (*framer.Frame, error) {
	frame, wait := s.in.pop()
	if wait > 0 {
		time.Sleep(wait)
		frame, _ = s.in.pop()
	}
	if frame == nil {
		return nil, io.EOF
	}
	return frame, nil
}

// Close closes both directions of the stream.
func (s *stream) Close() error {
	s.cancel()
	return nil
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{}, 1)} }

// addDelayed adds n to the number of delayed frames.
func (p *pipe) addDelayed(n int) {
	p.mu.Lock()
	p.delayed += n
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// awaitDelayed waits for a frame and reports true when there is one. It returns
// false if there is none and none is delayed.
func (p *pipe) awaitDelayed() bool {
	for {
		p.mu.Lock()
		delayed, arrived := p.delayed, len(p.frames)
		p.mu.Unlock()
		if arrived > 0 {
			return true
		}
		if delayed == 0 {
			return false
		}
		<-p.changed
	}
}

func (p *pipe) push(next arrival) {
	p.mu.Lock()
	p.frames = append(p.frames, next)
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// pop returns the next frame if it can be read by now. Otherwise it returns how
// long that takes, or 0 if there is no frame.
func (p *pipe) pop() (*framer.Frame, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.frames) == 0 {
		return nil, 0
	}
	next := p.frames[0]
	if wait := time.Until(next.at); wait > 0 {
		return nil, wait
	}
	p.frames = p.frames[1:]
	return next.frame, 0
}
