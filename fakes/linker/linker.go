// Package linker is a stand-in for the links between processes: it carries
// frames in memory, and delays, loses, reorders or silences them on order. It
// fits into a testing/synctest bubble. It serves tests only.
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

// errUnreachable reports that nobody listens at an address.
var errUnreachable = errors.New("connection refused")

type (
	// Direction tells which way a frame goes.
	Direction int

	// Decision tells what becomes of one frame.
	Decision struct {
		// Drop loses the frame, as a link that has gone silent does.
		Drop bool
		// Copies adds that many further copies.
		Copies int
		// Delay holds the frame back. Frames behind it may overtake it, unless
		// they are held back too.
		Delay time.Duration
		// Latency is the time that the frame takes. Frames keep their order.
		Latency time.Duration
		// Cut ends the stream in place of carrying the frame.
		Cut bool
		// Misdeliver delivers a copy on another open stream to the same address too.
		Misdeliver bool
	}

	// Injector decides on each frame. It may be called by several goroutines at
	// once.
	Injector func(address carawaybeam.Address, direction Direction, frame *framer.Frame) Decision

	// Network carries links to the handlers that listen on it. The zero value
	// is ready to use.
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

	// half is one direction of a stream.
	half struct {
		mu     sync.Mutex
		frames []arrival
		// late counts frames held back.
		late int
		wake chan struct{}
	}

	// arrival is a frame and when it can be read.
	arrival struct {
		frame *framer.Frame
		at    time.Time
	}

	stream struct {
		link      *link
		direction Direction
		in, out   *half
		ctx       context.Context
		cancel    context.CancelFunc
	}
)

const (
	// ToListener is the direction of frames of the process that dialled.
	ToListener Direction = iota
	// ToDialer is the direction of frames of the process that listens.
	ToDialer
)

var (
	_ carawaybeam.Dialer = (*Network)(nil)
	_ carawaybeam.Link   = (*link)(nil)
	_ carawaybeam.Stream = (*stream)(nil)
)

// SetInjector sets what decides on each frame from now on. Nil carries them all.
func (n *Network) SetInjector(injector Injector) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.injector = injector
}

// Listen serves links to the address by the handler.
func (n *Network) Listen(address carawaybeam.Address, handler carawaybeam.StreamHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers == nil {
		n.handlers = make(map[carawaybeam.Address]carawaybeam.StreamHandler)
	}
	n.handlers[address] = handler
}

// Unlisten makes the address unreachable and cuts its links.
func (n *Network) Unlisten(address carawaybeam.Address) {
	n.mu.Lock()
	delete(n.handlers, address)
	n.mu.Unlock()
	n.Cut(address)
}

// Cut ends all links to the address.
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

// Silence loses all further frames of the present links to the address, which
// stay open, while new links work.
func (n *Network) Silence(address carawaybeam.Address) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.address == address {
			l.silent.Store(true)
		}
	}
}

// Close ends all links and waits for their handlers.
func (n *Network) Close() error {
	n.mu.Lock()
	for l := range n.links {
		l.cancel()
	}
	n.mu.Unlock()
	n.wait.Wait()
	return nil
}

// Dial connects to the handler that listens at the address.
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

func (n *Network) verdict(address carawaybeam.Address, direction Direction, frame *framer.Frame) Decision {
	n.mu.Lock()
	injector := n.injector
	n.mu.Unlock()
	if injector == nil {
		return Decision{}
	}
	return injector(address, direction, frame)
}

// Open starts a stream.
func (l *link) Open(context.Context) (carawaybeam.Stream, error) {
	l.network.mu.Lock()
	handler, ok := l.network.handlers[l.address]
	l.network.mu.Unlock()
	if !ok || l.ctx.Err() != nil {
		return nil, errUnreachable
	}
	ctx, cancel := context.WithCancel(l.ctx)
	there, back := newHalf(), newHalf()
	near := &stream{link: l, direction: ToListener, in: back, out: there, ctx: ctx, cancel: cancel}
	far := &stream{link: l, direction: ToDialer, in: there, out: back, ctx: ctx, cancel: cancel}
	l.network.track(near, far)
	l.network.wait.Go(func() {
		defer l.network.untrack(near, far)
		far.serve(handler)
	})
	return near, nil
}

// Done is closed once the link has ended.
func (l *link) Done() <-chan struct{} { return l.ctx.Done() }

// Close ends the link and its streams.
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

// other returns another open stream to the same address in the same direction.
func (n *Network) other(than *stream) *stream {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.streams {
		if s != than && s.direction == than.direction && s.link.address == than.link.address && s.ctx.Err() == nil {
			return s
		}
	}
	return nil
}

// listens tells whether the handler still listens at the address.
func (n *Network) listens(address carawaybeam.Address, handler carawaybeam.StreamHandler) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[address] == handler
}

// serve hands the stream to the handler with its first frame. A frame that was
// held back reaches the handler even after the dialer has closed the stream, as
// one in the buffers of a paused process does.
func (s *stream) serve(handler carawaybeam.StreamHandler) {
	defer func() { _ = s.Close() }()
	first, err := s.Receive(0)
	for err != nil && s.in.awaitLate() {
		first, err = s.Receive(0)
	}
	if err != nil || !s.link.network.listens(s.link.address, handler) {
		return
	}
	handler.ServeStream(s.ctx, first, s)
}

// Send carries a copy of the frame as the injector decides.
func (s *stream) Send(frame *framer.Frame) error {
	if s.ctx.Err() != nil {
		return io.ErrClosedPipe
	}
	v := s.link.network.verdict(s.link.address, s.direction, frame)
	if v.Cut {
		s.cancel()
		return io.ErrClosedPipe
	}
	if v.Drop || s.link.silent.Load() {
		return nil
	}
	if v.Misdeliver {
		if other := s.link.network.other(s); other != nil {
			other.out.push(arrival{frame: proto.CloneOf(frame), at: time.Now()})
		}
	}
	for range v.Copies + 1 {
		s.deliver(proto.CloneOf(frame), v)
	}
	return nil
}

func (s *stream) deliver(frame *framer.Frame, v Decision) {
	at := time.Now().Add(v.Delay + v.Latency)
	if v.Delay == 0 {
		s.out.push(arrival{frame: frame, at: at})
		return
	}
	s.out.hold(1)
	s.link.network.wait.Go(func() {
		time.Sleep(v.Delay)
		s.out.push(arrival{frame: frame, at: at})
		s.out.hold(-1)
	})
}

// Receive reads one frame. Frames that arrived before the end of the stream can
// still be read after it.
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
		case <-s.in.wake:
		case <-arrived:
		case <-expired:
			return nil, &carawaybeam.ReceiveTimeoutError{After: timeout}
		case <-s.ctx.Done():
			return s.drain()
		}
	}
}

// drain reads what was still on its way at the end of the stream.
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

// Close ends both directions.
func (s *stream) Close() error {
	s.cancel()
	return nil
}

func newHalf() *half { return &half{wake: make(chan struct{}, 1)} }

// hold counts frames held back.
func (h *half) hold(n int) {
	h.mu.Lock()
	h.late += n
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// awaitLate waits for a frame that was held back. It reports false when there is
// none.
func (h *half) awaitLate() bool {
	for {
		h.mu.Lock()
		late, arrived := h.late, len(h.frames)
		h.mu.Unlock()
		if arrived > 0 {
			return true
		}
		if late == 0 {
			return false
		}
		<-h.wake
	}
}

func (h *half) push(next arrival) {
	h.mu.Lock()
	h.frames = append(h.frames, next)
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// pop returns the next frame that has arrived, or how long the next one still
// takes, or neither.
func (h *half) pop() (*framer.Frame, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.frames) == 0 {
		return nil, 0
	}
	next := h.frames[0]
	if wait := time.Until(next.at); wait > 0 {
		return nil, wait
	}
	h.frames = h.frames[1:]
	return next.frame, 0
}
