package reserver

import "github.com/carawaybeam/carawaybeam"

// TryReserve reserves a number of bytes, also if it is small, without waiting. It returns false if
// they are not free. Release must be called for them.
func (r *Reserver) TryReserve(size carawaybeam.Bytes) bool {
	if r.limit > 0 && !r.semaphore.TryAcquire(int64(size)) {
		r.refused.Add(1)
		return false
	}
	r.held.Add(int64(size))
	return true
}

// Release releases bytes that TryReserve has reserved.
func (r *Reserver) Release(size carawaybeam.Bytes) {
	r.held.Add(-int64(size))
	if r.limit > 0 {
		r.semaphore.Release(int64(size))
	}
}
