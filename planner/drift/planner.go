// Package drift is the planner "drift": it follows the drift of popularity by
// few moves, and makes a move only when the time it saves pays for it.
//
// The planner remembers the mixes of work that it saw of late, as smoothed
// loads, and places the experts of each layer for all of them, weighed by the
// time they take and at least half for the present one. So a swing between
// known mixes asks for no move. A local search takes load from the slowest rank
// by further replicas, moves, swaps and dropped replicas; a full new placement
// is weighed beside it. Of each sequence of changes the part with the largest
// net gain is made: the step time saved over the horizon, weighed by the skew
// preference p, less the time that new experts hold up the group, weighed by
// 1-p.
package drift

import (
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
)

const (
	// horizonPeriods is for how many periods a placement is taken to last.
	horizonPeriods = 10

	// defaultPeriod and defaultInstallDelay stand in for options of 0.
	defaultPeriod       = time.Minute
	defaultInstallDelay = 500 * time.Millisecond

	// maxSteps bounds the changes of one layer in one plan.
	maxSteps = 64

	// sufficient is the part of the largest gain that can be hoped for, from
	// which a full new placement is taken without a search.
	sufficient = 0.75

	// patience is how many changes in a row may fail to raise the net gain.
	patience = 16

	// minRankGain is the share of its time that one move must take off a rank,
	// whatever the preference. It keeps noise in the loads from causing moves.
	minRankGain = 0.006
)

// Planner follows the drift of popularity by few moves.
type Planner struct {
	options carawaybeam.PlannerOptions
	memory  memory
}

func init() { carawaybeam.Planners.Register("drift", New) }

// New returns a planner that remembers nothing yet.
func New(options carawaybeam.PlannerOptions) carawaybeam.Planner {
	if options.Period <= 0 {
		options.Period = defaultPeriod
	}
	if options.InstallDelay <= 0 {
		options.InstallDelay = defaultInstallDelay
	}
	return &Planner{options: options}
}

// Plan improves the layers whose improvement pays.
func (p *Planner) Plan(_ time.Time, request carawaybeam.PlanRequest) carawaybeam.ExpertMap {
	p.memory.observe(request.Loads)
	speeds := planner.UsableSpeeds(request.Speeds, p.options.Ranks)
	cost := p.moveCost(request)
	next := carawaybeam.ExpertMap{
		Version: request.Current.Version + 1,
		Layers:  make([][][]carawaybeam.Expert, len(request.Loads)),
	}
	changed := false
	for i, present := range request.Current.Layers {
		next.Layers[i] = present
		if better, pays := p.planLayer(i, present, speeds, cost); pays {
			next.Layers[i] = better
			changed = true
		}
	}
	if !changed {
		return request.Current
	}
	return next
}

// moveCost returns the share of a layer's time that one move must save to pay.
// A group without a planned map loads its experts in any case, so that its
// moves cost nothing.
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

// planLayer returns the placement with the largest net gain. It reports false
// when none is better than the present one.
func (p *Planner) planLayer(
	index int,
	present [][]carawaybeam.Expert,
	speeds []float64,
	moveCost float64,
) ([][]carawaybeam.Expert, bool) {
	l := newLayer(present, p.options.Slots, speeds, p.views(index, speeds))
	// No placement takes less than 1.
	hope := l.time() - 1 - moveCost
	packed, packedGain := p.packLayer(l, present, moveCost)
	if packedGain > 0 && packedGain >= sufficient*hope {
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

// packLayer places the layer afresh for the mean of the mixes and returns the
// net gain, which is 0 when the placement cannot pay. It is taken to move an
// expert on each rank or more.
func (p *Planner) packLayer(
	l *layer,
	present [][]carawaybeam.Expert,
	moveCost float64,
) ([][]carawaybeam.Expert, float64) {
	before := l.time()
	if before-1 <= moveCost*float64(p.options.Ranks) {
		return nil, 0
	}
	packed := planner.Relabel(present, p.pack(l), l.speeds)
	moves := planner.LayerMoves(present, packed)
	return packed, max(0, before-l.packedTime(packed)-moveCost*float64(moves))
}

// views returns the layer's views of all remembered mixes.
func (p *Planner) views(index int, speeds []float64) []view {
	views := make([]view, len(p.memory.mixes))
	for i, x := range p.memory.mixes {
		views[i] = newView(p.memory.weight(x), x.expected(index), speeds)
	}
	return views
}

// pack places the layer afresh for the mean of the mixes.
func (p *Planner) pack(l *layer) [][]carawaybeam.Expert {
	mean := make(carawaybeam.LayerLoad, len(l.holders))
	for i := range l.views {
		for e, load := range l.views[i].load {
			mean[e] += l.views[i].weight * load
		}
	}
	return planner.Pack(mean, p.options.Ranks, p.options.Slots, l.speeds)
}

// search makes one change after another and returns the placement with the
// largest net gain, and that gain.
func search(l *layer, moveCost float64) ([][]carawaybeam.Expert, float64) {
	var best [][]carawaybeam.Expert
	before := l.time()
	bestGain, moves, failed := 0.0, 0, 0
	for range maxSteps {
		// No placement takes less than 1, so that this step may be hopeless.
		if l.time()-1 <= moveCost {
			break
		}
		s, found := l.improve(moveCost)
		if !found || failed == patience {
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
