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
// noticeTime after it was told, and a limit from Record.SettleTime after it was first named.
const (
	window     = 4 * time.Second
	overshoot  = 1.5
	slack      = 5
	noticeTime = 500 * time.Millisecond
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
		// For as long an earlier limit counts after it was lowered.
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

// LimitedArrivals returns the number of requests that arrived while the backend server named a
// limit.
func (r Record) LimitedArrivals() int {
	count := 0
	for _, a := range r.Arrivals {
		limit := math.Inf(1)
		for _, c := range r.Changes {
			if !c.At.After(a.At) {
				limit = c.Limit
			}
		}
		if !math.IsInf(limit, 1) {
			count++
		}
	}
	return count
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
// infinite unless a limit is named in the SettleTime before it and throughout.
func (r Record) allowed(from time.Time) float64 {
	if len(r.Changes) == 0 || from.Sub(r.Changes[0].At) < r.SettleTime {
		return math.Inf(1)
	}
	to, total := from.Add(window), 0.0
	for i, c := range r.Changes {
		end := r.endOf(i, to)
		switch {
		case !math.IsInf(c.Limit, 1):
			total += c.Limit * overlap(c.At, end, from, to).Seconds()
		case end.After(from.Add(-r.SettleTime)) && c.At.Before(to):
			return math.Inf(1)
		}
	}
	return overshoot*total + slack
}

// endOf returns until when the limit of a change counts, or last if it is in force.
func (r Record) endOf(change int, last time.Time) time.Time {
	if change+1 == len(r.Changes) {
		return last
	}
	limit, next := r.Changes[change].Limit, r.Changes[change+1]
	if next.Limit < limit && !math.IsInf(limit, 1) {
		return next.At.Add(r.SettleTime)
	}
	return next.At
}

// overlap returns how long two spans overlap.
func overlap(begin, end, from, to time.Time) time.Duration {
	if begin.Before(from) {
		begin = from
	}
	if end.After(to) {
		end = to
	}
	return max(0, end.Sub(begin))
}
