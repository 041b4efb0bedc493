package carawaybeam

import (
	"context"
	"time"

	"github.com/carawaybeam/carawaybeam/framer"
)

type (
	// Stream is a bidirectional, ordered sequence of frames. One goroutine
	// may send while another receives.
	Stream interface {
		// Send writes one frame.
		Send(frame *framer.Frame) error
		// Receive reads one frame. It fails with a *ReceiveTimeoutError when
		// none arrives within the timeout, where 0 means no limit. After any
		// error of Receive the stream can only be closed.
		Receive(timeout time.Duration) (*framer.Frame, error)
		// Close ends both directions and unblocks a pending Send or Receive.
		Close() error
	}

	// Link is a connection between two processes that multiplexes streams.
	Link interface {
		// Open opens a new stream.
		Open(ctx context.Context) (Stream, error)
		// Done returns a channel that is closed once the link is unusable.
		Done() <-chan struct{}
		// Close closes the link and all its streams.
		Close() error
	}

	// Dialer establishes links.
	Dialer interface {
		// Dial connects to the process that listens at the address.
		Dial(ctx context.Context, address Address) (Link, error)
	}

	// StreamHandler serves streams opened by a peer.
	StreamHandler interface {
		// ServeStream serves one stream, from which the frame first has
		// already been read. The caller closes the stream after it returns.
		ServeStream(ctx context.Context, first *framer.Frame, stream Stream)
	}
)

// ReceiveTimeoutError reports that Stream.Receive got no frame within its
// timeout.
type ReceiveTimeoutError struct {
	// After is the timeout that elapsed.
	After time.Duration
}

func (e *ReceiveTimeoutError) Error() string {
	return "no frame from the peer for " + e.After.String()
}
