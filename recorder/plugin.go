package recorder

import (
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
	"github.com/carawaybeam/carawaybeam/tracer"
)

type (
	// router records the decisions of the router inside.
	router struct {
		carawaybeam.Router
		recorder *Recorder
	}

	// limiter records the decisions of the limiter inside.
	limiter struct {
		carawaybeam.Limiter
		recorder *Recorder
	}

	// retrier records the decisions of the retrier inside.
	retrier struct {
		carawaybeam.Retrier
		recorder *Recorder
	}

	// placer records the decisions of the planner inside.
	placer struct {
		carawaybeam.Planner
		recorder *Recorder
		setup    planner.Setup
	}
)

// Router returns a router that decides as the given one and is recorded.
func (r *Recorder) Router(inside carawaybeam.Router) carawaybeam.Router {
	return &router{Router: inside, recorder: r}
}

// Limiter returns a limiter that decides as the given one and is recorded.
func (r *Recorder) Limiter(inside carawaybeam.Limiter) carawaybeam.Limiter {
	return &limiter{Limiter: inside, recorder: r}
}

// Retrier returns a retrier that decides as the given one and is recorded.
func (r *Recorder) Retrier(inside carawaybeam.Retrier) carawaybeam.Retrier {
	return &retrier{Retrier: inside, recorder: r}
}

// Planner returns a planner that decides as the given one and is recorded. The
// setup is that of the group.
func (r *Recorder) Planner(inside carawaybeam.Planner, setup planner.Setup) carawaybeam.Planner {
	return &placer{Planner: inside, recorder: r, setup: setup}
}

// Route chooses and records.
func (r *router) Route(
	now time.Time,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	random *rand.Rand,
) (carawaybeam.RouteDecision, bool) {
	decision, ok := r.Router.Route(now, request, candidates, random)
	r.recorder.record(RouterKind, func(at tracer.Duration) any {
		event := RouterEvent{
			At:           at,
			Request:      request.Request,
			Class:        request.Class,
			Organisation: request.Organisation,
			DataCentre:   request.DataCentre,
			Prompt:       request.Prompt,
			Tried:        request.Tried,
			Candidates:   make([]Candidate, 0, len(candidates)),
			Chosen:       decision.Backend,
			Expected:     tracer.Duration(decision.Expected),
		}
		for _, c := range candidates {
			event.Candidates = append(event.Candidates, newCandidate(c))
		}
		return event
	})
	return decision, ok
}

// Admit decides and records.
func (l *limiter) Admit(now time.Time, request carawaybeam.AdmitRequest) carawaybeam.AdmitDecision {
	decision := l.Limiter.Admit(now, request)
	l.recorder.record(LimiterKind, func(at tracer.Duration) any {
		return LimiterEvent{
			At:           at,
			Request:      request.Request,
			Class:        request.Class.ID,
			Organisation: request.Organisation,
			Prompt:       request.Prompt,
			Expected:     tracer.Duration(request.Expected),
			Unloaded:     tracer.Duration(request.Unloaded),
			Idle:         request.Idle,
			Admitted:     decision.Admitted,
			RetryAfter:   tracer.Duration(decision.RetryAfter),
		}
	})
	return decision
}

// Retry decides and records.
func (r *retrier) Retry(
	now time.Time,
	request carawaybeam.RetryRequest,
	random *rand.Rand,
) carawaybeam.RetryDecision {
	decision := r.Retrier.Retry(now, request, random)
	r.recorder.record(RetrierKind, func(at tracer.Duration) any {
		event := RetrierEvent{
			At:         at,
			Request:    request.Request,
			Class:      request.Class.ID,
			Idempotent: request.Class.Idempotent,
			Attempts:   request.Attempts,
			Left:       tracer.Duration(request.Deadline.Sub(now)),
			Retry:      decision.Retry,
			Wait:       tracer.Duration(decision.Wait),
		}
		if request.Failure != nil {
			event.Outcome = request.Failure.Outcome
			event.Reason = request.Failure.Reason
		}
		return event
	})
	return decision
}

// Plan plans and records.
func (p *placer) Plan(now time.Time, request carawaybeam.PlanRequest) carawaybeam.ExpertMap {
	next := p.Planner.Plan(now, request)
	moves := 0
	for _, n := range planner.Moves(request.Current, next) {
		moves += n
	}
	p.recorder.record(planner.TraceKind, func(at tracer.Duration) any {
		return planner.Event{
			At:     at,
			Setup:  &p.setup,
			Loads:  request.Loads,
			Speeds: request.Speeds,
			Chosen: &planner.RecordedPlan{Version: next.Version, Moves: moves},
		}
	})
	return next
}
