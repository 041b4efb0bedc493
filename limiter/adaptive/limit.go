// Package adaptive finds how many calls a backend server serves well at once.
//
// The limit follows the ratio of a long mean of the times to the first part of
// an answer to a short one, as Netflix's concurrency-limits does in Gradient2:
// while answers begin as fast as they used to, it grows by the square root of
// itself, and it shrinks in proportion as they begin later.
package adaptive

import (
	"math"
	"sync"
	"time"
)

const (
	// shortGain and longGain are the weights of a new time in the two means.
	shortGain = 0.1
	longGain  = 0.002

	// recoverGain is the weight by which the long mean falls to a short one
	// below it.
	recoverGain = 0.05

	// tolerance is how many times later than usual answers may begin before the
	// limit shrinks.
	tolerance = 3

	// smoothing is the weight of a new limit.
	smoothing = 0.1

	// minGradient bounds one step down.
	minGradient = 0.5

	// minShare is the least limit as a share of the largest.
	minShare = 0.125

	// usedShare is how much of the limit must be in use for it to grow.
	usedShare = 0.5
)

// Limit is an adaptive bound on the calls that run at once. Its methods may be
// used by several goroutines at once.
type Limit struct {
	most float64

	mu    sync.Mutex
	limit float64
	short float64
	long  float64
}

// New returns a Limit that starts at the largest value.
func New(most int) *Limit {
	return &Limit{most: float64(most), limit: float64(most)}
}

// Allows tells whether one more call may run beside those that do.
func (l *Limit) Allows(running int) bool { return running < l.Value() }

// Value returns the present limit.
func (l *Limit) Value() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// Observe learns from the time to the first part of an answer, when so many
// calls ran.
func (l *Limit) Observe(running int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.average(took.Seconds())
	gradient := min(1, max(minGradient, tolerance*l.long/l.short))
	next := l.limit * gradient
	if gradient == 1 {
		if float64(running) < usedShare*l.limit {
			return
		}
		next += math.Sqrt(l.limit)
	}
	l.limit += smoothing * (next - l.limit)
	l.limit = min(l.most, max(1, minShare*l.most, l.limit))
}

func (l *Limit) average(seconds float64) {
	if l.long == 0 {
		l.short, l.long = seconds, seconds
		return
	}
	l.short += shortGain * (seconds - l.short)
	gain := longGain
	if l.short < l.long {
		gain = recoverGain
	}
	l.long += gain * (l.short - l.long)
}
