package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/prover"
	"github.com/carawaybeam/carawaybeam/retrier/budget"
)

// failuresPerSeed is the number of failed attempts that the retrier decides on for
// each seed.
const failuresPerSeed = 500

// A non-idempotent request that may have run must never be retried.
func TestPromiseRetryNeedsProof(t *testing.T) {
	outcomes := []carawaybeam.Outcome{
		carawaybeam.OutcomeNotRun, carawaybeam.OutcomeRan, carawaybeam.OutcomeUnknown,
	}
	reasons := []carawaybeam.Reason{
		carawaybeam.ReasonBusy, carawaybeam.ReasonLeaving, carawaybeam.ReasonBackendFailed,
		carawaybeam.ReasonCorrupt, carawaybeam.ReasonAnswerGone, carawaybeam.ReasonWrongIncarnation,
	}
	trials, violations := 0, 0
	for seed := range prover.Seeds() {
		random := rand.New(rand.NewPCG(uint64(seed+1), 0))
		r := budget.New()
		for range failuresPerSeed {
			at := now.Add(time.Duration(random.IntN(1000)) * time.Millisecond)
			failure := carawaybeam.RequestError{
				Outcome: outcomes[random.IntN(len(outcomes))],
				Reason:  reasons[random.IntN(len(reasons))],
			}
			request := failed(failure, random.IntN(2) == 0, 1+random.IntN(4))
			r.CountFirstAttempt(at, request.Class.ID)
			decision := r.Retry(at, request, random)
			trials++
			mayHaveRun := failure.Outcome != carawaybeam.OutcomeNotRun
			if decision.Retry && mayHaveRun && !request.Class.Idempotent {
				violations++
			}
		}
	}
	prover.Report(t, prover.AtMostOnce, trials, violations)
}
