package planner

import (
	"container/heap"
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

// SkewLowerBound returns a lower bound for the skew of any map of the given size
// under the given loads. The time of a layer is at least its balanced time. It
// is also at least the time that the fastest rank takes for the largest load of
// a single replica if all slots are used to split the largest loads.
func SkewLowerBound(ranks, slots int, loads []carawaybeam.LayerLoad, speeds []float64) float64 {
	speeds = UsableSpeeds(speeds, ranks)
	fastest := slices.Max(speeds)
	var bound, balanced float64
	for _, load := range loads {
		even := BalancedTime(load, speeds)
		split := 0.0
		for e, n := range replicaCounts(load, ranks, slots) {
			split = max(split, load[e]/float64(n))
		}
		bound += max(even, split/fastest)
		balanced += even
	}
	if balanced == 0 {
		return 0
	}
	return bound/balanced - 1
}

// replicaCounts returns the number of replicas of each expert that minimises the
// largest load of a replica. An expert has at most one replica on each rank. Slots
// stay unused if the replica with the largest load has no load, or if its expert
// already has a replica on each rank.
func replicaCounts(load carawaybeam.LayerLoad, ranks, slots int) []int {
	replicas := make([]int, len(load))
	queue := make(replicaHeap, len(load))
	for e, l := range load {
		replicas[e] = 1
		queue[e] = replica{expert: e, load: l}
	}
	heap.Init(&queue)
	for range ranks*slots - len(load) {
		top := &queue[0]
		if top.load == 0 || replicas[top.expert] == ranks {
			break
		}
		replicas[top.expert]++
		top.load = load[top.expert] / float64(replicas[top.expert])
		heap.Fix(&queue, 0)
	}
	return replicas
}

type (
	// replica is one replica of an expert with the load that it takes.
	replica struct {
		expert int
		load   float64
	}

	// replicaHeap is a heap with the largest load first.
	replicaHeap []replica
)

func (q replicaHeap) Len() int { return len(q) }

func (q replicaHeap) Less(i, j int) bool {
	if q[i].load != q[j].load {
		return q[i].load > q[j].load
	}
	return q[i].expert < q[j].expert
}

func (q replicaHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *replicaHeap) Push(x any) { *q = append(*q, x.(replica)) }

func (q *replicaHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
