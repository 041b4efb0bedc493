// Package chaser is the planner "chaser": it chases popularity that changes
// within seconds, by many small plans of which each is in force soon.
//
// Copying an expert takes longer than deciding on it, so that a plan is bounded
// by the new experts of each rank, which copy side by side. Within this bound a
// greedy search takes load from the most loaded rank of the layer that loses most
// by it: it adds a replica of one of its experts elsewhere, in place of a replica
// that is needed least, or moves an expert away. Plans whose gain over the horizon
// is less than the time lost by copying are not made.
package chaser

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// horizon is for how long a placement is taken to be of use. Popularity on
	// the users' platform shifts every few seconds.
	horizon = 2500 * time.Millisecond

	// maxMoves bounds the moves of one plan.
	maxMoves = 256

	// switchCost is the part of the horizon that a plan costs besides copying,
	// by its orders.
	switchCost = 0.15

	// sufficientGain ends the search: a move that saves a smaller part of the
	// mean load of a rank is noise.
	sufficientGain = 0.002
)

// Planner chases popularity. It keeps nothing between plans.
type Planner struct {
	options carawaybeam.PlannerOptions
}

func init() { carawaybeam.Planners.Register("chaser", New) }

// New returns a planner.
func New(options carawaybeam.PlannerOptions) carawaybeam.Planner {
	if options.ExpertShare <= 0 {
		options.ExpertShare = 1
	}
	return &Planner{options: options}
}

// Plan returns the present map or one with a few moves.
func (p *Planner) Plan(_ time.Time, request carawaybeam.PlanRequest) carawaybeam.ExpertMap {
	layers := make([]*layer, len(request.Loads))
	before := 0.0
	for i, load := range request.Loads {
		layers[i] = newLayer(request.Present.Layers[i], load, p.options)
		before += layers[i].worst()
	}
	if before == 0 {
		return request.Present
	}
	arrivals := make([]int, p.options.Ranks)
	moves := p.search(layers, arrivals)
	after, copies := 0.0, 0
	for _, l := range layers {
		after += l.worst()
	}
	for _, n := range arrivals {
		copies = max(copies, n)
	}
	if moves == 0 || !p.pays(before, after, len(layers), copies) {
		return request.Present
	}
	next := carawaybeam.ExpertMap{Version: request.Present.Version + 1}
	for _, l := range layers {
		next.Layers = append(next.Layers, l.held)
	}
	return next
}

// pays tells whether a plan saves more time than it costs. Loads are relative to
// the mean of a rank, so that a balanced layer counts 1.
func (p *Planner) pays(before, after float64, layerCount, copies int) bool {
	// A step takes 1-share for itself and share for balanced experts.
	share := p.options.ExpertShare
	layers := float64(layerCount)
	gain := share * (before - after) / ((1-share)*layers + share*before)
	copying := float64(copies) * p.options.InstallDelay.Seconds()
	left := horizon.Seconds() - copying
	return gain*left > p.options.CopySlowdown*copying+switchCost*horizon.Seconds()
}

// search makes the best move of the layer that loses most, one after another, and
// returns their number.
func (p *Planner) search(layers []*layer, arrivals []int) int {
	done := make([]bool, len(layers))
	moves := 0
	for moves < maxMoves {
		worst := -1
		for i, l := range layers {
			if !done[i] && (worst < 0 || l.worst() > layers[worst].worst()) {
				worst = i
			}
		}
		if worst < 0 {
			break
		}
		if layers[worst].improve(arrivals) {
			moves++
		} else {
			done[worst] = true
		}
	}
	return moves
}
