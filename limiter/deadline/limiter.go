// Package deadline is the limiter "deadline". It refuses requests that are not
// expected to begin within their target, or that would make the streams of others late, so
// that the admitted ones are in time.
//
// The throughput of a backend server is the same with a long queue as with a short
// one, but with a long queue every request is late.
package deadline

import (
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// waitShare is the largest expected wait as a fraction of the time that the
	// target leaves for waiting. Actual waits vary with the lengths of the answers
	// ahead in the queue.
	waitShare = 0.6

	// maxLateWait is the largest expected wait of a stream whose event gap exceeds
	// its target, which is late however early it begins. Clients give up after
	// 2 s.
	maxLateWait = time.Second

	// minRetryAfter and maxRetryAfter bound RetryAfter, which is chosen at random
	// so that refused clients do not retry simultaneously.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 1200 * time.Millisecond
)

// Limiter decides by the expected time to the first event. The zero value is ready
// to use.
type Limiter struct{}

func init() {
	carawaybeam.Limiters.Register("deadline", func() carawaybeam.Limiter { return Limiter{} })
}

// Admit admits requests that are expected to begin in time, and all requests whose
// expected time is unknown.
func (Limiter) Admit(_ time.Time, request carawaybeam.AdmitRequest) carawaybeam.AdmitDecision {
	switch {
	case request.ClosedFor > 0:
		return carawaybeam.AdmitDecision{RetryAfter: request.ClosedFor + jitter()}
	case request.Crowded && !request.Idle:
		// With one more request on each engine, the streams of all are late.
		return carawaybeam.AdmitDecision{RetryAfter: minRetryAfter + jitter()}
	case request.Idle || request.Expected-request.Unloaded <= MaxWait(request):
		return carawaybeam.AdmitDecision{Admitted: true}
	}
	return carawaybeam.AdmitDecision{RetryAfter: minRetryAfter + jitter()}
}

// MaxWait returns the largest expected wait for other requests at which the request
// is admitted. It is 0 for a request that would miss its target even on an idle
// backend server.
func MaxWait(request carawaybeam.AdmitRequest) time.Duration {
	if request.EventGapTarget > 0 && request.EventGap > request.EventGapTarget {
		return maxLateWait
	}
	target := request.Class.Targets.FirstToken
	if target <= 0 {
		target = request.Class.Targets.Completed
	}
	return max(0, time.Duration(waitShare*float64(target-request.Unloaded)))
}

// jitter returns a random duration below maxRetryAfter - minRetryAfter.
func jitter() time.Duration { return rand.N(maxRetryAfter - minRetryAfter) }

// Release does nothing, because the expected time of later requests already
// accounts for requests that ended.
func (Limiter) Release(time.Time, carawaybeam.AdmitRequest, time.Duration) {}
