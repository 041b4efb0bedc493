package planner

import (
	"cmp"
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

// Pack places the experts of one layer afresh, without regard to where they
// are. Hot experts get replicas until all slots are used; then the replicas go,
// those with the largest load first, to the rank that ends earliest with them.
// This is longest-processing-time-first scheduling with a limit of slots.
// Replicas that only hold up the slowest rank are left out again.
func Pack(load carawaybeam.LayerLoad, ranks, slots int, speeds []float64) [][]carawaybeam.Expert {
	speeds = UsableSpeeds(speeds, ranks)
	plan := make([][]carawaybeam.Expert, ranks)
	work := make([]float64, ranks)
	for _, item := range replicaShares(load, ranks, slots) {
		best := -1
		for rank := range plan {
			if len(plan[rank]) == slots || slices.Contains(plan[rank], carawaybeam.Expert(item.expert)) {
				continue
			}
			if best < 0 || (work[rank]+item.load)*speeds[best] < (work[best]+item.load)*speeds[rank] {
				best = rank
			}
		}
		// A further replica may find only ranks that hold the expert already.
		if best < 0 {
			continue
		}
		plan[best] = append(plan[best], carawaybeam.Expert(item.expert))
		work[best] += item.load
	}
	trim(plan, load, speeds)
	return plan
}

// replicaShares returns one entry for each replica, the largest load first.
func replicaShares(load carawaybeam.LayerLoad, ranks, slots int) []share {
	items := make([]share, 0, ranks*slots)
	for e, n := range spread(load, ranks, slots) {
		for range n {
			items = append(items, share{expert: e, load: load[e] / float64(n)})
		}
	}
	slices.SortStableFunc(items, func(a, b share) int {
		return cmp.Compare(b.load, a.load)
	})
	return items
}

// trim drops replicas from the slowest rank while that makes the layer faster.
func trim(plan [][]carawaybeam.Expert, load carawaybeam.LayerLoad, speeds []float64) {
	for {
		now := LayerTime(plan, load, speeds)
		slowest := slowestRank(plan, load, speeds)
		if !dropReplica(plan, slowest, now, load, speeds) {
			return
		}
	}
}

// dropReplica drops the first replica of the rank whose absence makes the layer
// faster than now.
func dropReplica(
	plan [][]carawaybeam.Expert,
	rank int,
	now float64,
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
		if LayerTime(plan, load, speeds) < now {
			return true
		}
	}
	plan[rank] = held
	return false
}

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
