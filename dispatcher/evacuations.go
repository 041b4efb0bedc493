package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/tracker"
)

const (
	// evacuatedRetryAfter is when callers may retry at the earliest if all backend servers
	// of a pool are in evacuated data centres, and evacuatedSpread the range over which they
	// are spread. They are told whole seconds, here 1 or 2.
	evacuatedRetryAfter = 500 * time.Millisecond
	evacuatedSpread     = time.Second

	// unreadRetryAfter is when callers may retry at an entry that has not read the
	// evacuations yet. It reads them as soon as the store answers.
	unreadRetryAfter = 100 * time.Millisecond
)

// Evacuations knows the evacuated data centres.
type Evacuations interface {
	// Loaded reports whether the evacuations have been read.
	Loaded() bool
	// Evacuated reports whether nothing may be sent to a data centre.
	Evacuated(dataCentre carawaybeam.DataCentre) bool
}

// unreadEvacuations returns the error of a request while the evacuations are to be obeyed
// and have not been read, or nil.
func (d *Dispatcher) unreadEvacuations() *carawaybeam.RequestError {
	if d.options.Evacuations == nil || d.options.Evacuations.Loaded() {
		return nil
	}
	return carawaybeam.NotRun(
		carawaybeam.ReasonLeaving, "this entry has not read the evacuations yet", unreadRetryAfter,
	)
}

// isEvacuated reports whether no new work may be sent to a data centre.
func (d *Dispatcher) isEvacuated(dataCentre carawaybeam.DataCentre) bool {
	return d.options.Evacuations != nil && d.options.Evacuations.Evacuated(dataCentre)
}

// acceptsWork reports whether new work may be sent to a backend server.
func (d *Dispatcher) acceptsWork(m *tracker.Member) bool {
	return m.Linked && !m.Leaving && !d.isEvacuated(m.VM.DataCentre)
}

// noBackendError returns the error of a request for a pool none of whose backend servers can
// take it.
func (d *Dispatcher) noBackendError(pool carawaybeam.PoolID) *carawaybeam.RequestError {
	for _, m := range d.options.Members.Members(pool) {
		if m.Linked && !m.Leaving && d.isEvacuated(m.VM.DataCentre) {
			return carawaybeam.NotRun(
				carawaybeam.ReasonNoBackend, "data centres of all backend servers are evacuated",
				evacuatedRetryAfter+rand.N(evacuatedSpread),
			)
		}
	}
	return carawaybeam.NotRun(
		carawaybeam.ReasonNoBackend, "no backend server can take the request", defaultRetryAfter,
	)
}

// checkEvacuation is called right before the first frame of a stream is sent, since an
// evacuation may have begun after the backend server was chosen. It returns the error of the
// attempt if its data centre is evacuated.
//
// An attempt with a key or ticket, which only one agent may run, is sent as one that must not
// be started: the agent may know its answer, or else releases the key.
func (a *attemptRun) checkEvacuation(first *framer.Frame) *carawaybeam.RequestError {
	dispatch := first.GetDispatch()
	if dispatch == nil || !a.dispatcher.isEvacuated(a.target.dataCentre) {
		return nil
	}
	if a.key() != "" {
		dispatch.OnlyKnown = true
		return nil
	}
	return carawaybeam.NotRun(
		carawaybeam.ReasonLeaving, "data centre of the backend server was evacuated meanwhile", unreadRetryAfter,
	)
}
