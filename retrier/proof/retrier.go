// Package proof is the retrier "proof": a fixed number of tries, each only when
// the last one certainly did not run or the class is idempotent. It is a
// baseline for comparisons.
package proof

import (
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// maxTries bounds the tries of one request.
	maxTries = 3

	// pause is the wait before another try.
	pause = 50 * time.Millisecond
)

// Retrier allows a fixed number of tries. The zero value is ready to use.
type Retrier struct{}

func init() {
	carawaybeam.Retriers.Register("proof", func() carawaybeam.Retrier { return Retrier{} })
}

// CountFirstAttempt does nothing.
func (Retrier) CountFirstAttempt(time.Time, carawaybeam.ClassID) {}

// Retry decides on one more try.
func (Retrier) Retry(now time.Time, request carawaybeam.RetryRequest, _ *rand.Rand) carawaybeam.RetryDecision {
	safe := request.Failure.Outcome == carawaybeam.OutcomeNotRun || request.Class.Idempotent
	if !safe || request.Attempts >= maxTries || now.Add(pause).After(request.Deadline) {
		return carawaybeam.RetryDecision{}
	}
	return carawaybeam.RetryDecision{Retry: true, Wait: pause}
}
