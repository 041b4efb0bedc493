// Package pacer paces requests to a backend server that limits its requests per second.
package pacer

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// Burst is the number of requests that are allowed at once after a time without any.
	Burst = 3

	// MinRate is the lowest rate. At lower ones nothing would ever show that a limit has
	// ended.
	MinRate carawaybeam.RequestRate = 0.1
)

// Pacer allows requests at a rate, and up to Burst at once. It is not safe for concurrent use.
type Pacer struct {
	limiter  *rate.Limiter
	lastTake time.Time
}

// New returns a Pacer that allows no request at first.
func New(now time.Time, limit carawaybeam.RequestRate) *Pacer {
	limiter := rate.NewLimiter(rate.Limit(max(limit, MinRate)), Burst)
	limiter.AllowN(now, Burst)
	return &Pacer{limiter: limiter, lastTake: now}
}

// SetRate changes the rate from now on.
func (p *Pacer) SetRate(now time.Time, limit carawaybeam.RequestRate) {
	p.limiter.SetLimitAt(now, rate.Limit(max(limit, MinRate)))
}

// Take takes one request. It returns false if none is allowed.
func (p *Pacer) Take(now time.Time) bool {
	if !p.limiter.AllowN(now, 1) {
		return false
	}
	p.lastTake = now
	return true
}

// NextIn returns in what time a request is allowed.
func (p *Pacer) NextIn(now time.Time) time.Duration {
	return max(0, time.Duration(math.Ceil((1-p.limiter.TokensAt(now))*p.interval())))
}

// UnusedFor returns for how long a request has been allowed and none was made.
func (p *Pacer) UnusedFor(now time.Time) time.Duration {
	switch tokens := p.limiter.TokensAt(now); {
	case tokens < 1:
		return 0
	case tokens < Burst:
		return time.Duration((tokens - 1) * p.interval())
	}
	return now.Sub(p.lastTake)
}

// interval returns the mean time between two requests in nanoseconds.
func (p *Pacer) interval() float64 { return float64(time.Second) / float64(p.limiter.Limit()) }
