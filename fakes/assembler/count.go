package assembler

import "time"

// leaveBound is how long after it begins to leave a backend server may be given
// new work.
const leaveBound = 3 * time.Second

// Calls returns how many calls the backend server has taken.
func (b *Backend) Calls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, n := range b.runs {
		total += n
	}
	return total
}

// startsAfter returns how many calls started after a time.
func (b *Backend) startsAfter(at time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, start := range b.starts {
		if start.After(at) {
			n++
		}
	}
	return n
}

// lateStarts counts the calls that started on the backend server too long after
// its agent began to stop.
func (s *Slot) lateStarts() int {
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving.IsZero() {
		return 0
	}
	return s.Backend.startsAfter(leaving.Add(leaveBound))
}
