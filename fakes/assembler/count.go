package assembler

import "time"

// leaveGracePeriod is how long a backend server may still be given new requests
// after its agent has begun to stop.
const leaveGracePeriod = 3 * time.Second

// Calls returns the number of requests that the backend server has run.
func (b *Backend) Calls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, n := range b.runs {
		total += n
	}
	return total
}

// startsAfter returns the number of requests started after the cutoff.
func (b *Backend) startsAfter(cutoff time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, start := range b.starts {
		if start.After(cutoff) {
			n++
		}
	}
	return n
}

// lateStarts returns the number of requests that the backend server started
// more than leaveGracePeriod after its agent began to stop.
func (s *Slot) lateStarts() int {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving.IsZero() {
		return 0
	}
	return s.Backend.startsAfter(leaving.Add(leaveGracePeriod))
}
