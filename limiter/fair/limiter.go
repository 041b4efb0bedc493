// Package fair is the limiter "fair". It refuses requests that cannot meet the
// target of their class, and divides the capacity fairly among organisations.
//
// The capacity is estimated, not configured. While the expected wait for the first
// token is short compared with the target, every request is admitted. Above that,
// each organisation is limited to its max-min fair share of the recently admitted
// work, and requests that would miss the target are refused for all organisations.
//
// RetryAfter of a refused request points to one of the recurring windows that
// belong to its fingerprint. The larger the backlog of its organisation, the later
// the window. A request that arrives in a window of its own is admitted with
// preference by every process: windows depend only on the fingerprint and the
// clock, so that no process has to store them.
package fair

import (
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// admitAllPressure is the highest pressure at which no request is refused.
	// Pressure is the expected wait as a fraction of the time that the target
	// leaves for waiting.
	admitAllPressure = 0.07

	// maxPressure is the highest pressure at which a request of an organisation
	// within its fair share is admitted.
	maxPressure = 0.7

	// maxWindowPressure is the highest pressure at which a request of an
	// organisation above its fair share is admitted, if the request arrives in
	// its own window.
	maxWindowPressure = 0.35

	// windowAllowance is the multiple of its fair share up to which an
	// organisation is served in such windows.
	windowAllowance = 2

	// retryShare is the fraction of an organisation's fair share at which its
	// refused requests are scheduled for retry.
	retryShare = 0.3

	// requestCost is the work of a request besides its prompt, in tokens.
	requestCost = 512

	// defaultTarget is used for classes without a target.
	defaultTarget = 10 * time.Second
)

type (
	// Limiter decides by the expected time to the first token and by fair share.
	Limiter struct {
		mu     sync.Mutex
		shares *shares
	}
)

func init() {
	carawaybeam.Limiters.Register("fair", func() carawaybeam.Limiter { return New() })
}

// New returns a Limiter without any recorded requests.
func New() *Limiter { return &Limiter{shares: newShares()} }

// Admit decides by the expected time to the first token and by the fair share of
// the organisation.
func (l *Limiter) Admit(now time.Time, request carawaybeam.AdmitRequest) carawaybeam.AdmitDecision {
	l.mu.Lock()
	defer l.mu.Unlock()
	cost := requestCost + float64(request.Prompt)
	u := l.shares.usageOf(request.Organisation)
	u.requested.add(now, cost)
	if l.admits(now, request, u) {
		l.shares.admit(now, u, cost)
		return carawaybeam.AdmitDecision{Admitted: true}
	}
	return carawaybeam.AdmitDecision{RetryAfter: l.retryAfter(now, request, u, cost)}
}

func (l *Limiter) admits(now time.Time, request carawaybeam.AdmitRequest, u *usage) bool {
	pressure := pressure(request)
	l.shares.observePressure(now, pressure)
	if request.Idle || pressure <= admitAllPressure {
		return true
	}
	level := l.shares.level(now)
	switch {
	case pressure <= maxPressure && u.admitted.get(now) <= level:
		return true
	case !inWindow(now, request.Fingerprint):
		return false
	}
	return pressure <= maxWindowPressure && u.admitted.get(now) <= windowAllowance*level
}

// pressure returns the expected wait for other requests as a fraction of the time
// that the target leaves for waiting. For a request that would miss its target
// even on an idle backend server, it is a fraction of the whole target.
func pressure(request carawaybeam.AdmitRequest) float64 {
	slack := target(request.Class) - request.Unloaded
	if slack <= 0 {
		slack = target(request.Class)
	}
	return (request.Expected - request.Unloaded).Seconds() / slack.Seconds()
}

// retryAfter appends a refused request to the virtual queue of its organisation,
// which is served at the rate retryShare of the fair share. It returns the time to
// the first window of the request after its turn in the queue.
func (l *Limiter) retryAfter(
	now time.Time,
	request carawaybeam.AdmitRequest,
	u *usage,
	cost float64,
) time.Duration {
	due := now.Add(max(minRetryAfter, request.Expected-request.Unloaded))
	if u.nextRetry.After(due) {
		due = u.nextRetry
	}
	if latest := now.Add(maxRetryAfter - windowCount*windowLength - windowOffset); due.After(latest) {
		due = latest
	}
	if rate := l.shares.rate(now) * retryShare; rate > 0 {
		u.nextRetry = due.Add(time.Duration(cost / rate * float64(time.Second)))
	}
	return nextWindow(due, request.Fingerprint).Sub(now)
}

// Release does nothing, because the expected time of later requests already
// accounts for requests that ended.
func (l *Limiter) Release(time.Time, carawaybeam.AdmitRequest, time.Duration) {}

// target returns the target for the first token or, if the class has none, for the
// whole answer.
func target(class carawaybeam.Class) time.Duration {
	switch {
	case class.Targets.FirstToken > 0:
		return class.Targets.FirstToken
	case class.Targets.Completed > 0:
		return class.Targets.Completed
	}
	return defaultTarget
}
