package drift

import (
	"cmp"
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// maxSlowest is how many of the slowest ranks a view lists.
	maxSlowest = 16

	// maxTargets and minTargets limit the number of ranks that may take load
	// from the slowest one, which decreases with the number of slots per rank.
	maxTargets = 24
	minTargets = 4

	// maxSources is the maximum number of experts of the slowest rank whose load
	// may go to other ranks.
	maxSources = 8

	// pairsPerStep is approximately how many pairs of experts are considered in
	// one step.
	pairsPerStep = 512

	// minGain is the reduction of the time below which a change is ignored.
	minGain = 1e-6

	// tieBreakWeight is the weight of the time of the slowest affected rank in
	// the score. It decides between changes that lead to nearly the same time of
	// the layer.
	tieBreakWeight = 1

	// none represents no rank or no expert.
	none = -1
)

type (
	// change is a change of the placement. An expert is removed from one rank,
	// added on another, or both. On the rank where it is added, another expert
	// may be removed, and possibly added on the rank that the first one left.
	change struct {
		expert carawaybeam.Expert
		// from and to are the ranks from which the expert is removed and on which
		// it is added, or none.
		from, to int
		// other is the expert removed from the rank to, or none.
		other carawaybeam.Expert
		// swapped is set if other is added on the rank from.
		swapped bool
	}

	// step is a change and its effect.
	step struct {
		change change
		// time is the expected time of the layer after the change.
		time float64
		// score is the value that the search minimises.
		score float64
	}
)

// moves returns how many experts must be fetched for the change.
func (c change) moves() int {
	n := 0
	if c.to != none {
		n++
	}
	if c.swapped {
		n++
	}
	return n
}

// improve returns the best change that reduces the load of the slowest rank under
// the mix with the highest straggler cost. If no change does, it continues with
// the mix with the next highest cost. It reports false if no change makes the
// layer faster.
func (l *layer) improve(moveCost float64) (step, bool) {
	now := l.time()
	best := step{score: now}
	found := false
	focus := 0
	consider := func(c change) {
		s, helps := l.evaluate(c, focus, moveCost)
		if helps && s.time < now-minGain && (!found || s.score < best.score) {
			best = s
			found = true
		}
	}
	for _, focus = range l.viewsByCost() {
		l.propose(&l.views[focus], consider)
		if found {
			break
		}
	}
	return best, found
}

// viewsByCost returns the indices of the views, with the highest straggler cost
// first.
func (l *layer) viewsByCost() []int {
	order := make([]int, len(l.views))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(l.views[b].stragglerCost(), l.views[a].stragglerCost())
	})
	return order
}

// stragglerCost returns the weighted time by which the slowest rank delays the
// layer.
func (v *view) stragglerCost() float64 { return v.weight * (v.time() - 1) }

// propose calls consider with changes that reduce the load of the slowest rank of
// a view.
func (l *layer) propose(v *view, consider func(change)) {
	slow := v.slowest[0]
	targets := v.fastest(l.targets())
	for _, e := range l.hottest(v, slow) {
		if len(l.holders[e]) > 1 {
			consider(change{expert: e, from: slow, to: none, other: none})
		}
		for _, rank := range targets {
			if rank == slow || slices.Contains(l.held[rank], e) {
				continue
			}
			l.proposeTo(v, e, slow, rank, consider)
		}
	}
}

// targets returns how many ranks may take load from the slowest one. It decreases
// with the number of slots, so that the number of changes considered in one step
// stays nearly the same.
func (l *layer) targets() int {
	return min(maxTargets, max(minTargets, pairsPerStep/(l.slots*min(l.slots, maxSources))))
}

// hottest returns up to maxSources experts of a rank, with the largest load
// first.
func (l *layer) hottest(v *view, rank int) []carawaybeam.Expert {
	experts := slices.Clone(l.held[rank])
	slices.SortStableFunc(experts, func(a, b carawaybeam.Expert) int {
		return cmp.Compare(l.replicaLoad(v, b), l.replicaLoad(v, a))
	})
	return experts[:min(len(experts), maxSources)]
}

// replicaLoad returns the load of one replica of an expert.
func (l *layer) replicaLoad(v *view, e carawaybeam.Expert) float64 {
	return v.load[e] / float64(len(l.holders[e]))
}

// proposeTo calls consider with changes that shift load of an expert from one
// rank to another: a further replica, a move, or a swap with another expert. It
// omits changes that would make the other rank as slow as the slowest one.
func (l *layer) proposeTo(v *view, e carawaybeam.Expert, from, to int, consider func(change)) {
	spare := (v.time() - v.times[to]) * l.speeds[to]
	moved := l.replicaLoad(v, e)
	copied := v.load[e] / float64(len(l.holders[e])+1)
	if len(l.held[to]) < l.slots {
		l.proposeArrival(e, from, to, none, copied < spare, moved < spare, consider)
	}
	for _, other := range l.held[to] {
		freed := l.replicaLoad(v, other)
		if len(l.holders[other]) > 1 {
			l.proposeArrival(e, from, to, other, copied-freed < spare, moved-freed < spare, consider)
		}
		swaps := freed < moved && moved-freed < spare
		if swaps && !slices.Contains(l.held[from], other) {
			consider(change{expert: e, from: from, to: to, other: other, swapped: true})
		}
	}
}

// proposeArrival calls consider with a further replica of an expert if copies is
// set, and with a move of the expert if moves is set.
func (l *layer) proposeArrival(
	e carawaybeam.Expert,
	from, to int,
	other carawaybeam.Expert,
	copies, moves bool,
	consider func(change),
) {
	if copies {
		consider(change{expert: e, from: none, to: to, other: other})
	}
	if moves {
		consider(change{expert: e, from: from, to: to, other: other})
	}
}

// fastest returns up to the given number of ranks, starting with the one that
// takes the least time.
func (v *view) fastest(most int) []int {
	ranks := make([]int, 0, most+1)
	for rank, t := range v.times {
		at := len(ranks)
		for at > 0 && t < v.times[ranks[at-1]] {
			at--
		}
		if at == most {
			continue
		}
		ranks = slices.Insert(ranks, at, rank)
		ranks = ranks[:min(len(ranks), most)]
	}
	return ranks
}

// evaluate computes the time of the layer after a change. It reports false if the
// change does not help under the mix of the view focus.
func (l *layer) evaluate(c change, focus int, moveCost float64) (step, bool) {
	l.markAffected(c)
	defer l.clearMarks()
	s := step{change: c}
	if l.affectedTime(&l.views[focus], c) >= l.views[focus].time() {
		return s, false
	}
	for i := range l.views {
		v := &l.views[i]
		affected := l.affectedTime(v, c)
		s.time += v.weight * max(affected, l.unaffectedTime(v))
		s.score += v.weight * tieBreakWeight * affected
	}
	s.score += s.time + moveCost*float64(c.moves())
	return s, true
}

// affectedTime returns the time, after a change, of the slowest rank that it
// affects.
func (l *layer) affectedTime(v *view, c change) float64 {
	slowest := 0.0
	for _, rank := range l.scratch.affected {
		slowest = max(slowest, l.timeAfter(v, c, rank))
	}
	return slowest
}

// timeAfter returns the time of an affected rank after a change.
func (l *layer) timeAfter(v *view, c change, rank int) float64 {
	work := l.scratch.factors[0][rank] * v.load[c.expert]
	if c.other != none {
		work += l.scratch.factors[1][rank] * v.load[c.other]
	}
	return v.times[rank] + work/l.speeds[rank]
}

// unaffectedTime returns the time of the slowest rank that a change does not
// affect.
func (l *layer) unaffectedTime(v *view) float64 {
	for _, rank := range v.slowest {
		if !l.scratch.marked[rank] {
			return v.times[rank]
		}
	}
	if len(v.slowest) == len(v.times) {
		return 0
	}
	slowest := 0.0
	for rank, t := range v.times {
		if !l.scratch.marked[rank] {
			slowest = max(slowest, t)
		}
	}
	return slowest
}

// markAffected marks the ranks that a change affects and sets their factors.
func (l *layer) markAffected(c change) {
	l.markExpert(c.expert, c.from, c.to, 0)
	if c.other == none {
		return
	}
	to := none
	if c.swapped {
		to = c.from
	}
	l.markExpert(c.other, c.to, to, 1)
}

// markExpert marks the ranks affected by removing an expert from one rank and
// adding it on another. which is the index of the factors to set.
func (l *layer) markExpert(e carawaybeam.Expert, from, to, which int) {
	before := len(l.holders[e])
	after := before
	if from != none {
		after--
	}
	if to != none {
		after++
	}
	for _, rank := range l.holders[e] {
		factor := -1 / float64(before)
		if rank != from {
			factor += 1 / float64(after)
		}
		l.mark(rank)
		l.scratch.factors[which][rank] = factor
	}
	if to != none {
		l.mark(to)
		l.scratch.factors[which][to] = 1 / float64(after)
	}
}

func (l *layer) mark(rank int) {
	if !l.scratch.marked[rank] {
		l.scratch.marked[rank] = true
		l.scratch.affected = append(l.scratch.affected, rank)
	}
}

// clearMarks resets the marks and factors.
func (l *layer) clearMarks() {
	for _, rank := range l.scratch.affected {
		l.scratch.marked[rank] = false
		l.scratch.factors[0][rank] = 0
		l.scratch.factors[1][rank] = 0
	}
	l.scratch.affected = l.scratch.affected[:0]
}

// apply applies a change to the placement and updates the times.
func (l *layer) apply(c change) {
	l.drop(c.expert, c.from)
	l.drop(c.other, c.to)
	l.add(c.expert, c.to)
	if c.swapped {
		l.add(c.other, c.from)
	}
	l.updateTimes()
}

func (l *layer) drop(e carawaybeam.Expert, rank int) {
	if e == none || rank == none {
		return
	}
	l.held[rank] = slices.DeleteFunc(l.held[rank], func(x carawaybeam.Expert) bool { return x == e })
	l.holders[e] = slices.DeleteFunc(l.holders[e], func(r int) bool { return r == rank })
}

func (l *layer) add(e carawaybeam.Expert, rank int) {
	if rank == none {
		return
	}
	l.held[rank] = append(l.held[rank], e)
	l.holders[e] = append(l.holders[e], rank)
}
