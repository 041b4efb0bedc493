package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

// maxSpeedRatio is the ratio of two speeds up to which ranks are considered
// equally fast.
const maxSpeedRatio = 1.1

// Moves returns, for each rank, the number of experts that it holds in to but not
// in from. The weights of each of them are fetched from the weight store once.
func Moves(from, to carawaybeam.ExpertMap) []int {
	var moves []int
	for layer, ranks := range to.Layers {
		if moves == nil {
			moves = make([]int, len(ranks))
		}
		for rank, held := range ranks {
			moves[rank] += countNew(from.Layers[layer][rank], held)
		}
	}
	return moves
}

// LayerMoves returns the number of experts of one layer that ranks hold in to but
// not in from.
func LayerMoves(from, to [][]carawaybeam.Expert) int {
	moves := 0
	for rank, held := range to {
		moves += countNew(from[rank], held)
	}
	return moves
}

// countNew returns the number of experts in to that are not in from.
func countNew(from, to []carawaybeam.Expert) int {
	n := 0
	for _, e := range to {
		if !slices.Contains(from, e) {
			n++
		}
	}
	return n
}

// Relabel permutes the ranks of a plan in order to reduce moves: each set of
// experts goes to a rank that already holds many of them and is about as fast as
// the rank for which the set was planned. The assignment is greedy, with the
// largest overlap first.
func Relabel(current, plan [][]carawaybeam.Expert, speeds []float64) [][]carawaybeam.Expert {
	relabelled := make([][]carawaybeam.Expert, len(plan))
	placed := make([]bool, len(plan))
	taken := make([]bool, len(plan))
	for _, p := range overlaps(current, plan, speeds) {
		if placed[p.set] || taken[p.rank] {
			continue
		}
		relabelled[p.rank] = plan[p.set]
		placed[p.set] = true
		taken[p.rank] = true
	}
	for set, want := range plan {
		if placed[set] {
			continue
		}
		rank := nearestFree(taken, speeds, speeds[set])
		relabelled[rank] = want
		taken[rank] = true
	}
	return relabelled
}

// overlap is the number of experts of one set that a rank already holds.
type overlap struct {
	set, rank, common int
}

// overlaps returns the pairs of sets and ranks of similar speed that have experts
// in common, with the largest overlap first.
func overlaps(current, plan [][]carawaybeam.Expert, speeds []float64) []overlap {
	var pairs []overlap
	for set, want := range plan {
		for rank, held := range current {
			if !similar(speeds[set], speeds[rank]) {
				continue
			}
			if n := len(want) - countNew(held, want); n > 0 {
				pairs = append(pairs, overlap{set: set, rank: rank, common: n})
			}
		}
	}
	slices.SortStableFunc(pairs, func(a, b overlap) int { return cmp.Compare(b.common, a.common) })
	return pairs
}

// similar reports whether two speeds are close enough for their ranks to be
// exchanged.
func similar(a, b float64) bool {
	return max(a, b) <= maxSpeedRatio*min(a, b)
}

// nearestFree returns the rank that is not taken whose speed is nearest to speed.
func nearestFree(taken []bool, speeds []float64, speed float64) int {
	best := -1
	for rank, used := range taken {
		if used {
			continue
		}
		if best < 0 || math.Abs(speeds[rank]-speed) < math.Abs(speeds[best]-speed) {
			best = rank
		}
	}
	return best
}
