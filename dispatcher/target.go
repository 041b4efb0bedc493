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
	// pursuit is what the attempts of one request share.
	pursuit struct {
		answer *answerState
		tried  []carawaybeam.BackendID
		// released is a binding of the key that its agent gave up.
		released binder.Binding
		// mayHaveRun is set once an attempt has ended without the proof that it
		// did not run.
		mayHaveRun bool
		// unreachable is set while the agent of the last attempt could not be
		// reached.
		unreachable bool
	}

	// target is where an attempt goes.
	target struct {
		backend     carawaybeam.BackendID
		incarnation carawaybeam.Incarnation
		// key is set when only this incarnation may run the request, under the
		// binding.
		key     carawaybeam.AttemptID
		binding binder.Binding
		// ticket is set when the request runs on a ticket.
		ticket uint64
	}
)

// mayGoOn tells whether a further attempt can do no harm. It does not rely on
// the retrier: what may have run is run again only if it is idempotent, and an
// answer is continued only by a backend server that can resume it.
func (p *pursuit) mayGoOn(request Request, failure *carawaybeam.RequestError) bool {
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

// settle returns the final word on the request. The refusal of its last attempt
// is no proof for earlier ones.
func (p *pursuit) settle(failure *carawaybeam.RequestError) *carawaybeam.RequestError {
	if failure == nil || failure.Outcome != carawaybeam.OutcomeNotRun || !p.mayHaveRun {
		return failure
	}
	unknown := *failure
	unknown.Outcome = carawaybeam.OutcomeUnknown
	return &unknown
}

// target chooses a backend server, and binds the key of a request that has one.
func (d *Dispatcher) target(ctx context.Context, request Request, p *pursuit) (target, *carawaybeam.RequestError) {
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
	return target{backend: member.Backend, incarnation: member.Incarnation}, nil
}

// choose asks the router, or sends a suspect request where all entries send it.
func (d *Dispatcher) choose(
	request Request,
	tried []carawaybeam.BackendID,
) (tracker.Member, *carawaybeam.RequestError) {
	var backend carawaybeam.BackendID
	if d.options.Quarantiner.Status(request.fingerprint()) == quarantiner.Suspect {
		backend = d.suspectBackend(request, tried)
	} else {
		choice, ok := d.route(time.Now(), request, tried)
		if !ok && len(tried) > 0 {
			choice, _ = d.route(time.Now(), request, nil)
		}
		backend = choice.Backend
	}
	member := d.member(request.Class.Pool, backend)
	if backend == "" || member.Backend == "" {
		return member, carawaybeam.NotRun(
			carawaybeam.ReasonNoBackend,
			"no backend server can take the request",
			comeBackAfter,
		)
	}
	return member, nil
}

// suspectBackend returns the backend server with the highest rendezvous weight
// for a suspect request, so that all entries send it to the same one.
func (d *Dispatcher) suspectBackend(request Request, tried []carawaybeam.BackendID) carawaybeam.BackendID {
	fingerprint := string(request.fingerprint())
	var best, bestTried carawaybeam.BackendID
	var weight, weightTried uint64
	for _, m := range d.options.Members.Members(request.Class.Pool) {
		if !m.Linked || m.Leaving {
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
		return target{}, carawaybeam.NotRun(carawaybeam.ReasonStoreUnavailable, err.Error(), comeBackAfter)
	}
	if bound.BodyHash != want.BodyHash {
		return target{}, carawaybeam.NotRun(carawaybeam.ReasonKeyReused, "key came with another body before", 0)
	}
	if d.reach(ctx, request.Class.Pool, bound.Backend).Incarnation != bound.Incarnation {
		return target{}, incarnationGone("agent that the key is bound to is gone")
	}
	return target{backend: bound.Backend, incarnation: bound.Incarnation, key: key, binding: bound}, nil
}

func incarnationGone(detail string) *carawaybeam.RequestError {
	return &carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeUnknown,
		Reason:  carawaybeam.ReasonWrongIncarnation,
		Detail:  detail,
	}
}
