package reactive

import (
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

const none = -1

type (
	// layer is one layer in the course of a search. Loads are relative to the
	// mean load of a rank.
	layer struct {
		options carawaybeam.PlannerOptions
		speeds  []float64
		load    []float64
		held    [][]carawaybeam.Expert
		// holders lists the ranks of each expert, and first those that held it
		// before the plan.
		holders [][]int
		first   [][]int
		// work is the load of each rank, and slowest the time of the slowest one.
		work    []float64
		slowest float64
		// fresh counts the new experts of each rank.
		fresh []int
	}

	// move is one step of a search. An expert of the rank from gets a replica on
	// the rank to, in place of another expert there, or leaves from.
	move struct {
		expert   int
		from, to int
		// leaves is set when the expert leaves from.
		leaves bool
		// evicted is the expert that makes room on to, or none.
		evicted int
	}
)

func newLayer(
	held [][]carawaybeam.Expert,
	load carawaybeam.LayerLoad,
	speeds []float64,
	options carawaybeam.PlannerOptions,
) *layer {
	total := 0.0
	for _, n := range load {
		total += n
	}
	l := &layer{
		options: options,
		speeds:  speeds,
		load:    make([]float64, len(load)),
		held:    make([][]carawaybeam.Expert, len(held)),
		holders: make([][]int, len(load)),
		first:   make([][]int, len(load)),
		work:    make([]float64, len(held)),
		fresh:   make([]int, len(held)),
	}
	if total > 0 {
		for e, n := range load {
			l.load[e] = n / total * float64(len(held))
		}
	}
	for rank, experts := range held {
		l.held[rank] = slices.Clone(experts)
		for _, e := range experts {
			l.holders[e] = append(l.holders[e], rank)
		}
	}
	for e, ranks := range l.holders {
		l.first[e] = slices.Clone(ranks)
	}
	l.weigh()
	return l
}

// weigh works out the load of each rank and the time of the slowest one.
func (l *layer) weigh() {
	clear(l.work)
	for e, ranks := range l.holders {
		for _, rank := range ranks {
			l.work[rank] += l.load[e] / float64(len(ranks))
		}
	}
	l.slowest = 0
	for rank, w := range l.work {
		l.slowest = max(l.slowest, w/l.speeds[rank])
	}
}

// worst returns the time of the slowest rank.
func (l *layer) worst() float64 { return l.slowest }

// improve makes the move that takes most time from the slowest rank, and reports
// false when none takes enough. Arrivals counts the new experts of each rank in
// all layers, which limit bounds.
func (l *layer) improve(arrivals []int, limit int) bool {
	from := 0
	for rank, w := range l.work {
		if w/l.speeds[rank] > l.work[from]/l.speeds[from] {
			from = rank
		}
	}
	now := l.score(l.work)
	best, bestScore, found := move{}, now-sufficientGain, false
	scratch := make([]float64, len(l.work))
	consider := func(m move) {
		l.preview(m, scratch)
		if score := l.score(scratch); score < bestScore {
			best, bestScore, found = m, score, true
		}
	}
	for _, expert := range l.held[from] {
		e := int(expert)
		if len(l.holders[e]) > 1 {
			consider(move{expert: e, from: from, to: none, leaves: true, evicted: none})
		}
		for to := range l.held {
			if to != from && !slices.Contains(l.holders[e], to) && l.mayArrive(e, to, arrivals[to] < limit) {
				l.propose(e, from, to, consider)
			}
		}
	}
	if found {
		l.apply(best, arrivals)
	}
	return found
}

// propose considers the moves that bring an expert to a rank.
func (l *layer) propose(e, from, to int, consider func(move)) {
	if len(l.held[to]) < l.options.Slots {
		consider(move{expert: e, from: from, to: to, evicted: none})
		consider(move{expert: e, from: from, to: to, leaves: true, evicted: none})
		return
	}
	for _, other := range l.held[to] {
		if len(l.holders[other]) > 1 {
			consider(move{expert: e, from: from, to: to, evicted: int(other)})
			consider(move{expert: e, from: from, to: to, leaves: true, evicted: int(other)})
		}
	}
}

// mayArrive tells whether a rank may take an expert. One that it held before the
// plan needs no copy.
func (l *layer) mayArrive(e, to int, within bool) bool {
	if slices.Contains(l.first[e], to) {
		return true
	}
	if !within {
		return false
	}
	return l.options.MaxNewExpertsPerLayer == 0 || l.fresh[to] < l.options.MaxNewExpertsPerLayer
}

// score is what the search minimises: the time of the slowest rank, and a little
// the sum of squares, so that moves between equally slow ranks lead on.
func (l *layer) score(work []float64) float64 {
	const squares = 0.02
	worst, sum := 0.0, 0.0
	for rank, w := range work {
		t := w / l.speeds[rank]
		worst = max(worst, t)
		sum += t * t
	}
	return worst + squares*sum
}

// preview works out the loads after a move.
func (l *layer) preview(m move, work []float64) {
	copy(work, l.work)
	l.shift(work, m.expert, m.to, m.leaves, m.from)
	if m.evicted != none {
		l.shift(work, m.evicted, none, true, m.to)
	}
}

// shift spreads the load of one expert anew when it arrives on a rank, leaves
// one, or both.
func (l *layer) shift(work []float64, e, to int, leaves bool, from int) {
	before := len(l.holders[e])
	after := before
	if to != none {
		after++
	}
	if leaves {
		after--
	}
	old, share := l.load[e]/float64(before), l.load[e]/float64(after)
	for _, rank := range l.holders[e] {
		work[rank] += share - old
	}
	if to != none {
		work[to] += share
	}
	if leaves {
		work[from] -= share
	}
}

// apply makes a move.
func (l *layer) apply(m move, arrivals []int) {
	if m.evicted != none {
		l.drop(m.evicted, m.to, arrivals)
	}
	if m.to != none {
		l.add(m.expert, m.to, arrivals)
	}
	if m.leaves {
		l.drop(m.expert, m.from, arrivals)
	}
	l.weigh()
}

func (l *layer) add(e, rank int, arrivals []int) {
	l.holders[e] = append(l.holders[e], rank)
	l.held[rank] = append(l.held[rank], carawaybeam.Expert(e))
	if !slices.Contains(l.first[e], rank) {
		arrivals[rank]++
		l.fresh[rank]++
	}
}

func (l *layer) drop(e, rank int, arrivals []int) {
	l.holders[e] = slices.DeleteFunc(l.holders[e], func(r int) bool { return r == rank })
	l.held[rank] = slices.DeleteFunc(l.held[rank], func(x carawaybeam.Expert) bool { return int(x) == e })
	if !slices.Contains(l.first[e], rank) {
		arrivals[rank]--
		l.fresh[rank]--
	}
}
