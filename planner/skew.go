package planner

import (
	"github.com/carawaybeam/carawaybeam"
)

// minSpeed is the lowest speed assumed for a rank, so that times remain finite
// even if a rank makes no progress.
const minSpeed = 0.01

// Skew returns the step-time skew of the map under the given loads, as a
// fraction. If speeds is nil, all ranks are equally fast.
func Skew(m carawaybeam.ExpertMap, loads []carawaybeam.LayerLoad, speeds []float64) float64 {
	var slowest, balanced float64
	for i, load := range loads {
		slowest += LayerTime(m.Layers[i], load, speeds)
		balanced += BalancedTime(load, UsableSpeeds(speeds, len(m.Layers[i])))
	}
	if balanced == 0 {
		return 0
	}
	return slowest/balanced - 1
}

// LayerTime returns the time of the slowest rank of a layer, in units of load.
func LayerTime(ranks [][]carawaybeam.Expert, load carawaybeam.LayerLoad, speeds []float64) float64 {
	speeds = UsableSpeeds(speeds, len(ranks))
	replicas := Replicas(ranks, len(load))
	slowest := 0.0
	for rank, experts := range ranks {
		sum := 0.0
		for _, e := range experts {
			sum += load[e] / float64(replicas[e])
		}
		slowest = max(slowest, sum/speeds[rank])
	}
	return slowest
}

// BalancedTime returns the time of a layer in which all ranks finish at the same
// time, in units of load.
func BalancedTime(load carawaybeam.LayerLoad, speeds []float64) float64 {
	return sum(load) / sum(speeds)
}

// UsableSpeeds returns a speed above 0 for each of the given number of ranks:
// the value in speeds, raised to a minimum if needed, or 1 if speeds has none.
func UsableSpeeds(speeds []float64, ranks int) []float64 {
	usable := make([]float64, ranks)
	for rank := range usable {
		usable[rank] = 1
		if rank < len(speeds) {
			usable[rank] = max(speeds[rank], minSpeed)
		}
	}
	return usable
}

// Replicas returns how many ranks hold each expert.
func Replicas(ranks [][]carawaybeam.Expert, experts int) []int {
	replicas := make([]int, experts)
	for _, held := range ranks {
		for _, e := range held {
			replicas[e]++
		}
	}
	return replicas
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
