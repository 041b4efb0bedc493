// Package quota is a retrier that limits the retries of all entries together. In
// each sliding window it allows a fraction of the requests to be retried, plus a
// fixed number of retries that the entries divide among themselves.
//
// Requests are counted by class ID. Callers that limit retries by pool pass the
// pool as class ID.
package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// buckets is the number of buckets in a window. One more bucket is counted,
	// so that the bound holds for windows that begin in the middle of a bucket.
	buckets = 40

	// safety is the fraction of the bound that is used. The rest allows for
	// retries that arrive in another window than the one in which they were
	// counted.
	safety = 0.85
)

type (
	// Bound limits the retries of all entries together.
	Bound struct {
		// Ratio is the number of retries allowed per request.
		Ratio float64
		// Window is the length of the sliding window.
		Window time.Duration
		// Reserve is the number of retries that all entries together may make
		// in a window in addition to those allowed by Ratio.
		Reserve float64
	}

	// Options configures a Retrier.
	Options struct {
		Bound Bound
		// Entries returns the number of entries that share the reserve, or 0 if it
		// is not known yet.
		Entries func() int
		// Started is when the process started. The reserve is available one window
		// later, because an earlier incarnation may have used it shortly before.
		Started time.Time
	}

	// Retrier counts the requests and retries of each class.
	Retrier struct {
		entries func() int

		mu    sync.Mutex
		bound Bound
		// reserveSince is the time since which the reserve may have been in use.
		reserveSince time.Time
		counts       map[carawaybeam.ClassID]*count
	}

	// count holds the requests and retries of a window in a ring of buckets.
	count struct {
		requests [buckets + 1]int
		retries  [buckets + 1]int
		// newest is the number of the newest bucket, counted from the Unix epoch.
		newest int64
	}

	// State is the state dump of a Retrier.
	State struct {
		// Left holds the remaining retries in the current window, by class.
		Left map[carawaybeam.ClassID]float64 `json:"left"`
	}
)

var (
	_ carawaybeam.Retrier     = (*Retrier)(nil)
	_ carawaybeam.StateDumper = (*Retrier)(nil)
)

// New returns a Retrier without any counted requests.
func New(options Options) *Retrier {
	return &Retrier{
		entries:      options.Entries,
		bound:        options.Bound,
		reserveSince: options.Started,
		counts:       make(map[carawaybeam.ClassID]*count),
	}
}

// SetBound replaces the bound. If the window changes, all counts are reset, and the
// reserve is available one window later.
func (r *Retrier) SetBound(bound Bound) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bound.Window != r.bound.Window {
		clear(r.counts)
		r.reserveSince = time.Now()
	}
	r.bound = bound
}

// CountFirstAttempt counts a request.
func (r *Retrier) CountFirstAttempt(now time.Time, class carawaybeam.ClassID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.count(now, class)
	c.requests[c.index()]++
}

// Retry allows a retry while the class is within its bound.
func (r *Retrier) Retry(
	now time.Time,
	request carawaybeam.RetryRequest,
	_ *rand.Rand,
) carawaybeam.RetryDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.count(now, request.Class.ID)
	if r.left(now, c) < 1 {
		return carawaybeam.RetryDecision{}
	}
	c.retries[c.index()]++
	return carawaybeam.RetryDecision{Retry: true}
}

// State returns the state dump.
func (r *Retrier) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := State{Left: make(map[carawaybeam.ClassID]float64, len(r.counts))}
	now := time.Now()
	for class := range r.counts {
		state.Left[class] = r.left(now, r.count(now, class))
	}
	return state
}

// left returns the remaining retries. The caller holds mu.
func (r *Retrier) left(now time.Time, c *count) float64 {
	requests, retries := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	reserve := 0.0
	if entries := r.entries(); entries > 0 && now.Sub(r.reserveSince) >= r.bound.Window {
		reserve = r.bound.Reserve / float64(entries)
	}
	return safety*(r.bound.Ratio*float64(requests)+reserve) - float64(retries)
}

// count returns the count of a class after it has cleared the buckets that left the
// window. The caller holds mu.
func (r *Retrier) count(now time.Time, class carawaybeam.ClassID) *count {
	current := now.UnixNano() / (r.bound.Window.Nanoseconds() / buckets)
	c, ok := r.counts[class]
	if !ok {
		c = &count{newest: current}
		r.counts[class] = c
	}
	for range min(current-c.newest, buckets+1) {
		c.newest++
		c.requests[c.index()] = 0
		c.retries[c.index()] = 0
	}
	c.newest = max(c.newest, current)
	return c
}

// index returns the index of the newest bucket in the ring.
func (c *count) index() int64 { return c.newest % (buckets + 1) }
