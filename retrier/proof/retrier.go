// Package proof is the retrier "proof". It makes up to a fixed number of attempts
// and retries only if the last attempt certainly did not run or the class is
// idempotent. It serves as a baseline for comparisons.
package proof

import (
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 3

	// backoff is the wait before another attempt.
	backoff = 50 * time.Millisecond
)

// Retrier allows a fixed number of attempts. The zero value is ready to use.
type Retrier struct{}

func init() {
	carawaybeam.Retriers.Register("proof", func() carawaybeam.Retrier { return Retrier{} })
}

// CountFirstAttempt does nothing.
func (Retrier) CountFirstAttempt(time.Time, carawaybeam.ClassID) {}

// Retry decides on one more attempt.
func (Retrier) Retry(now time.Time, request carawaybeam.RetryRequest, _ *rand.Rand) carawaybeam.RetryDecision {
	safe := request.Failure.Outcome == carawaybeam.OutcomeNotRun || request.Class.Idempotent
	if !safe || request.Attempts >= maxAttempts || now.Add(backoff).After(request.Deadline) {
		return carawaybeam.RetryDecision{}
	}
	return carawaybeam.RetryDecision{Retry: true, Wait: backoff}
}
