// Package drift implements the planner "drift". It follows slow changes in the
// popularity of experts with few moves, and moves an expert only if the step time
// saved exceeds the cost of the move.
//
// The planner keeps a history of recent workload mixes, as smoothed loads. It
// places the experts of each layer for all of these mixes, weighted by their
// share of recent time, where the current mix has a weight of at least
// currentMixWeight. Therefore a change between known mixes needs hardly any
// moves.
//
// A local search reduces the load of the slowest rank by adding replicas, moving
// or swapping experts, and dropping replicas. It competes with a completely new
// placement. The planner applies the prefix of the changes with the largest net
// gain: the step time saved over the horizon, weighted by the skew preference p,
// minus the delay caused by installing new experts, weighted by 1-p.
package drift

import (
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
)

const (
	// horizonPeriods is for how many periods a placement is assumed to be useful.
	horizonPeriods = 10

	// defaultPeriod and defaultInstallDelay replace options that are not set.
	defaultPeriod       = time.Minute
	defaultInstallDelay = 500 * time.Millisecond

	// maxSteps is the maximum number of changes of one layer in one plan.
	maxSteps = 64

	// sufficientGain is the fraction of the largest possible gain from which a
	// completely new placement is used without a local search.
	sufficientGain = 0.75

	// maxFailedChanges is how many consecutive changes may fail to increase the
	// net gain before the search stops.
	maxFailedChanges = 16

	// minRankGain is the fraction of a rank's time that a move must save for
	// that rank at any skew preference. It prevents moves caused by noise in
	// the loads.
	minRankGain = 0.006
)

// Planner improves the current map with few moves. It keeps the history of
// workload mixes between plans.
type Planner struct {
	options carawaybeam.PlannerOptions
	history mixHistory
}

func init() { carawaybeam.Planners.Register("drift", New) }

// New returns a planner with an empty history.
func New(options carawaybeam.PlannerOptions) carawaybeam.Planner {
	if options.Period <= 0 {
		options.Period = defaultPeriod
	}
	if options.InstallDelay <= 0 {
		options.InstallDelay = defaultInstallDelay
	}
	return &Planner{options: options}
}

// Plan changes the layers for which the gain exceeds the cost of the moves. If
// there are none, it returns the current map.
func (p *Planner) Plan(_ time.Time, request carawaybeam.PlanRequest) carawaybeam.ExpertMap {
	p.history.observe(request.Loads)
	speeds := planner.UsableSpeeds(request.Speeds, p.options.Ranks)
	cost := p.moveCost(request)
	next := carawaybeam.ExpertMap{
		Version: request.Current.Version + 1,
		Layers:  make([][][]carawaybeam.Expert, len(request.Loads)),
	}
	changed := false
	for i, current := range request.Current.Layers {
		next.Layers[i] = current
		if better, pays := p.planLayer(i, current, speeds, cost); pays {
			next.Layers[i] = better
			changed = true
		}
	}
	if !changed {
		return request.Current
	}
	return next
}

// moveCost returns the fraction of a layer's time that one move must save to be
// worth its cost. It is 0 before the first plan, because the group then loads its
// experts in any case.
func (p *Planner) moveCost(request carawaybeam.PlanRequest) float64 {
	if request.Current.Version == 0 {
		return 0
	}
	preference := p.options.SkewPreference
	horizon := horizonPeriods * p.options.Period
	ranks := float64(p.options.Ranks)
	delay := p.options.InstallDelay.Seconds() / math.Sqrt(ranks)
	share := delay * float64(len(request.Loads)) / horizon.Seconds()
	return max(minRankGain/ranks, share*(1-preference)/preference)
}

// planLayer returns the placement of a layer with the largest net gain. It
// reports false if none is better than the current one.
func (p *Planner) planLayer(
	index int,
	current [][]carawaybeam.Expert,
	speeds []float64,
	moveCost float64,
) ([][]carawaybeam.Expert, bool) {
	l := newLayer(current, p.options.Slots, speeds, p.views(index, speeds))
	// Times are relative to a balanced layer, so that no placement takes less
	// than 1.
	maxGain := l.time() - 1 - moveCost
	packed, packedGain := p.packLayer(l, current, moveCost)
	if packedGain > 0 && packedGain >= sufficientGain*maxGain {
		return packed, true
	}
	searched, searchedGain := search(l, moveCost)
	switch {
	case packedGain > searchedGain:
		return packed, true
	case searchedGain > 0:
		return searched, true
	default:
		return nil, false
	}
}

// packLayer computes a completely new placement of the layer for the mean of the
// mixes and returns its net gain. It assumes at least one move on each rank, and
// returns a gain of 0 if the placement cannot be worth that cost.
func (p *Planner) packLayer(
	l *layer,
	current [][]carawaybeam.Expert,
	moveCost float64,
) ([][]carawaybeam.Expert, float64) {
	before := l.time()
	if before-1 <= moveCost*float64(p.options.Ranks) {
		return nil, 0
	}
	packed := planner.Relabel(current, p.pack(l), l.speeds)
	moves := planner.LayerMoves(current, packed)
	return packed, max(0, before-l.packedTime(packed)-moveCost*float64(moves))
}

// views returns the views of a layer under all mixes of the history.
func (p *Planner) views(index int, speeds []float64) []view {
	views := make([]view, len(p.history.mixes))
	for i, x := range p.history.mixes {
		views[i] = newView(p.history.weight(x), x.expected(index), speeds)
	}
	return views
}

// pack computes a completely new placement of the layer for the mean load of all
// mixes.
func (p *Planner) pack(l *layer) [][]carawaybeam.Expert {
	mean := make(carawaybeam.LayerLoad, len(l.holders))
	for i := range l.views {
		for e, load := range l.views[i].load {
			mean[e] += l.views[i].weight * load
		}
	}
	return planner.Pack(mean, p.options.Ranks, p.options.Slots, l.speeds)
}

// search applies one change after another and returns the placement with the
// largest net gain on the way, and that gain.
func search(l *layer, moveCost float64) ([][]carawaybeam.Expert, float64) {
	var best [][]carawaybeam.Expert
	before := l.time()
	bestGain, moves, failed := 0.0, 0, 0
	for range maxSteps {
		// No placement takes less than 1, so that no further move can be worth
		// its cost.
		if l.time()-1 <= moveCost {
			break
		}
		s, found := l.improve(moveCost)
		if !found || failed == maxFailedChanges {
			break
		}
		l.apply(s.change)
		moves += s.change.moves()
		failed++
		if gain := before - s.time - moveCost*float64(moves); gain > bestGain {
			best, bestGain, failed = cloneLayer(l.held), gain, 0
		}
	}
	return best, bestGain
}
