// Package quota is a retrier that keeps all entries together within a bound on
// further tries: a share of the requests of each sliding window, and a fixed
// number beside it that the entries divide among themselves.
//
// Requests are counted per class ID, which stands for a pool where the bound is
// one for each pool.
package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// buckets is into how many parts a window is divided. The count covers one
	// part more than the window, so that no window of any phase exceeds it.
	buckets = 40

	// safety is the part of the bound that is used. The rest covers tries that
	// arrive in another window than they were counted in.
	safety = 0.85
)

type (
	// Bound is a bound on the further tries of all entries together.
	Bound struct {
		// Ratio is the further tries allowed for each request.
		Ratio float64
		// Window is the time over which the bound holds.
		Window time.Duration
		// Reserve is how many further tries all entries together may make in a
		// window beside the ratio.
		Reserve float64
	}

	// Options is what a Retrier is made from.
	Options struct {
		Bound Bound
		// Entries returns how many entries share the reserve.
		Entries func() int
	}

	// Retrier keeps a count for each class.
	Retrier struct {
		entries func() int

		mu     sync.Mutex
		bound  Bound
		counts map[carawaybeam.ClassID]*count
	}

	// count holds the tries of a window in a ring of parts.
	count struct {
		requests [buckets + 1]int
		further  [buckets + 1]int
		// part is the newest part, counted from the zero time.
		part int64
	}

	// State is the state dump of a Retrier.
	State struct {
		// Left holds the further tries that are left in this window.
		Left map[carawaybeam.ClassID]float64 `json:"left"`
	}
)

var (
	_ carawaybeam.Retrier     = (*Retrier)(nil)
	_ carawaybeam.StateDumper = (*Retrier)(nil)
)

// New returns a Retrier that has seen no request.
func New(options Options) *Retrier {
	return &Retrier{
		entries: options.Entries,
		bound:   options.Bound,
		counts:  make(map[carawaybeam.ClassID]*count),
	}
}

// SetBound puts another bound in force. One of another window begins with new
// counts.
func (r *Retrier) SetBound(bound Bound) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bound.Window != r.bound.Window {
		clear(r.counts)
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

// Retry allows one more try while the class is within its bound.
func (r *Retrier) Retry(
	now time.Time,
	request carawaybeam.RetryRequest,
	_ *rand.Rand,
) carawaybeam.RetryDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.count(now, request.Class.ID)
	if r.left(c) < 1 {
		return carawaybeam.RetryDecision{}
	}
	c.further[c.index()]++
	return carawaybeam.RetryDecision{Retry: true}
}

// State returns the state dump.
func (r *Retrier) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := State{Left: make(map[carawaybeam.ClassID]float64, len(r.counts))}
	now := time.Now()
	for class := range r.counts {
		state.Left[class] = r.left(r.count(now, class))
	}
	return state
}

// left returns the further tries that are left. The caller holds mu.
func (r *Retrier) left(c *count) float64 {
	requests, further := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		further += c.further[i]
	}
	reserve := r.bound.Reserve / float64(max(1, r.entries()))
	return safety*(r.bound.Ratio*float64(requests)+reserve) - float64(further)
}

// count returns the count of a class, moved on to now. The caller holds mu.
func (r *Retrier) count(now time.Time, class carawaybeam.ClassID) *count {
	part := now.UnixNano() / (r.bound.Window.Nanoseconds() / buckets)
	c, ok := r.counts[class]
	if !ok {
		c = &count{part: part}
		r.counts[class] = c
	}
	for range min(part-c.part, buckets+1) {
		c.part++
		c.requests[c.index()] = 0
		c.further[c.index()] = 0
	}
	c.part = max(c.part, part)
	return c
}

func (c *count) index() int64 { return c.part % (buckets + 1) }
