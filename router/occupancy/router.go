// Package occupancy is the router "occupancy": the backend server with the
// smallest part of its slots taken, for pools whose members do equal work in
// lock-step or by themselves.
//
// A backend server that failed lately is left alone for a while that grows with
// each further failure, as long as another one can take the request.
package occupancy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// defaultSlots stands in for backend servers that do not tell their slots.
	defaultSlots = 8

	// crossingCost is by how much more of its slots a backend server in the own
	// data centre may be taken than one elsewhere. It is less than one request
	// of most backend servers.
	crossingCost = 0.04

	// idleShare is the part of the slots below which a backend server counts as
	// idle.
	idleShare = 0.5

	// minRest and maxRest bound how long a backend server is left alone after a
	// failure. The rest doubles with each failure in a row.
	minRest = 200 * time.Millisecond
	maxRest = 4 * time.Second

	// maxHealth bounds the backend servers whose failures are remembered.
	maxHealth = 8192
)

type (
	// Router chooses by occupancy.
	Router struct {
		mu     sync.Mutex
		health map[carawaybeam.BackendID]health
	}

	health struct {
		// failures counts those in a row.
		failures int
		// until is when the backend server takes work again.
		until time.Time
	}

	// State is the state dump of a Router.
	State struct {
		// BackingOff lists the backend servers that are left alone.
		BackingOff []carawaybeam.BackendID `json:"resting"`
	}
)

var _ carawaybeam.StateDumper = (*Router)(nil)

func init() {
	carawaybeam.Routers.Register("occupancy", func() carawaybeam.Router { return New() })
}

// New returns a Router that has seen no failure.
func New() *Router { return &Router{health: make(map[carawaybeam.BackendID]health)} }

// Route returns the candidate with the smallest part of its slots taken. A
// request goes back to a backend server that it tried before only if there is no
// other.
func (r *Router) Route(
	now time.Time,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	random *rand.Rand,
) (carawaybeam.RouteDecision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var (
		best     carawaybeam.Candidate
		bestCost float64
		bestRank int
		equal    int
	)
	for _, c := range candidates {
		rank := r.rank(now, request, c)
		cost := occupancy(c)
		if c.DataCentre != request.DataCentre {
			cost += crossingCost
		}
		switch {
		case equal == 0 || rank < bestRank || rank == bestRank && cost < bestCost:
			best, bestCost, bestRank, equal = c, cost, rank, 1
		case rank == bestRank && cost == bestCost:
			if equal++; random.IntN(equal) == 0 {
				best = c
			}
		}
	}
	if equal == 0 {
		return carawaybeam.RouteDecision{}, false
	}
	unloaded := readTime(request) + best.StepTime
	return carawaybeam.RouteDecision{
		Backend:   best.Backend,
		Pool:      request.Pool,
		Idle:      occupancy(best) < idleShare,
		ClosedFor: best.ClosedFor,
		EventGap:  best.StepTime,
		Unloaded:  unloaded,
		Expected:  unloaded + waitTime(request, best),
	}, true
}

// readTime returns how long an engine reads the prompt.
func readTime(request carawaybeam.RouteRequest) time.Duration {
	if request.Engine == nil || request.Engine.PromptRate <= 0 {
		return 0
	}
	return time.Duration(float64(request.Prompt) / request.Engine.PromptRate * float64(time.Second))
}

// waitTime returns how long a request waits for a slot. An answer takes a step
// for each event, so that slots come free at an even rate.
func waitTime(request carawaybeam.RouteRequest, c carawaybeam.Candidate) time.Duration {
	ahead := taken(c) - c.Slots + 1
	if request.Engine == nil || request.Engine.StepsPerPass <= 0 || c.Slots <= 0 || ahead <= 0 {
		return 0
	}
	steps := float64(request.Engine.MeanAnswer) / float64(request.Engine.StepsPerPass)
	return time.Duration(float64(ahead) / float64(c.Slots) * steps * float64(c.StepTime))
}

// rank orders candidates before their occupancy does: healthy and untried ones
// come first.
func (r *Router) rank(now time.Time, request carawaybeam.RouteRequest, c carawaybeam.Candidate) int {
	rank := 0
	if c.ClosedFor > 0 {
		rank += 4
	}
	if now.Before(r.health[c.Backend].until) {
		rank++
	}
	if slices.Contains(request.Tried, c.Backend) {
		rank += 2
	}
	return rank
}

func occupancy(c carawaybeam.Candidate) float64 {
	slots := c.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return float64(taken(c)) / float64(slots)
}

// taken returns how many requests a backend server is thought to have: those it
// reported and the own ones since, or only the own ones where there is no report.
func taken(c carawaybeam.Candidate) int {
	return max(c.OwnRunning, c.Load.Running+c.Load.Waiting+c.OwnRunning-c.OwnReported)
}

// Observe notes failures and successes.
func (r *Router) Observe(now time.Time, decision carawaybeam.RouteDecision, outcome carawaybeam.RouteOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !outcome.Failed {
		delete(r.health, decision.Backend)
		return
	}
	h := r.health[decision.Backend]
	rest := min(maxRest, minRest<<min(h.failures, 8))
	h.failures++
	h.until = now.Add(rest)
	if len(r.health) >= maxHealth {
		clear(r.health)
	}
	r.health[decision.Backend] = h
}

// State returns the state dump.
func (r *Router) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := State{BackingOff: []carawaybeam.BackendID{}}
	now := time.Now()
	for id, h := range r.health {
		if now.Before(h.until) {
			state.BackingOff = append(state.BackingOff, id)
		}
	}
	slices.Sort(state.BackingOff)
	return state
}
