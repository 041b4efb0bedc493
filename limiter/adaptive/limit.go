// Package adaptive limits how many requests a backend server runs concurrently.
//
// The limit follows the ratio of a long-term mean of the time to the first part
// of an answer to a short-term mean, like Gradient2 of Netflix's
// concurrency-limits: it grows by its square root while answers begin as fast as
// usual, and shrinks in proportion when they begin later.
package adaptive

import (
	"math"
	"sync"
	"time"
)

const (
	// shortGain and longGain are the weights of a new value in the exponential
	// short-term and long-term means.
	shortGain = 0.1
	longGain  = 0.002

	// recoverGain replaces longGain while the short-term mean is below the
	// long-term mean, so that the latter falls quickly.
	recoverGain = 0.05

	// tolerance is the ratio of the short-term to the long-term mean above which
	// the limit shrinks.
	tolerance = 3

	// smoothing is the weight of a newly computed limit in the exponential mean
	// of limits.
	smoothing = 0.1

	// minGradient is the smallest factor by which one observation may shrink the
	// limit, before smoothing.
	minGradient = 0.5

	// minShare is the smallest limit as a fraction of the largest.
	minShare = 0.125

	// minUse is the fraction of the limit that must be in use for it to grow.
	minUse = 0.5
)

// Limit is an adaptive limit on concurrent requests. It is safe for concurrent
// use.
type Limit struct {
	maxLimit float64

	mu    sync.Mutex
	limit float64
	// shortMean and longMean are the means of the time to the first part of an
	// answer, in seconds.
	shortMean float64
	longMean  float64
}

// New returns a Limit that starts at maxLimit and never exceeds it.
func New(maxLimit int) *Limit {
	return &Limit{maxLimit: float64(maxLimit), limit: float64(maxLimit)}
}

// Allows reports whether another request may start while the given number is
// running.
func (l *Limit) Allows(running int) bool { return running < l.Value() }

// Value returns the current limit.
func (l *Limit) Value() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// Observe adjusts the limit by the time to the first part of an answer. running
// is the number of requests that were running at that time.
func (l *Limit) Observe(running int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateMeans(took.Seconds())
	gradient := min(1, max(minGradient, tolerance*l.longMean/l.shortMean))
	next := l.limit * gradient
	if gradient == 1 {
		if float64(running) < minUse*l.limit {
			return
		}
		next += math.Sqrt(l.limit)
	}
	l.limit += smoothing * (next - l.limit)
	l.limit = min(l.maxLimit, max(1, minShare*l.maxLimit, l.limit))
}

func (l *Limit) updateMeans(seconds float64) {
	if l.longMean == 0 {
		l.shortMean, l.longMean = seconds, seconds
		return
	}
	l.shortMean += shortGain * (seconds - l.shortMean)
	gain := longGain
	if l.shortMean < l.longMean {
		gain = recoverGain
	}
	l.longMean += gain * (l.shortMean - l.longMean)
}
