// Package budget is the retrier "budget". It limits retries to a small fraction of
// first attempts. Retries use exponential backoff with jitter and never begin after
// the deadline.
//
// Each first attempt of a class adds a fraction of a retry to the budget of the
// class, so that retries stay a fixed fraction of the traffic even if all requests
// fail. A request that may have run is retried only if its class is idempotent.
// The budget is not charged for an attempt that resumes after the part of the
// answer that an earlier one delivered, because it repeats no work, for a retry
// after the refusal of a leaving backend server, or for the first retry of a
// request whose backend server is unreachable.
package budget

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// ratio is the number of retries that a first attempt adds to the budget.
	ratio = 0.08

	// maxBudget is the largest and the initial budget of a class, in retries.
	maxBudget = 10

	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 4

	// baseBackoff is the longest backoff before the second attempt. The longest
	// backoff doubles with each attempt, up to maxBackoff. The shortest backoff is
	// half of the longest.
	baseBackoff = 40 * time.Millisecond
	maxBackoff  = time.Second
)

type (
	// Retrier keeps a retry budget for each class.
	Retrier struct {
		mu      sync.Mutex
		budgets map[carawaybeam.ClassID]float64
	}
)

func init() {
	carawaybeam.Retriers.Register("budget", func() carawaybeam.Retrier { return New() })
}

// New returns a Retrier with full budgets.
func New() *Retrier {
	return &Retrier{budgets: make(map[carawaybeam.ClassID]float64)}
}

// CountFirstAttempt adds a fraction of a retry to the budget of a class.
func (r *Retrier) CountFirstAttempt(_ time.Time, class carawaybeam.ClassID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets[class] = min(maxBudget, r.budget(class)+ratio)
}

// Retry decides on one more attempt and charges it to the budget.
func (r *Retrier) Retry(
	now time.Time,
	request carawaybeam.RetryRequest,
	random *rand.Rand,
) carawaybeam.RetryDecision {
	if !isSafe(request) || !isRetryable(request.Failure.Reason) || request.Attempts >= maxAttempts {
		return carawaybeam.RetryDecision{}
	}
	wait := backoff(request.Attempts, random)
	if !now.Add(wait).Before(request.Deadline) {
		return carawaybeam.RetryDecision{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A leaving backend server stops receiving requests within moments, so that
	// its refusals cause little load. Neither do the requests of an unreachable
	// one, each of which is retried once for free.
	firstUnreachable := request.Unreachable && request.Attempts == 1
	if request.Resumes || request.Failure.Reason == carawaybeam.ReasonLeaving || firstUnreachable {
		return carawaybeam.RetryDecision{Retry: true, Wait: wait}
	}
	left := r.budget(request.Class.ID)
	if left < 1 {
		return carawaybeam.RetryDecision{}
	}
	r.budgets[request.Class.ID] = left - 1
	return carawaybeam.RetryDecision{Retry: true, Wait: wait}
}

// budget returns the remaining retries of a class. The caller holds mu.
func (r *Retrier) budget(class carawaybeam.ClassID) float64 {
	left, ok := r.budgets[class]
	if !ok {
		return maxBudget
	}
	return left
}

// isSafe reports whether another attempt cannot repeat the effects of a
// non-idempotent request.
func isSafe(request carawaybeam.RetryRequest) bool {
	return request.Class.Idempotent || request.Failure.Outcome == carawaybeam.OutcomeNotRun
}

// isRetryable reports whether another attempt may succeed after a failure with the
// reason.
func isRetryable(reason carawaybeam.Reason) bool {
	switch reason {
	case carawaybeam.ReasonBadRequest,
		carawaybeam.ReasonUnauthorized,
		carawaybeam.ReasonForbidden,
		carawaybeam.ReasonUnknownClass,
		carawaybeam.ReasonTooLarge,
		carawaybeam.ReasonKeyReused,
		carawaybeam.ReasonQuarantined,
		carawaybeam.ReasonDeadline:
		return false
	}
	return true
}

// backoff returns the backoff after the given number of attempts: a random duration
// between half of the exponential backoff and the whole of it.
func backoff(attempts int, random *rand.Rand) time.Duration {
	longest := min(maxBackoff, baseBackoff<<min(attempts-1, maxAttempts))
	return longest/2 + time.Duration(random.Int64N(int64(longest/2)+1))
}

// State is the state dump of a Retrier.
type State struct {
	// Budgets holds the remaining retries of each class.
	Budgets map[carawaybeam.ClassID]float64 `json:"budgets"`
}

var _ carawaybeam.StateDumper = (*Retrier)(nil)

// State returns the state dump.
func (r *Retrier) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{Budgets: maps.Clone(r.budgets)}
}
