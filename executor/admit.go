package executor

import (
	"context"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// dispatch returns the attempt of the frame, and starts it if it is new. A refused
// attempt is recorded in the ledger too, so that a later copy of the frame does not
// run. If another attempt with the same key is known, dispatch returns that one.
// routedWith is the configuration version by which the sender chose this backend
// server.
func (e *Executor) dispatch(d *framer.Dispatch, routedWith uint64) *attempt {
	id := carawaybeam.AttemptID(d.GetAttempt())
	e.mu.Lock()
	defer e.mu.Unlock()
	a := newAttempt(id)
	a.idempotent = d.GetIdempotent()
	a.fingerprint = quarantiner.Fingerprint(d.GetFingerprint())
	a.key = keyOf(d)
	if a.key != "" && !e.isForThisIncarnation(d.GetIncarnation()) {
		// An earlier attempt with the key may have run before the restart.
		a.finish(phaseFailed, wrongIncarnation())
		return a
	}
	timeout := time.Duration(d.GetDeadlineMs()) * time.Millisecond
	if known, ok := e.ledger.find(a); ok {
		known.extend(timeout)
		return known
	}
	if refusal, refused := e.refusal(a, d, routedWith); refused {
		e.refuse(a, refusal)
		return a
	}
	e.ledger.add(a)
	e.ledger.bindKey(a)
	e.tickets.use(d)
	e.running++
	e.counts.started.Add(1)
	a.ctx, a.cancel = context.WithCancel(e.ctx)
	a.limit(timeout)
	e.wait.Go(func() { e.run(a, d) })
	return a
}

// refuse records that the attempt will never run. If the agent is leaving or its data
// centre is evacuated, it also releases the key of the attempt, so that another agent
// may run the request.
func (e *Executor) refuse(a *attempt, refusal carawaybeam.RequestError) {
	e.counts.refused.Add(1)
	a.refuse(refusal)
	if e.ledger.full() {
		// No attempt starts while the ledger is full, so that there is no need
		// to record the refusal.
		return
	}
	e.ledger.add(a)
	if refusal.Reason == carawaybeam.ReasonLeaving && a.key != "" {
		a.released = true
		e.ledger.bindKey(a)
	}
}

// isForThisIncarnation reports whether a frame is addressed to this incarnation of
// the agent.
func (e *Executor) isForThisIncarnation(incarnation string) bool {
	return incarnation == "" || incarnation == string(e.options.Incarnation)
}

func wrongIncarnation() carawaybeam.RequestError {
	return carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeUnknown,
		Reason:  carawaybeam.ReasonWrongIncarnation,
		Detail:  "agent has restarted since the attempt was sent",
	}
}

// refusal returns why a new attempt must not run, or false if it may run. The caller
// holds mu.
func (e *Executor) refusal(a *attempt, d *framer.Dispatch, routedWith uint64) (carawaybeam.RequestError, bool) {
	refusal := carawaybeam.RequestError{Outcome: carawaybeam.OutcomeNotRun, RetryAfter: busyRetryAfter}
	switch {
	case !e.isForThisIncarnation(d.GetIncarnation()):
		refusal.Reason = carawaybeam.ReasonWrongIncarnation
	case e.options.Quarantiner.Status(a.fingerprint) == quarantiner.Quarantined:
		refusal = quarantined()
	case e.leaving || e.closed:
		refusal.Reason = carawaybeam.ReasonLeaving
	case e.evacuation.evacuated || d.GetOnlyKnown():
		refusal = evacuated()
	case e.suspended():
		refusal.Reason = carawaybeam.ReasonBusy
		refusal.Detail = "agent was suspended"
	case !e.tickets.allows(d):
		refusal.Reason = carawaybeam.ReasonBadTicket
		refusal.RetryAfter = 0
	case routedWith < e.configVersion.Load():
		refusal.Reason = carawaybeam.ReasonStaleConfig
	case !e.limit.Allows(e.running) || e.ledger.full():
		refusal.Reason = carawaybeam.ReasonBusy
	default:
		return e.restriction()
	}
	return refusal, true
}

// suspended reports whether the process was suspended a moment ago.
func (e *Executor) suspended() bool { return e.options.Suspended != nil && e.options.Suspended() }

// resolve returns the attempt if it is known, and otherwise records that it will
// never run.
func (e *Executor) resolve(r *framer.Resolve) *attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := newAttempt(carawaybeam.AttemptID(r.GetAttempt()))
	a.key = r.GetKey()
	a.fingerprint = quarantiner.Fingerprint(r.GetFingerprint())
	if known, ok := e.ledger.find(a); ok {
		e.counts.resumed.Add(1)
		return known
	}
	// The key remains available to other attempts.
	a.key = ""
	switch {
	case !e.isForThisIncarnation(r.GetIncarnation()):
		a.finish(phaseFailed, wrongIncarnation())
	case e.ledger.full():
		a.finish(phaseFailed, carawaybeam.RequestError{
			Outcome: carawaybeam.OutcomeUnknown,
			Reason:  carawaybeam.ReasonBusy,
			Detail:  "agent cannot record that the attempt never will run",
		})
	default:
		e.counts.tombstones.Add(1)
		a.refuse(tombstoned())
		e.ledger.add(a)
	}
	return a
}
