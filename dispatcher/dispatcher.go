// Package dispatcher processes a caller's request from admission to the last
// byte of its answer. It chooses a backend server, runs an attempt on its agent,
// determines the outcome of the attempt if a link fails, and decides on further
// attempts.
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
	"github.com/carawaybeam/carawaybeam/finisher"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/randomizer"
	"github.com/carawaybeam/carawaybeam/router/counter"
	"github.com/carawaybeam/carawaybeam/router/prefixer"
	"github.com/carawaybeam/carawaybeam/tracker"
)

const (
	// bytesPerToken is the ratio by which the length of a prompt is estimated
	// from the length of the body.
	bytesPerToken = 4

	// defaultRetryAfter is when the caller may retry if no policy determined a
	// time.
	defaultRetryAfter = 2 * time.Second
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
		// Ticket lets the request run once on the agent that issued the ticket.
		// The zero value means that there is no ticket.
		Ticket Ticket
		// ConfigVersion is the version of the configuration from which Class was
		// read.
		ConfigVersion carawaybeam.ConfigVersion
		// Residency is where the request may be served according to that configuration.
		Residency carawaybeam.Residency

		routing *routing
	}

	// AnswerWriter receives an answer as it arrives.
	AnswerWriter interface {
		// Head begins the answer.
		Head(status int, contentType string) error
		// Chunk appends data to the answer.
		Chunk(data []byte) error
		// Restart discards everything written so far, provided that none of it
		// has been sent to the caller, and reports whether it did so.
		Restart() bool
	}

	// Members is the view of the backend servers and the links to their agents.
	Members interface {
		// Members returns the known backend servers of the pool.
		Members(pool carawaybeam.PoolID) []tracker.Member
		// Open opens a stream to the agent of the backend server.
		Open(ctx context.Context, backend carawaybeam.BackendID) (carawaybeam.Stream, error)
		// ReportUnresponsive reports that the agent does not respond on a stream
		// that Open returned.
		ReportUnresponsive(stream carawaybeam.Stream)
		// EnsureLink links to a backend server outside the entry's subset and reports
		// whether there is a link.
		EnsureLink(ctx context.Context, pool carawaybeam.PoolID, backend carawaybeam.BackendID) bool
	}

	// Binder binds idempotency keys to agents.
	Binder interface {
		// Bind returns the binding in force for the key, which is want if there
		// was none. A binding that equals released is replaced.
		Bind(
			ctx context.Context,
			key carawaybeam.AttemptID,
			want, released binder.Binding,
		) (binder.Binding, error)
	}

	// Recorder records the attempts and outcomes of requests.
	Recorder interface {
		// Attempted records an attempt that has ended. The failure is nil if the
		// attempt delivered the whole answer. The backend server is empty if none
		// was chosen.
		Attempted(
			request carawaybeam.RequestID,
			attempt int,
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

	// Options configures a Dispatcher.
	Options struct {
		DataCentre carawaybeam.DataCentre
		Members    Members
		Binder     Binder
		// ConfigObserver is told the configuration versions that agents have.
		ConfigObserver tracker.ConfigObserver
		// Configuration is consulted when an agent refuses a request because
		// its configuration is outdated. It may be nil.
		Configuration Configuration
		Router        carawaybeam.Router
		Limiter       carawaybeam.Limiter
		Retrier       carawaybeam.Retrier
		// Quarantiner keeps track of requests that crash backend servers. If
		// nil, the Dispatcher creates its own.
		Quarantiner *quarantiner.Quarantiner
		// Assessor measures requests against the targets of their classes. If
		// nil, the Dispatcher creates its own.
		Assessor *assessor.Assessor
		// Evacuations knows the evacuated data centres, to whose backend servers no
		// new work is sent. It is nil if evacuations are not followed.
		Evacuations Evacuations
		// Recorder records attempts and the ends of requests. It may be nil.
		Recorder Recorder
		// Finisher knows which requests can be finished before the process ends. If nil,
		// the process never ends.
		Finisher *finisher.Finisher
		// Region returns the region of a data centre, or an empty one if it is unknown. If nil, all
		// are unknown.
		Region func(carawaybeam.DataCentre) carawaybeam.Region
		// HomeRefused is called for each request that is rejected because of its homes. It may be nil.
		HomeRefused func()
		Log         zerolog.Logger
	}

	// Dispatcher serves requests. Its methods are safe for concurrent use.
	Dispatcher struct {
		options Options
		random  *rand.Rand

		counter  *counter.Counter
		prefixes *prefixer.Table
		counts   counters

		mu sync.Mutex
		// incarnations holds the incarnation of each agent that was seen last.
		incarnations map[carawaybeam.BackendID]carawaybeam.Incarnation
		requests     sync.WaitGroup
		closed       bool
	}

	// counters counts received frames that were not used for an answer.
	counters struct {
		crossed, repeated, gaps atomic.Uint64
	}

	// State is the state dump of a Dispatcher.
	State struct {
		// Crossed counts frames that belonged to another attempt.
		Crossed uint64 `json:"crossed"`
		// Repeated counts chunks of an answer that had already been received.
		Repeated uint64 `json:"repeated"`
		// Gaps counts streams that were abandoned because part of the answer
		// was missing.
		Gaps       uint64            `json:"gaps"`
		Quarantine quarantiner.State `json:"quarantine"`
	}
)

// New returns a Dispatcher.
func New(options Options) *Dispatcher {
	if options.Quarantiner == nil {
		options.Quarantiner = quarantiner.New(quarantiner.Complete)
	}
	if options.Assessor == nil {
		options.Assessor = assessor.New()
	}
	if options.Finisher == nil {
		options.Finisher = finisher.New()
	}
	return &Dispatcher{
		options:  options,
		random:   randomizer.New(),
		counter:  counter.New(),
		prefixes: prefixer.New(maxPrefixes),

		incarnations: make(map[carawaybeam.BackendID]carawaybeam.Incarnation),
	}
}

// Close refuses new requests and waits for requests in flight.
func (d *Dispatcher) Close() error {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.requests.Wait()
	return nil
}

// begin counts a request as in flight. It returns false if the Dispatcher is
// closed.
func (d *Dispatcher) begin() bool {
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

// Do serves one request and returns nil once its whole answer has been written.
// The error covers all attempts of the request; part of an answer may have been
// written when it is returned.
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
	if !d.begin() {
		return carawaybeam.NotRun(carawaybeam.ReasonLeaving, "this entry does not serve now", defaultRetryAfter)
	}
	defer d.requests.Done()
	if failure := d.unreadEvacuations(); failure != nil {
		return failure
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	if forecast := d.forecast(request, nil); !forecast.InTime() {
		return d.stoppingError(request, forecast)
	}
	if failure := d.residencyError(request); failure != nil {
		return failure
	}
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

// promptTokens estimates the length of the request's prompt.
func promptTokens(request Request) carawaybeam.Tokens {
	return carawaybeam.Tokens(len(request.Body) / bytesPerToken)
}

// logCrashes logs why the request is sent although it was running in crashes.
func (d *Dispatcher) logCrashes(request Request) {
	assessment := d.options.Quarantiner.Assess(request.fingerprint())
	if !assessment.HasCrashes() {
		return
	}
	d.options.Log.Info().Str("request", string(request.ID)).Stringer("fingerprint", request.fingerprint()).
		EmbedObject(assessment).Msg("dispatcher: request that was running in crashes is sent")
}

// serve runs the attempts of an admitted request and returns its error.
func (d *Dispatcher) serve(ctx context.Context, request Request, w AnswerWriter) *carawaybeam.RequestError {
	p := &progress{answer: &answerState{writer: w}}
	return p.finalError(d.runAttempts(ctx, request, p))
}

// runAttempts makes attempts until one of them delivers the whole answer or no
// further attempt is allowed. It returns the error of the last attempt.
func (d *Dispatcher) runAttempts(ctx context.Context, request Request, p *progress) *carawaybeam.RequestError {
	if d.isQuarantined(request) {
		return quarantineError(carawaybeam.OutcomeNotRun)
	}
	for number := 1; ; number++ {
		delivered := p.answer.written
		d.logCrashes(request)
		failure, backend := d.attempt(ctx, request, number, p)
		if d.options.Recorder != nil {
			d.options.Recorder.Attempted(request.ID, number, backend, failure)
		}
		if failure == nil {
			d.options.Quarantiner.Clear(request.fingerprint())
			return nil
		}
		p.mayHaveRun = p.mayHaveRun || failure.Outcome != carawaybeam.OutcomeNotRun
		if ctx.Err() != nil || p.answer.callerGone || !p.mayRetry(request, failure) {
			return withRetryAfter(failure)
		}
		if failure.Reason == carawaybeam.ReasonStaleConfig {
			if refused := d.refresh(ctx, &request); refused != nil {
				return refused
			}
		}
		if d.isQuarantined(request) {
			return quarantineError(failure.Outcome)
		}
		again := d.awaitRetry(ctx, carawaybeam.RetryRequest{
			Request:     request.ID,
			Class:       request.Class,
			Attempts:    number,
			Failure:     failure,
			Resumes:     p.answer.written > delivered,
			Unreachable: p.unreachable,
			Deadline:    request.Deadline,
		})
		if !again || !d.forecast(request, p.answer).InTime() {
			return withRetryAfter(failure)
		}
	}
}

// awaitRetry asks the retrier for another attempt and waits for the backoff. It
// returns false if there is no other attempt.
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

func (d *Dispatcher) isQuarantined(request Request) bool {
	return d.options.Quarantiner.Status(request.fingerprint()) == quarantiner.Quarantined
}

// withRetryAfter sets RetryAfter if it is missing and a retry by the caller may
// succeed.
func withRetryAfter(failure *carawaybeam.RequestError) *carawaybeam.RequestError {
	if failure.Outcome == carawaybeam.OutcomeNotRun && failure.RetryAfter == 0 &&
		failure.Reason != carawaybeam.ReasonKeyReused {
		failure.RetryAfter = defaultRetryAfter
	}
	return failure
}

// attempt makes the attempt with the given number, counted from 1, and returns
// its error and its backend server. The backend server is empty if none was
// chosen.
func (d *Dispatcher) attempt(
	ctx context.Context,
	request Request,
	number int,
	p *progress,
) (*carawaybeam.RequestError, carawaybeam.BackendID) {
	p.unreachable = false
	if number > 1 {
		request.Residency = d.residency(request)
	}
	target, failure := d.target(ctx, request, p)
	if failure != nil {
		return failure, ""
	}
	run := d.observe(request, target.backend)
	defer func() { run.end(failure) }()
	timed := d.options.Finisher.Begin(kindOf(request), 0)
	defer func() { timed.End(failure == nil || failure.Outcome != carawaybeam.OutcomeNotRun) }()
	a := &attemptRun{
		dispatcher: d,
		request:    request,
		id:         request.ID.Attempt(number),
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

// member returns a backend server of the pool, or the zero Member if the pool
// has no such backend server.
func (d *Dispatcher) member(pool carawaybeam.PoolID, backend carawaybeam.BackendID) tracker.Member {
	for _, m := range d.options.Members.Members(pool) {
		if m.Backend == backend {
			return m
		}
	}
	return tracker.Member{}
}
