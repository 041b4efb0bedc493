// Package static is the planner "static": it places experts once, for the first
// load that it sees. It is a baseline for comparisons.
package static

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner/greedy"
)

// Planner keeps every map but the one with which a group starts.
type Planner struct {
	first carawaybeam.Planner
}

func init() { carawaybeam.Planners.Register("static", New) }

// New returns a planner.
func New(options carawaybeam.PlannerOptions) carawaybeam.Planner {
	return &Planner{first: greedy.New(options)}
}

// Plan returns the present map unless its version is 0.
func (p *Planner) Plan(now time.Time, request carawaybeam.PlanRequest) carawaybeam.ExpertMap {
	if request.Current.Version > 0 {
		return request.Current
	}
	return p.first.Plan(now, request)
}
