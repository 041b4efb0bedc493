// Package occupancy implements the router "occupancy". It chooses the backend
// server with the smallest fraction of its slots in use, for pools whose
// members do equal work, in lock-step or independently.
//
// A backend server that fails gets no requests for a backoff time, which grows
// with each further failure, unless no other one can take the request.
package occupancy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/ejector"
	"github.com/carawaybeam/carawaybeam/router/forecaster"
)

type (
	// Router chooses by occupancy. It is safe for concurrent use.
	Router struct {
		ejector *ejector.Ejector
	}

	// State is the state dump of a Router.
	State struct {
		// BackingOff lists the backend servers in backoff after failures.
		BackingOff []carawaybeam.BackendID `json:"resting"`
	}
)

var _ carawaybeam.StateDumper = (*Router)(nil)

func init() {
	carawaybeam.Routers.Register("occupancy", func() carawaybeam.Router { return New() })
}

// New returns a Router that has seen no failures.
func New() *Router { return &Router{ejector: ejector.New()} }

// Route returns the candidate with the smallest fraction of its slots in use.
// It returns a backend server that the request has tried only if no other one
// accepts requests, and false only if there are no candidates.
func (r *Router) Route(
	now time.Time,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	random *rand.Rand,
) (carawaybeam.RouteDecision, bool) {
	var (
		best        *carawaybeam.Candidate
		bestCost    float64
		bestPenalty int
		equal       int
	)
	for i := range candidates {
		c := &candidates[i]
		penalty := r.penalty(now, &request, c)
		cost := costOf(&request, c)
		switch {
		case equal == 0 || penalty < bestPenalty || penalty == bestPenalty && cost < bestCost:
			best, bestCost, bestPenalty, equal = c, cost, penalty, 1
		case penalty == bestPenalty && cost == bestCost:
			if equal++; random.IntN(equal) == 0 {
				best = c
			}
		}
	}
	if equal == 0 {
		return carawaybeam.RouteDecision{}, false
	}
	unloaded := forecaster.PromptTime(&request) + best.StepTime
	return carawaybeam.RouteDecision{
		Backend:   best.Backend,
		Pool:      request.Pool,
		Idle:      forecaster.Occupancy(best) < forecaster.MaxIdleOccupancy,
		ClosedFor: best.ClosedFor,
		EventGap:  best.StepTime,
		Crowded:   forecaster.IsCrowded(&request, best),
		Unloaded:  unloaded,
		Expected:  unloaded + forecaster.WaitTime(&request, best, best.StepTime),
	}, true
}

// penalty returns a rank that is compared before the occupancy. It is 0 for a
// candidate that accepts requests, is not in backoff and was not tried.
func (r *Router) penalty(now time.Time, request *carawaybeam.RouteRequest, c *carawaybeam.Candidate) int {
	penalty := 0
	if c.ClosedFor > 0 {
		penalty += 4
	}
	if r.ejector.IsBackingOff(now, c.Backend) {
		penalty++
	}
	if slices.Contains(request.Tried, c.Backend) {
		penalty += 2
	}
	return penalty
}

// costOf returns what is compared between candidates with the same penalty: the occupancy,
// and costs for the distance and for a missing slot.
func costOf(request *carawaybeam.RouteRequest, c *carawaybeam.Candidate) float64 {
	cost := forecaster.Occupancy(c)
	if c.DataCentre != request.DataCentre {
		cost += forecaster.RemoteRequests / float64(forecaster.Slots(c))
	}
	if forecaster.Running(c) >= forecaster.Slots(c) {
		cost += forecaster.FullCost
	}
	if c.Cold {
		cost += forecaster.ColdCost
	}
	return cost
}

// Observe starts a backoff after a failure and ends it after a success.
func (r *Router) Observe(now time.Time, decision carawaybeam.RouteDecision, outcome carawaybeam.RouteOutcome) {
	r.ejector.Observe(now, decision.Backend, outcome.Failed)
}

// State returns the state dump as a State.
func (r *Router) State() any { return State{BackingOff: r.ejector.BackingOff(time.Now())} }
