// Package precedence is the limiter "precedence". In pools that requests of different
// priorities share, it refuses the less urgent ones before the more urgent ones become late, by
// trunk reservation: a request is admitted only while more than a reserved part of the capacity
// is free, which is larger for less urgent requests. Pools with one priority are decided by
// package deadline.
//
// See docs/design/priority-admission.md.
package precedence

import (
	"math"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/deadline"
)

const (
	// maxPools is the maximum number of pools whose demand is remembered. Those that were
	// unused for longest are dropped, which forgets reservations for at most a few seconds.
	maxPools = 256

	// starvation is the share of its requests that each priority and organisation is
	// admitted, as a fraction of the share of all requests. The requirement is a quarter; some
	// admitted requests fail later.
	starvation = 0.32
)

type (
	// Limiter decides by priority. It is safe for concurrent use.
	Limiter struct {
		single deadline.Limiter

		mu    sync.Mutex
		pools map[carawaybeam.PoolID]*pool
		// counts holds the decisions since the start.
		counts map[countKey]uint64
	}

	countKey struct {
		priority int
		// reason is empty for admitted requests.
		reason carawaybeam.RefusalReason
	}
)

func init() {
	carawaybeam.Limiters.Register("precedence", func() carawaybeam.Limiter { return New() })
}

// New returns a Limiter that has seen no requests.
func New() *Limiter {
	return &Limiter{pools: make(map[carawaybeam.PoolID]*pool), counts: make(map[countKey]uint64)}
}

// Admit decides about a request. It admits the requests of pools with one priority as package
// deadline does, except that it refuses those that cannot end before their deadline if that is asked
// for.
func (l *Limiter) Admit(now time.Time, request carawaybeam.AdmitRequest) carawaybeam.AdmitDecision {
	var decision carawaybeam.AdmitDecision
	switch {
	case request.Contention.Several:
		l.mu.Lock()
		defer l.mu.Unlock()
		decision = l.poolOf(now, request.Class.Pool).admit(now, request)
	case request.Contention.MustComplete && request.ClosedFor == 0 && isTooLate(request):
		decision = refuseTooLate(request)
		l.mu.Lock()
		defer l.mu.Unlock()
	default:
		return l.single.Admit(now, request)
	}
	l.counts[countKey{priority: request.Priority, reason: decision.Refusal.Reason}]++
	return decision
}

// Release records how long an admitted request took.
func (l *Limiter) Release(now time.Time, request carawaybeam.AdmitRequest, took time.Duration) {
	if !request.Contention.Several {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.poolOf(now, request.Class.Pool)
	known := p.knownSamples(request.Priority)
	known.end(now)
	p.times.observe(now, known, &request, took)
}

// poolOf returns the pool, which it creates if necessary. The caller holds mu.
func (l *Limiter) poolOf(now time.Time, id carawaybeam.PoolID) *pool {
	p, ok := l.pools[id]
	if !ok {
		if len(l.pools) >= maxPools {
			l.dropOldest()
		}
		p = newPool()
		l.pools[id] = p
	}
	p.used = now
	return p
}

func (l *Limiter) dropOldest() {
	var oldest carawaybeam.PoolID
	for id, p := range l.pools {
		if known, ok := l.pools[oldest]; !ok || p.used.Before(known.used) {
			oldest = id
		}
	}
	delete(l.pools, oldest)
}

// forecast returns the time in which the answer is expected to end if its events come as fast as
// lately, or 0 if that is unknown.
func forecast(request carawaybeam.AdmitRequest) time.Duration {
	c := request.Contention
	if c.Gap <= 0 || c.Events <= 0 {
		return 0
	}
	return request.Expected + time.Duration(c.Events*float64(c.Gap))
}

// isTooLate reports whether the answer is forecast to end after the deadline. A request that
// measures an idle group is sent nevertheless.
func isTooLate(request carawaybeam.AdmitRequest) bool {
	c := request.Contention
	return !c.Probe && c.TimeLeft > 0 && forecast(request) > c.TimeLeft
}

// refuseTooLate refuses a request that cannot end in time. After coming back it would have even less
// time, so that it is not told to.
func refuseTooLate(request carawaybeam.AdmitRequest) carawaybeam.AdmitDecision {
	return carawaybeam.AdmitDecision{Refusal: carawaybeam.Refusal{
		Reason: carawaybeam.RefusedTooLate, Forecast: forecast(request),
	}}
}

// maxRetryAfter returns the longest time after which a client comes back: a third of the time
// that it has left.
func maxRetryAfter(request carawaybeam.AdmitRequest) time.Duration {
	if request.Contention.TimeLeft <= 0 {
		return defaultRetryAfter
	}
	return request.Contention.TimeLeft / retryDivisor
}

// clamp returns the value nearest to v between the bounds.
func clamp(v, low, high float64) float64 { return math.Min(high, math.Max(low, v)) }
