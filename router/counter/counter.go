// Package counter counts the requests that a process has in flight on each
// backend server. The counts supplement load reports, which do not include the
// latest requests.
package counter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// pruneInterval is how often backend servers without requests are removed.
const pruneInterval = time.Minute

// outlastShare is the share of its expected length that an answer is expected to have yet once
// it nears that length. Half of the answers outlast a median estimate.
const outlastShare = 0.25

// endedRetention is how long ended requests are kept for comparison with load
// reports.
const endedRetention = 15 * time.Second

type (
	// Counter counts requests by backend server. It is safe for concurrent use.
	Counter struct {
		mu       sync.Mutex
		backends map[carawaybeam.BackendID]*backend
		pruned   time.Time
	}

	// Request is a request that is counted.
	Request struct {
		counter *Counter
		backend *backend
		at      time.Time
		tokens  carawaybeam.Tokens
		work    Work
		// remaining is how much of work.Answer is expected to be generated yet.
		remaining carawaybeam.Tokens
		done      bool
	}

	// Work is the expected work of a request.
	Work struct {
		// Answer is the expected length of what the backend server generates, or 0 if
		// unknown.
		Answer carawaybeam.Tokens
		// Memory is the expected memory in the KV cache.
		Memory carawaybeam.Tokens
	}

	backend struct {
		// running and waiting hold requests in the order in which they were
		// sent, ended in the order in which they ended.
		running       []*Request
		waiting       []*Request
		waitingTokens carawaybeam.Tokens
		// remaining is the sum over running.
		remaining carawaybeam.Tokens
		ended     []ended
	}

	ended struct {
		sent time.Time
		at   time.Time
	}
)

// New returns an empty Counter.
func New() *Counter {
	return &Counter{backends: make(map[carawaybeam.BackendID]*backend)}
}

// Add counts a request with the given number of uncached prompt tokens. The
// caller must call Done on the returned Request.
func (c *Counter) Add(now time.Time, id carawaybeam.BackendID, tokens carawaybeam.Tokens) *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.pruned) > pruneInterval {
		c.prune(now)
	}
	b, ok := c.backends[id]
	if !ok {
		b = &backend{}
		c.backends[id] = b
	}
	r := &Request{counter: c, backend: b, at: now, tokens: tokens}
	b.running = append(b.running, r)
	b.waiting = append(b.waiting, r)
	b.waitingTokens += tokens
	return r
}

// prune removes backend servers on which no request ran recently. The caller
// holds mu.
func (c *Counter) prune(now time.Time) {
	c.pruned = now
	maps.DeleteFunc(c.backends, func(_ carawaybeam.BackendID, b *backend) bool {
		n := len(b.ended)
		return len(b.running) == 0 && (n == 0 || now.Sub(b.ended[n-1].at) > endedRetention)
	})
}

// Len returns the number of backend servers in the Counter.
func (c *Counter) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.backends)
}

// Expect sets the expected work of the request.
func (r *Request) Expect(work Work) {
	r.counter.mu.Lock()
	defer r.counter.mu.Unlock()
	r.work = work
	r.setRemaining(work.Answer)
}

// Deliver records that the given length of the answer has arrived in all.
func (r *Request) Deliver(length carawaybeam.Tokens) {
	r.counter.mu.Lock()
	defer r.counter.mu.Unlock()
	least := carawaybeam.Tokens(outlastShare * float64(r.work.Answer))
	r.setRemaining(max(r.work.Answer-length, least))
}

// setRemaining changes the remaining length of the request unless it is done. The caller holds mu.
func (r *Request) setRemaining(remaining carawaybeam.Tokens) {
	if r.done {
		return
	}
	r.backend.remaining += remaining - r.remaining
	r.remaining = remaining
}

// MarkFirstToken records that the first token arrived.
func (r *Request) MarkFirstToken() {
	r.counter.mu.Lock()
	defer r.counter.mu.Unlock()
	r.stopWaiting()
}

func (r *Request) stopWaiting() {
	if i := slices.Index(r.backend.waiting, r); i >= 0 {
		r.backend.waiting = slices.Delete(r.backend.waiting, i, i+1)
		r.backend.waitingTokens -= r.tokens
	}
}

// Done records the end of the request. Further calls have no effect.
func (r *Request) Done(now time.Time) {
	r.counter.mu.Lock()
	defer r.counter.mu.Unlock()
	r.stopWaiting()
	b := r.backend
	i := slices.Index(b.running, r)
	if i < 0 {
		return
	}
	b.running = slices.Delete(b.running, i, i+1)
	r.setRemaining(0)
	r.done = true
	for len(b.ended) > 0 && now.Sub(b.ended[0].at) > endedRetention {
		b.ended = b.ended[1:]
	}
	b.ended = append(b.ended, ended{sent: r.at, at: now})
}

// Fill sets the fields of a candidate that count own requests. reported is when
// the load report of the candidate was made, or zero if there is none.
func (c *Counter) Fill(now, reported time.Time, candidate *carawaybeam.Candidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.backends[candidate.Backend]
	if !ok {
		return
	}
	candidate.OwnRunning = len(b.running)
	candidate.OwnWaiting = len(b.waiting)
	candidate.OwnWaitingTokens = b.waitingTokens
	if len(b.waiting) > 0 {
		candidate.OwnOldest = now.Sub(b.waiting[0].at)
	}
	candidate.OwnReported = b.countAt(reported)
	candidate.OwnRemaining = b.remaining
	candidate.OwnMemory = b.memorySince(reported)
}

// memorySince returns the memory expected for the running requests that were sent after the
// given time.
func (b *backend) memorySince(at time.Time) carawaybeam.Tokens {
	var memory carawaybeam.Tokens
	for i := len(b.running) - 1; i >= 0 && b.running[i].at.After(at); i-- {
		memory += b.running[i].work.Memory
	}
	return memory
}

// countAt returns how many requests ran at the given time.
func (b *backend) countAt(at time.Time) int {
	n := len(b.running)
	for i := n - 1; i >= 0 && b.running[i].at.After(at); i-- {
		n--
	}
	for i := len(b.ended) - 1; i >= 0 && b.ended[i].at.After(at); i-- {
		if !b.ended[i].sent.After(at) {
			n++
		}
	}
	return n
}
