package executor_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// designInterval is the mean time between two requests to one of 3,600 backend
	// servers at 8,100 requests per second in total.
	designInterval = 4 * time.Second / 9

	// memoryBound is the maximum memory, in bytes, that a node may use for control.
	memoryBound = 32 << 20

	address = "10.0.0.1:7000"
)

// textBackend answers each request with a short text at once.
type textBackend struct{}

func (textBackend) Start(_ context.Context, call carawaybeam.BackendRequest) (*carawaybeam.BackendResponse, error) {
	body := strings.NewReader("confirmed " + string(call.Body) + strings.Repeat(".", 200))
	return &carawaybeam.BackendResponse{Status: 200, ContentType: "text/plain", Body: io.NopCloser(body)}, nil
}

func (textBackend) Load(context.Context) (carawaybeam.Load, carawaybeam.BackendSignals, error) {
	return carawaybeam.Load{}, carawaybeam.BackendSignals{}, nil
}

// handler serves dispatch and resolve streams by an executor.
type handler struct{ executor *executor.Executor }

func (h handler) ServeStream(ctx context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	if first.GetResolve() != nil {
		h.executor.ServeResolve(ctx, first, stream)
		return
	}
	h.executor.ServeDispatch(ctx, first, stream)
}

// exchange sends one frame, acknowledges the answer and returns its last frame.
func exchange(t *testing.T, link carawaybeam.Link, first *framer.Frame, attempt string) *framer.Frame {
	t.Helper()
	stream, err := link.Open(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(first); err != nil {
		t.Fatal(err)
	}
	for {
		frame, err := stream.Receive(time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		if frame.GetTail() != nil || frame.GetRefused() != nil || frame.GetFailed() != nil {
			acknowledge := &framer.Acknowledge{Attempt: attempt}
			_ = stream.Send(&framer.Frame{Body: &framer.Frame_Acknowledge{Acknowledge: acknowledge}})
			return frame
		}
	}
}

func dispatch(id, key string) *framer.Frame {
	return &framer.Frame{Body: &framer.Frame_Dispatch{Dispatch: &framer.Dispatch{
		Attempt: id, Key: key, Body: []byte(id), Fingerprint: []byte(key),
	}}}
}

// newLink returns an executor and a link to it.
func newLink(t *testing.T) (*executor.Executor, carawaybeam.Link) {
	t.Helper()
	return newLinkTo(
		t,
		executor.Options{Backend: textBackend{}, Incarnation: "i", Concurrency: 64, Log: zerolog.Nop()},
	)
}

// newLinkTo returns an executor with the options and a link to it.
func newLinkTo(t *testing.T, options executor.Options) (*executor.Executor, carawaybeam.Link) {
	t.Helper()
	e := executor.New(options)
	network := &linker.Network{}
	network.Listen(address, handler{e})
	link, err := network.Dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := network.Close(); err != nil {
			t.Error(err)
		}
		if err := e.Close(); err != nil {
			t.Error(err)
		}
	})
	return e, link
}

// The ledger must stay within memoryBound when attempts with keys arrive at the design
// rate, and still refuse to run a key again whose answer it no longer holds.
func TestLedgerIsBounded(t *testing.T) {
	// LEDGER_HOURS=26 covers the whole retention of keys, which takes minutes.
	hours, err := strconv.Atoi(os.Getenv("LEDGER_HOURS"))
	if err != nil {
		hours = 1
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, link := newLink(t)
		before := heap()
		n := int(time.Duration(hours) * time.Hour / designInterval)
		for i := range n {
			id := fmt.Sprintf("7f9c2b1e-5d0a-4c6b-8e7f-%012d.1", i)
			is.True(exchange(t, link, dispatch(id, fmt.Sprintf("key-%032d", i)), id).GetTail() != nil)
			time.Sleep(designInterval)
		}
		used := heap() - before
		state := e.State()
		fmt.Printf("ledger after %d keyed attempts in %d h: full %d compact %d heap %.1f MB\n",
			n, hours, state.Remembered, state.Compact, float64(used)/(1<<20))
		is.True(used < memoryBound)
		// A key of which only the digest is kept does not run again.
		last := exchange(t, link, dispatch("again", fmt.Sprintf("key-%032d", n/10)), "again")
		is.Equal(last.GetFailed().GetOutcome(), string(carawaybeam.OutcomeRan))
		is.Equal(last.GetFailed().GetReason(), string(carawaybeam.ReasonAnswerGone))
	})
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// An attempt that never arrived is resolved, while another attempt with the same key
// ran. The answer of that attempt must be returned.
func TestResolveFindsAttemptByKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, link := newLink(t)
		is.True(exchange(t, link, dispatch("a.1", "k"), "a.1").GetTail() != nil)
		resolve := &framer.Resolve{Attempt: "b.1", Key: "k", Fingerprint: []byte("k")}
		got := exchange(t, link, &framer.Frame{Body: &framer.Frame_Resolve{Resolve: resolve}}, "b.1")
		is.True(got.GetTail() != nil)
		// An unknown attempt without a key never runs after it was resolved, even
		// if its dispatch arrives late.
		resolve = &framer.Resolve{Attempt: "c.1"}
		got = exchange(t, link, &framer.Frame{Body: &framer.Frame_Resolve{Resolve: resolve}}, "c.1")
		is.Equal(got.GetRefused().GetReason(), string(carawaybeam.ReasonTombstoned))
		got = exchange(t, link, dispatch("c.1", ""), "c.1")
		is.Equal(got.GetRefused().GetReason(), string(carawaybeam.ReasonTombstoned))
	})
}

// TestSuspendedAgentRefuses guards against running, after a suspension, what was sent before it
// or while the signal to stop has not been handled yet.
func TestSuspendedAgentRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var suspended atomic.Bool
		e, link := newLinkTo(t, executor.Options{
			Backend: textBackend{}, Incarnation: "i", Concurrency: 64, Suspended: suspended.Load, Log: zerolog.Nop(),
		})
		suspended.Store(true)
		got := exchange(t, link, dispatch("a.1", ""), "a.1").GetRefused()
		is.Equal(got.GetReason(), string(carawaybeam.ReasonBusy))
		suspended.Store(false)
		// A late copy of a refused attempt does not run either.
		is.True(exchange(t, link, dispatch("a.1", ""), "a.1").GetRefused() != nil)
		is.True(exchange(t, link, dispatch("b.1", ""), "b.1").GetTail() != nil)
		is.Equal(e.State().Leaving, false)
	})
}

// TestSuspendedBeforeSending guards against sending a request to the backend server after a
// suspension that began when the request had been accepted.
func TestSuspendedBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asked := 0
		_, link := newLinkTo(t, executor.Options{
			Backend: textBackend{}, Incarnation: "i", Concurrency: 64, Log: zerolog.Nop(),
			// The process is suspended between the admission and the sending.
			Suspended: func() bool {
				asked++
				return asked > 1
			},
		})
		got := exchange(t, link, dispatch("a.1", ""), "a.1").GetFailed()
		is.Equal(got.GetOutcome(), string(carawaybeam.OutcomeNotRun))
		is.Equal(asked, 2)
	})
}

func TestLeavingAgentReleasesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, link := newLink(t)
		e.Leave()
		for _, id := range []string{"a.1", "b.1"} {
			got := exchange(t, link, dispatch(id, "k"), id).GetRefused()
			is.Equal(got.GetReason(), string(carawaybeam.ReasonLeaving))
			is.True(got.GetKeyReleased())
		}
	})
}

// delayedBackend answers each request after a time, unless it is cancelled before.
type delayedBackend struct {
	textBackend
	after time.Duration
}

func (b delayedBackend) Start(
	ctx context.Context,
	call carawaybeam.BackendRequest,
) (*carawaybeam.BackendResponse, error) {
	select {
	case <-time.After(b.after):
		return b.textBackend.Start(ctx, call)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestCancelLeavesOtherReaders guards against a reader that cancels an attempt which another one
// still waits for.
func TestCancelLeavesOtherReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, link := newLinkTo(t, executor.Options{
			Backend: delayedBackend{after: time.Second}, Incarnation: "i", Concurrency: 64, Log: zerolog.Nop(),
		})
		first, err := link.Open(t.Context())
		is.NoErr(err)
		sent := dispatch("a.1", "k")
		sent.GetDispatch().Idempotent = true
		is.NoErr(first.Send(sent))
		answer := make(chan *framer.Frame, 1)
		go func() {
			again := dispatch("a.2", "k")
			again.GetDispatch().Idempotent = true
			again.GetDispatch().Body = []byte("a.1")
			answer <- exchange(t, link, again, "a.2")
		}()
		time.Sleep(500 * time.Millisecond)
		cancel := &framer.Cancel{Attempt: "a.1"}
		is.NoErr(first.Send(&framer.Frame{Body: &framer.Frame_Cancel{Cancel: cancel}}))
		is.True((<-answer).GetTail() != nil)
		is.NoErr(first.Close())
	})
}

// TestLinkLostTwiceIsNoAbandonment checks that a request is not cancelled between two links
// of its entry because an earlier link was lost some time before.
func TestLinkLostTwiceIsNoAbandonment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := executor.New(executor.Options{
			Backend: delayedBackend{after: 15 * time.Second}, Incarnation: "i", Concurrency: 64, Log: zerolog.Nop(),
		})
		network := &linker.Network{}
		network.Listen(address, handler{e})
		connect := func() carawaybeam.Link {
			link, err := network.Dial(t.Context(), address)
			is.NoErr(err)
			return link
		}
		open := func(first *framer.Frame) {
			stream, err := connect().Open(t.Context())
			is.NoErr(err)
			is.NoErr(stream.Send(first))
			time.Sleep(time.Millisecond)
		}
		resolve := &framer.Frame{Body: &framer.Frame_Resolve{Resolve: &framer.Resolve{Attempt: "a"}}}
		first := dispatch("a", "")
		first.GetDispatch().Idempotent = true
		open(first)
		network.Cut(address)
		time.Sleep(time.Second)
		open(resolve)
		time.Sleep(8800 * time.Millisecond)
		network.Cut(address)
		time.Sleep(500 * time.Millisecond)
		is.True(exchange(t, connect(), resolve, "a").GetTail() != nil)
		is.NoErr(network.Close())
		is.NoErr(e.Close())
	})
}
