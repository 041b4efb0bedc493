// Package dispatcher takes a caller's request from admission to its last byte:
// it chooses a backend server, runs an attempt there, settles what became of it
// when a link fails, and decides on further attempts.
package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/binder"
	"github.com/carawaybeam/carawaybeam/router/counter"
	"github.com/carawaybeam/carawaybeam/router/prefixer"
	"github.com/carawaybeam/carawaybeam/tracker"
)

const (
	// bytesPerToken estimates the prompt's length from the body's.
	bytesPerToken = 4

	// comeBackAfter is when to come back where no policy gave a time.
	comeBackAfter = 2 * time.Second
)

type (
	// Request is one request of a caller.
	Request struct {
		ID           carawaybeam.RequestID
		Class        carawaybeam.Class
		Organisation carawaybeam.OrganisationID
		// Key is the caller's idempotency key, or empty.
		Key         carawaybeam.IdempotencyKey
		Method      string
		Path        string
		ContentType string
		Body        []byte
		Deadline    time.Time
		// DecidedOn is the configuration version that the request was read
		// under.
		DecidedOn carawaybeam.ConfigVersion

		routing *routing
	}

	// AnswerWriter takes an answer as it arrives.
	AnswerWriter interface {
		// Head begins the answer.
		Head(status int, contentType string) error
		// Chunk adds to the answer.
		Chunk(data []byte) error
	}

	// Members is the view of the backend servers.
	Members interface {
		Members(pool carawaybeam.PoolID) []tracker.Member
		Open(ctx context.Context, backend carawaybeam.BackendID) (carawaybeam.Stream, error)
		Suspect(backend carawaybeam.BackendID)
		Known(backend carawaybeam.BackendID) bool
	}

	// Binder ties idempotency keys to agents.
	Binder interface {
		Bind(ctx context.Context, key carawaybeam.AttemptID, want binder.Binding) (binder.Binding, error)
	}

	// Options is what a Dispatcher is made from.
	Options struct {
		DataCentre carawaybeam.DataCentre
		Members    Members
		Binder     Binder
		Config     tracker.ConfigObserver
		// Configuration lets requests that an agent refused as decided on an
		// old configuration be decided on anew. It may be nil.
		Configuration Configuration
		Router        carawaybeam.Router
		Limiter       carawaybeam.Limiter
		Retrier       carawaybeam.Retrier
		Log           zerolog.Logger
	}

	// Dispatcher serves requests. Its methods may be used by several goroutines
	// at once.
	Dispatcher struct {
		options Options
		random  *rand.Rand

		counter  *counter.Counter
		prefixes *prefixer.Table

		mu sync.Mutex
		// incarnations holds the last one seen of each agent.
		incarnations map[carawaybeam.BackendID]carawaybeam.Incarnation
		requests     sync.WaitGroup
	}
)

// New returns a Dispatcher.
func New(options Options) *Dispatcher {
	return &Dispatcher{
		options:  options,
		random:   rand.New(lockedSource{}),
		counter:  counter.New(),
		prefixes: prefixer.New(tableHeads),

		incarnations: make(map[carawaybeam.BackendID]carawaybeam.Incarnation),
	}
}

// lockedSource draws from the runtime's source, which many goroutines may use.
type lockedSource struct{}

// Uint64 returns a random number.
func (lockedSource) Uint64() uint64 { return rand.Uint64() }

// Close waits for the requests being served.
func (d *Dispatcher) Close() error {
	d.requests.Wait()
	return nil
}

// Do serves one request and returns nil once its whole answer was written. The
// error is the final word on the request; part of an answer may have been
// written then.
func (d *Dispatcher) Do(ctx context.Context, request Request, w AnswerWriter) *carawaybeam.RequestError {
	d.requests.Add(1)
	defer d.requests.Done()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	now := time.Now()
	request.routing = newRouting(request)
	admit, decision := d.admit(now, request)
	if !decision.Admitted {
		return notRun(carawaybeam.ReasonBusy, "class is at its limit", decision.RetryAfter)
	}
	defer func() { d.options.Limiter.Release(time.Now(), admit, time.Since(now)) }()
	d.options.Retrier.Started(now, request.Class.ID)
	return d.serve(ctx, request, &observedWriter{AnswerWriter: w, routing: request.routing})
}

func promptTokens(request Request) carawaybeam.Tokens {
	return carawaybeam.Tokens(len(request.Body) / bytesPerToken)
}

// serve runs attempts until one answers or no further one is allowed.
func (d *Dispatcher) serve(ctx context.Context, request Request, w AnswerWriter) *carawaybeam.RequestError {
	answer := &answerState{writer: w}
	var tried []carawaybeam.BackendID
	for try := 1; ; try++ {
		backend, failure := d.try(ctx, request, try, tried, answer)
		if failure == nil {
			return nil
		}
		if ctx.Err() != nil || answer.callerGone {
			return failure
		}
		if answer.written > 0 && !request.Class.Idempotent {
			return failure
		}
		if failure.Reason == carawaybeam.ReasonStaleConfig {
			if refused := d.refresh(ctx, &request); refused != nil {
				return refused
			}
		}
		if backend != "" {
			tried = append(tried, backend)
		}
		decision := d.options.Retrier.Retry(time.Now(), carawaybeam.RetryRequest{
			Class: request.Class, Try: try, Failure: failure, Deadline: request.Deadline,
		}, d.random)
		if !decision.Retry {
			return withRetryAfter(failure)
		}
		select {
		case <-time.After(decision.Wait):
		case <-ctx.Done():
			return withRetryAfter(failure)
		}
	}
}

// withRetryAfter tells the caller when to come back, if coming back may help.
func withRetryAfter(failure *carawaybeam.RequestError) *carawaybeam.RequestError {
	if failure.Outcome == carawaybeam.OutcomeNotRun && failure.RetryAfter == 0 &&
		failure.Reason != carawaybeam.ReasonKeyReused {
		failure.RetryAfter = comeBackAfter
	}
	return failure
}

// try makes one attempt.
func (d *Dispatcher) try(
	ctx context.Context,
	request Request,
	try int,
	tried []carawaybeam.BackendID,
	answer *answerState,
) (carawaybeam.BackendID, *carawaybeam.RequestError) {
	target, failure := d.target(ctx, request, tried)
	if failure != nil {
		return "", failure
	}
	run := d.follow(request, target.backend)
	defer func() { run.end(failure) }()
	a := &attemptRun{
		dispatcher: d,
		request:    request,
		id:         request.ID.Attempt(try),
		target:     target,
		answer:     answer,
		resume:     answer.written,
	}
	failure = a.run(ctx)
	return target.backend, failure
}

// target is where an attempt goes.
type target struct {
	backend     carawaybeam.BackendID
	incarnation carawaybeam.Incarnation
	// key is set when only this incarnation may run the request.
	key carawaybeam.AttemptID
}

// target chooses a backend server, and binds the key of a request that has one.
func (d *Dispatcher) target(
	ctx context.Context,
	request Request,
	tried []carawaybeam.BackendID,
) (target, *carawaybeam.RequestError) {
	choice, ok := d.route(time.Now(), request, tried)
	if !ok && len(tried) > 0 {
		choice, ok = d.route(time.Now(), request, nil)
	}
	keyed := request.Key != "" && !request.Class.Idempotent
	if !ok && !keyed {
		return target{}, notRun(carawaybeam.ReasonNoBackend, "no backend server can take the request", comeBackAfter)
	}
	member := d.member(request.Class.Pool, choice.Backend)
	if !keyed {
		return target{backend: member.Backend, incarnation: member.Incarnation}, nil
	}
	return d.bind(ctx, request, member)
}

func (d *Dispatcher) bind(
	ctx context.Context,
	request Request,
	member tracker.Member,
) (target, *carawaybeam.RequestError) {
	key := carawaybeam.KeyedAttempt(request.Organisation, request.Class.ID, request.Key)
	if member.Backend == "" {
		return target{}, notRun(carawaybeam.ReasonNoBackend, "no backend server can take the request", comeBackAfter)
	}
	want := binder.Binding{Backend: member.Backend, Incarnation: member.Incarnation, BodyHash: bodyHash(request)}
	bound, err := d.options.Binder.Bind(ctx, key, want)
	if err != nil {
		var failure *carawaybeam.RequestError
		if errors.As(err, &failure) {
			return target{}, failure
		}
		return target{}, notRun(carawaybeam.ReasonStoreUnavailable, err.Error(), comeBackAfter)
	}
	if bound.BodyHash != want.BodyHash {
		return target{}, notRun(carawaybeam.ReasonKeyReused, "key came with another body before", 0)
	}
	if d.reach(ctx, request.Class.Pool, bound.Backend).Incarnation != bound.Incarnation {
		return target{}, &carawaybeam.RequestError{
			Outcome: carawaybeam.OutcomeUnknown,
			Reason:  carawaybeam.ReasonWrongIncarnation,
			Detail:  "agent that the key is bound to is gone",
		}
	}
	return target{backend: bound.Backend, incarnation: bound.Incarnation, key: key}, nil
}

func (d *Dispatcher) member(pool carawaybeam.PoolID, backend carawaybeam.BackendID) tracker.Member {
	for _, m := range d.options.Members.Members(pool) {
		if m.Backend == backend {
			return m
		}
	}
	return tracker.Member{}
}

func notRun(reason carawaybeam.Reason, detail string, retryAfter time.Duration) *carawaybeam.RequestError {
	return &carawaybeam.RequestError{
		Outcome:    carawaybeam.OutcomeNotRun,
		Reason:     reason,
		Detail:     detail,
		RetryAfter: retryAfter,
	}
}
