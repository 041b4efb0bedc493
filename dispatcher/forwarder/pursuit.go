package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/matcher"
	"github.com/carawaybeam/carawaybeam/pooler"
)

const (
	// maxUnsent bounds the backend servers that are tried in vain to connect to.
	maxUnsent = 3

	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 8 << 20

	// minTimeLeft is the time before the deadline in which no further attempt
	// is begun.
	minTimeLeft = 20 * time.Millisecond
)

type (
	// pursuit is what the attempts of one request share.
	pursuit struct {
		request      *carawaybeam.ClientRequest
		arrived      time.Time
		deadline     time.Time
		config       *matcher.Matcher
		configAge    time.Duration
		route        *carawaybeam.Route
		pool         *carawaybeam.Pool
		organisation carawaybeam.OrganisationID
		priority     int
		writer       AnswerWriter

		// tried lists the backend servers that the request was sent to, and
		// unsent those that could not be reached.
		tried  []carawaybeam.BackendID
		unsent []carawaybeam.BackendID
		tries  int
		// ran is set once an attempt may have run.
		ran bool
		// backend is the last one chosen.
		backend carawaybeam.BackendID

		// begun is set once the client has part of an answer, and lastEvent is
		// the last event that it has.
		begun     bool
		lastEvent carawaybeam.EventID
		status    int
		// first is the time from the arrival to the first part of the answer.
		first time.Duration
	}

	// heldAnswer is a whole answer that is not written yet.
	heldAnswer struct {
		status int
		header http.Header
		body   []byte
	}

	// result is how an attempt ended. Delivered ones have neither failure nor
	// held answer.
	result struct {
		failure *carawaybeam.RequestError
		// held is an answer that tells of a failure of the backend server.
		held *heldAnswer
		// unsent is set when no byte of the request has left.
		unsent bool
		// blame is set when the backend server is at fault.
		blame bool
		// culprit is the backend server that the asked one names as the cause.
		culprit carawaybeam.BackendID
	}
)

// idempotent tells whether the request may run more than once.
func (p *pursuit) idempotent() bool {
	return p.route.Kind == carawaybeam.RouteSafe || p.route.Kind == carawaybeam.RouteStream && p.route.Resumable
}

// class returns the request's route as the policies see it.
func (p *pursuit) class() carawaybeam.Class {
	class := carawaybeam.Class{
		ID:         carawaybeam.ClassID(p.pool.ID),
		Kind:       carawaybeam.WorkService,
		Pool:       p.pool.ID,
		Idempotent: p.idempotent(),
		Targets:    carawaybeam.Targets{Completed: p.route.Target},
	}
	if p.pool.Engine != nil {
		class.Kind = carawaybeam.WorkModel
		class.Targets = carawaybeam.Targets{FirstToken: p.route.Target, Completed: p.route.Timeout}
	}
	return class
}

// pursue makes attempts until one is answered or no further one is allowed.
func (f *Forwarder) pursue(ctx context.Context, p *pursuit) *carawaybeam.RequestError {
	now := time.Now()
	decision, ok := f.choose(now, p)
	if !ok {
		return carawaybeam.NotRun(carawaybeam.ReasonNoBackend, "pool has no backend server", comeBackSoon)
	}
	admit := carawaybeam.AdmitRequest{
		Request:        p.request.ID,
		Class:          p.class(),
		Organisation:   p.organisation,
		Prompt:         p.request.Prompt,
		Expected:       decision.Expected,
		Unloaded:       decision.Unloaded,
		Idle:           decision.Idle,
		ClosedFor:      decision.ClosedFor,
		EventGap:       decision.EventGap,
		EventGapTarget: p.route.EventGap,
	}
	if admitted := f.options.Limiter.Admit(now, admit); !admitted.Admitted {
		detail := fmt.Sprintf("first event is expected in %v, closed for %v", decision.Expected, decision.ClosedFor)
		return carawaybeam.NotRun(carawaybeam.ReasonBusy, detail, admitted.RetryAfter)
	}
	defer func() { f.options.Limiter.Release(time.Now(), admit, time.Since(now)) }()
	f.options.Retrier.CountFirstAttempt(now, admit.Class.ID)
	for {
		r := f.attempt(ctx, p, decision)
		if r.failure == nil && r.held == nil {
			return nil
		}
		if !f.mayGoOn(ctx, p, r) {
			return f.conclude(p, r)
		}
		// A group that has closed meanwhile answers no further attempt.
		if decision, ok = f.choose(time.Now(), p); !ok || decision.ClosedFor > 0 {
			return f.conclude(p, r)
		}
	}
}

// mayGoOn tells whether a further attempt can do no harm and is within bounds.
func (f *Forwarder) mayGoOn(ctx context.Context, p *pursuit, r result) bool {
	if ctx.Err() != nil || time.Until(p.deadline) < minTimeLeft {
		return false
	}
	if r.unsent {
		return len(p.unsent) <= maxUnsent
	}
	proven := r.failure != nil && r.failure.Outcome == carawaybeam.OutcomeNotRun
	if !proven && !p.idempotent() || len(p.tried) >= p.route.MaxAttempts {
		return false
	}
	failure := r.failure
	if failure == nil {
		failure = mayHaveRun(carawaybeam.ReasonBackendFailed, "backend server answered with a failure")
	}
	return f.options.Retrier.Retry(time.Now(), carawaybeam.RetryRequest{
		Request:  p.request.ID,
		Class:    p.class(),
		Attempts: p.tries,
		Failure:  failure,
		Resumes:  p.begun,
		Deadline: p.deadline,
	}, f.random).Retry
}

// conclude gives the final word after the last attempt. What an earlier attempt
// may have run is never called not run.
func (f *Forwarder) conclude(p *pursuit, r result) *carawaybeam.RequestError {
	if r.held != nil && !p.begun {
		if err := p.write(r.held); err != nil {
			return mayHaveRun(carawaybeam.ReasonDeadline, "client has gone: "+err.Error())
		}
		return nil
	}
	if r.failure == nil {
		return mayHaveRun(carawaybeam.ReasonBackendFailed, "answer was not gone on with")
	}
	if p.ran && r.failure.Outcome == carawaybeam.OutcomeNotRun {
		return mayHaveRun(r.failure.Reason, r.failure.Detail+", an earlier attempt may have run")
	}
	return r.failure
}

// choose asks the router for a backend server.
func (f *Forwarder) choose(now time.Time, p *pursuit) (carawaybeam.RouteDecision, bool) {
	instances := f.options.Members.Instances(p.pool.ID)
	candidates := make([]carawaybeam.Candidate, 0, len(instances))
	reporting := false
	for _, instance := range instances {
		c := carawaybeam.Candidate{
			Backend:    instance.ID,
			DataCentre: instance.DataCentre,
			Slots:      instance.Slots,
		}
		report, ok := f.options.Report(instance.Address)
		if ok {
			c.Load, c.StepTime, c.ClosedFor = report.Load, report.StepTime, report.ClosedFor
			c.ReportAge = now.Sub(report.At)
			reporting = true
		} else {
			// Where others report, one that does not may have stopped, and only looks
			// empty since its load is not known.
			c.ClosedFor = silentReturnTime
		}
		f.counter.Fill(now, report.At, &c)
		candidates = append(candidates, c)
	}
	if !reporting {
		for i := range candidates {
			candidates[i].ClosedFor = 0
		}
	}
	return f.options.Router.Route(now, carawaybeam.RouteRequest{
		Request:      p.request.ID,
		Class:        carawaybeam.ClassID(p.pool.ID),
		Pool:         p.pool.ID,
		Organisation: p.organisation,
		DataCentre:   f.options.DataCentre,
		Prompt:       p.request.Prompt,
		Target:       p.route.Target,
		Tried:        append(p.tried, p.unsent...),
		Engine:       p.pool.Engine,
	}, candidates, f.random)
}

// attempt sends the request to the chosen backend server.
func (f *Forwarder) attempt(ctx context.Context, p *pursuit, decision carawaybeam.RouteDecision) result {
	p.backend = decision.Backend
	p.tries++
	instance, ok := f.instance(p.pool.ID, decision.Backend)
	if !ok {
		p.unsent = append(p.unsent, decision.Backend)
		return result{
			failure: carawaybeam.NotRun(carawaybeam.ReasonNoBackend, "backend server has left meanwhile", comeBackSoon),
			unsent:  true,
		}
	}
	began := time.Now()
	own := f.counter.Add(began, instance.ID, p.request.Prompt)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	o := &observation{forwarder: f, decision: decision, own: own, began: began}
	if p.idempotent() {
		f.watch(ctx, cancel, instance, o)
	}
	r := f.exchange(ctx, p, instance, o)
	own.Done(time.Now())
	o.end(ctx, r)
	if r.unsent {
		p.unsent = append(p.unsent, instance.ID)
	} else {
		p.tried = append(p.tried, instance.ID)
	}
	p.ran = p.ran || r.failure == nil || r.failure.Outcome != carawaybeam.OutcomeNotRun
	f.logAttempt(p, instance, began, r)
	return r
}

func (f *Forwarder) instance(pool carawaybeam.PoolID, id carawaybeam.BackendID) (carawaybeam.Instance, bool) {
	for _, instance := range f.options.Members.Instances(pool) {
		if instance.ID == id {
			return instance, true
		}
	}
	return carawaybeam.Instance{}, false
}

// exchange sends the request and takes the answer.
func (f *Forwarder) exchange(
	ctx context.Context,
	p *pursuit,
	instance carawaybeam.Instance,
	o *observation,
) result {
	header := f.options.Encode(p.request, carawaybeam.Forwarding{
		Backend:      instance.ID,
		Organisation: p.organisation,
		TimeLeft:     time.Until(p.deadline),
		Priority:     p.priority,
		After:        p.lastEvent,
	})
	reply, err := f.options.Sender.Send(ctx, instance.Address, pooler.Request{
		ID:     p.request.ID,
		Method: p.request.Method,
		Host:   p.request.Host,
		Target: p.request.Target,
		Header: header,
		Body:   p.request.Body,
	})
	if err != nil {
		return f.sendFailure(ctx, instance, err)
	}
	// A close that fails says nothing on the answer, which was checked before.
	defer func() { _ = reply.Body.Close() }()
	if reply.Misdirected {
		f.options.Members.Misdirected(instance.BackendIncarnation)
	}
	switch {
	case reply.NotRun:
		return refusal(reply)
	case reply.Status == http.StatusOK && p.route.Kind == carawaybeam.RouteStream && reply.Sealed && !reply.Encoded:
		return p.relay(ctx, reply, o)
	}
	return p.take(ctx, reply, o)
}

func (f *Forwarder) sendFailure(ctx context.Context, instance carawaybeam.Instance, err error) result {
	var unsent *carawaybeam.NotSentError
	if errors.As(err, &unsent) {
		return result{
			failure: carawaybeam.NotRun(carawaybeam.ReasonNoBackend, err.Error(), comeBackSoon),
			unsent:  true,
			blame:   ctx.Err() == nil,
		}
	}
	if ctx.Err() != nil {
		return interrupted(ctx, "no answer came in time")
	}
	f.options.Sender.Forget(instance.Address)
	return result{failure: mayHaveRun(carawaybeam.ReasonBackendFailed, err.Error()), blame: true}
}

// refusal is an answer that proves that the request has not run.
func refusal(reply *pooler.Reply) result {
	// The body of a refusal is read so that the connection can be kept. What it
	// says does not matter, nor whether it is complete.
	_, _ = reply.ReadAll(maxAnswerBytes)
	detail := "backend server refused with status " + http.StatusText(reply.Status)
	return result{
		failure: carawaybeam.NotRun(carawaybeam.ReasonBusy, detail, comeBackSoon),
		blame:   true,
		culprit: reply.FaultyBackend,
	}
}

// take reads a whole answer, checks it and writes it to the client.
func (p *pursuit) take(ctx context.Context, reply *pooler.Reply, o *observation) result {
	data, err := reply.ReadAll(maxAnswerBytes)
	if err != nil {
		if ctx.Err() != nil {
			return interrupted(ctx, "answer did not come in time")
		}
		return result{failure: mayHaveRun(carawaybeam.ReasonBackendFailed, err.Error()), blame: true}
	}
	answer := &heldAnswer{status: reply.Status, header: reply.Header, body: data}
	switch {
	case reply.Encoded || reply.Request != p.request.ID:
		return result{failure: mayHaveRun(carawaybeam.ReasonCorrupt, "answer is not the request's"), blame: true}
	case reply.Status >= http.StatusInternalServerError:
		return result{held: answer, blame: true}
	case reply.Status < http.StatusMultipleChoices && !reply.Sealed:
		return result{failure: mayHaveRun(carawaybeam.ReasonCorrupt, "answer bears no signature"), blame: true}
	case p.begun:
		return result{failure: mayHaveRun(carawaybeam.ReasonBackendFailed, "stream was not gone on with"), blame: true}
	}
	o.answer()
	if err := p.write(answer); err != nil {
		return result{failure: mayHaveRun(carawaybeam.ReasonDeadline, "client has gone: "+err.Error())}
	}
	return result{}
}

// write gives a whole answer to the client.
func (p *pursuit) write(answer *heldAnswer) error {
	p.begun = true
	p.status = answer.status
	p.first = time.Since(p.arrived)
	if err := p.writer.Head(answer.status, answer.header, len(answer.body)); err != nil {
		return err
	}
	if _, err := p.writer.Write(answer.body); err != nil {
		return err
	}
	return p.writer.Flush()
}

func (f *Forwarder) logAttempt(p *pursuit, instance carawaybeam.Instance, began time.Time, r result) {
	if r.failure == nil && r.held == nil {
		return
	}
	line := f.options.Log.Info().Str("request", string(p.request.ID)).Int("try", p.tries).
		Str("backend", string(instance.ID)).Str("address", string(instance.Address)).
		Bool("unsent", r.unsent).Dur("took", time.Since(began)).Uint64("lastEvent", uint64(p.lastEvent))
	if r.held != nil {
		line.Int("status", r.held.status).Msg("forwarder: backend server answered with a failure")
		return
	}
	if r.culprit != "" {
		line = line.Str("culprit", string(r.culprit))
	}
	line.Str("outcome", string(r.failure.Outcome)).Str("detail", r.failure.Detail).Msg("forwarder: attempt failed")
}
