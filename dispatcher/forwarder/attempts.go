package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/detector"
	"github.com/carawaybeam/carawaybeam/matcher"
	"github.com/carawaybeam/carawaybeam/pooler"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/spooler"
	"github.com/carawaybeam/carawaybeam/throttler"
)

const (
	// maxUnsent is how many attempts that did not reach their backend server may
	// be followed by another one.
	maxUnsent = 3

	// maxAnswerBytes is the maximum size of an answer that is not a stream.
	maxAnswerBytes = 8 << 20

	// crashShareTime is the time in which all entries learn of a crash while the store
	// answers.
	crashShareTime = 400 * time.Millisecond

	// minTimeLeft is the time before the deadline within which no further
	// attempt begins.
	minTimeLeft = 20 * time.Millisecond
)

type (
	// pendingRequest is one request and the state that its attempts share.
	pendingRequest struct {
		request      *carawaybeam.ClientRequest
		arrived      time.Time
		deadline     time.Time
		config       *matcher.Matcher
		configAge    time.Duration
		route        *carawaybeam.Route
		pool         *carawaybeam.Pool
		organisation carawaybeam.OrganisationID
		priority     int
		// residency is where the request may be served according to config.
		residency carawaybeam.Residency
		writer    AnswerWriter
		// fingerprint identifies the request among others with other identifiers.
		fingerprint quarantiner.Fingerprint
		// parts identifies the parts of the prompt that other requests may have too.
		parts []quarantiner.Fingerprint

		// tried lists the backend servers that the request was sent to, and
		// unsent those that could not be reached.
		tried    []carawaybeam.BackendID
		unsent   []carawaybeam.BackendID
		attempts int
		// mayHaveRun is set once an attempt may have run.
		mayHaveRun bool
		// backend is the backend server of the last attempt.
		backend carawaybeam.BackendID

		// started is set once part of the answer has been written to the client,
		// and lastEvent is the last event that the client has.
		started   bool
		lastEvent carawaybeam.EventID
		status    int
		// releases releases the memory of whole answers.
		releases []func()
		// spool holds what the client has not read yet of a stream, or is nil.
		spool *spooler.Spool
		// cancel ends the request after its client has gone.
		cancel context.CancelFunc
		// firstPart is the time from the arrival of the request to the first
		// part of the answer.
		firstPart time.Duration
		contended
		// contender is that of a request which a second attempt may join, or nil.
		contender *contender
	}

	// heldAnswer is a whole answer that has not been written to the client.
	heldAnswer struct {
		status int
		header http.Header
		body   []byte
	}

	// result is the result of an attempt. If the answer was written to the
	// client, failure and held are nil.
	result struct {
		failure *carawaybeam.RequestError
		// held is an answer that reports a failure of the backend server.
		held *heldAnswer
		// unsent is set when no byte of the request was sent.
		unsent bool
		// brokenOff is set when the request may have run and its answer did not
		// come to its end, as after a crash of the backend server.
		brokenOff bool
		// crash is the crash of the backend server that caused the failure, or
		// empty.
		crash quarantiner.CrashID
		// final is set when another attempt would fail for the same cause.
		final bool
		// refused is set when the backend server refused to run the request.
		refused bool
		// misdirected is set when another backend server answered at the address.
		misdirected bool
		// unread is set when the attempt was ended because the client did not read.
		unread bool
		// backendFault is set when the backend server is at fault.
		backendFault bool
		// culprit is the backend server that caused a refusal, according to the
		// one that refused.
		culprit carawaybeam.BackendID
		// superseded is set when another attempt of the request brought the answer.
		superseded bool
	}
)

// idempotent reports whether the request may run more than once.
func (p *pendingRequest) idempotent() bool {
	return p.route.Kind == carawaybeam.RouteSafe || p.route.Kind == carawaybeam.RouteStream && p.route.Resumable
}

// class describes the request's route and pool to the policies as a class of
// work.
func (p *pendingRequest) class() carawaybeam.Class {
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

// runAttempts makes attempts until one of them delivers the answer or no further
// attempt is allowed.
func (f *Forwarder) runAttempts(ctx context.Context, p *pendingRequest) (failure *carawaybeam.RequestError) {
	if cause := f.quarantinedBy(ctx, p); cause != "" {
		return f.quarantineError(cause)
	}
	if forecast := f.forecast(p); !forecast.InTime() {
		return f.stoppingError(p, forecast)
	}
	now := time.Now()
	decision, failure := f.choose(now, p)
	if failure != nil {
		return failure
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
		Crowded:        decision.Crowded,
	}
	f.addContention(now, p, decision, &admit)
	if admitted := f.options.Limiter.Admit(now, admit); !admitted.Admitted {
		detail := fmt.Sprintf("first event is expected in %v, closed for %v", decision.Expected, decision.ClosedFor)
		return carawaybeam.NotRun(carawaybeam.ReasonBusy, detail+refusalDetail(admit, admitted), admitted.RetryAfter)
	}
	admit.Contention.Candidates, p.candidates = nil, nil
	defer func() {
		admit.Contention.Failed = failure != nil || p.status >= http.StatusInternalServerError
		f.options.Limiter.Release(time.Now(), admit, time.Since(now))
	}()
	f.options.Retrier.CountFirstAttempt(now, admit.Class.ID)
	if f.options.Hedger != nil {
		f.options.Hedger.CountRequest(now, p.pool.ID)
	}
	for {
		r := f.attemptOnTrial(ctx, p, decision)
		if r.failure == nil && r.held == nil {
			f.options.Quarantiner.Clear(p.fingerprint)
			return nil
		}
		if cause := f.quarantinedBy(ctx, p); cause != "" {
			return f.finish(p, result{failure: f.quarantineError(cause), held: r.held})
		}
		if !f.mayRetry(ctx, p, r) {
			return f.finish(p, r)
		}
		// All groups may have closed since the first decision. They would refuse
		// another attempt.
		if decision, failure = f.choose(time.Now(), p); failure != nil || decision.ClosedFor > 0 {
			return f.finish(p, r)
		}
	}
}

// quarantinedBy returns the fingerprint of the request, or of a part of its prompt, that crashes
// the backend servers which run it, or "".
func (f *Forwarder) quarantinedBy(ctx context.Context, p *pendingRequest) quarantiner.Fingerprint {
	for _, fingerprint := range p.fingerprints() {
		if f.isQuarantined(ctx, fingerprint) {
			return fingerprint
		}
	}
	return ""
}

// fingerprints returns the fingerprints of the request and of the parts of its prompt.
func (p *pendingRequest) fingerprints() []quarantiner.Fingerprint {
	return append([]quarantiner.Fingerprint{p.fingerprint}, p.parts...)
}

// isQuarantined reports whether requests with the fingerprint crash the backend servers that
// run them. If the last crash was recorded just now, isQuarantined first leaves the other
// entries time to share what they know of it: the cause may be a request that one of them
// sent. While entries cannot share, it takes more crashes, but not for parts of prompts, which
// are told apart by what this entry knows to have been answered.
func (f *Forwarder) isQuarantined(ctx context.Context, fingerprint quarantiner.Fingerprint) bool {
	if f.options.Quarantiner.Status(fingerprint) != quarantiner.Quarantined {
		return false
	}
	f.awaitShared(ctx, fingerprint)
	if f.options.Quarantiner.Status(fingerprint) != quarantiner.Quarantined {
		return false
	}
	return fingerprint.IsPart() || f.options.CrashesShared(fingerprint) ||
		len(f.options.Quarantiner.Crashes(fingerprint)) >= quarantiner.CertainCrashes
}

// awaitShared waits until the other entries have had time to share what they know of the last
// crash that was recorded against requests with the fingerprint.
func (f *Forwarder) awaitShared(ctx context.Context, fingerprint quarantiner.Fingerprint) {
	timer := time.NewTimer(crashShareTime - time.Since(f.options.Quarantiner.LastRecorded(fingerprint)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// quarantineError returns the error of a request that is refused for a fingerprint.
func (f *Forwarder) quarantineError(fingerprint quarantiner.Fingerprint) *carawaybeam.RequestError {
	detail := fmt.Sprintf("request was running in the crashes %v", f.options.Quarantiner.Crashes(fingerprint))
	if fingerprint.IsPart() {
		detail = fmt.Sprintf("requests with the part %s of the prompt were running in the crashes %v",
			fingerprint, f.options.Quarantiner.Crashes(fingerprint))
	}
	return carawaybeam.NotRun(
		carawaybeam.ReasonQuarantined, detail, f.options.Quarantiner.RetryAfter(fingerprint),
	)
}

// mayRetry reports whether another attempt is safe, in time and within the
// limits of the route and the retrier.
func (f *Forwarder) mayRetry(ctx context.Context, p *pendingRequest, r result) bool {
	if r.final || ctx.Err() != nil || time.Until(p.deadline) < minTimeLeft || !f.forecast(p).InTime() {
		return false
	}
	if r.unsent {
		return len(p.unsent) <= maxUnsent
	}
	if p.started && p.lastEvent == p.request.After {
		// The client has events without identifiers, behind which no other backend
		// server can go on.
		return false
	}
	proven := r.failure != nil && r.failure.Outcome == carawaybeam.OutcomeNotRun
	if !proven && !p.idempotent() || len(p.tried) >= p.route.MaxAttempts {
		return false
	}
	failure := r.failure
	if failure == nil {
		failure = unknownOutcome(carawaybeam.ReasonBackendFailed, "backend server answered with a failure")
	}
	return f.options.Retrier.Retry(time.Now(), carawaybeam.RetryRequest{
		Request:  p.request.ID,
		Class:    p.class(),
		Attempts: p.attempts,
		Failure:  failure,
		Resumes:  p.started,
		Deadline: p.deadline,
	}, f.random).Retry
}

// finish ends the request after its last attempt. It writes the held answer, if
// there is one, or returns the error of the request. The outcome is never
// OutcomeNotRun if an earlier attempt may have run.
func (f *Forwarder) finish(p *pendingRequest, r result) *carawaybeam.RequestError {
	if r.held != nil && !p.started {
		if err := p.write(r.held); err != nil {
			return unknownOutcome(carawaybeam.ReasonDeadline, "client has gone: "+err.Error())
		}
		return nil
	}
	if r.failure == nil {
		return unknownOutcome(carawaybeam.ReasonBackendFailed, "answer was not gone on with")
	}
	if p.mayHaveRun && r.failure.Outcome == carawaybeam.OutcomeNotRun {
		return unknownOutcome(r.failure.Reason, r.failure.Detail+", an earlier attempt may have run")
	}
	return r.failure
}

// choose asks the router for a backend server among those that take requests now. If there is
// none, it returns the error of the request.
func (f *Forwarder) choose(
	now time.Time,
	p *pendingRequest,
) (carawaybeam.RouteDecision, *carawaybeam.RequestError) {
	if f.options.Evacuations != nil && !f.options.Evacuations.Loaded() {
		failure := carawaybeam.NotRun(carawaybeam.ReasonNoBackend, "evacuations are not known yet", shortRetryAfter)
		return carawaybeam.RouteDecision{}, failure
	}
	members := f.options.Members.Instances(p.pool.ID)
	residency := f.residency(p)
	if failure := f.residencyError(residency, members); failure != nil {
		return carawaybeam.RouteDecision{}, failure
	}
	allowed := f.withoutEvacuated(permitted(residency, members))
	instances, restricted := f.openInstances(now, allowed)
	instances, cold := f.withoutCold(p.pool, instances)
	candidates := f.candidates(now, instances)
	cold.mark(candidates)
	candidates = f.promising(now, p, candidates)
	decision, ok := f.options.Router.Route(now, f.routeRequest(p, append(p.tried, p.unsent...)), candidates, f.random)
	switch {
	case !ok && decision.Oversized:
		return decision, p.oversizedError()
	case !ok && len(allowed) == 0 && len(members) > 0:
		return decision, evacuatedError()
	case !ok && cold.left > 0 && (restricted == nil || cold.wait <= retryAfter(*restricted)):
		f.options.Warmer.CountRefused()
		return decision, coldError(cold.wait)
	case !ok && restricted != nil:
		f.options.Throttler.CountRefused()
		return decision, restrictedError(*restricted)
	case !ok:
		detail := "pool has no backend server"
		if len(candidates) > 0 {
			detail = "no backend server of the pool has memory for the request"
		}
		failure := carawaybeam.NotRun(carawaybeam.ReasonNoBackend, detail, shortRetryAfter)
		return decision, failure
	case restricted != nil:
		f.options.Throttler.CountDiverted()
	}
	if cold.left > 0 {
		f.options.Warmer.CountDiverted()
	}
	return decision, nil
}

// routeRequest describes the request to the router. The backend servers in tried are chosen only if no
// other one accepts requests.
func (f *Forwarder) routeRequest(p *pendingRequest, tried []carawaybeam.BackendID) carawaybeam.RouteRequest {
	return carawaybeam.RouteRequest{
		Request:      p.request.ID,
		Class:        carawaybeam.ClassID(p.pool.ID),
		Pool:         p.pool.ID,
		Organisation: p.organisation,
		DataCentre:   f.options.DataCentre,
		Prompt:       p.request.Prompt,
		Answer:       p.expectedAnswer(),
		Remaining:    p.expectedRemaining(),
		Target:       p.route.Target,
		EventGap:     p.route.EventGap,
		Tried:        tried,
		Engine:       p.pool.Engine,
	}
}

// candidates describes backend servers to the router.
func (f *Forwarder) candidates(now time.Time, instances []carawaybeam.Instance) []carawaybeam.Candidate {
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
			c.Group, c.MemoryUsed, c.MemoryTotal = report.Group, report.MemoryUsed, report.MemoryTotal
			c.ReportAge = now.Sub(report.At)
			reporting = true
		} else {
			// If other backend servers report, this one may have stopped. It
			// must not be preferred as idle only because its load is unknown.
			c.ClosedFor = minOutage
		}
		f.counter.Fill(now, report.At, &c)
		candidates = append(candidates, c)
	}
	if !reporting {
		for i := range candidates {
			candidates[i].ClosedFor = 0
		}
	}
	return candidates
}

// attempt sends the request to the chosen backend server and forwards the
// answer.
func (f *Forwarder) attempt(ctx context.Context, p *pendingRequest, decision carawaybeam.RouteDecision) result {
	p.backend = decision.Backend
	p.attempts++
	instance, ok := f.instance(p.pool.ID, decision.Backend)
	if !ok {
		p.unsent = append(p.unsent, decision.Backend)
		return result{
			failure: carawaybeam.NotRun(
				carawaybeam.ReasonNoBackend,
				"backend server has left meanwhile",
				shortRetryAfter,
			),
			unsent: true,
		}
	}
	began := time.Now()
	if failure := f.admitInstance(began, p, instance); failure != nil {
		p.unsent = append(p.unsent, instance.ID)
		return result{failure: failure, unsent: true}
	}
	own := f.counter.Add(began, instance.ID, p.request.Prompt)
	own.Expect(p.work())
	run := f.options.Detector.Begin(p.request.ID, p.fingerprint, instance, p.parts...)
	timed := f.options.Finisher.Begin(p.kind(), p.request.MaxAnswer)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	o := &observation{forwarder: f, decision: decision, own: own, run: run, timed: timed, began: began}
	if p.idempotent() {
		f.watchReports(attemptCtx, cancel, instance, o)
	}
	r := f.exchange(attemptCtx, p, instance, o)
	own.Done(time.Now())
	timed.End(!r.unsent && !r.refused)
	o.end(attemptCtx, r)
	f.endRun(ctx, run, instance, &r)
	if r.unsent {
		p.unsent = append(p.unsent, instance.ID)
	} else {
		p.tried = append(p.tried, instance.ID)
	}
	p.mayHaveRun = p.mayHaveRun || r.failure == nil || r.failure.Outcome != carawaybeam.OutcomeNotRun
	r.superseded = p.contender.hasLost()
	f.logAttempt(p, instance, began, r)
	return r
}

// endRun tells the detector how an attempt ended, and sets the crash that it was cut off
// by.
func (f *Forwarder) endRun(ctx context.Context, run *detector.Run, instance carawaybeam.Instance, r *result) {
	left := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case r.brokenOff && !left:
		r.crash = run.BreakOff(ctx)
	case r.unsent:
		run.End(detector.NotReceived)
	case r.misdirected:
		run.End(detector.NotReceived)
		f.options.Detector.Replaced(instance.BackendIncarnation)
	case left, r.unread:
		run.End(detector.Abandoned)
	case r.refused:
		run.End(detector.Refused)
	default:
		run.End(detector.Answered)
	}
}

// instance returns a backend server of the pool, or false if the pool has no
// such backend server that accepts work.
func (f *Forwarder) instance(pool carawaybeam.PoolID, id carawaybeam.BackendID) (carawaybeam.Instance, bool) {
	for _, instance := range f.options.Members.Instances(pool) {
		if instance.ID == id {
			return instance, true
		}
	}
	return carawaybeam.Instance{}, false
}

// exchange sends the request and handles the answer.
func (f *Forwarder) exchange(
	ctx context.Context,
	p *pendingRequest,
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
	sent := time.Now()
	reply, err := f.options.Sender.Send(ctx, instance.Address, pooler.Request{
		ID:     p.request.ID,
		Method: p.request.Method,
		Host:   p.request.Host,
		Target: p.request.Target,
		Header: header,
		Body:   p.request.Body,

		MaxIdle: f.maxIdle(p.pool),
		Permit:  f.permit(p, instance),
	})
	if err != nil {
		return f.sendFailure(ctx, instance, err)
	}
	// An error of Close is irrelevant, because the answer has been checked by
	// then.
	defer func() { _ = reply.Body.Close() }()
	if reply.Misdirected && p.request.Conditional {
		// What a client can bring about says nothing of the backend server to others.
		r := refusal(reply)
		r.misdirected, r.backendFault = false, false
		return r
	}
	if reply.Misdirected {
		f.options.Members.ReportMisdirected(instance.BackendIncarnation)
	} else {
		f.options.Throttler.Observe(
			instance.BackendIncarnation, throttler.Exchange{Sent: sent, Answered: time.Now()}, reply.Signals,
		)
	}
	switch {
	case reply.NotRun:
		return refusal(reply)
	case p.isStream(reply):
		return p.relayStream(ctx, reply, o)
	}
	return f.relayWhole(ctx, p, reply, o)
}

// sendFailure returns the result of an attempt that got no answer.
func (f *Forwarder) sendFailure(ctx context.Context, instance carawaybeam.Instance, err error) result {
	var unsent *carawaybeam.NotSentError
	if errors.As(err, &unsent) {
		return result{
			failure:      carawaybeam.NotRun(carawaybeam.ReasonNoBackend, err.Error(), shortRetryAfter),
			unsent:       true,
			backendFault: ctx.Err() == nil && !errors.Is(err, pooler.ErrNotPermitted),
		}
	}
	if ctx.Err() != nil {
		return interrupted(ctx, "no answer came in time")
	}
	f.options.Sender.CloseIdle(instance.Address)
	return brokenAnswer(err)
}

// refusal returns the result of an attempt whose answer proves that the request
// did not run.
func refusal(reply *pooler.Reply) result {
	reply.Drain()
	detail := "backend server refused with status " + http.StatusText(reply.Status)
	return result{
		failure:     carawaybeam.NotRun(carawaybeam.ReasonBusy, detail, shortRetryAfter),
		misdirected: reply.Misdirected,
		refused:     true,
		// A backend server that says for how long it is closed is not at fault.
		backendFault: reply.Signals.RetryAfter == 0,
		culprit:      reply.FaultyBackend,
	}
}

// relayWhole reads an answer that is not a stream to its end, checks it and
// writes it to the client.
func (f *Forwarder) relayWhole(ctx context.Context, p *pendingRequest, reply *pooler.Reply, o *observation) result {
	length := reply.Length
	if p.request.Method == http.MethodHead {
		// The length is that of the answer to another method.
		length = unknownLength
	}
	data, release, err := f.options.Memory.Read(ctx, reply.Body, carawaybeam.Bytes(length), maxAnswerBytes)
	p.releases = append(p.releases, release)
	if err != nil {
		if ctx.Err() != nil {
			return interrupted(ctx, "answer did not come in time")
		}
		return brokenAnswer(err)
	}
	answer := &heldAnswer{status: reply.Status, header: reply.Header, body: data}
	switch {
	case reply.Encoded || reply.Request != p.request.ID:
		return result{
			failure:      unknownOutcome(carawaybeam.ReasonCorrupt, "answer is not the request's"),
			backendFault: true,
		}
	case reply.Status >= http.StatusInternalServerError:
		return result{held: answer, backendFault: true}
	case reply.Status < http.StatusMultipleChoices && !reply.Sealed:
		return result{
			failure:      unknownOutcome(carawaybeam.ReasonCorrupt, "answer bears no signature"),
			backendFault: true,
		}
	case p.started:
		return result{
			failure:      unknownOutcome(carawaybeam.ReasonBackendFailed, "stream was not gone on with"),
			backendFault: true,
		}
	}
	o.markFirstPart()
	if err := p.write(answer); err != nil {
		return result{failure: unknownOutcome(carawaybeam.ReasonDeadline, "client has gone: "+err.Error())}
	}
	return result{}
}

// releaseMemory releases the memory of the answers of all attempts.
func (p *pendingRequest) releaseMemory() {
	for _, release := range p.releases {
		release()
	}
}

// write writes a whole answer to the client.
func (p *pendingRequest) write(answer *heldAnswer) error {
	p.started = true
	p.status = answer.status
	p.firstPart = time.Since(p.arrived)
	if err := p.writer.Head(answer.status, answer.header, len(answer.body)); err != nil {
		return err
	}
	if _, err := p.writer.Write(answer.body); err != nil {
		return err
	}
	return p.writer.Flush()
}

// logCrashes logs why the request is sent although it, or a part of its prompt, was running in
// crashes.
func (f *Forwarder) logCrashes(p *pendingRequest) {
	for _, fingerprint := range p.fingerprints() {
		assessment := f.options.Quarantiner.Assess(fingerprint)
		if assessment.Counted == 0 && (fingerprint.IsPart() || assessment.Cleared == 0) {
			continue
		}
		f.options.Log.Info().Str("request", string(p.request.ID)).Stringer("fingerprint", fingerprint).
			Bool("part", fingerprint.IsPart()).EmbedObject(assessment).
			Bool("shared", f.options.CrashesShared(fingerprint)).
			Msg("forwarder: request that was running in crashes is sent")
	}
}

// logAttempt logs an attempt that failed.
func (f *Forwarder) logAttempt(p *pendingRequest, instance carawaybeam.Instance, began time.Time, r result) {
	if r.failure == nil && r.held == nil || r.superseded {
		return
	}
	line := f.options.Log.Info().Str("request", string(p.request.ID)).Int("try", p.attempts).
		Str("backend", string(instance.ID)).Str("address", string(instance.Address)).
		Str("fingerprint", p.fingerprint.String()).
		Bool("unsent", r.unsent).Dur("took", time.Since(began)).Uint64("lastEvent", uint64(p.lastEvent))
	if r.held != nil {
		line.Int("status", r.held.status).Msg("forwarder: backend server answered with an error status")
		return
	}
	if r.crash != "" {
		line = line.Str("crash", string(r.crash))
	}
	if r.culprit != "" {
		line = line.Str("culprit", string(r.culprit))
	}
	line.Str("outcome", string(r.failure.Outcome)).Str("detail", r.failure.Detail).Msg("forwarder: attempt failed")
}
