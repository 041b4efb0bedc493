// Package greedy is the planner "greedy": it places all experts afresh for each
// load and counts no cost. It is a baseline for comparisons.
package greedy

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
)

// Planner places all experts afresh.
type Planner struct {
	options carawaybeam.PlannerOptions
}

func init() { carawaybeam.Planners.Register("greedy", New) }

// New returns a planner.
func New(options carawaybeam.PlannerOptions) carawaybeam.Planner {
	return &Planner{options: options}
}

// Plan packs each layer and gives the sets of experts to the ranks that hold
// most of them.
func (p *Planner) Plan(_ time.Time, request carawaybeam.PlanRequest) carawaybeam.ExpertMap {
	speeds := planner.UsableSpeeds(request.Speeds, p.options.Ranks)
	next := carawaybeam.ExpertMap{
		Version: request.Current.Version + 1,
		Layers:  make([][][]carawaybeam.Expert, len(request.Loads)),
	}
	moved := 0
	for layer, load := range request.Loads {
		present := request.Current.Layers[layer]
		packed := planner.Pack(load, p.options.Ranks, p.options.Slots, speeds)
		next.Layers[layer] = planner.Relabel(present, packed, speeds)
		moved += planner.LayerMoves(present, next.Layers[layer])
	}
	if moved == 0 {
		return request.Current
	}
	return next
}
