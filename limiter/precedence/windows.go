package precedence

import "time"

const (
	// windowLength is the duration of a window, in which a refused request that comes back is
	// preferred, and windowCount the number of windows in a cycle. One in windowCount new
	// requests arrives in its own window by chance. The cycle is short compared to the third of
	// the time left within which streams come back, 2 to 3 s.
	windowLength = 200 * time.Millisecond
	windowCount  = 6

	// windowOffset and windowSpread are where in its window a request is asked to come back.
	// They leave 50 ms for clocks that are slow, and 50 ms for clocks that are fast and
	// connections that take time.
	windowOffset = 50 * time.Millisecond
	windowSpread = 100 * time.Millisecond

	// retryDivisor is the part of the time left after which clients do not come back.
	retryDivisor = 3

	// minRetryAfter is the shortest time after which a refused request comes back. Reports on the
	// load are up to 200 ms old, and the next ones must show what was admitted meanwhile.
	minRetryAfter = 400 * time.Millisecond

	// defaultRetryAfter bounds RetryAfter if the time left is unknown.
	defaultRetryAfter = 1200 * time.Millisecond
)

// inWindow reports whether now is in a window of the request. The result is the same in every
// process, so that a request can come back through any of them.
func inWindow(now time.Time, fingerprint uint64) bool {
	return windowNumber(now)%windowCount == fingerprint%windowCount
}

// nextWindow returns a time in the first window of the request that starts at the given time or
// later. Different requests get different times in the window.
func nextWindow(from time.Time, fingerprint uint64) time.Time {
	start := windowNumber(from.Add(windowLength - 1))
	start += (fingerprint%windowCount + windowCount - start%windowCount) % windowCount
	spread := time.Duration(fingerprint / windowCount % uint64(windowSpread))
	return time.Unix(0, int64(start)*int64(windowLength)).Add(windowOffset + spread)
}

// windowNumber returns the number of windows that have passed since 1970.
func windowNumber(at time.Time) uint64 { return uint64(at.UnixNano() / int64(windowLength)) }
