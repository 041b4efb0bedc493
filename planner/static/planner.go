// Package static implements the planner "static", a baseline for comparisons. It
// places the experts once, for the first load that it observes.
package static

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner/greedy"
)

// Planner replaces only the map with which a group starts.
type Planner struct {
	first carawaybeam.Planner
}

func init() { carawaybeam.Planners.Register("static", New) }

// New returns a planner.
func New(options carawaybeam.PlannerOptions) carawaybeam.Planner {
	return &Planner{first: greedy.New(options)}
}

// Plan returns the current map unless its version is 0. In that case it returns
// the map of the planner "greedy".
func (p *Planner) Plan(now time.Time, request carawaybeam.PlanRequest) carawaybeam.ExpertMap {
	if request.Current.Version > 0 {
		return request.Current
	}
	return p.first.Plan(now, request)
}
