// Package dispatcher takes a caller's request from admission to its last byte:
// it chooses a backend server, runs an attempt there, settles what became of it
// when a link fails, and decides on further attempts.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/assessor"
	"github.com/carawaybeam/carawaybeam/binder"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/randomizer"
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
		// Ticket lets the request run once on the agent that minted it. The
		// zero value is none.
		Ticket Ticket
		// ConfigVersion is the configuration version that the request was read
		// under.
		ConfigVersion carawaybeam.ConfigVersion

		routing *routing
	}

	// AnswerWriter takes an answer as it arrives.
	AnswerWriter interface {
		// Head begins the answer.
		Head(status int, contentType string) error
		// Chunk adds to the answer.
		Chunk(data []byte) error
		// Restart takes back what was written, if none of it has left yet, and
		// tells whether it did.
		Restart() bool
	}

	// Members is the view of the backend servers.
	Members interface {
		Members(pool carawaybeam.PoolID) []tracker.Member
		Open(ctx context.Context, backend carawaybeam.BackendID) (carawaybeam.Stream, error)
		Suspect(backend carawaybeam.BackendID)
		// Reach makes a link to a backend server outside the entry's subset and
		// tells whether there is one.
		Reach(ctx context.Context, pool carawaybeam.PoolID, backend carawaybeam.BackendID) bool
	}

	// Binder ties idempotency keys to agents.
	Binder interface {
		// Bind returns the binding in force for the key. One that equals
		// released is replaced.
		Bind(
			ctx context.Context,
			key carawaybeam.AttemptID,
			want, released binder.Binding,
		) (binder.Binding, error)
	}

	// Recorder keeps what became of requests.
	Recorder interface {
		// Attempted records a try that has ended, without a failure when it
		// delivered the whole answer. The backend server is empty when none
		// was chosen.
		Attempted(
			request carawaybeam.RequestID,
			try int,
			backend carawaybeam.BackendID,
			failure *carawaybeam.RequestError,
		)
		// Ended records the end of a request.
		Ended(
			request carawaybeam.RequestID,
			class carawaybeam.ClassID,
			organisation carawaybeam.OrganisationID,
			failure *carawaybeam.RequestError,
		)
	}

	// Options is what a Dispatcher is made from.
	Options struct {
		DataCentre     carawaybeam.DataCentre
		Members        Members
		Binder         Binder
		ConfigObserver tracker.ConfigObserver
		// Configuration lets requests that an agent refused as decided on an
		// old configuration be decided on anew. It may be nil.
		Configuration Configuration
		Router        carawaybeam.Router
		Limiter       carawaybeam.Limiter
		Retrier       carawaybeam.Retrier
		// Quarantiner keeps the requests that crash backend servers. Nil stands
		// for one of the Dispatcher's own.
		Quarantiner *quarantiner.Quarantiner
		// Assessor measures requests against the targets of their classes. Nil
		// stands for one of the Dispatcher's own.
		Assessor *assessor.Assessor
		// Recorder keeps where tries went and how requests ended. It may be nil.
		Recorder Recorder
		Log      zerolog.Logger
	}

	// Dispatcher serves requests. Its methods may be used by several goroutines
	// at once.
	Dispatcher struct {
		options Options
		random  *rand.Rand

		counter  *counter.Counter
		prefixes *prefixer.Table
		counts   counters

		mu sync.Mutex
		// incarnations holds the last one seen of each agent.
		incarnations map[carawaybeam.BackendID]carawaybeam.Incarnation
		requests     sync.WaitGroup
		closed       bool
	}

	// counters counts frames that an answer had no use for.
	counters struct {
		crossed, repeated, gaps atomic.Uint64
	}

	// State is the state dump of a Dispatcher.
	State struct {
		// Crossed counts frames for another attempt.
		Crossed uint64 `json:"crossed"`
		// Repeated counts parts of an answer that came before.
		Repeated uint64 `json:"repeated"`
		// Gaps counts streams given up since a part was missing.
		Gaps       uint64            `json:"gaps"`
		Quarantine quarantiner.State `json:"quarantine"`
	}
)

// New returns a Dispatcher.
func New(options Options) *Dispatcher {
	if options.Quarantiner == nil {
		options.Quarantiner = quarantiner.New()
	}
	if options.Assessor == nil {
		options.Assessor = assessor.New()
	}
	return &Dispatcher{
		options:  options,
		random:   randomizer.New(),
		counter:  counter.New(),
		prefixes: prefixer.New(tableHeads),

		incarnations: make(map[carawaybeam.BackendID]carawaybeam.Incarnation),
	}
}

// Close refuses further requests and waits for those being served.
func (d *Dispatcher) Close() error {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.requests.Wait()
	return nil
}

// enter counts a request, unless the Dispatcher is closed.
func (d *Dispatcher) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.requests.Add(1)
	return true
}

// State returns the state dump.
func (d *Dispatcher) State() State {
	return State{
		Crossed:    d.counts.crossed.Load(),
		Repeated:   d.counts.repeated.Load(),
		Gaps:       d.counts.gaps.Load(),
		Quarantine: d.options.Quarantiner.State(),
	}
}

// Do serves one request and returns nil once its whole answer was written. The
// error is the final word on the request; part of an answer may have been
// written then.
func (d *Dispatcher) Do(ctx context.Context, request Request, w AnswerWriter) *carawaybeam.RequestError {
	m := newMeasuredWriter(request, w)
	failure := d.do(ctx, request, m)
	d.assess(ctx, m, failure)
	if d.options.Recorder != nil {
		d.options.Recorder.Ended(request.ID, request.Class.ID, request.Organisation, failure)
	}
	return failure
}

func (d *Dispatcher) do(ctx context.Context, request Request, w AnswerWriter) *carawaybeam.RequestError {
	if !d.enter() {
		return carawaybeam.NotRun(carawaybeam.ReasonLeaving, "this entry does not serve now", comeBackAfter)
	}
	defer d.requests.Done()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	now := time.Now()
	request.routing = newRouting(request)
	admit, decision := d.admit(now, request)
	if !decision.Admitted {
		return carawaybeam.NotRun(carawaybeam.ReasonBusy, "class is at its limit", decision.RetryAfter)
	}
	defer func() { d.options.Limiter.Release(time.Now(), admit, time.Since(now)) }()
	d.options.Retrier.CountFirstAttempt(now, request.Class.ID)
	return d.serve(ctx, request, &observedWriter{AnswerWriter: w, routing: request.routing})
}

func promptTokens(request Request) carawaybeam.Tokens {
	return carawaybeam.Tokens(len(request.Body) / bytesPerToken)
}

// serve runs attempts until one answers or no further one is allowed.
func (d *Dispatcher) serve(ctx context.Context, request Request, w AnswerWriter) *carawaybeam.RequestError {
	p := &pursuit{answer: &answerState{writer: w}}
	return p.settle(d.pursue(ctx, request, p))
}

func (d *Dispatcher) pursue(ctx context.Context, request Request, p *pursuit) *carawaybeam.RequestError {
	if d.quarantined(request) {
		return quarantined(carawaybeam.OutcomeNotRun)
	}
	for try := 1; ; try++ {
		delivered := p.answer.written
		failure, backend := d.try(ctx, request, try, p)
		if d.options.Recorder != nil {
			d.options.Recorder.Attempted(request.ID, try, backend, failure)
		}
		if failure == nil {
			return nil
		}
		p.mayHaveRun = p.mayHaveRun || failure.Outcome != carawaybeam.OutcomeNotRun
		if ctx.Err() != nil || p.answer.callerGone || !p.mayGoOn(request, failure) {
			return withRetryAfter(failure)
		}
		if failure.Reason == carawaybeam.ReasonStaleConfig {
			if refused := d.refresh(ctx, &request); refused != nil {
				return refused
			}
		}
		if d.quarantined(request) {
			return quarantined(failure.Outcome)
		}
		again := d.awaitRetry(ctx, carawaybeam.RetryRequest{
			Request:     request.ID,
			Class:       request.Class,
			Attempts:    try,
			Failure:     failure,
			Resumes:     p.answer.written > delivered,
			Unreachable: p.unreachable,
			Deadline:    request.Deadline,
		})
		if !again {
			return withRetryAfter(failure)
		}
	}
}

// awaitRetry asks the retrier for a further try and waits until it is due.
func (d *Dispatcher) awaitRetry(ctx context.Context, request carawaybeam.RetryRequest) bool {
	decision := d.options.Retrier.Retry(time.Now(), request, d.random)
	if !decision.Retry {
		return false
	}
	select {
	case <-time.After(decision.Wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *Dispatcher) quarantined(request Request) bool {
	return d.options.Quarantiner.Status(request.fingerprint()) == quarantiner.Quarantined
}

// withRetryAfter tells the caller when to come back, if coming back may help.
func withRetryAfter(failure *carawaybeam.RequestError) *carawaybeam.RequestError {
	if failure.Outcome == carawaybeam.OutcomeNotRun && failure.RetryAfter == 0 &&
		failure.Reason != carawaybeam.ReasonKeyReused {
		failure.RetryAfter = comeBackAfter
	}
	return failure
}

// try makes one attempt and tells where.
func (d *Dispatcher) try(
	ctx context.Context,
	request Request,
	try int,
	p *pursuit,
) (*carawaybeam.RequestError, carawaybeam.BackendID) {
	p.unreachable = false
	target, failure := d.target(ctx, request, p)
	if failure != nil {
		return failure, ""
	}
	run := d.follow(request, target.backend)
	defer func() { run.end(failure) }()
	a := &attemptRun{
		dispatcher: d,
		request:    request,
		id:         request.ID.Attempt(try),
		target:     target,
		answer:     p.answer,
		resume:     p.answer.written,
	}
	failure = a.run(ctx)
	p.tried = append(p.tried, target.backend)
	p.unreachable = a.unreachable
	if a.released {
		p.released = target.binding
	}
	return failure, target.backend
}

func (d *Dispatcher) member(pool carawaybeam.PoolID, backend carawaybeam.BackendID) tracker.Member {
	for _, m := range d.options.Members.Members(pool) {
		if m.Backend == backend {
			return m
		}
	}
	return tracker.Member{}
}
