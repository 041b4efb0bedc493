// Package reactive implements the planner "chaser". It reacts to changes in the
// popularity of experts within seconds, with many small plans that take effect
// quickly.
//
// Copying an expert takes longer than computing a plan. Ranks copy in parallel, so
// that the duration of a plan depends on the largest number of new experts of a
// rank, which is limited. Within the limit, a greedy search reduces the load of
// the slowest rank of the layer with the longest time: it adds a replica of one of
// the rank's experts on another rank, if necessary in place of another replica
// there, or removes the expert from the slowest rank. Of the changes of a layer the
// planner keeps those up to the largest net gain: the time saved minus the cost of
// the copies, which occupy the links of the ranks. It computes plans for several
// limits and applies the one with the largest net gain over the horizon after
// deducting the time lost to copying, if that is positive.
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

	// maxFailedMoves is how many consecutive moves of a layer may fail to increase
	// its net gain before the search ends for that layer.
	maxFailedMoves = 16
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
	search(layers, limit, p.layerCopyCost(len(layers)))
	newExperts := make([]int, p.options.Ranks)
	after := 0.0
	for _, l := range layers {
		l.restoreBest()
		after += l.time()
		for rank, n := range l.newExperts {
			newExperts[rank] += n
		}
	}
	// A fraction share of a step is spent in experts. The remainder takes as long
	// as on the slowest rank.
	share := p.options.ExpertShare
	remainder := (1 - share) * float64(len(layers)) / slices.Min(speeds)
	saved := share * (before - after) / (remainder + share*before)
	copying := float64(slices.Max(newExperts)) * p.options.InstallDelay.Seconds() / horizon.Seconds()
	return layers, saved*(1-copying) - p.options.CopySlowdown*copying - switchCost
}

// layerCopyCost returns the cost of one copy as a fraction of the mean load of a rank in
// one layer: the link time that the copy takes, as a fraction of the link time of all
// ranks over the horizon, is weighed like the same fraction of the step time.
func (p *Planner) layerCopyCost(layers int) float64 {
	linkShare := p.options.InstallDelay.Seconds() / (horizon.Seconds() * float64(p.options.Ranks))
	return linkShare * float64(layers) / p.options.ExpertShare
}

// search repeatedly applies the best move of the layer with the longest time, with at
// most limit new experts of each rank in all layers together.
func search(layers []*layer, limit int, layerCopyCost float64) {
	done := make([]bool, len(layers))
	newExperts := make([]int, len(layers[0].held))
	for range maxMoves {
		slowest := -1
		for i, l := range layers {
			if !done[i] && (slowest < 0 || l.time() > layers[slowest].time()) {
				slowest = i
			}
		}
		if slowest < 0 {
			return
		}
		l := layers[slowest]
		done[slowest] = !l.improve(newExperts, limit) || !l.recordGain(layerCopyCost)
	}
}
