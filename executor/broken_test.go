package executor_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/caller"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/fakes/breaker"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// TestBrokenAnswer guards against passing an invalid or incomplete answer on to the entry as a complete one, and
// against saying that its request did not run.
func TestBrokenAnswer(t *testing.T) {
	tests := []struct {
		answers []breaker.Answer
		reason  carawaybeam.Reason
		broken  uint64
	}{
		{breaker.Invalid(), carawaybeam.ReasonCorrupt, 1},
		{breaker.Incomplete(), carawaybeam.ReasonBackendFailed, 1},
		{breaker.Malformed(), carawaybeam.ReasonBackendFailed, 0},
	}
	for _, test := range tests {
		for _, answer := range test.answers {
			t.Run(answer.Name, func(t *testing.T) {
				t.Parallel() // Each waits for the acknowledgement of the entry.
				is := is.New(t)
				b := breaker.Start(t, answer)
				e := executor.New(executor.Options{
					Backend:     caller.New(carawaybeam.BackendOptions{URL: "http://" + b.Address()}, false),
					Quarantiner: quarantiner.New(quarantiner.Complete),
					Concurrency: 4, Incarnation: "1", Log: zerolog.Nop(),
				})
				defer func() { is.NoErr(e.Close()) }()
				last := runOnce(e, "a")
				is.True(last.GetTail() == nil)
				is.Equal(last.GetFailed().GetOutcome(), string(carawaybeam.OutcomeUnknown))
				is.Equal(last.GetFailed().GetReason(), string(test.reason))
				is.Equal(e.State().Broken, test.broken)
			})
		}
	}
}

// TestInvalidLoadIsNoCrash guards against refusing requests as the cause of a crash because their backend server sends
// invalid answers, also to probes.
func TestInvalidLoadIsNoCrash(t *testing.T) {
	for _, answer := range breaker.Invalid() {
		t.Run(answer.Name, func(t *testing.T) {
			t.Parallel() // Each waits for the acknowledgement of the entry.
			is := is.New(t)
			e := executor.New(executor.Options{
				Backend: caller.New(
					carawaybeam.BackendOptions{URL: "http://" + breaker.Start(t, answer).Address()}, false,
				),
				Quarantiner: quarantiner.New(quarantiner.Complete),
				Concurrency: 4, Incarnation: "1", Log: zerolog.Nop(),
			})
			defer func() { is.NoErr(e.Close()) }()
			is.True(runOnce(e, "a").GetFailed() != nil)
			is.Equal(e.State().Crashes, uint64(0))
		})
	}
}
