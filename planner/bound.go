package planner

import (
	"container/heap"
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

// SkewLowerBound returns a skew below which no map of the given size can be, even
// one that knows the loads beforehand. A layer takes at least the balanced
// time, and at least the largest load of one replica on the fastest rank when
// all slots are used to split the largest loads.
func SkewLowerBound(ranks, slots int, loads []carawaybeam.LayerLoad, speeds []float64) float64 {
	speeds = UsableSpeeds(speeds, ranks)
	fastest := slices.Max(speeds)
	var bound, balanced float64
	for _, load := range loads {
		even := BalancedTime(load, speeds)
		split := 0.0
		for e, n := range spread(load, ranks, slots) {
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

// spread returns the numbers of replicas, at most one on each rank, that
// together fill all slots and make the largest load of a replica least.
func spread(load carawaybeam.LayerLoad, ranks, slots int) []int {
	replicas := make([]int, len(load))
	queue := make(shareQueue, len(load))
	for e, l := range load {
		replicas[e] = 1
		queue[e] = share{expert: e, load: l}
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
	// share is the load of one replica of an expert.
	share struct {
		expert int
		load   float64
	}

	// shareQueue is a heap with the largest load first.
	shareQueue []share
)

func (q shareQueue) Len() int { return len(q) }

func (q shareQueue) Less(i, j int) bool {
	if q[i].load != q[j].load {
		return q[i].load > q[j].load
	}
	return q[i].expert < q[j].expert
}

func (q shareQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *shareQueue) Push(x any) { *q = append(*q, x.(share)) }

func (q *shareQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
