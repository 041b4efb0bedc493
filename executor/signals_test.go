package executor_test

import (
	"context"
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
	"github.com/carawaybeam/carawaybeam/fakes/arbiter"
	"github.com/carawaybeam/carawaybeam/prover"
)

// signallingBackend answers at once, with signals, and records when requests arrive.
type signallingBackend struct {
	mu      sync.Mutex
	signals carawaybeam.BackendSignals
	arrived []arbiter.Arrival
}

func (b *signallingBackend) Start(context.Context, carawaybeam.BackendRequest) (*carawaybeam.BackendResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived = append(b.arrived, arbiter.Arrival{At: time.Now()})
	return &carawaybeam.BackendResponse{
		Status: 200, ContentType: "text/plain", Body: io.NopCloser(strings.NewReader("x")), Signals: b.signals,
	}, nil
}

func (b *signallingBackend) Load(context.Context) (carawaybeam.Load, carawaybeam.BackendSignals, error) {
	return carawaybeam.Load{}, b.signals, nil
}

// sendFor sends 50 requests a second and waits until all streams have ended, which takes 3 s
// longer.
func sendFor(e *executor.Executor, duration time.Duration) {
	var streams sync.WaitGroup
	began := time.Now()
	for time.Since(began) < duration {
		id := fmt.Sprint(time.Now().UnixNano())
		streams.Go(func() { runOnce(e, id) })
		time.Sleep(20 * time.Millisecond)
	}
	streams.Wait()
}

// TestPromiseServerLimitAgent guards against an agent that sends its backend server more requests
// than the limit that it names, and against a limit that is not used.
func TestPromiseServerLimitAgent(t *testing.T) {
	violations := 0
	for _, limit := range limits {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			backend := &signallingBackend{signals: carawaybeam.BackendSignals{Limit: &limit}}
			e := executor.New(executor.Options{Backend: backend, Concurrency: 64, Log: zerolog.Nop()})
			defer func() { is.NoErr(e.Close()) }()
			began := time.Now()
			sendFor(e, 40*time.Second)
			record := arbiter.Record{
				Changes: []arbiter.Change{{At: began, Limit: float64(limit)}}, Arrivals: backend.arrived,
				Told: map[arbiter.Sender]time.Time{0: began}, SettleTime: 3 * time.Second,
			}
			violations += len(record.Violations())
			is.True(float64(len(backend.arrived)) >= 0.8*40*float64(limit))

			backend.signals = carawaybeam.BackendSignals{}
			sendFor(e, 4*time.Second)
			backend.arrived = nil
			sendFor(e, 4*time.Second)
			is.Equal(len(backend.arrived), 200) // The first answer without a limit ends it.
		})
	}
	prover.Report(t, prover.ServerLimit, len(limits), violations)
}

var limits = []carawaybeam.RequestRate{0.4, 1, 1.2, 7, 40}

// TestLeavingBackend checks that an agent sends nothing to a backend server which says that it is
// leaving, and sends requests to the one that takes its place.
func TestLeavingBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backend := &signallingBackend{signals: carawaybeam.BackendSignals{Leaving: true}}
		e := executor.New(executor.Options{Backend: backend, Concurrency: 64, Log: zerolog.Nop()})
		defer func() { is.NoErr(e.Close()) }()
		sendFor(e, 10*time.Second)
		is.Equal(len(backend.arrived), 1)
		backend.signals = carawaybeam.BackendSignals{}
		e.ObserveLoad(time.Now(), backend.signals, true)
		is.True(runOnce(e, "next").GetTail() != nil)
	})
}

// TestClosedBackend checks that an agent sends nothing to a backend server for the time for which
// it wants no requests.
func TestClosedBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backend := &signallingBackend{signals: carawaybeam.BackendSignals{RetryAfter: 5 * time.Second}}
		e := executor.New(executor.Options{Backend: backend, Concurrency: 64, Log: zerolog.Nop()})
		defer func() { is.NoErr(e.Close()) }()
		sendFor(e, time.Millisecond)
		backend.signals = carawaybeam.BackendSignals{}
		sendFor(e, time.Second)
		is.Equal(len(backend.arrived), 1)
		time.Sleep(time.Second)
		is.True(runOnce(e, "next").GetTail() != nil)
	})
}

// TestUnreachableLoadKeepsRestrictions guards against an agent that forgets the limit of a backend
// server, or for how long it wants no requests, since its load could not be read for a moment.
func TestUnreachableLoadKeepsRestrictions(t *testing.T) {
	limit := carawaybeam.RequestRate(0)
	for _, signals := range []carawaybeam.BackendSignals{{Limit: &limit}, {RetryAfter: 30 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			backend := &signallingBackend{signals: signals}
			e := executor.New(executor.Options{Backend: backend, Concurrency: 64, Log: zerolog.Nop()})
			defer func() { is.NoErr(e.Close()) }()
			sendFor(e, time.Millisecond)
			e.ObserveLoad(time.Now(), carawaybeam.BackendSignals{}, true)
			sendFor(e, time.Second)
			is.Equal(len(backend.arrived), 1)
		})
	}
}
