// Package greedy implements the planner "greedy", a baseline for comparisons. For
// each load it computes a new placement of all experts, whatever moves cost.
package greedy

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
)

// Planner computes each map without regard to the cost of moves.
type Planner struct {
	options carawaybeam.PlannerOptions
}

func init() { carawaybeam.Planners.Register("greedy", New) }

// New returns a planner.
func New(options carawaybeam.PlannerOptions) carawaybeam.Planner {
	return &Planner{options: options}
}

// Plan packs each layer and assigns the resulting sets of experts to the ranks
// that already hold most of them. If no expert moves, it returns the current map.
func (p *Planner) Plan(_ time.Time, request carawaybeam.PlanRequest) carawaybeam.ExpertMap {
	speeds := planner.UsableSpeeds(request.Speeds, p.options.Ranks)
	next := carawaybeam.ExpertMap{
		Version: request.Current.Version + 1,
		Layers:  make([][][]carawaybeam.Expert, len(request.Loads)),
	}
	moved := 0
	for layer, load := range request.Loads {
		current := request.Current.Layers[layer]
		packed := planner.Pack(load, p.options.Ranks, p.options.Slots, speeds)
		next.Layers[layer] = planner.Relabel(current, packed, speeds)
		moved += planner.LayerMoves(current, next.Layers[layer])
	}
	if moved == 0 {
		return request.Current
	}
	return next
}
