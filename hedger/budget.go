package hedger

import "time"

const (
	// window is the time in which second attempts are compared with requests, and buckets the
	// number of its parts. Requests are counted in so many, second attempts in one more, so that
	// the bound holds for windows that begin inside of a part.
	window     = 10 * time.Second
	buckets    = 40
	bucketTime = window / buckets

	// Burst is the most second attempts that requests earn in advance. In any time, an entry sends
	// at most the ratio times the requests of that time and Burst second attempts to a pool.
	Burst = 2
)

// budget bounds the second attempts of a pool. A bucket of tokens, which only requests fill and which
// is empty at the start of the process, bounds them in any time, whatever a clock does. A sliding
// window bounds them to the ratio while traffic is even, without the burst.
type budget struct {
	tokens         float64
	requests, sent [buckets + 1]int
	// newest is the number of the newest part of the window, counted from the start.
	newest int64
}

// earn counts a request.
func (b *budget) earn(now time.Duration, ratio float64) {
	b.advance(now)
	b.requests[b.index()]++
	b.tokens = min(b.tokens+ratio, Burst)
}

// allows reports whether a second attempt may be sent. One is allowed in a window also if the requests of
// that have earned less, or else entries with few requests would never send one.
func (b *budget) allows(now time.Duration, ratio float64) bool {
	b.advance(now)
	requests, sent := 0, 0
	for i := range b.sent {
		requests += b.requests[i]
		sent += b.sent[i]
	}
	requests -= b.requests[(b.newest+1)%(buckets+1)]
	return b.tokens >= 1 && (sent == 0 || float64(sent+1) <= ratio*float64(requests))
}

// spend counts a second attempt that was allowed.
func (b *budget) spend() {
	b.tokens--
	b.sent[b.index()]++
}

// advance clears the parts that have left the window.
func (b *budget) advance(now time.Duration) {
	current := max(int64(now/bucketTime), b.newest)
	for range min(current-b.newest, buckets+1) {
		b.newest++
		b.requests[b.index()], b.sent[b.index()] = 0, 0
	}
	b.newest = current
}

// index returns the index of the newest part.
func (b *budget) index() int64 { return b.newest % (buckets + 1) }
