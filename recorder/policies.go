package recorder

import (
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
	"github.com/carawaybeam/carawaybeam/tracer"
)

type (
	// recordingRouter records the decisions of the embedded router.
	recordingRouter struct {
		carawaybeam.Router
		recorder *Recorder
	}

	// recordingLimiter records the decisions of the embedded limiter.
	recordingLimiter struct {
		carawaybeam.Limiter
		recorder *Recorder
	}

	// recordingRetrier records the decisions of the embedded retrier.
	recordingRetrier struct {
		carawaybeam.Retrier
		recorder *Recorder
	}

	// recordingPlanner records the decisions of the embedded planner.
	recordingPlanner struct {
		carawaybeam.Planner
		recorder *Recorder
		setup    planner.Setup
	}
)

// Router wraps a router. It returns one that makes the same decisions and records them.
func (r *Recorder) Router(wrapped carawaybeam.Router) carawaybeam.Router {
	return &recordingRouter{Router: wrapped, recorder: r}
}

// Limiter wraps a limiter. It returns one that makes the same decisions and records
// them.
func (r *Recorder) Limiter(wrapped carawaybeam.Limiter) carawaybeam.Limiter {
	return &recordingLimiter{Limiter: wrapped, recorder: r}
}

// Retrier wraps a retrier. It returns one that makes the same decisions and records
// them.
func (r *Recorder) Retrier(wrapped carawaybeam.Retrier) carawaybeam.Retrier {
	return &recordingRetrier{Retrier: wrapped, recorder: r}
}

// Planner wraps a planner. It returns one that makes the same decisions and records
// them together with the setup of its group.
func (r *Recorder) Planner(wrapped carawaybeam.Planner, setup planner.Setup) carawaybeam.Planner {
	return &recordingPlanner{Planner: wrapped, recorder: r, setup: setup}
}

// Route returns and records the decision of the embedded router.
func (r *recordingRouter) Route(
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

// Admit returns and records the decision of the embedded limiter.
func (l *recordingLimiter) Admit(now time.Time, request carawaybeam.AdmitRequest) carawaybeam.AdmitDecision {
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

// Retry returns and records the decision of the embedded retrier.
func (r *recordingRetrier) Retry(
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

// Plan returns and records the expert map of the embedded planner.
func (p *recordingPlanner) Plan(now time.Time, request carawaybeam.PlanRequest) carawaybeam.ExpertMap {
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
