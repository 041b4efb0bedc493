package reactive

import (
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

// none represents no rank or no expert.
const none = -1

type (
	// layer is the placement of the experts of one layer during a search. Loads
	// are relative to the mean load of a rank.
	layer struct {
		options carawaybeam.PlannerOptions
		speeds  []float64
		load    []float64
		held    [][]carawaybeam.Expert
		// holders lists the ranks that hold each expert, initial those that held
		// it before the plan.
		holders [][]int
		initial [][]int
		// work is the load of each rank, and slowest the time of the slowest one.
		work    []float64
		slowest float64
		// newExperts is the number of new experts of each rank in this layer.
		newExperts []int
		// initialTime is the time of the slowest rank before the plan, best the
		// placement with the largest net gain so far, and failedMoves the number of
		// moves since.
		initialTime float64
		best        placement
		failedMoves int
	}

	// placement is the outcome of a search in one layer.
	placement struct {
		held       [][]carawaybeam.Expert
		newExperts []int
		time       float64
		netGain    float64
	}

	// move is one step of a search. An expert of the rank from gets a replica on
	// the rank to, is removed from the rank from, or both.
	move struct {
		expert   int
		from, to int
		// leaves is set if the expert is removed from the rank from.
		leaves bool
		// evicted is the expert that is removed from the rank to to free a slot,
		// or none.
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
		options:    options,
		speeds:     speeds,
		load:       make([]float64, len(load)),
		held:       make([][]carawaybeam.Expert, len(held)),
		holders:    make([][]int, len(load)),
		initial:    make([][]int, len(load)),
		work:       make([]float64, len(held)),
		newExperts: make([]int, len(held)),
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
		l.initial[e] = slices.Clone(ranks)
	}
	l.updateLoads()
	l.initialTime = l.slowest
	l.best = l.snapshot(0)
	return l
}

// snapshot returns a copy of the current placement.
func (l *layer) snapshot(netGain float64) placement {
	p := placement{
		held:       make([][]carawaybeam.Expert, len(l.held)),
		newExperts: slices.Clone(l.newExperts),
		time:       l.slowest,
		netGain:    netGain,
	}
	for rank, experts := range l.held {
		p.held[rank] = slices.Clone(experts)
	}
	return p
}

// recordGain records the current placement if its net gain is the largest so far. It
// reports false once too many consecutive moves have not increased the net gain.
func (l *layer) recordGain(layerCopyCost float64) bool {
	copies := 0
	for _, n := range l.newExperts {
		copies += n
	}
	gain := l.initialTime - l.slowest - layerCopyCost*float64(copies)
	if gain > l.best.netGain {
		l.best, l.failedMoves = l.snapshot(gain), 0
		return true
	}
	l.failedMoves++
	return l.failedMoves < maxFailedMoves
}

// restoreBest returns to the placement with the largest net gain. The layer must not be
// searched any further.
func (l *layer) restoreBest() {
	l.held, l.newExperts, l.slowest = l.best.held, l.best.newExperts, l.best.time
}

// updateLoads computes the load of each rank and the time of the slowest one.
func (l *layer) updateLoads() {
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

// time returns the time of the slowest rank.
func (l *layer) time() float64 { return l.slowest }

// improve applies the move with the lowest resulting score among those that reduce
// the load of the slowest rank. It reports false if no move improves the score by
// more than minGain. newExperts is the number of new experts of each rank in all
// layers together, which must not exceed limit.
func (l *layer) improve(newExperts []int, limit int) bool {
	from := 0
	for rank, w := range l.work {
		if w/l.speeds[rank] > l.work[from]/l.speeds[from] {
			from = rank
		}
	}
	current := l.score(l.work)
	best, bestScore, found := move{}, current-minGain, false
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
			if to != from && !slices.Contains(l.holders[e], to) && l.mayAdd(e, to, newExperts[to] < limit) {
				l.propose(e, from, to, consider)
			}
		}
	}
	if found {
		l.apply(best, newExperts)
	}
	return found
}

// propose calls consider with the moves that add an expert on a rank.
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

// mayAdd reports whether a rank may get an expert. An expert that the rank held
// before the plan needs no copy and is always allowed. within is true if the rank
// is below its limit on new experts in all layers together.
func (l *layer) mayAdd(e, to int, within bool) bool {
	if slices.Contains(l.initial[e], to) {
		return true
	}
	if !within {
		return false
	}
	return l.options.MaxNewExpertsPerLayer == 0 || l.newExperts[to] < l.options.MaxNewExpertsPerLayer
}

// score is the value that the search minimises: the time of the slowest rank plus
// a small multiple of the sum of the squared times, so that the search also makes
// progress when several ranks are equally slow.
func (l *layer) score(work []float64) float64 {
	const squares = 0.02
	slowest, sum := 0.0, 0.0
	for rank, w := range work {
		t := w / l.speeds[rank]
		slowest = max(slowest, t)
		sum += t * t
	}
	return slowest + squares*sum
}

// preview computes the loads of the ranks after a move.
func (l *layer) preview(m move, work []float64) {
	copy(work, l.work)
	l.shift(work, m.expert, m.to, m.leaves, m.from)
	if m.evicted != none {
		l.shift(work, m.evicted, none, true, m.to)
	}
}

// shift updates the loads of the ranks for an expert that is added on one rank,
// removed from another, or both.
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

// apply applies a move to the placement and updates the loads.
func (l *layer) apply(m move, newExperts []int) {
	if m.evicted != none {
		l.drop(m.evicted, m.to, newExperts)
	}
	if m.to != none {
		l.add(m.expert, m.to, newExperts)
	}
	if m.leaves {
		l.drop(m.expert, m.from, newExperts)
	}
	l.updateLoads()
}

func (l *layer) add(e, rank int, newExperts []int) {
	l.holders[e] = append(l.holders[e], rank)
	l.held[rank] = append(l.held[rank], carawaybeam.Expert(e))
	if !slices.Contains(l.initial[e], rank) {
		newExperts[rank]++
		l.newExperts[rank]++
	}
}

func (l *layer) drop(e, rank int, newExperts []int) {
	l.holders[e] = slices.DeleteFunc(l.holders[e], func(r int) bool { return r == rank })
	l.held[rank] = slices.DeleteFunc(l.held[rank], func(x carawaybeam.Expert) bool { return int(x) == e })
	if !slices.Contains(l.initial[e], rank) {
		newExperts[rank]--
		l.newExperts[rank]--
	}
}
