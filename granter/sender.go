package granter

import (
	"context"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// queueLength bounds the messages that wait for one peer.
	queueLength = 64

	// ackTimeout is how long a peer may take to acknowledge one message.
	ackTimeout = time.Second

	// dialTimeout bounds the time to connect to a peer.
	dialTimeout = time.Second

	// sendTries is how often a message is put on a link.
	sendTries = 2
)

// sender carries messages to one peer. The peer acknowledges each, so that a
// link that has gone silent is replaced. What cannot be sent is dropped, since
// the protocol sends again.
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

// put queues a frame, or drops it if too many wait.
func (s *sender) put(frame *framer.Frame) {
	select {
	case s.queue <- frame:
	default:
	}
}

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

func (s *sender) send(ctx context.Context, frame *framer.Frame) {
	for range sendTries {
		if ctx.Err() != nil || s.connect(ctx) != nil {
			return
		}
		if s.exchange(ctx, frame) == nil {
			return
		}
		s.disconnect()
	}
}

// exchange sends a frame and waits until the peer has it.
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
