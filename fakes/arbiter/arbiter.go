// Package arbiter checks records of requests against the limits that backend servers
// have named. It is used for testing only.
package arbiter

import (
	"fmt"
	"math"
	"time"
)

// The rule of the users: a backend server that names a limit gets, in any window, at most
// overshoot times what the limit allows, and slack requests more. A sender counts from
// noticeTime after it was told, and a limit from the settleTime that the test states.
const (
	window     = 4 * time.Second
	overshoot  = 1.5
	slack      = 5
	noticeTime = 500 * time.Millisecond

	// loweredTime is how long after a limit was lowered the earlier one still counts. The
	// rule does not state it.
	loweredTime = time.Second
)

type (
	// Sender numbers the processes that send requests.
	Sender int

	// Change is a change of the limit of a backend server.
	Change struct {
		At time.Time
		// Limit is in requests per second. It is infinite if the backend server names
		// none.
		Limit float64
	}

	// Arrival is a request that has reached the backend server.
	Arrival struct {
		Sender Sender
		At     time.Time
	}

	// Record is what happened at one backend server. Changes and Arrivals are in order
	// of time.
	Record struct {
		Changes  []Change
		Arrivals []Arrival
		// Told holds when each sender first got an answer with a limit. A sender that is
		// not in it was not told.
		Told map[Sender]time.Time
		// Excused reports whether a sender was disturbed in a span, so that its requests
		// do not count. It may be nil.
		Excused func(sender Sender, from, to time.Time) bool
		// SettleTime is the time from the first naming of a limit to the first window.
		SettleTime time.Duration
	}
)

// Violations returns a sentence for each window that begins with an arrival and in which
// the backend server got more requests than its limit allows.
func (r Record) Violations() []string {
	var found []string
	for i, first := range r.Arrivals {
		allowed := r.allowed(first.At)
		if math.IsInf(allowed, 1) {
			continue
		}
		end, counted := first.At.Add(window), 0
		for _, a := range r.Arrivals[i:] {
			if a.At.Before(end) && r.counts(a, first.At, end) {
				counted++
			}
		}
		if float64(counted) > allowed {
			found = append(found, fmt.Sprintf("%d requests in %v, allowed %.1f", counted, window, allowed))
		}
	}
	return found
}

// counts reports whether an arrival counts in a window.
func (r Record) counts(a Arrival, from, to time.Time) bool {
	told, ok := r.Told[a.Sender]
	if !ok || a.At.Before(told.Add(noticeTime)) {
		return false
	}
	return r.Excused == nil || !r.Excused(a.Sender, from, to)
}

// allowed returns how many requests may arrive in the window that begins at from. It is
// infinite unless a limit is named in the settleTime before it and throughout.
func (r Record) allowed(from time.Time) float64 {
	total := 0.0
	for i, c := range r.Changes {
		end := from.Add(window)
		if i+1 < len(r.Changes) {
			next := r.Changes[i+1]
			end = next.At
			if next.Limit < c.Limit && !math.IsInf(c.Limit, 1) {
				end = end.Add(loweredTime)
			}
		}
		begins, ends := c.At, end
		if math.IsInf(c.Limit, 1) {
			if ends.After(from.Add(-r.SettleTime)) && begins.Before(from.Add(window)) {
				return math.Inf(1)
			}
			continue
		}
		if begins.Before(from) {
			begins = from
		}
		if last := from.Add(window); ends.After(last) {
			ends = last
		}
		if ends.After(begins) {
			total += c.Limit * ends.Sub(begins).Seconds()
		}
	}
	if len(r.Changes) == 0 || from.Sub(r.Changes[0].At) < r.SettleTime {
		return math.Inf(1)
	}
	return overshoot*total + slack
}
