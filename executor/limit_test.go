package executor_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/framer"
)

var errClosed = errors.New("stream is closed")

type (
	// slowBackend begins each answer after a delay.
	slowBackend struct {
		delay time.Duration
	}

	// recordedStream records the frames that are sent on it.
	recordedStream struct {
		sent   []*framer.Frame
		closed chan struct{}
		once   sync.Once
	}
)

func (b *slowBackend) Start(context.Context, carawaybeam.BackendRequest) (*carawaybeam.BackendResponse, error) {
	time.Sleep(b.delay)
	return &carawaybeam.BackendResponse{
		Status: 200, ContentType: "text/event-stream", Body: io.NopCloser(strings.NewReader("data: [DONE]\n\n")),
	}, nil
}

func (b *slowBackend) Load(context.Context) (carawaybeam.Load, carawaybeam.BackendSignals, error) {
	return carawaybeam.Load{}, carawaybeam.BackendSignals{}, nil
}

func (s *recordedStream) Send(frame *framer.Frame) error {
	s.sent = append(s.sent, frame)
	return nil
}

func (s *recordedStream) Receive(time.Duration) (*framer.Frame, error) {
	<-s.closed
	return nil, errClosed
}

func (s *recordedStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// runOnce runs one attempt to its end and returns the last frame.
func runOnce(e *executor.Executor, id string) *framer.Frame {
	s := &recordedStream{closed: make(chan struct{})}
	defer func() { _ = s.Close() }()
	e.ServeDispatch(context.Background(), &framer.Frame{
		Body: &framer.Frame_Dispatch{Dispatch: &framer.Dispatch{Attempt: id, Idempotent: true}},
	}, s)
	return s.sent[len(s.sent)-1]
}

// The concurrency limit must shrink when answers of the backend server begin much later
// than usual.
func TestSlowBackendGetsFewerConcurrentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backend := &slowBackend{delay: 100 * time.Millisecond}
		e := executor.New(executor.Options{Backend: backend, Concurrency: 64, Log: zerolog.Nop()})
		defer func() { is.NoErr(e.Close()) }()
		for i := range 50 {
			is.True(runOnce(e, fmt.Sprintf("usual-%d", i)).GetTail() != nil)
		}
		is.Equal(e.State().Limit, 64)
		backend.delay = 5 * time.Second
		for i := range 100 {
			runOnce(e, fmt.Sprintf("slow-%d", i))
		}
		is.True(e.State().Limit < 16)
		for i := range 64 {
			go runOnce(e, fmt.Sprintf("many-%d", i))
		}
		synctest.Wait()
		refused := runOnce(e, "one more").GetRefused()
		is.Equal(refused.GetReason(), string(carawaybeam.ReasonBusy))
		time.Sleep(time.Minute)
	})
}
