// Package counter keeps count of the requests that a process has on each
// backend server, and so fills in what load reports do not show yet.
package counter

import (
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// sentHorizon is how long a sent request is kept for comparison with reports.
const sentHorizon = 30 * time.Second

type (
	// Counter counts requests by backend server. Its methods may be used by
	// several goroutines at once.
	Counter struct {
		mu       sync.Mutex
		backends map[carawaybeam.BackendID]*backend
	}

	// Request is one request being counted.
	Request struct {
		counter *Counter
		backend *backend
		at      time.Time
		tokens  carawaybeam.Tokens
	}

	backend struct {
		running int
		// sent holds the times of the requests sent within the horizon.
		sent []time.Time
		// waiting holds the requests without a first token, the oldest first.
		waiting       []*Request
		waitingTokens carawaybeam.Tokens
	}
)

// New returns a Counter.
func New() *Counter {
	return &Counter{backends: make(map[carawaybeam.BackendID]*backend)}
}

// Sent counts a request with the given number of prompt tokens to be read.
func (c *Counter) Sent(now time.Time, id carawaybeam.BackendID, tokens carawaybeam.Tokens) *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.backends[id]
	if !ok {
		b = &backend{}
		c.backends[id] = b
	}
	b.running++
	for len(b.sent) > 0 && now.Sub(b.sent[0]) > sentHorizon {
		b.sent = b.sent[1:]
	}
	b.sent = append(b.sent, now)
	r := &Request{counter: c, backend: b, at: now, tokens: tokens}
	b.waiting = append(b.waiting, r)
	b.waitingTokens += tokens
	return r
}

// Answered notes that the first token came.
func (r *Request) Answered() {
	r.counter.mu.Lock()
	defer r.counter.mu.Unlock()
	r.answered()
}

func (r *Request) answered() {
	waiting := r.backend.waiting
	for i, other := range waiting {
		if other == r {
			r.backend.waiting = append(waiting[:i], waiting[i+1:]...)
			r.backend.waitingTokens -= r.tokens
			return
		}
	}
}

// Done ends the count of the request.
func (r *Request) Done() {
	r.counter.mu.Lock()
	defer r.counter.mu.Unlock()
	r.answered()
	r.backend.running--
}

// Fill sets what a candidate says of own requests. Its report was made at the
// given time.
func (c *Counter) Fill(now, reported time.Time, candidate *carawaybeam.Candidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.backends[candidate.Backend]
	if !ok {
		return
	}
	candidate.OwnRunning = b.running
	candidate.OwnWaiting = len(b.waiting)
	candidate.OwnWaitingTokens = b.waitingTokens
	if len(b.waiting) > 0 {
		candidate.OwnOldest = now.Sub(b.waiting[0].at)
	}
	for i := len(b.sent) - 1; i >= 0 && b.sent[i].After(reported); i-- {
		candidate.OwnSince++
	}
}
