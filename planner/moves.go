package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

// similarSpeed is the ratio of speeds up to which ranks count as equally fast.
const similarSpeed = 1.1

// Moves counts, for each rank, the experts that it holds in to but not in from.
// Each of them is fetched from the weight store once.
func Moves(from, to carawaybeam.ExpertMap) []int {
	var moves []int
	for layer, ranks := range to.Layers {
		if moves == nil {
			moves = make([]int, len(ranks))
		}
		for rank, held := range ranks {
			moves[rank] += arrivals(from.Layers[layer][rank], held)
		}
	}
	return moves
}

// LayerMoves counts the experts of one layer that ranks hold in to only.
func LayerMoves(from, to [][]carawaybeam.Expert) int {
	moves := 0
	for rank, held := range to {
		moves += arrivals(from[rank], held)
	}
	return moves
}

func arrivals(from, to []carawaybeam.Expert) int {
	n := 0
	for _, e := range to {
		if !slices.Contains(from, e) {
			n++
		}
	}
	return n
}

// Relabel gives the sets of experts of a plan to the ranks that already hold
// most of them, among ranks of nearly the same speed. The pairs with the largest
// overlap go first.
func Relabel(present, plan [][]carawaybeam.Expert, speeds []float64) [][]carawaybeam.Expert {
	relabelled := make([][]carawaybeam.Expert, len(plan))
	placed := make([]bool, len(plan))
	taken := make([]bool, len(plan))
	for _, p := range overlaps(present, plan, speeds) {
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

// overlap counts the experts of one set that a rank holds already.
type overlap struct {
	set, rank, common int
}

// overlaps returns the pairs of sets and ranks with experts in common, the
// largest overlap first.
func overlaps(present, plan [][]carawaybeam.Expert, speeds []float64) []overlap {
	var pairs []overlap
	for set, want := range plan {
		for rank, held := range present {
			if !similar(speeds[set], speeds[rank]) {
				continue
			}
			if n := len(want) - arrivals(held, want); n > 0 {
				pairs = append(pairs, overlap{set: set, rank: rank, common: n})
			}
		}
	}
	slices.SortStableFunc(pairs, func(a, b overlap) int { return cmp.Compare(b.common, a.common) })
	return pairs
}

// similar tells whether two ranks may take each other's place.
func similar(a, b float64) bool {
	return max(a, b) <= similarSpeed*min(a, b)
}

// nearestFree returns the rank not taken whose speed is nearest.
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
