// Package deadline is the limiter "deadline": it refuses at once what cannot begin
// in time, so that what is admitted can.
//
// A backend server serves as many requests in a second with a long queue as with a
// short one. With a long one all of them are late.
package deadline

import (
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// waitShare is the part of what the target leaves for it that the expected
	// wait may take. Actual waits vary with the length of the answers ahead.
	waitShare = 0.6

	// lateLimit is the expected wait up to which streams are admitted that will be
	// late by their pauses anyway. Clients leave after 2 s.
	lateLimit = time.Second

	// minRetryAfter and maxRetryAfter bound when a refused client comes back. They
	// are drawn from between, so that clients do not return together.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 1200 * time.Millisecond
)

// Limiter admits by the expected time to the first event. The zero value is ready
// to use.
type Limiter struct{}

func init() {
	carawaybeam.Limiters.Register("deadline", func() carawaybeam.Limiter { return Limiter{} })
}

// Admit admits what is expected to begin in time, and all while it is not known
// what to expect.
func (Limiter) Admit(_ time.Time, request carawaybeam.AdmitRequest) carawaybeam.AdmitDecision {
	switch {
	case request.ClosedFor > 0:
		return carawaybeam.AdmitDecision{RetryAfter: request.ClosedFor + spread()}
	case request.Idle || request.Expected-request.Unloaded <= longestWait(request):
		return carawaybeam.AdmitDecision{Admitted: true}
	}
	return carawaybeam.AdmitDecision{RetryAfter: minRetryAfter + spread()}
}

// longestWait returns up to which expected wait for others a request is admitted.
// One that would miss its target on an idle backend server too may wait for none.
func longestWait(request carawaybeam.AdmitRequest) time.Duration {
	if request.EventGapTarget > 0 && request.EventGap > request.EventGapTarget {
		return lateLimit
	}
	target := request.Class.Targets.FirstToken
	if target <= 0 {
		target = request.Class.Targets.Completed
	}
	return max(0, time.Duration(waitShare*float64(target-request.Unloaded)))
}

func spread() time.Duration { return rand.N(maxRetryAfter - minRetryAfter) }

// Release does nothing, since the expected time tells of what ended.
func (Limiter) Release(time.Time, carawaybeam.AdmitRequest, time.Duration) {}
