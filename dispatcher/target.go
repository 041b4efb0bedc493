package dispatcher

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/binder"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/tracker"
)

type (
	// progress is the state that the attempts of one request share.
	progress struct {
		answer *answerState
		// tried lists the backend servers of earlier attempts.
		tried []carawaybeam.BackendID
		// released is a binding of the idempotency key that its agent released.
		released binder.Binding
		// mayHaveRun is set once an attempt has ended without proof that it did
		// not run.
		mayHaveRun bool
		// unreachable is set while the agent of the last attempt could not be
		// reached.
		unreachable bool
	}

	// target is the destination of an attempt.
	target struct {
		backend     carawaybeam.BackendID
		incarnation carawaybeam.Incarnation
		dataCentre  carawaybeam.DataCentre
		// key is set when only this incarnation may run the request, because
		// the idempotency key is bound to it. binding is that binding.
		key     carawaybeam.AttemptID
		binding binder.Binding
		// ticket is the number of the request's ticket, or 0.
		ticket uint64
	}
)

// mayRetry reports whether another attempt is safe, whatever the retrier decides.
// A request that may have run is run again only if it is idempotent, and an
// answer is continued only if its backend server can resume it.
func (p *progress) mayRetry(request Request, failure *carawaybeam.RequestError) bool {
	if failure.Outcome != carawaybeam.OutcomeNotRun && !request.Class.Idempotent {
		return false
	}
	if !p.answer.headSent || request.Class.Kind == carawaybeam.WorkModel {
		return true
	}
	if !p.answer.writer.Restart() {
		return false
	}
	p.answer.headSent = false
	p.answer.written = 0
	return true
}

// finalError returns the error of the request, given that of its last attempt.
// If the last attempt did not run but an earlier one may have, the outcome is
// unknown.
func (p *progress) finalError(failure *carawaybeam.RequestError) *carawaybeam.RequestError {
	if failure == nil || failure.Outcome != carawaybeam.OutcomeNotRun || !p.mayHaveRun {
		return failure
	}
	unknown := *failure
	unknown.Outcome = carawaybeam.OutcomeUnknown
	return &unknown
}

// target chooses the backend server of an attempt. It binds the idempotency key,
// if there is one, unless the request is idempotent anyway.
func (d *Dispatcher) target(ctx context.Context, request Request, p *progress) (target, *carawaybeam.RequestError) {
	if request.Ticket.Number != 0 {
		return d.ticketTarget(ctx, request)
	}
	member, failure := d.choose(request, p.tried)
	if failure != nil {
		return target{}, failure
	}
	if request.Key != "" && !request.Class.Idempotent {
		return d.bind(ctx, request, member, p.released)
	}
	return target{
		backend: member.Backend, incarnation: member.Incarnation, dataCentre: member.VM.DataCentre,
	}, nil
}

// choose asks the router for a backend server. A request that is suspected of
// crashing backend servers goes to the one that all entries choose for it.
func (d *Dispatcher) choose(
	request Request,
	tried []carawaybeam.BackendID,
) (tracker.Member, *carawaybeam.RequestError) {
	var backend carawaybeam.BackendID
	if d.isSuspect(request) {
		backend = d.suspectBackend(request, tried)
	} else {
		choice, ok := d.route(time.Now(), request, tried)
		if !ok && len(tried) > 0 {
			choice, _ = d.route(time.Now(), request, nil)
		}
		backend = choice.Backend
	}
	member := d.member(request.Class.Pool, backend)
	if backend == "" || member.Backend == "" || !d.permits(request, member) {
		return member, d.noBackendError(request.Class.Pool)
	}
	return member, nil
}

// isSuspect reports whether the request may run only on the backend server that all entries
// choose for it, where suspects run one at a time.
func (d *Dispatcher) isSuspect(request Request) bool {
	switch d.options.Quarantiner.Status(request.fingerprint()) {
	case quarantiner.Suspect, quarantiner.OnTrial:
		return true
	}
	return false
}

// suspectBackend returns the backend server for a suspect request by rendezvous
// hashing, so that all entries choose the same one. It prefers backend servers
// that are not in tried.
func (d *Dispatcher) suspectBackend(request Request, tried []carawaybeam.BackendID) carawaybeam.BackendID {
	fingerprint := string(request.fingerprint())
	var best, bestTried carawaybeam.BackendID
	var weight, weightTried uint64
	for _, m := range d.options.Members.Members(request.Class.Pool) {
		if !d.acceptsWork(&m) || !d.permits(request, m) {
			continue
		}
		w := xxhash.Sum64String(fingerprint + string(m.Backend))
		if !slices.Contains(tried, m.Backend) && w >= weight {
			best, weight = m.Backend, w
		}
		if w >= weightTried {
			bestTried, weightTried = m.Backend, w
		}
	}
	if best == "" {
		return bestTried
	}
	return best
}

// bind binds the request's idempotency key to the agent of the member, unless it
// is bound already, and returns the incarnation that the key is bound to. It
// fails if the key was used with another body or that incarnation has ended.
func (d *Dispatcher) bind(
	ctx context.Context,
	request Request,
	member tracker.Member,
	released binder.Binding,
) (target, *carawaybeam.RequestError) {
	key := carawaybeam.KeyedAttempt(request.Organisation, request.Class.ID, request.Key)
	want := binder.Binding{Backend: member.Backend, Incarnation: member.Incarnation, BodyHash: bodyHash(request)}
	bound, err := d.options.Binder.Bind(ctx, key, want, released)
	if err != nil {
		var failure *carawaybeam.RequestError
		if errors.As(err, &failure) {
			return target{}, failure
		}
		return target{}, carawaybeam.NotRun(carawaybeam.ReasonStoreUnavailable, err.Error(), defaultRetryAfter)
	}
	if bound.BodyHash != want.BodyHash {
		return target{}, carawaybeam.NotRun(carawaybeam.ReasonKeyReused, "key came with another body before", 0)
	}
	holder := d.connect(ctx, request.Class.Pool, bound.Backend)
	request.Residency = d.residency(request) // Homes may have changed while the key was bound.
	if holder.Incarnation != bound.Incarnation {
		return target{}, wrongIncarnation("agent that the key is bound to is gone")
	}
	if !d.permits(request, holder) {
		return target{}, wrongIncarnation("agent that the key is bound to is not in a home region")
	}
	return target{
		backend: bound.Backend, incarnation: bound.Incarnation, dataCentre: holder.VM.DataCentre,
		key: key, binding: bound,
	}, nil
}

// wrongIncarnation returns the error of a request that only an incarnation which
// has ended, or is not in a home region any more, may run, and may have run.
func wrongIncarnation(detail string) *carawaybeam.RequestError {
	return &carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeUnknown,
		Reason:  carawaybeam.ReasonWrongIncarnation,
		Detail:  detail,
	}
}
