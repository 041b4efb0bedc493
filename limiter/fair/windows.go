package fair

import "time"

const (
	// window is how long a request that comes back is admitted first. It is
	// longer than the second to which Retry-After is rounded up.
	window = 2 * time.Second

	// aim is how far into a window a request is told to come. With the second of
	// Retry-After it leaves the same tolerance for clocks that differ either way.
	aim = window / 4

	// windows is the number of windows in a cycle. One new request in so many
	// comes in its own window by chance.
	windows = 6

	// minRetryAfter and maxRetryAfter bound what callers are told.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// isWindow tells whether this is the window of a request. Every process gives
// the same answer, so that a request may come back through any of them.
func isWindow(now time.Time, fingerprint uint64) bool {
	return ordinal(now)%windows == fingerprint%windows
}

// nextWindow returns when to come for the first window of a request that starts
// at a time or later.
func nextWindow(from time.Time, fingerprint uint64) time.Time {
	start := ordinal(from.Add(window - 1))
	start += (fingerprint%windows + windows - start%windows) % windows
	return time.Unix(0, int64(start)*int64(window)).Add(aim)
}

// ordinal counts the windows since 1970.
func ordinal(at time.Time) uint64 { return uint64(at.UnixNano() / int64(window)) }
