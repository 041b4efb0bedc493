package executor

import (
	"context"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// dispatch returns the attempt of the frame, and starts it if it is new. A
// refused attempt is in the ledger too, so that a later copy does not run. An
// attempt whose key has run stands for the one that ran.
func (e *Executor) dispatch(d *framer.Dispatch, decidedOn uint64) *attempt {
	id := carawaybeam.AttemptID(d.GetAttempt())
	e.mu.Lock()
	defer e.mu.Unlock()
	a := newAttempt(id)
	a.idempotent = d.GetIdempotent()
	a.fingerprint = quarantiner.Fingerprint(d.GetFingerprint())
	a.key = keyOf(d)
	if a.key != "" && !e.mine(d.GetIncarnation()) {
		// An earlier sending under the key may have run before the restart.
		a.finish(phaseFailed, wrongIncarnation())
		return a
	}
	if known, ok := e.ledger.find(a); ok {
		return known
	}
	if refusal, refused := e.refusal(a, d, decidedOn); refused {
		e.refuse(a, refusal)
		return a
	}
	e.ledger.add(a)
	e.ledger.claim(a)
	e.minted.use(d)
	e.running++
	e.counts.started.Add(1)
	a.ctx, a.cancel = context.WithCancel(e.ctx)
	e.wait.Go(func() { e.run(a, d) })
	return a
}

// refuse records that the attempt never will run. A leaving agent gives up the
// key as well, so that another one may run the request.
func (e *Executor) refuse(a *attempt, refusal carawaybeam.RequestError) {
	e.counts.refused.Add(1)
	a.refuse(refusal)
	if e.ledger.full() {
		// Nothing starts while the ledger is full, so nothing need be noted.
		return
	}
	e.ledger.add(a)
	if refusal.Reason == carawaybeam.ReasonLeaving && a.key != "" {
		a.released = true
		e.ledger.claim(a)
	}
}

// mine tells whether a frame is meant for this incarnation.
func (e *Executor) mine(incarnation string) bool {
	return incarnation == "" || incarnation == string(e.options.Incarnation)
}

func wrongIncarnation() carawaybeam.RequestError {
	return carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeUnknown,
		Reason:  carawaybeam.ReasonWrongIncarnation,
		Detail:  "agent has restarted since the attempt was sent",
	}
}

// refusal tells why a new attempt may not run. The caller holds mu.
func (e *Executor) refusal(a *attempt, d *framer.Dispatch, decidedOn uint64) (carawaybeam.RequestError, bool) {
	refusal := carawaybeam.RequestError{Outcome: carawaybeam.OutcomeNotRun, RetryAfter: busyRetryAfter}
	switch {
	case !e.mine(d.GetIncarnation()):
		refusal.Reason = carawaybeam.ReasonWrongIncarnation
	case e.options.Quarantiner.Status(a.fingerprint) == quarantiner.Quarantined:
		refusal = quarantined()
	case e.leaving || e.closed:
		refusal.Reason = carawaybeam.ReasonLeaving
	case !e.minted.allows(d):
		refusal.Reason = carawaybeam.ReasonBadTicket
		refusal.RetryAfter = 0
	case decidedOn < e.configVersion.Load():
		refusal.Reason = carawaybeam.ReasonStaleConfig
	case !e.limit.Allows(e.running) || e.ledger.full():
		refusal.Reason = carawaybeam.ReasonBusy
	default:
		return refusal, false
	}
	return refusal, true
}

// resolve returns the attempt, or records that it never will run.
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
	// The key is free for other attempts.
	a.key = ""
	switch {
	case !e.mine(r.GetIncarnation()):
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
