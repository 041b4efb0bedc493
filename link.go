package carawaybeam

import (
	"context"
	"time"

	"github.com/carawaybeam/carawaybeam/framer"
)

type (
	// Stream carries frames in order in both directions. One goroutine may
	// send while another receives.
	Stream interface {
		// Send writes one frame.
		Send(frame *framer.Frame) error
		// Receive reads one frame. It fails with *SilenceError when none comes
		// within the timeout, where 0 means no limit. A stream on which it
		// failed can only be closed.
		Receive(timeout time.Duration) (*framer.Frame, error)
		// Close ends both directions and wakes a blocked Send or Receive.
		Close() error
	}

	// Link carries many streams between two processes.
	Link interface {
		// Open starts a stream.
		Open(ctx context.Context) (Stream, error)
		// Done is closed once the link can carry nothing more.
		Done() <-chan struct{}
		// Close ends the link and all its streams.
		Close() error
	}

	// Dialer makes links.
	Dialer interface {
		// Dial connects to the process that listens at the address.
		Dial(ctx context.Context, address Address) (Link, error)
	}

	// StreamHandler serves the streams that a peer opens.
	StreamHandler interface {
		// ServeStream handles one stream whose first frame is given. The
		// caller closes the stream afterwards.
		ServeStream(ctx context.Context, first *framer.Frame, stream Stream)
	}
)

// ReceiveTimeoutError reports that a peer sent nothing for too long.
type ReceiveTimeoutError struct {
	// After is how long the receiver waited.
	After time.Duration
}

func (e *ReceiveTimeoutError) Error() string {
	return "no frame from the peer for " + e.After.String()
}
