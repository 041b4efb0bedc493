package drift

import (
	"slices"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
)

type (
	// layer is the placement of the experts of one layer during a search.
	layer struct {
		slots  int
		speeds []float64
		held   [][]carawaybeam.Expert
		// holders lists the ranks that hold each expert.
		holders [][]int
		views   []view
		scratch scratch
	}

	// view holds the loads and times of a layer under one workload mix. Times are
	// relative to the time of a balanced layer.
	view struct {
		// weight is the weight of the mix in the objective.
		weight float64
		// load is the time that each expert would take on one rank of speed 1.
		load []float64
		// times is the time of each rank.
		times []float64
		// slowest lists up to maxSlowest ranks, starting with the slowest.
		slowest []int
	}

	// scratch holds the working data for the evaluation of one change.
	scratch struct {
		// affected lists the ranks whose time a change affects. marked is set for
		// the same ranks.
		affected []int
		marked   []bool
		// factors holds, by rank, by how much the fraction of an expert's load
		// that the rank takes would change: first for the expert of the change,
		// then for its other expert.
		factors [2][]float64
	}
)

// newLayer returns a layer with the placement held, which it copies.
func newLayer(held [][]carawaybeam.Expert, slots int, speeds []float64, mixes []view) *layer {
	l := &layer{slots: slots, speeds: speeds, held: cloneLayer(held), views: mixes}
	l.holders = make([][]int, len(mixes[0].load))
	for rank, experts := range l.held {
		for _, e := range experts {
			l.holders[e] = append(l.holders[e], rank)
		}
	}
	l.scratch.marked = make([]bool, len(held))
	for i := range l.scratch.factors {
		l.scratch.factors[i] = make([]float64, len(held))
	}
	for i := range l.views {
		l.views[i].times = make([]float64, len(held))
	}
	l.updateTimes()
	return l
}

// newView returns a view of a layer in which experts take the given shares of the
// load.
func newView(weight float64, shares, speeds []float64) view {
	total := 0.0
	for _, s := range speeds {
		total += s
	}
	load := make([]float64, len(shares))
	for e, share := range shares {
		load[e] = share * total
	}
	return view{weight: weight, load: load}
}

func cloneLayer(held [][]carawaybeam.Expert) [][]carawaybeam.Expert {
	clone := make([][]carawaybeam.Expert, len(held))
	for rank, experts := range held {
		clone[rank] = slices.Clone(experts)
	}
	return clone
}

// updateTimes computes the times of all ranks.
func (l *layer) updateTimes() {
	for i := range l.views {
		v := &l.views[i]
		for rank, experts := range l.held {
			work := 0.0
			for _, e := range experts {
				work += v.load[e] / float64(len(l.holders[e]))
			}
			v.times[rank] = work / l.speeds[rank]
		}
		v.findSlowest()
	}
}

// findSlowest updates the list of the slowest ranks.
func (v *view) findSlowest() {
	v.slowest = v.slowest[:0]
	for rank, t := range v.times {
		n := len(v.slowest)
		if n == maxSlowest && t <= v.times[v.slowest[n-1]] {
			continue
		}
		at := n
		for at > 0 && t > v.times[v.slowest[at-1]] {
			at--
		}
		v.slowest = slices.Insert(v.slowest, at, rank)
		if len(v.slowest) > maxSlowest {
			v.slowest = v.slowest[:maxSlowest]
		}
	}
}

// time returns the time of the layer under the mix.
func (v *view) time() float64 { return v.times[v.slowest[0]] }

// time returns the expected time of the layer, weighted over all mixes.
func (l *layer) time() float64 {
	t := 0.0
	for i := range l.views {
		t += l.views[i].weight * l.views[i].time()
	}
	return t
}

// packedTime returns the expected time of the layer with another placement.
func (l *layer) packedTime(held [][]carawaybeam.Expert) float64 {
	t := 0.0
	for i := range l.views {
		t += l.views[i].weight * planner.LayerTime(held, l.views[i].load, l.speeds)
	}
	return t
}
