package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/retrier/budget"
)

// An agent stops while more requests are on their way to it than the budget allows
// to retry. All of them must be retried: the agent has proved that it did not run
// them, and it receives no requests for long once it is leaving.
func TestPlannedStop(t *testing.T) {
	const requests = 40
	r := budget.New()
	now := time.Unix(0, 0)
	random := rand.New(rand.NewPCG(1, 1))
	for range requests {
		r.CountFirstAttempt(now, "bookings")
	}
	for i := range requests {
		decision := r.Retry(now, carawaybeam.RetryRequest{
			Class:    carawaybeam.Class{ID: "bookings"},
			Attempts: 1,
			Failure: &carawaybeam.RequestError{
				Outcome: carawaybeam.OutcomeNotRun, Reason: carawaybeam.ReasonLeaving,
			},
			Deadline: now.Add(time.Minute),
		}, random)
		if !decision.Retry {
			t.Fatalf("request %d of %d is not retried", i+1, requests)
		}
	}
}

// A backend server becomes unreachable while it runs more idempotent requests than
// the budget allows to retry. Each of them is retried on another one once without
// being charged to the budget. Further retries are charged.
func TestSilentBackendServer(t *testing.T) {
	const requests = 40
	r := budget.New()
	now := time.Unix(0, 0)
	random := rand.New(rand.NewPCG(1, 1))
	lost := carawaybeam.RetryRequest{
		Class:    carawaybeam.Class{ID: "lookups", Idempotent: true},
		Attempts: 1,
		Failure: &carawaybeam.RequestError{
			Outcome: carawaybeam.OutcomeUnknown, Reason: carawaybeam.ReasonBackendFailed,
		},
		Unreachable: true,
		Deadline:    now.Add(time.Minute),
	}
	for i := range requests {
		if !r.Retry(now, lost, random).Retry {
			t.Fatalf("request %d of %d is not retried", i+1, requests)
		}
	}
	lost.Attempts = 2
	retried := 0
	for range requests {
		if r.Retry(now, lost, random).Retry {
			retried++
		}
	}
	if retried == requests {
		t.Error("all requests are retried twice")
	}
}
