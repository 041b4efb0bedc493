package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/retrier/budget"
)

// TestPlannedStop lets an agent stop with more requests on their way to it than
// the budget holds. Each of them is tried again, since the agent has proved that
// it did not run it, and is left by all of them within moments.
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
			t.Fatalf("request %d of %d is not tried again", i+1, requests)
		}
	}
}

// TestSilentBackendServer loses a backend server with more idempotent requests on
// it than the budget holds. Each of them moves once, and only once, without being
// counted.
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
			t.Fatalf("request %d of %d does not move", i+1, requests)
		}
	}
	lost.Attempts = 2
	moved := 0
	for range requests {
		if r.Retry(now, lost, random).Retry {
			moved++
		}
	}
	if moved == requests {
		t.Error("all requests move twice")
	}
}
