// Package ejector remembers which backend servers failed recently, so that routers send
// them no requests for a backoff time (outlier ejection).
package ejector

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// minBackoff and maxBackoff bound how long a backend server gets no
	// requests after a failure. The backoff doubles with each consecutive
	// failure.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 4 * time.Second

	// maxHealth is the maximum number of backend servers whose failures are
	// remembered.
	maxHealth = 8192
)

type (
	// Ejector holds the backend servers that failed. It is safe for concurrent use.
	Ejector struct {
		mu     sync.Mutex
		health map[carawaybeam.BackendID]health
		// count is the length of health.
		count atomic.Int64
	}

	health struct {
		// failures is the number of consecutive failures.
		failures int
		// until is the end of the backoff.
		until time.Time
	}
)

// New returns an Ejector that has seen no failures.
func New() *Ejector { return &Ejector{health: make(map[carawaybeam.BackendID]health)} }

// IsBackingOff reports whether a backend server gets no requests because of a failure.
func (e *Ejector) IsBackingOff(now time.Time, id carawaybeam.BackendID) bool {
	if e.count.Load() == 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.health[id].until)
}

// Observe starts a backoff after a failure and ends it after a success.
func (e *Ejector) Observe(now time.Time, id carawaybeam.BackendID, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer func() { e.count.Store(int64(len(e.health))) }()
	if !failed {
		delete(e.health, id)
		return
	}
	h := e.health[id]
	backoff := min(maxBackoff, minBackoff<<min(h.failures, 8))
	h.failures++
	h.until = now.Add(backoff)
	if len(e.health) >= maxHealth {
		clear(e.health)
	}
	e.health[id] = h
}

// BackingOff returns the backend servers in backoff, in order.
func (e *Ejector) BackingOff(now time.Time) []carawaybeam.BackendID {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := []carawaybeam.BackendID{}
	for id, h := range e.health {
		if now.Before(h.until) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
