package throttler

import (
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/pacer"
)

// Sole is the Shares of a process that is the only one which sends requests to its backend
// server. It is safe for concurrent use.
type Sole struct {
	mu    sync.Mutex
	limit carawaybeam.RequestRate
	pacer *pacer.Pacer
}

var _ Shares = (*Sole)(nil)

// Take takes one request of the limit.
func (s *Sole) Take(_ carawaybeam.BackendIncarnation, limit carawaybeam.RequestRate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.pace(now, limit).Take(now)
}

// NextIn returns in what time the limit allows a request.
func (s *Sole) NextIn(_ carawaybeam.BackendIncarnation, limit carawaybeam.RequestRate) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.pace(now, limit).NextIn(now), true
}

// pace returns the Pacer of the limit. The caller holds mu.
func (s *Sole) pace(now time.Time, limit carawaybeam.RequestRate) *pacer.Pacer {
	switch {
	case s.pacer == nil:
		s.pacer = pacer.New(now, limit)
	case s.limit != limit:
		s.pacer.SetRate(now, limit)
	}
	s.limit = limit
	return s.pacer
}

// Limit returns false, since no other process knows of a limit.
func (s *Sole) Limit(carawaybeam.BackendIncarnation) (carawaybeam.RequestRate, bool) { return 0, false }

// Told does nothing.
func (s *Sole) Told(carawaybeam.BackendIncarnation, carawaybeam.RequestRate, time.Duration) {}

// End does nothing.
func (s *Sole) End(carawaybeam.BackendIncarnation) {}

// Ended returns false.
func (s *Sole) Ended(carawaybeam.BackendIncarnation) (time.Duration, bool) { return 0, false }

// Quiet returns true.
func (s *Sole) Quiet() bool { return true }

// Shares returns that this process has the only share.
func (s *Sole) Shares(carawaybeam.BackendIncarnation) (own, all int) { return 1, 1 }
