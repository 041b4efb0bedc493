package allocator

import "time"

// bucket is a token bucket that begins empty and holds up to burst requests.
type bucket struct {
	// rate is in requests per second.
	rate float64
	// tokens is the number of requests that were allowed at the time refilledAt.
	tokens     float64
	refilledAt time.Duration
	// fullSince is since when at least one request is allowed, or 0.
	fullSince time.Duration
}

// reset empties the bucket.
func (b *bucket) reset(now time.Duration) { b.tokens, b.refilledAt, b.fullSince = 0, now, 0 }

// setRate changes the rate from now on.
func (b *bucket) setRate(now time.Duration, rate float64) {
	b.refill(now)
	b.rate = rate
}

func (b *bucket) refill(now time.Duration) {
	before := b.tokens
	b.tokens = min(burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	if before < 1 && b.tokens >= 1 {
		b.fullSince = now
	}
	b.refilledAt = now
}

// take takes one request. It returns false if none is allowed.
func (b *bucket) take(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.fullSince = 0
	if b.tokens >= 1 {
		b.fullSince = now
	}
	return true
}

// nextIn returns in what time a request is allowed.
func (b *bucket) nextIn(now time.Duration) time.Duration {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
}

// unusedFor returns for how long a request has been allowed and none was made.
func (b *bucket) unusedFor(now time.Duration) time.Duration {
	b.refill(now)
	if b.tokens < 1 {
		return 0
	}
	return now - b.fullSince
}
