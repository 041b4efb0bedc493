// Package roundrobin implements the router "roundRobin". It chooses the backend
// servers in turn, regardless of their load, and is a baseline for comparisons.
package roundrobin

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// Router chooses the candidates in turn. The zero value is ready to use.
type Router struct {
	turn atomic.Uint64
}

func init() {
	carawaybeam.Routers.Register("roundRobin", func() carawaybeam.Router { return &Router{} })
}

// Route returns the next candidate, or false if there are none.
func (r *Router) Route(
	_ time.Time,
	_ carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	_ *rand.Rand,
) (carawaybeam.RouteDecision, bool) {
	if len(candidates) == 0 {
		return carawaybeam.RouteDecision{}, false
	}
	turn := r.turn.Add(1) % uint64(len(candidates))
	return carawaybeam.RouteDecision{Backend: candidates[turn].Backend}, true
}

// Observe does nothing.
func (*Router) Observe(time.Time, carawaybeam.RouteDecision, carawaybeam.RouteOutcome) {}
