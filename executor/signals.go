package executor

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/throttler"
)

// backend returns the backend server beside the agent. Its incarnations are not known.
func (e *Executor) backend() carawaybeam.BackendIncarnation {
	return carawaybeam.BackendIncarnation{ID: e.options.BackendID}
}

// ObserveLoad records what the backend server says of itself in the answer to a request for
// its load, which was sent at the given time. An answer without a limit does not end one,
// as plain services do not report their load. If the backend server could not be reached
// before, another one may have taken its place.
func (e *Executor) ObserveLoad(sent time.Time, signals carawaybeam.BackendSignals, returned bool) {
	if returned {
		e.options.Throttler.ObserveReturn(e.backend())
	}
	if signals.Limit != nil || signals.Leaving {
		e.observeSignals(sent, signals)
	}
}

func (e *Executor) observeSignals(sent time.Time, signals carawaybeam.BackendSignals) {
	e.options.Throttler.Observe(e.backend(), throttler.Exchange{Sent: sent, Answered: time.Now()}, signals)
}

// restriction returns the refusal of an attempt that the backend server does not take now, or
// false if it does.
func (e *Executor) restriction() (carawaybeam.RequestError, bool) {
	now := time.Now()
	if e.options.Throttler.Take(now, e.backend()) {
		return carawaybeam.RequestError{}, false
	}
	status := e.options.Throttler.Status(now, e.backend())
	return carawaybeam.RequestError{
		Outcome:    carawaybeam.OutcomeNotRun,
		Reason:     carawaybeam.ReasonBusy,
		Detail:     "backend server takes no request now",
		RetryAfter: max(busyRetryAfter, status.ClosedFor, status.Wait),
	}, true
}
