// Package reactive implements the planner "chaser". It reacts to changes in the
// popularity of experts within seconds, with many small plans that take effect
// quickly.
//
// Copying an expert takes longer than computing a plan. Ranks copy in parallel, so
// that the duration of a plan depends on the largest number of new experts of a
// rank, which is limited. Within the limit, a greedy search reduces the load of
// the slowest rank of the layer with the longest time: it adds a replica of one of
// the rank's experts on another rank, if necessary in place of another replica
// there, or removes the expert from the slowest rank. The planner computes plans
// for several limits and applies the one with the largest net gain over the
// horizon after deducting the time lost to copying, if that is positive.
package reactive

import (
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
)

const (
	// horizon is for how long a placement is assumed to be useful. On the users'
	// platform, popularity changes every few seconds.
	horizon = 2500 * time.Millisecond

	// maxMoves is the maximum number of moves in one plan.
	maxMoves = 256

	// switchCost is the fraction of the horizon that a plan costs in addition to
	// copying, for the orders that switch the ranks to it.
	switchCost = 0.12

	// limitCount is how many limits on new experts are tried. Each is twice the
	// previous one.
	limitCount = 2

	// minGain is the minimum gain of a move, as a fraction of the mean load of a
	// rank. Smaller gains are noise.
	minGain = 0.002
)

// Planner reacts quickly to changes in popularity. It keeps no state between
// plans.
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

// Plan returns a map that differs from the current one by a few moves, or the
// current map if no moves are worth their cost.
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

// limits returns the limits on new experts of a rank for which plans are computed.
// Small plans take effect sooner, large ones can remove a severe imbalance.
func (p *Planner) limits() []int {
	smallest := max(1, p.options.MaxNewExperts)
	limits := make([]int, 0, limitCount)
	for i := range limitCount {
		limits = append(limits, smallest<<i)
	}
	return limits
}

// plan searches within a limit on the new experts of a rank and returns the layers
// and the net gain as a fraction of the horizon.
func (p *Planner) plan(request carawaybeam.PlanRequest, speeds []float64, limit int) ([]*layer, float64) {
	layers := make([]*layer, len(request.Loads))
	before := 0.0
	for i, load := range request.Loads {
		layers[i] = newLayer(request.Current.Layers[i], load, speeds, p.options)
		before += layers[i].time()
	}
	if before == 0 {
		return nil, 0
	}
	newExperts := make([]int, p.options.Ranks)
	if search(layers, newExperts, limit) == 0 {
		return nil, 0
	}
	after := 0.0
	for _, l := range layers {
		after += l.time()
	}
	// A fraction share of a step is spent in experts. The remainder takes as long
	// as on the slowest rank.
	share := p.options.ExpertShare
	remainder := (1 - share) * float64(len(layers)) / slices.Min(speeds)
	saved := share * (before - after) / (remainder + share*before)
	copying := float64(slices.Max(newExperts)) * p.options.InstallDelay.Seconds() / horizon.Seconds()
	return layers, saved*(1-copying) - p.options.CopySlowdown*copying - switchCost
}

// search repeatedly applies the best move of the layer with the longest time and
// returns the number of moves.
func search(layers []*layer, newExperts []int, limit int) int {
	done := make([]bool, len(layers))
	moves := 0
	for moves < maxMoves {
		slowest := -1
		for i, l := range layers {
			if !done[i] && (slowest < 0 || l.time() > layers[slowest].time()) {
				slowest = i
			}
		}
		if slowest < 0 {
			break
		}
		if layers[slowest].improve(newExperts, limit) {
			moves++
		} else {
			done[slowest] = true
		}
	}
	return moves
}
