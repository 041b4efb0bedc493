// Package fair is the limiter "fair": it refuses at once what cannot meet the
// target of its class, and divides what there is fairly among organisations.
//
// Capacity is never configured. While the expected wait for the first token is
// short against the target, everything is admitted. Above that, an organisation
// is held to its max-min fair share of the work that was admitted lately, and
// what would miss the target is refused whoever asks.
//
// A refused request is told to come back in one of the recurring windows that
// belong to its fingerprint, as late as its organisation's backlog demands.
// Whoever comes in the own window is admitted first, by any process: the window
// follows from the request and the clock alone, and nothing is remembered.
package fair

import (
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// idleShare is the expected wait, as a share of what the target leaves for
	// it, up to which nothing is refused.
	idleShare = 0.07

	// fullShare is the same from which everything is refused.
	fullShare = 0.7

	// windowShare is the same for an organisation above its fair share, when
	// the request comes in its own window.
	windowShare = 0.35

	// windowAllowance is the multiple of its fair share that an organisation
	// may get in such windows.
	windowAllowance = 2

	// returnShare is the part of an organisation's fair share that is promised
	// to requests that come back.
	returnShare = 0.3

	// requestCost is the work of a request besides its prompt, in tokens.
	requestCost = 512

	// defaultTarget stands in for classes without a target.
	defaultTarget = 10 * time.Second
)

type (
	// Limiter admits by deadline and fair share.
	Limiter struct {
		mu     sync.Mutex
		shares *shares
	}
)

func init() {
	carawaybeam.Limiters.Register("fair", func() carawaybeam.Limiter { return New() })
}

// New returns a Limiter that has seen no request yet.
func New() *Limiter { return &Limiter{shares: newShares()} }

// Admit decides by the expected time to the first token and the share of the
// organisation.
func (l *Limiter) Admit(now time.Time, request carawaybeam.AdmitRequest) carawaybeam.AdmitDecision {
	l.mu.Lock()
	defer l.mu.Unlock()
	cost := requestCost + float64(request.Prompt)
	row := l.shares.row(request.Organisation)
	row.asked.add(now, cost)
	if l.admits(now, request, row) {
		l.shares.admit(now, row, cost)
		return carawaybeam.AdmitDecision{Admitted: true}
	}
	return carawaybeam.AdmitDecision{RetryAfter: l.retryAfter(now, request, row, cost)}
}

func (l *Limiter) admits(now time.Time, request carawaybeam.AdmitRequest, row *row) bool {
	pressure := pressure(request)
	l.shares.press(now, pressure)
	if request.Idle || pressure <= idleShare {
		return true
	}
	level := l.shares.level(now)
	switch {
	case pressure <= fullShare && row.admitted.get(now) <= level:
		return true
	case !isWindow(now, request.Fingerprint):
		return false
	}
	return pressure <= windowShare && row.admitted.get(now) <= windowAllowance*level
}

// pressure returns the expected wait for other requests as a share of what the
// target leaves for it. A request that would miss its target on an idle backend
// server is measured by the whole target.
func pressure(request carawaybeam.AdmitRequest) float64 {
	room := target(request.Class) - request.Unloaded
	if room <= 0 {
		room = target(request.Class)
	}
	return (request.Expected - request.Unloaded).Seconds() / room.Seconds()
}

// retryAfter puts a refused request into the virtual queue of its organisation,
// which is served at a part of its fair share, and returns the time to the
// first window of the request behind it.
func (l *Limiter) retryAfter(
	now time.Time,
	request carawaybeam.AdmitRequest,
	row *row,
	cost float64,
) time.Duration {
	due := now.Add(max(minRetryAfter, request.Expected-request.Unloaded))
	if row.next.After(due) {
		due = row.next
	}
	if latest := now.Add(maxRetryAfter - windows*window - aim); due.After(latest) {
		due = latest
	}
	if rate := l.shares.rate(now) * returnShare; rate > 0 {
		row.next = due.Add(time.Duration(cost / rate * float64(time.Second)))
	}
	return nextWindow(due, request.Fingerprint).Sub(now)
}

// Release does nothing, since the expected time tells of what ended.
func (l *Limiter) Release(time.Time, carawaybeam.AdmitRequest, time.Duration) {}

// target returns the target that an admitted request must meet first.
func target(class carawaybeam.Class) time.Duration {
	switch {
	case class.Targets.FirstToken > 0:
		return class.Targets.FirstToken
	case class.Targets.Completed > 0:
		return class.Targets.Completed
	}
	return defaultTarget
}
