package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/retrier/quota"
)

var bound = quota.Bound{Ratio: 0.2, Window: 10 * time.Second, Reserve: 90}

func retry(r *quota.Retrier, now time.Time) bool {
	return r.Retry(now, carawaybeam.RetryRequest{Class: carawaybeam.Class{ID: "p"}}, nil).Retry
}

// Five entries make all the retries that they are allowed in a total failure. No
// sliding window may contain more retries than the bound allows for all entries
// together.
func TestBoundHoldsForAllEntriesTogether(t *testing.T) {
	checkBound(t, func(time.Duration) bool { return false })
}

// TestBoundHoldsOverRestarts guards against entries that are killed and make the retries
// of their reserve once more after the restart.
func TestBoundHoldsOverRestarts(t *testing.T) {
	checkBound(t, func(at time.Duration) bool {
		return at == 12*time.Second || at == 17*time.Second || at == 18*time.Second
	})
}

// checkBound simulates the entries over 40 s, and restarts all of them at the times that
// restart selects.
func checkBound(t *testing.T, restart func(at time.Duration) bool) {
	const entries = 5
	random := rand.New(rand.NewPCG(1, 1))
	begun := time.Unix(1000, 0)
	retriers := make([]*quota.Retrier, entries)
	start := func(at time.Duration) {
		for i := range retriers {
			known, started := 0, begun.Add(at) // The store has not answered yet.
			if at == 0 {
				known, started = entries, begun.Add(-time.Minute)
			}
			retriers[i] = quota.New(quota.Options{
				Bound: bound, Started: started, Entries: func() int {
					defer func() { known = entries }()
					return known
				},
			})
		}
	}
	start(0)
	var requests, retries []time.Duration
	for at := time.Duration(0); at < 40*time.Second; at += 5 * time.Millisecond {
		if restart(at) {
			start(at)
		}
		// The request rate rises and falls suddenly.
		rate := 60.0
		if at > 15*time.Second && at < 22*time.Second {
			rate = 400
		}
		if random.Float64() >= rate*0.005 {
			continue
		}
		r := retriers[random.IntN(entries)]
		r.CountFirstAttempt(begun.Add(at), "p")
		requests = append(requests, at)
		for retry(r, begun.Add(at)) {
			retries = append(retries, at)
		}
	}
	if len(retries) < 100 {
		t.Errorf("only %d retries", len(retries))
	}
	for start := time.Duration(0); start < 30*time.Second; start += 100 * time.Millisecond {
		n := count(retries, start)
		allowed := bound.Ratio*float64(max(count(requests, start), count(requests, start-bound.Window),
			count(requests, start-bound.Window/2))) + bound.Reserve
		if float64(n) > allowed {
			t.Errorf("window from %v: %d retries, %.0f allowed", start, n, allowed)
		}
	}
}

func count(times []time.Duration, start time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= start && at < start+bound.Window {
			n++
		}
	}
	return n
}

// A new bound applies at once.
func TestBoundChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := quota.New(quota.Options{Bound: quota.Bound{Window: time.Second}, Entries: func() int { return 1 }})
	is.True(!retry(r, now))
	r.SetBound(quota.Bound{Window: time.Second, Reserve: 2})
	is.True(retry(r, now))
	is.True(!retry(r, now))
	is.True(retry(r, now.Add(2*time.Second)))
}
