package executor_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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
	"github.com/carawaybeam/carawaybeam/prover"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// countingBackend takes a second for each answer and records when it started them.
type countingBackend struct {
	mu     sync.Mutex
	starts []time.Time
}

func (b *countingBackend) Start(
	ctx context.Context,
	_ carawaybeam.BackendRequest,
) (*carawaybeam.BackendResponse, error) {
	b.mu.Lock()
	b.starts = append(b.starts, time.Now())
	b.mu.Unlock()
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	body := io.NopCloser(strings.NewReader("x"))
	return &carawaybeam.BackendResponse{Status: 200, ContentType: "text/plain", Body: body}, nil
}

func (*countingBackend) Load(context.Context) (carawaybeam.Load, carawaybeam.BackendSignals, error) {
	return carawaybeam.Load{}, carawaybeam.BackendSignals{}, nil
}

func evacuation(version uint64, evacuated bool) *framer.Evacuation {
	return &framer.Evacuation{Version: version, Evacuated: evacuated}
}

// TestEvacuatedAgent guards against new work while the data centre is evacuated, against keys that no
// other agent may run then, against the loss of answers, and against statements of entries that have
// read an older state than others.
func TestEvacuatedAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		backend := &countingBackend{}
		e, link := newLinkTo(
			t,
			executor.Options{Backend: backend, Incarnation: "i", Concurrency: 8, Log: zerolog.Nop()},
		)
		is.True(exchange(t, link, dispatch("a", "ka"), "a").GetTail() != nil)
		e.ObserveEvacuation(nil)
		e.ObserveEvacuation(evacuation(7, true))
		e.ObserveEvacuation(evacuation(6, false))
		refused := exchange(t, link, dispatch("b", "kb"), "b").GetRefused()
		is.Equal(carawaybeam.Reason(refused.GetReason()), carawaybeam.ReasonLeaving)
		is.True(refused.GetKeyReleased())
		is.True(exchange(t, link, dispatch("again", "ka"), "again").GetTail() != nil)
		e.ObserveEvacuation(evacuation(8, false))
		is.True(exchange(t, link, dispatch("b2", "kb"), "b2").GetRefused().GetKeyReleased())
		is.True(exchange(t, link, dispatch("c", "kc"), "c").GetTail() != nil)
		// An entry may know of the evacuation before the agent does.
		known := dispatch("d", "kd")
		known.GetDispatch().OnlyKnown = true
		is.True(exchange(t, link, known, "d").GetRefused().GetKeyReleased())
		known = dispatch("c2", "kc")
		known.GetDispatch().OnlyKnown = true
		is.True(exchange(t, link, known, "c2").GetTail() != nil)
		is.Equal(len(backend.starts), 2)
	})
}

// TestPromiseEvacuationOfWaiting checks that suspects that wait for their turn at an agent when its data
// centre is evacuated do not start, and are reported as not run.
func TestPromiseEvacuationOfWaiting(t *testing.T) {
	trials, violations := 0, 0
	for seed := range prover.Seeds() {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(uint64(seed), 0))
			backend := &countingBackend{}
			e, link := newLinkTo(t, executor.Options{
				Backend: backend, Incarnation: "i", Concurrency: 8, Log: zerolog.Nop(),
			})
			var wait sync.WaitGroup
			var mu sync.Mutex
			answered, notRun := 0, 0
			suspects := 2 + random.IntN(5)
			for i := range suspects {
				key := fmt.Sprint("k", i)
				e.Quarantiner().Add(quarantiner.Fingerprint(key), "crash/1")
				wait.Go(func() {
					last := exchange(t, link, dispatch(key, key), key)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case last.GetTail() != nil:
						answered++
					case last.GetFailed().GetOutcome() == string(carawaybeam.OutcomeNotRun):
						notRun++
					}
				})
			}
			time.Sleep(time.Duration(1+random.IntN(1500)) * time.Millisecond)
			e.ObserveEvacuation(evacuation(1, true))
			evacuated := time.Now()
			wait.Wait()
			is.Equal(answered+notRun, suspects)
			is.Equal(answered, len(backend.starts))
			for _, start := range backend.starts {
				if start.After(evacuated) {
					violations++
				}
			}
			trials++
		})
	}
	prover.Report(t, prover.Evacuation, trials, violations)
}
