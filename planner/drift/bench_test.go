package drift_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
	"github.com/carawaybeam/carawaybeam/planner/drift"
)

// size describes the size of a group.
type size struct {
	ranks, experts, layers, slots int
}

// BenchmarkPlan measures one plan at the largest group size that users expect
// within two years, and at smaller and larger sizes: under a slow drift of the
// loads, under a change between known mixes, and for the first plan of a group.
func BenchmarkPlan(b *testing.B) {
	sizes := []size{
		{ranks: 128, experts: 256, layers: 60, slots: 3},
		{ranks: 128, experts: 256, layers: 15, slots: 3},
		{ranks: 128, experts: 256, layers: 30, slots: 3},
		{ranks: 128, experts: 256, layers: 45, slots: 3},
		{ranks: 16, experts: 256, layers: 60, slots: 24},
		{ranks: 32, experts: 256, layers: 60, slots: 12},
		{ranks: 64, experts: 256, layers: 60, slots: 6},
		{ranks: 128, experts: 64, layers: 60, slots: 3},
		{ranks: 128, experts: 128, layers: 60, slots: 3},
		{ranks: 128, experts: 192, layers: 60, slots: 3},
		{ranks: 128, experts: 384, layers: 60, slots: 4},
	}
	for _, s := range sizes {
		name := fmt.Sprintf("ranks=%d/experts=%d/layers=%d", s.ranks, s.experts, s.layers)
		b.Run(name+"/drifting", func(b *testing.B) { benchmarkDrift(b, s, drawLoads(s, 16)) })
		b.Run(name+"/swinging", func(b *testing.B) { benchmarkDrift(b, s, drawMixes(s)) })
		b.Run(name+"/first", func(b *testing.B) { benchmarkFirst(b, s) })
	}
}

// benchmarkDrift measures plans for the given loads, which repeat.
func benchmarkDrift(b *testing.B, s size, loads [][]carawaybeam.LayerLoad) {
	p := drift.New(options(s))
	current := planner.UniformMap(s.ranks, s.slots, s.experts, s.layers)
	for _, load := range loads {
		current = p.Plan(time.Time{}, carawaybeam.PlanRequest{Current: current, Loads: load})
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		current = p.Plan(time.Time{}, carawaybeam.PlanRequest{Current: current, Loads: loads[n%len(loads)]})
	}
}

// benchmarkFirst measures the first plan of a group.
func benchmarkFirst(b *testing.B, s size) {
	loads := drawLoads(s, 1)
	uniform := planner.UniformMap(s.ranks, s.slots, s.experts, s.layers)
	b.ReportAllocs()
	for b.Loop() {
		p := drift.New(options(s))
		p.Plan(time.Time{}, carawaybeam.PlanRequest{Current: uniform, Loads: loads[0]})
	}
}

func options(s size) carawaybeam.PlannerOptions {
	return carawaybeam.PlannerOptions{
		Ranks:          s.ranks,
		Slots:          s.slots,
		SkewPreference: 0.8,
		Period:         time.Minute,
		InstallDelay:   500 * time.Millisecond,
	}
}

// drawMixes returns loads that cycle through as many mixes as the planner keeps
// in its history.
func drawMixes(s size) [][]carawaybeam.LayerLoad {
	random := rand.New(rand.NewPCG(1, 1))
	const rounds, mixes = 3, 4
	loads := make([][]carawaybeam.LayerLoad, 0, rounds*mixes)
	for range rounds {
		for mix := range uint64(mixes) {
			loads = append(loads, noisy(popularity(s, mix), random))
		}
	}
	return loads
}

// drawLoads returns loads that drift from one random distribution to another and
// back.
func drawLoads(s size, periods int) [][]carawaybeam.LayerLoad {
	random := rand.New(rand.NewPCG(1, 1))
	loads := make([][]carawaybeam.LayerLoad, periods)
	for i := range loads {
		loads[i] = make([]carawaybeam.LayerLoad, s.layers)
	}
	for layer := range s.layers {
		for range s.experts {
			from, to := random.ExpFloat64(), random.ExpFloat64()
			for i := range loads {
				part := float64(min(i, periods-i)) / float64(periods)
				noise := 1 + 0.02*random.NormFloat64()
				loads[i][layer] = append(loads[i][layer], (from+(to-from)*part)*noise)
			}
		}
	}
	return loads
}
