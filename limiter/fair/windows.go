package fair

import "time"

const (
	// windowLength is the duration of a window, in which a retried request is
	// admitted with preference. It exceeds the second to which Retry-After is
	// rounded up.
	windowLength = 2 * time.Second

	// windowOffset is the point in a window for which RetryAfter is computed.
	// Together with the rounding of Retry-After to a second, it leaves the same
	// tolerance for clocks that are fast and clocks that are slow.
	windowOffset = windowLength / 4

	// windowCount is the number of windows in a cycle. One in windowCount new
	// requests arrives in its own window by chance.
	windowCount = 6

	// minRetryAfter and maxRetryAfter bound RetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// inWindow reports whether now is in a window of the request. The result is the
// same in every process, so that a request can be retried through any of them.
func inWindow(now time.Time, fingerprint uint64) bool {
	return windowNumber(now)%windowCount == fingerprint%windowCount
}

// nextWindow returns the point windowOffset into the first window of the request
// that starts at the given time or later.
func nextWindow(from time.Time, fingerprint uint64) time.Time {
	start := windowNumber(from.Add(windowLength - 1))
	start += (fingerprint%windowCount + windowCount - start%windowCount) % windowCount
	return time.Unix(0, int64(start)*int64(windowLength)).Add(windowOffset)
}

// windowNumber returns the number of windows that have passed since 1970.
func windowNumber(at time.Time) uint64 { return uint64(at.UnixNano() / int64(windowLength)) }
