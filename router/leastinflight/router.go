// Package leastinflight implements the router "leastInFlight". It chooses the
// backend server with the fewest requests of this process in flight and is a
// baseline for comparisons.
package leastinflight

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// Router chooses the candidate with the fewest own requests in flight, and at
// random among equal ones. The zero value is ready to use.
type Router struct{}

func init() {
	carawaybeam.Routers.Register("leastInFlight", func() carawaybeam.Router { return Router{} })
}

// Route returns the candidate with the fewest own requests in flight, or false
// if the request has tried all candidates.
func (Router) Route(
	_ time.Time,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	random *rand.Rand,
) (carawaybeam.RouteDecision, bool) {
	var best []carawaybeam.Candidate
	for _, c := range candidates {
		if slices.Contains(request.Tried, c.Backend) {
			continue
		}
		if len(best) > 0 && c.OwnRunning > best[0].OwnRunning {
			continue
		}
		if len(best) > 0 && c.OwnRunning < best[0].OwnRunning {
			best = best[:0]
		}
		best = append(best, c)
	}
	if len(best) == 0 {
		return carawaybeam.RouteDecision{}, false
	}
	return carawaybeam.RouteDecision{Backend: best[random.IntN(len(best))].Backend}, true
}

// Observe does nothing.
func (Router) Observe(time.Time, carawaybeam.RouteDecision, carawaybeam.RouteOutcome) {}
