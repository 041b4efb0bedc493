package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/hedger"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// errSuperseded is the error of a write to the client while another attempt answers.
var errSuperseded = errors.New("another attempt of the request answers")

type (
	// race is a request whose first attempt a second one joins if it takes long. Each works on a copy
	// of the request. The attempt that begins to write to the client first wins, and the other one is
	// cancelled.
	race struct {
		forwarder *Forwarder
		ctx       context.Context //nolint:containedctx // The second attempt begins in another goroutine.
		// parent is the request, which does not change while attempts run.
		parent *pendingRequest
		kind   hedger.Kind
		// decided is the backend server of the first attempt.
		decided carawaybeam.BackendID
		began   time.Time
		// delay is the time after which a second attempt was sent, or is due.
		delay time.Duration
		first contender
		// winner is the attempt that writes to the client, or nil.
		winner atomic.Pointer[contender]

		mu sync.Mutex
		// timer runs runSecond.
		timer *time.Timer
		// checked is set once a second attempt was due.
		checked bool
		// ended is set once no second attempt may begin any more.
		ended bool
		// due is closed once the second attempt, if one is sent, has ended. It is nil unless one
		// became due, and replaced when one becomes due again.
		due chan struct{}
		// second is nil unless a second attempt was sent.
		second *contender
		// answered is when the answer began, counted from began.
		answered time.Duration
		// panicked is what the goroutine of the second attempt panicked with, or nil. It is valid
		// once due is closed.
		panicked any
		// joined is set once the state of both attempts is that of the request.
		joined bool
	}

	// contender is one of the attempts of a race. It is the AnswerWriter of its attempt.
	contender struct {
		race    *race
		request pendingRequest
		ctx     context.Context //nolint:containedctx // It is that of the attempt.
		cancel  context.CancelFunc
		result  result
	}
)

// attemptHedged makes an attempt, which a second one joins if it takes longer than most of its kind.
func (f *Forwarder) attemptHedged(
	ctx context.Context,
	p *pendingRequest,
	decision carawaybeam.RouteDecision,
) result {
	if f.options.Hedger == nil || !f.options.Hedger.Enabled(p.route.ID) || !p.mayBeHedged() {
		return f.attempt(ctx, p, decision)
	}
	r := &race{
		forwarder: f, ctx: ctx, parent: p, kind: hedger.Kind{Pool: p.pool.ID, Route: p.route.ID},
		decided: decision.Backend, began: time.Now(),
	}
	r.first.prepare(r)
	defer r.close()
	if delay, known := f.options.Hedger.Delay(r.began, r.kind); known {
		r.delay = delay
		r.mu.Lock()
		r.timer = time.AfterFunc(delay, r.runSecond)
		r.mu.Unlock()
	}
	r.first.result = f.attempt(r.first.ctx, &r.first.request, decision)
	r.first.releaseLost()
	r.awaitSecond()
	r.observe()
	return r.join()
}

// mayBeHedged reports whether the next attempt may be joined by a second one: only the first that
// is sent, and none that continues a stream.
func (p *pendingRequest) mayBeHedged() bool {
	return p.idempotent() && !p.started && p.request.After == 0 && len(p.tried) == 0
}

// prepare gives an attempt its own copy of the request. What both append to lists must not share
// memory.
func (c *contender) prepare(r *race) {
	c.race, c.request = r, *r.parent
	c.request.writer, c.request.contender = c, c
	c.request.tried, c.request.unsent = slices.Clip(c.request.tried), slices.Clip(c.request.unsent)
	c.request.releases = nil
	c.ctx, c.cancel = context.WithCancel(r.ctx)
}

// hasLost reports whether another attempt of the request writes to the client.
func (c *contender) hasLost() bool {
	if c == nil {
		return false
	}
	winner := c.race.winner.Load()
	return winner != nil && winner != c
}

// releaseLost releases the memory of an attempt that has lost. The other one may write its answer to a slow
// client for long.
func (c *contender) releaseLost() {
	if c.hasLost() {
		c.request.releaseMemory()
		c.request.releases = nil
	}
}

// Head begins the answer, if no other attempt has begun it. The other one is then cancelled.
func (c *contender) Head(status int, header http.Header, length int) error {
	if !c.race.claim(c) {
		return errSuperseded
	}
	return c.race.parent.writer.Head(status, header, length)
}

// Write appends data to the answer of the attempt that has begun it.
func (c *contender) Write(data []byte) (int, error) {
	if c.race.winner.Load() != c {
		return 0, errSuperseded
	}
	return c.race.parent.writer.Write(data)
}

// Flush sends the answer of the attempt that has begun it.
func (c *contender) Flush() error {
	if c.race.winner.Load() != c {
		return errSuperseded
	}
	return c.race.parent.writer.Flush()
}

// Interrupt ends writes to the client that block, if the attempt has begun the answer.
func (c *contender) Interrupt() {
	if c.race.winner.Load() == c {
		c.race.parent.writer.Interrupt()
	}
}

// claim makes an attempt the winner, unless another one is, and cancels the other one.
func (r *race) claim(c *contender) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.winner.CompareAndSwap(nil, c) {
		return false
	}
	r.answered = time.Since(r.began)
	if c != &r.first {
		r.first.cancel()
	} else if r.second != nil {
		r.second.cancel()
	}
	return true
}

// runSecond sends the second attempt, if that is allowed, and waits for its end. It runs when the delay
// has passed.
func (r *race) runSecond() {
	postpone := false
	defer func() {
		if postpone {
			r.postpone()
		}
	}()
	due := make(chan struct{})
	defer close(due)
	r.mu.Lock()
	if r.isOver() {
		r.mu.Unlock()
		return
	}
	r.due = due
	r.mu.Unlock()
	// A panic goes on in the goroutine of the request, where one of the first attempt would be.
	defer func() { r.panicked = recover() }()
	f := r.forwarder
	request := f.hedgeRequest(r)
	r.checked = true
	if f.options.Hedger.Check(time.Now(), request) != hedger.Permitted {
		return
	}
	decision, offer := f.chooseSecond(time.Now(), r)
	c, reason := r.begin(offer)
	if c == nil {
		postpone = reason == hedger.NotSooner
		return
	}
	defer c.cancel()
	c.result = f.attempt(c.ctx, &c.request, decision)
	c.releaseLost()
}

// isOver reports whether no second attempt may begin any more. The caller holds mu.
func (r *race) isOver() bool { return r.ended || r.winner.Load() != nil || r.ctx.Err() != nil }

// postpone makes the second attempt due again after half of the time that the first one has taken. The
// longer that takes, the longer it is expected to take still.
func (r *race) postpone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isOver() {
		r.timer.Reset(time.Since(r.began) / 2)
	}
}

// begin returns the second attempt, or nil and the reason if it is not allowed.
func (r *race) begin(offer hedger.Offer) (*contender, hedger.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isOver() {
		return nil, hedger.Permitted
	}
	if reason := r.forwarder.options.Hedger.Take(time.Now(), r.kind, offer); reason != hedger.Permitted {
		return nil, reason
	}
	c := &contender{}
	c.prepare(r)
	c.request.attempts++
	r.second, r.delay = c, time.Since(r.began)
	return c, hedger.Permitted
}

// awaitSecond keeps a second attempt from beginning and waits for the end of one that has begun.
func (r *race) awaitSecond() {
	r.mu.Lock()
	r.ended = true
	due := r.due
	r.mu.Unlock()
	if due == nil {
		return
	}
	<-due
	if r.panicked != nil {
		panic(r.panicked)
	}
}

// close cancels both attempts and waits for the second one. It matters if one of them panicked, since
// the second one must not write to the client any more, and what both hold must be released.
func (r *race) close() {
	r.first.cancel()
	r.mu.Lock()
	r.ended = true
	due := r.due
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.second != nil {
		r.second.cancel()
	}
	r.mu.Unlock()
	if due != nil {
		<-due
	}
	if !r.joined {
		r.release(&r.first)
		r.release(r.second)
	}
}

// release passes what an attempt holds to the request, at whose end it is released.
func (r *race) release(c *contender) {
	if c == nil {
		return
	}
	r.parent.releases = append(r.parent.releases, c.request.releases...)
	if c.request.spool != nil {
		r.parent.spool = c.request.spool
	}
}

// observe records how long the first attempt took, or would have taken at least.
func (r *race) observe() {
	h, now, winner := r.forwarder.options.Hedger, time.Now(), r.winner.Load()
	switch {
	case winner == &r.first:
		h.Observe(now, r.kind, r.answered, r.due != nil)
	case winner != nil:
		h.ObserveCancelled(now, r.kind, r.answered)
	case r.due != nil && r.ctx.Err() != nil:
		h.ObserveCancelled(now, r.kind, now.Sub(r.began))
	case r.due != nil:
		h.Observe(now, r.kind, now.Sub(r.began), true)
	}
}

// join makes the state of both attempts that of the request, and returns their result. Without a winner it
// is the one that says least: "not run" only if neither attempt has run.
func (r *race) join() result {
	p, lead := r.parent, &r.first
	if r.second != nil {
		winner := r.winner.Load()
		if winner == r.second || winner == nil && r.second.result.rank() > r.first.result.rank() {
			lead = r.second
		}
	}
	joined := lead.request
	joined.writer, joined.contender = p.writer, nil
	joined.releases = slices.Concat(p.releases, r.first.request.releases)
	if r.second != nil {
		first, second := &r.first.request, &r.second.request
		joined.tried = slices.Concat(first.tried, second.tried[len(p.tried):])
		joined.unsent = slices.Concat(first.unsent, second.unsent[len(p.unsent):])
		joined.releases = append(joined.releases, second.releases...)
		joined.mayHaveRun = first.mayHaveRun || second.mayHaveRun
		joined.attempts = max(first.attempts, second.attempts)
		r.logSecond()
	}
	*p = joined
	r.joined = true
	return lead.result
}

// rank orders the results of attempts that have failed by what may have happened to the request.
func (r result) rank() int {
	switch {
	case r.held != nil:
		return 3
	case r.failure == nil || r.failure.Outcome != carawaybeam.OutcomeNotRun:
		return 2
	case !r.unsent:
		return 1
	}
	return 0
}

// logSecond logs and counts the end of a second attempt.
func (r *race) logSecond() {
	winner, outcome := r.winner.Load(), "failed"
	switch {
	case winner == r.second:
		outcome = "won"
	case winner != nil:
		outcome = "cancelled"
	case r.ctx.Err() != nil:
		outcome = "interrupted"
	}
	r.forwarder.options.Hedger.CountEnd(r.kind.Route, winner == r.second, winner == &r.first)
	p := r.parent
	r.forwarder.options.Log.Info().Str("request", string(p.request.ID)).Str("route", string(r.kind.Route)).
		Str("pool", string(r.kind.Pool)).Str("first", string(r.first.request.backend)).
		Str("second", string(r.second.request.backend)).Str("fingerprint", p.fingerprint.String()).
		Dur("delay", r.delay).Dur("answered", r.answered).Dur("took", time.Since(r.began)).
		Str("outcome", outcome).Msg("forwarder: second attempt ended")
}

// hedgeRequest describes the request to the Hedger.
func (f *Forwarder) hedgeRequest(r *race) hedger.Request {
	p := r.parent
	return hedger.Request{
		Kind:         r.kind,
		Idempotent:   p.idempotent(),
		Started:      p.started,
		Suspect:      f.isSuspect(p),
		Stopping:     f.forecast(p).Stopping,
		AttemptsLeft: p.route.MaxAttempts - len(p.tried) - 1,
		Late:         time.Until(p.deadline) < minTimeLeft,
		Again:        r.checked,
	}
}

// isSuspect reports whether the request, or a part of its prompt, may crash backend servers. A request
// that was running in a crash is suspect here even if that does not count against it. Many sound requests
// have a part of a prompt in common that was running in a crash.
func (f *Forwarder) isSuspect(p *pendingRequest) bool {
	return f.options.Quarantiner.Assess(p.fingerprint).HasCrashes() ||
		slices.ContainsFunc(p.fingerprints(), func(fingerprint quarantiner.Fingerprint) bool {
			return f.options.Quarantiner.Status(fingerprint) != quarantiner.Clear
		})
}

// chooseSecond asks the router for the backend server of a second attempt: one that takes requests, is not
// cold, and may be fast while that of the first attempt is slow.
func (f *Forwarder) chooseSecond(now time.Time, r *race) (carawaybeam.RouteDecision, hedger.Offer) {
	p := r.parent
	allowed := f.withoutEvacuated(permitted(f.residency(p), f.options.Members.Instances(p.pool.ID)))
	instances, _ := f.openInstances(now, allowed)
	candidates := f.candidates(now, instances)
	offer := hedger.Offer{Elapsed: now.Sub(r.began), Retry: func() bool { return f.mayHedge(now, p) }}
	offer.Slots, offer.Used = f.slots(candidates)
	candidates, offer.LockStep = f.othersThan(r, instances, candidates)
	candidates = f.completing(now, p, candidates)
	if len(candidates) == 0 {
		return carawaybeam.RouteDecision{}, offer
	}
	decision, ok := f.options.Router.Route(now, f.routeRequest(p, nil), candidates, f.random)
	offer.Found = ok && decision.ClosedFor == 0
	offer.Crowded = decision.Crowded
	offer.Expected, offer.Whole = decision.Expected, p.route.Kind != carawaybeam.RouteStream
	return decision, offer
}

// completing returns the candidates on which the answer can end before the deadline. A second attempt
// elsewhere would only take slots from others, so that it is not sent, unlike a first one.
func (f *Forwarder) completing(
	now time.Time,
	p *pendingRequest,
	candidates []carawaybeam.Candidate,
) []carawaybeam.Candidate {
	events := p.expectedEvents()
	if !f.mustComplete(p) || events <= 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c carawaybeam.Candidate) bool {
		gap := f.gaps.Sustained(now, p.pool.Engine, &c)
		return time.Duration(events*float64(gap)) > p.deadline.Sub(now)
	})
}

// mayHedge draws on the retry budget of all entries together.
func (f *Forwarder) mayHedge(now time.Time, p *pendingRequest) bool {
	return f.options.Retrier.Retry(now, carawaybeam.RetryRequest{
		Request:  p.request.ID,
		Class:    p.class(),
		Attempts: p.attempts + 1,
		Failure:  unknownOutcome(carawaybeam.ReasonBackendFailed, "first attempt takes long"),
		Deadline: p.deadline,
	}, f.random).Retry
}

// slots returns how many slots candidates that accept requests have, and how many of them are in use.
// For one that does not report, the other entries are taken to have as many requests there as this
// one has beside the request itself.
func (f *Forwarder) slots(candidates []carawaybeam.Candidate) (all, used int) {
	unreported := 0
	for i := range candidates {
		c := &candidates[i]
		if c.ClosedFor > 0 || c.Slots <= 0 {
			continue
		}
		all += c.Slots
		if c.ReportAge > 0 || c.Load != (carawaybeam.Load{}) {
			used += min(c.Slots, max(c.OwnRunning, c.Load.Running+c.Load.Waiting+c.OwnRunning-c.OwnReported))
		} else {
			unreported += c.OwnRunning
		}
	}
	if unreported > 0 {
		used += (unreported-1)*max(1, f.options.Entries()) + 1
	}
	return all, used
}

// othersThan returns the candidates for a second attempt. They are in another group than the backend
// server of the first attempt, or in another data centre, if there are any. lockStep is set if all are in
// its group: ranks of a group are equally slow.
func (f *Forwarder) othersThan(
	r *race,
	instances []carawaybeam.Instance,
	candidates []carawaybeam.Candidate,
) (others []carawaybeam.Candidate, lockStep bool) {
	first, _ := f.instance(r.parent.pool.ID, r.decided)
	group := f.group(first)
	var elsewhere []carawaybeam.Candidate
	for i, c := range candidates {
		switch {
		case c.Backend == r.decided || c.ClosedFor > 0 || slices.Contains(r.parent.unsent, c.Backend):
		case f.isCold(r.parent.pool, instances[i]):
		case group != "" && f.group(instances[i]) == group:
			lockStep = true
		case c.DataCentre != first.DataCentre:
			elsewhere = append(elsewhere, c)
		default:
			others = append(others, c)
		}
	}
	switch {
	case group != "":
		others = append(others, elsewhere...)
	case len(elsewhere) > 0:
		others = elsewhere
	}
	return others, lockStep && len(others) == 0
}

// group returns the group of a backend server, or "" if it is not known or there is none.
func (f *Forwarder) group(instance carawaybeam.Instance) carawaybeam.GroupID {
	report, _ := f.options.Report(instance.Address)
	return report.Group
}

// isCold reports whether a backend server sustains only few requests now.
func (f *Forwarder) isCold(pool *carawaybeam.Pool, instance carawaybeam.Instance) bool {
	return f.options.Warmer != nil && pool.ColdRate > 0 &&
		f.options.Warmer.Status(f.options.Warmer.Now(), instance).Cold
}
