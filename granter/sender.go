package granter

import (
	"context"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// queueLength is the maximum number of messages queued for one peer.
	queueLength = 64

	// ackTimeout is the timeout for the acknowledgement of one message.
	ackTimeout = time.Second

	// dialTimeout is the timeout for connecting to a peer.
	dialTimeout = time.Second

	// sendAttempts is the maximum number of attempts to send a message.
	sendAttempts = 2
)

// sender sends messages to one peer. The peer acknowledges each message, so that a
// link on which nothing arrives any more is detected and replaced. Messages that
// cannot be sent are dropped, since the protocol repeats them.
type sender struct {
	address carawaybeam.Address
	dialer  carawaybeam.Dialer
	queue   chan *framer.Frame

	link   carawaybeam.Link
	stream carawaybeam.Stream
}

func newSender(address carawaybeam.Address, dialer carawaybeam.Dialer) *sender {
	return &sender{address: address, dialer: dialer, queue: make(chan *framer.Frame, queueLength)}
}

// enqueue queues a frame, or drops it if the queue is full.
func (s *sender) enqueue(frame *framer.Frame) {
	select {
	case s.queue <- frame:
	default:
	}
}

// run sends the queued frames until the context ends.
func (s *sender) run(ctx context.Context) {
	defer s.disconnect()
	for {
		select {
		case frame := <-s.queue:
			s.send(ctx, frame)
		case <-ctx.Done():
			return
		}
	}
}

// send sends a frame, with a new connection for each further attempt.
func (s *sender) send(ctx context.Context, frame *framer.Frame) {
	for range sendAttempts {
		if ctx.Err() != nil || s.connect(ctx) != nil {
			return
		}
		if s.exchange(ctx, frame) == nil {
			return
		}
		s.disconnect()
	}
}

// exchange sends a frame and waits for its acknowledgement.
func (s *sender) exchange(ctx context.Context, frame *framer.Frame) error {
	stream := s.stream
	release := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer release()
	if err := stream.Send(frame); err != nil {
		return err
	}
	_, err := stream.Receive(ackTimeout)
	return err
}

// connect opens a link and a stream to the peer, unless it is connected.
func (s *sender) connect(ctx context.Context) error {
	if s.stream != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := s.dialer.Dial(ctx, s.address)
	if err != nil {
		return err
	}
	stream, err := link.Open(ctx)
	if err != nil {
		_ = link.Close()
		return err
	}
	s.link = link
	s.stream = stream
	return nil
}

func (s *sender) disconnect() {
	if s.stream == nil {
		return
	}
	_ = s.stream.Close()
	_ = s.link.Close()
	s.stream = nil
	s.link = nil
}
