package planner

import (
	"cmp"
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

// Pack places the experts of one layer without regard to their current placement.
// Experts with high load get replicas until all slots are used. Then each
// replica, in order of decreasing load, goes to the rank that would finish
// earliest with it: longest-processing-time-first scheduling with a limited
// number of slots. At the end, replicas whose removal makes the layer faster are
// removed from the slowest rank.
func Pack(load carawaybeam.LayerLoad, ranks, slots int, speeds []float64) [][]carawaybeam.Expert {
	speeds = UsableSpeeds(speeds, ranks)
	plan := make([][]carawaybeam.Expert, ranks)
	work := make([]float64, ranks)
	for _, item := range listReplicas(load, ranks, slots) {
		best := -1
		for rank := range plan {
			if len(plan[rank]) == slots || slices.Contains(plan[rank], carawaybeam.Expert(item.expert)) {
				continue
			}
			if best < 0 || (work[rank]+item.load)*speeds[best] < (work[best]+item.load)*speeds[rank] {
				best = rank
			}
		}
		// All ranks with a free slot may already hold the expert.
		if best < 0 {
			continue
		}
		plan[best] = append(plan[best], carawaybeam.Expert(item.expert))
		work[best] += item.load
	}
	trim(plan, load, speeds)
	return plan
}

// listReplicas returns the replicas to place, with the largest load first.
func listReplicas(load carawaybeam.LayerLoad, ranks, slots int) []replica {
	items := make([]replica, 0, ranks*slots)
	for e, n := range replicaCounts(load, ranks, slots) {
		for range n {
			items = append(items, replica{expert: e, load: load[e] / float64(n)})
		}
	}
	slices.SortStableFunc(items, func(a, b replica) int {
		return cmp.Compare(b.load, a.load)
	})
	return items
}

// trim removes replicas from the slowest rank as long as that makes the layer
// faster.
func trim(plan [][]carawaybeam.Expert, load carawaybeam.LayerLoad, speeds []float64) {
	for {
		current := LayerTime(plan, load, speeds)
		slowest := slowestRank(plan, load, speeds)
		if !dropReplica(plan, slowest, current, load, speeds) {
			return
		}
	}
}

// dropReplica removes the first replica of the rank whose removal makes the time
// of the layer less than current. It reports false if there is none.
func dropReplica(
	plan [][]carawaybeam.Expert,
	rank int,
	current float64,
	load carawaybeam.LayerLoad,
	speeds []float64,
) bool {
	replicas := Replicas(plan, len(load))
	held := plan[rank]
	for i, e := range held {
		if replicas[e] == 1 {
			continue
		}
		plan[rank] = slices.Delete(slices.Clone(held), i, i+1)
		if LayerTime(plan, load, speeds) < current {
			return true
		}
	}
	plan[rank] = held
	return false
}

// slowestRank returns the rank that takes longest for its experts.
func slowestRank(plan [][]carawaybeam.Expert, load carawaybeam.LayerLoad, speeds []float64) int {
	replicas := Replicas(plan, len(load))
	slowest, longest := 0, -1.0
	for rank, experts := range plan {
		work := 0.0
		for _, e := range experts {
			work += load[e] / float64(replicas[e])
		}
		if t := work / speeds[rank]; t > longest {
			slowest, longest = rank, t
		}
	}
	return slowest
}
