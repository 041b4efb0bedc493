// Package finisher decides whether a process that has been told to stop can finish a request
// before it ends.
package finisher

import (
	"sync/atomic"
	"time"
)

// Finisher knows when its process ends. Its methods are safe for concurrent use.
type Finisher struct {
	end atomic.Pointer[time.Time]
}

// New returns a Finisher of a process that has not been told to stop.
func New() *Finisher { return &Finisher{} }

// Stop tells that the process aborts at end the requests that are then running. Later calls do
// nothing.
func (f *Finisher) Stop(end time.Time) { f.end.CompareAndSwap(nil, &end) }

// TimeLeft returns how long requests may still run, or false if the process has not been told to
// stop.
func (f *Finisher) TimeLeft(now time.Time) (time.Duration, bool) {
	end := f.end.Load()
	if end == nil {
		return 0, false
	}
	return end.Sub(now), true
}
