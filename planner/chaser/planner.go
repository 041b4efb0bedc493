// Package chaser is the planner "chaser": it chases popularity that changes
// within seconds, by many small plans of which each is in force soon.
//
// Copying an expert takes longer than deciding on it, so that a plan is bounded
// by the new experts of each rank, which copy side by side. Within such a bound a
// greedy search takes load from the slowest rank of the layer that loses most by
// it: it adds a replica of one of its experts elsewhere, in place of a replica
// that is needed least, or moves an expert away. Of the plans for several bounds
// that one is made whose gain over the horizon exceeds the time lost by copying
// most, if any does.
package chaser

import (
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
)

const (
	// horizon is for how long a placement is taken to be of use. Popularity on
	// the users' platform shifts every few seconds.
	horizon = 2500 * time.Millisecond

	// maxMoves bounds the moves of one plan.
	maxMoves = 256

	// switchCost is the part of the horizon that a plan costs besides copying,
	// by its orders.
	switchCost = 0.12

	// sizes is how many bounds on new experts are tried, each twice the one before.
	sizes = 2

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
	speeds := planner.UsableSpeeds(request.Speeds, p.options.Ranks)
	var best []*layer
	bestGain := 0.0
	for _, limit := range p.limits() {
		layers, gain := p.plan(request, speeds, limit)
		if gain > bestGain {
			best, bestGain = layers, gain
		}
	}
	if best == nil {
		return request.Current
	}
	next := carawaybeam.ExpertMap{Version: request.Current.Version + 1}
	for _, l := range best {
		next.Layers = append(next.Layers, l.held)
	}
	return next
}

// limits returns the bounds on new experts of a rank to plan for: small plans are
// in force sooner, large ones end a great imbalance.
func (p *Planner) limits() []int {
	smallest := max(1, p.options.MaxNewExperts)
	limits := make([]int, 0, sizes)
	for i := range sizes {
		limits = append(limits, smallest<<i)
	}
	return limits
}

// plan searches within a bound on new experts and returns the layers with the
// net gain, as a part of the horizon.
func (p *Planner) plan(request carawaybeam.PlanRequest, speeds []float64, limit int) ([]*layer, float64) {
	layers := make([]*layer, len(request.Loads))
	before := 0.0
	for i, load := range request.Loads {
		layers[i] = newLayer(request.Current.Layers[i], load, speeds, p.options)
		before += layers[i].worst()
	}
	if before == 0 {
		return nil, 0
	}
	arrivals := make([]int, p.options.Ranks)
	if search(layers, arrivals, limit) == 0 {
		return nil, 0
	}
	after := 0.0
	for _, l := range layers {
		after += l.worst()
	}
	// A step takes 1-share for itself, as long as its slowest rank, and share for
	// experts.
	share := p.options.ExpertShare
	own := (1 - share) * float64(len(layers)) / slices.Min(speeds)
	saved := share * (before - after) / (own + share*before)
	copying := float64(slices.Max(arrivals)) * p.options.InstallDelay.Seconds() / horizon.Seconds()
	return layers, saved*(1-copying) - p.options.CopySlowdown*copying - switchCost
}

// search makes the best move of the layer that loses most, one after another, and
// returns their number.
func search(layers []*layer, arrivals []int, limit int) int {
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
		if layers[worst].improve(arrivals, limit) {
			moves++
		} else {
			done[worst] = true
		}
	}
	return moves
}
