// Package budget is the retrier "budget": further tries are a small share of
// first ones, wait with backoff and jitter, and never pass the deadline.
//
// Each first try of a class earns a part of a further one. In a total failure
// the further tries thus stay a fixed share of the traffic, however many
// requests fail. A request that may have run is tried again only when its class
// is idempotent. A try that goes on behind what an earlier one delivered repeats
// no work and takes nothing from the budget, nor does one after the refusal of a
// backend server that leaves, nor the first move off one that can't be reached.
package budget

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// ratio is the part of a further try that a first one earns.
	ratio = 0.08

	// reserve bounds the further tries that are saved up, and is what a class
	// starts with.
	reserve = 10

	// maxTries bounds the tries of one request.
	maxTries = 4

	// baseWait is the longest wait before the second try. It doubles with each
	// try, up to maxWait. The shortest is half of it.
	baseWait = 40 * time.Millisecond
	maxWait  = time.Second
)

type (
	// Retrier keeps a budget for each class.
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

// CountFirstAttempt adds to the budget of a class.
func (r *Retrier) CountFirstAttempt(_ time.Time, class carawaybeam.ClassID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets[class] = min(reserve, r.budget(class)+ratio)
}

// Retry decides on one more try and takes it from the budget.
func (r *Retrier) Retry(
	now time.Time,
	request carawaybeam.RetryRequest,
	random *rand.Rand,
) carawaybeam.RetryDecision {
	if !isSafe(request) || !isCurable(request.Failure.Reason) || request.Attempts >= maxTries {
		return carawaybeam.RetryDecision{}
	}
	wait := backoff(request.Attempts, random)
	if !now.Add(wait).Before(request.Deadline) {
		return carawaybeam.RetryDecision{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A backend server that leaves is left by all within moments, so that its
	// refusals do not add up to a load. Neither do the requests that were on an
	// unreachable one, of which each moves once.
	moves := request.Unreachable && request.Attempts == 1
	if request.Resumes || request.Failure.Reason == carawaybeam.ReasonLeaving || moves {
		return carawaybeam.RetryDecision{Retry: true, Wait: wait}
	}
	left := r.budget(request.Class.ID)
	if left < 1 {
		return carawaybeam.RetryDecision{}
	}
	r.budgets[request.Class.ID] = left - 1
	return carawaybeam.RetryDecision{Retry: true, Wait: wait}
}

// budget returns what a class has left. The caller holds mu.
func (r *Retrier) budget(class carawaybeam.ClassID) float64 {
	left, ok := r.budgets[class]
	if !ok {
		return reserve
	}
	return left
}

// isSafe tells whether another try cannot run a request twice that must not.
func isSafe(request carawaybeam.RetryRequest) bool {
	return request.Class.Idempotent || request.Failure.Outcome == carawaybeam.OutcomeNotRun
}

// isCurable tells whether another try may fare better.
func isCurable(reason carawaybeam.Reason) bool {
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

// backoff returns the wait behind a try: the upper half of an exponential one,
// by chance.
func backoff(try int, random *rand.Rand) time.Duration {
	longest := min(maxWait, baseWait<<min(try-1, maxTries))
	return longest/2 + time.Duration(random.Int64N(int64(longest/2)+1))
}

// State is the state dump of a Retrier.
type State struct {
	// Budgets holds the further tries that are left, by class.
	Budgets map[carawaybeam.ClassID]float64 `json:"budgets"`
}

var _ carawaybeam.StateDumper = (*Retrier)(nil)

// State returns the state dump.
func (r *Retrier) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{Budgets: maps.Clone(r.budgets)}
}
