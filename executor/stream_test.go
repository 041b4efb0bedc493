package executor_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/framer"
)

// streamBackend answers with a stream whose parts come one in each interval. Without a limit
// the parts go on until the request is cancelled.
type streamBackend struct {
	textBackend
	part     string
	interval time.Duration
	parts    int
}

// streamBody is the body of an answer of a streamBackend.
type streamBody struct {
	streamBackend
	ctx  context.Context
	sent int
}

func (b streamBackend) Start(
	ctx context.Context,
	_ carawaybeam.BackendRequest,
) (*carawaybeam.BackendResponse, error) {
	body := &streamBody{streamBackend: b, ctx: ctx}
	return &carawaybeam.BackendResponse{Status: 200, ContentType: "text/event-stream", Body: body}, nil
}

func (b *streamBody) Read(buffer []byte) (int, error) {
	if b.parts > 0 && b.sent == b.parts {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.interval):
		b.sent++
		return copy(buffer, b.part), nil
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

func (b *streamBody) Close() error { return nil }

// TestSlowStreams checks that a stream whose events are far apart is passed on whole, and that
// one which gets a byte now and then but no event ends at the deadline of its request.
func TestSlowStreams(t *testing.T) {
	tests := map[string]struct {
		backend streamBackend
		whole   bool
		ends    time.Duration
	}{
		"slow":    {streamBackend{part: "data: a\n\n", interval: 20 * time.Second, parts: 5}, true, 100 * time.Second},
		"stalled": {streamBackend{part: ":", interval: time.Second}, false, 2 * time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, link := newLinkTo(t, executor.Options{
					Backend: test.backend, Incarnation: "i", Concurrency: 1, Log: zerolog.Nop(),
				})
				first := dispatch("a", "")
				first.GetDispatch().Idempotent = true
				first.GetDispatch().DeadlineMs = uint64((2 * time.Minute).Milliseconds())
				began := time.Now()
				last := exchange(t, link, first, "a")
				is.Equal(last.GetTail() != nil, test.whole)
				if !test.whole {
					is.Equal(last.GetFailed().GetOutcome(), string(carawaybeam.OutcomeUnknown))
				}
				is.True((time.Since(began) - test.ends).Abs() < 2*time.Second)
			})
		})
	}
}

// TestLaterRequestKeepsAttempt checks that an attempt is not stopped at the deadline of the
// request that began it while one with the same key still waits for it.
func TestLaterRequestKeepsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, link := newLinkTo(t, executor.Options{
			Backend:     streamBackend{part: "data: a\n\n", interval: time.Second, parts: 15},
			Incarnation: "i", Concurrency: 1, Log: zerolog.Nop(),
		})
		dispatchAt := func(id string) *framer.Frame {
			frame := dispatch(id, "k")
			frame.GetDispatch().Body = []byte("body")
			frame.GetDispatch().Idempotent = true
			frame.GetDispatch().DeadlineMs = uint64((10 * time.Second).Milliseconds())
			return frame
		}
		answered := make(chan *framer.Frame, 1)
		go func() { answered <- exchange(t, link, dispatchAt("a.1"), "a.1") }()
		time.Sleep(8 * time.Second)
		is.True(exchange(t, link, dispatchAt("a.2"), "a.2").GetTail() != nil)
		is.True((<-answered).GetTail() != nil)
	})
}
