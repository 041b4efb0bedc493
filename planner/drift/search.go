package drift

import (
	"cmp"
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// slowestKept is how many of the slowest ranks a view lists.
	slowestKept = 16

	// targetRanks bounds the ranks that may take load from the slowest one.
	targetRanks = 24

	// leastTargetRanks is the least number of them, where ranks have many slots.
	leastTargetRanks = 4

	// sourceExperts bounds the experts of the slowest rank that may leave it.
	sourceExperts = 8

	// stepPairs is about how many pairs of experts one step weighs.
	stepPairs = 512

	// leastGain is the gain of time below which a change is none.
	leastGain = 1e-6

	// tieWeight is the weight of the times of affected ranks in the choice
	// between changes that make the layer about equally fast.
	tieWeight = 1

	// none stands for no rank or no expert.
	none = -1
)

type (
	// change is one step of the search. An expert leaves one rank, arrives on
	// another, or both; another expert may go the other way or be dropped.
	change struct {
		expert carawaybeam.Expert
		// leaves and arrives are the ranks where the expert is dropped and
		// added, or none.
		leaves, arrives int
		// other is the expert dropped from the rank arrives, or none.
		other carawaybeam.Expert
		// swapped tells that the other expert is added on the rank leaves.
		swapped bool
	}

	// step is a change with its effect.
	step struct {
		change change
		// time is the expected time of the layer after the change.
		time float64
		// score is what the search minimises.
		score float64
	}
)

// moves returns how many experts are fetched.
func (c change) moves() int {
	n := 0
	if c.arrives != none {
		n++
	}
	if c.swapped {
		n++
	}
	return n
}

// improve returns the best change that takes load from the slowest rank under
// the mix that matters most, or under the next one when there is none. It reports
// false when no change makes the layer faster.
func (l *layer) improve(moveCost float64) (step, bool) {
	now := l.time()
	best := step{score: now}
	found := false
	focus := 0
	consider := func(c change) {
		s, helps := l.evaluate(c, focus, moveCost)
		if helps && s.time < now-leastGain && (!found || s.score < best.score) {
			best = s
			found = true
		}
	}
	for _, focus = range l.focuses() {
		l.propose(&l.views[focus], consider)
		if found {
			break
		}
	}
	return best, found
}

// focuses returns the views in the order of the time that stragglers cost under
// them.
func (l *layer) focuses() []int {
	order := make([]int, len(l.views))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(l.views[b].loss(), l.views[a].loss())
	})
	return order
}

// loss returns the weighed time that the slowest rank costs.
func (v *view) loss() float64 { return v.weight * (v.time() - 1) }

// propose lists the changes that take load from the slowest rank of a view.
func (l *layer) propose(v *view, consider func(change)) {
	slow := v.slowest[0]
	targets := v.fastest(l.targets())
	for _, e := range l.hottest(v, slow) {
		if len(l.holders[e]) > 1 {
			consider(change{expert: e, leaves: slow, arrives: none, other: none})
		}
		for _, rank := range targets {
			if rank == slow || slices.Contains(l.held[rank], e) {
				continue
			}
			l.proposeTo(v, e, slow, rank, consider)
		}
	}
}

// targets returns how many ranks may take load from the slowest one, so that
// the changes of one step are about as many however many slots a rank has.
func (l *layer) targets() int {
	return min(targetRanks, max(leastTargetRanks, stepPairs/(l.slots*min(l.slots, sourceExperts))))
}

// hottest returns the experts of a rank with the largest load, at most
// sourceExperts.
func (l *layer) hottest(v *view, rank int) []carawaybeam.Expert {
	experts := slices.Clone(l.held[rank])
	slices.SortStableFunc(experts, func(a, b carawaybeam.Expert) int {
		return cmp.Compare(l.part(v, b), l.part(v, a))
	})
	return experts[:min(len(experts), sourceExperts)]
}

// part returns the load of one replica of an expert.
func (l *layer) part(v *view, e carawaybeam.Expert) float64 {
	return v.load[e] / float64(len(l.holders[e]))
}

// proposeTo lists the changes that give load of an expert from one rank to
// another: a further replica, a move, or a swap with another expert. It leaves
// out those that make the other rank as slow as the slowest.
func (l *layer) proposeTo(v *view, e carawaybeam.Expert, from, to int, consider func(change)) {
	room := (v.time() - v.times[to]) * l.speeds[to]
	moved := l.part(v, e)
	copied := v.load[e] / float64(len(l.holders[e])+1)
	if len(l.held[to]) < l.slots {
		l.proposeArrival(e, from, to, none, copied < room, moved < room, consider)
	}
	for _, other := range l.held[to] {
		freed := l.part(v, other)
		if len(l.holders[other]) > 1 {
			l.proposeArrival(e, from, to, other, copied-freed < room, moved-freed < room, consider)
		}
		swaps := freed < moved && moved-freed < room
		if swaps && !slices.Contains(l.held[from], other) {
			consider(change{expert: e, leaves: from, arrives: to, other: other, swapped: true})
		}
	}
}

// proposeArrival proposes a further replica and a move of an expert.
func (l *layer) proposeArrival(
	e carawaybeam.Expert,
	from, to int,
	other carawaybeam.Expert,
	copies, moves bool,
	consider func(change),
) {
	if copies {
		consider(change{expert: e, leaves: none, arrives: to, other: other})
	}
	if moves {
		consider(change{expert: e, leaves: from, arrives: to, other: other})
	}
}

// fastest returns up to the given number of ranks with the least time, the
// fastest first.
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

// evaluate works out the time of the layer after a change. It reports false
// when the change does not help under the mix in focus.
func (l *layer) evaluate(c change, focus int, moveCost float64) (step, bool) {
	l.touch(c)
	defer l.untouch()
	s := step{change: c}
	if l.affected(&l.views[focus], c) >= l.views[focus].time() {
		return s, false
	}
	for i := range l.views {
		v := &l.views[i]
		affected := l.affected(v, c)
		s.time += v.weight * max(affected, l.untouched(v))
		s.score += v.weight * tieWeight * affected
	}
	s.score += s.time + moveCost*float64(c.moves())
	return s, true
}

// affected returns the time of the slowest rank that a change affects.
func (l *layer) affected(v *view, c change) float64 {
	slowest := 0.0
	for _, rank := range l.scratch.touched {
		slowest = max(slowest, l.timeAfter(v, c, rank))
	}
	return slowest
}

// timeAfter returns the time of an affected rank after the change.
func (l *layer) timeAfter(v *view, c change, rank int) float64 {
	work := l.scratch.factors[0][rank] * v.load[c.expert]
	if c.other != none {
		work += l.scratch.factors[1][rank] * v.load[c.other]
	}
	return v.times[rank] + work/l.speeds[rank]
}

// untouched returns the time of the slowest rank that a change leaves as it is.
func (l *layer) untouched(v *view) float64 {
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

// touch marks the ranks that a change affects, with the factors by which it
// does.
func (l *layer) touch(c change) {
	l.touchExpert(c.expert, c.leaves, c.arrives, 0)
	if c.other == none {
		return
	}
	arrives := none
	if c.swapped {
		arrives = c.leaves
	}
	l.touchExpert(c.other, c.arrives, arrives, 1)
}

func (l *layer) touchExpert(e carawaybeam.Expert, leaves, arrives, which int) {
	before := len(l.holders[e])
	after := before
	if leaves != none {
		after--
	}
	if arrives != none {
		after++
	}
	for _, rank := range l.holders[e] {
		factor := -1 / float64(before)
		if rank != leaves {
			factor += 1 / float64(after)
		}
		l.mark(rank)
		l.scratch.factors[which][rank] = factor
	}
	if arrives != none {
		l.mark(arrives)
		l.scratch.factors[which][arrives] = 1 / float64(after)
	}
}

func (l *layer) mark(rank int) {
	if !l.scratch.marked[rank] {
		l.scratch.marked[rank] = true
		l.scratch.touched = append(l.scratch.touched, rank)
	}
}

// untouch clears the marks and factors.
func (l *layer) untouch() {
	for _, rank := range l.scratch.touched {
		l.scratch.marked[rank] = false
		l.scratch.factors[0][rank] = 0
		l.scratch.factors[1][rank] = 0
	}
	l.scratch.touched = l.scratch.touched[:0]
}

// apply makes a change.
func (l *layer) apply(c change) {
	l.drop(c.expert, c.leaves)
	l.drop(c.other, c.arrives)
	l.add(c.expert, c.arrives)
	if c.swapped {
		l.add(c.other, c.leaves)
	}
	l.measure()
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
