package drift

import (
	"slices"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
)

type (
	// layer is a placement of the experts of one layer that is being improved.
	layer struct {
		slots  int
		speeds []float64
		held   [][]carawaybeam.Expert
		// holders lists the ranks that hold each expert.
		holders [][]int
		views   []view
		scratch scratch
	}

	// view is the layer under one mix of work. Times are in units of the time
	// of a balanced layer.
	view struct {
		weight float64
		// load is the time that each expert would take on one rank of speed 1.
		load []float64
		// times is the time of each rank.
		times []float64
		// slowest lists the slowest ranks, the slowest first.
		slowest []int
	}

	// scratch holds what the evaluation of one change needs.
	scratch struct {
		// touched lists the ranks that a change affects.
		touched []int
		marked  []bool
		// factors is the change of the part of an expert's load that a rank
		// takes, for the expert and the other expert of a change.
		factors [2][]float64
	}
)

// newLayer returns the layer as it is placed now. It copies held.
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
	l.measure()
	return l
}

// newView returns a view of a layer in which experts take the given shares.
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

// measure works out the times of all ranks anew.
func (l *layer) measure() {
	for i := range l.views {
		v := &l.views[i]
		for rank, experts := range l.held {
			work := 0.0
			for _, e := range experts {
				work += v.load[e] / float64(len(l.holders[e]))
			}
			v.times[rank] = work / l.speeds[rank]
		}
		v.rank()
	}
}

// rank finds the slowest ranks.
func (v *view) rank() {
	v.slowest = v.slowest[:0]
	for rank, t := range v.times {
		n := len(v.slowest)
		if n == slowestKept && t <= v.times[v.slowest[n-1]] {
			continue
		}
		at := n
		for at > 0 && t > v.times[v.slowest[at-1]] {
			at--
		}
		v.slowest = slices.Insert(v.slowest, at, rank)
		if len(v.slowest) > slowestKept {
			v.slowest = v.slowest[:slowestKept]
		}
	}
}

// time returns the time of the layer under the mix.
func (v *view) time() float64 { return v.times[v.slowest[0]] }

// time returns the expected time of the layer over all mixes.
func (l *layer) time() float64 {
	t := 0.0
	for i := range l.views {
		t += l.views[i].weight * l.views[i].time()
	}
	return t
}

// packedTime returns the expected time of another placement of the layer.
func (l *layer) packedTime(held [][]carawaybeam.Expert) float64 {
	t := 0.0
	for i := range l.views {
		t += l.views[i].weight * planner.LayerTime(held, l.views[i].load, l.speeds)
	}
	return t
}
