package reactive_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
	"github.com/carawaybeam/carawaybeam/planner/reactive"
)

// BenchmarkPlan measures one plan for a group of 24 ranks with 16 layers of 96
// experts, with the uniform map ("shift") and with a map that earlier plans have
// adapted to the loads ("settled").
func BenchmarkPlan(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	o := options(24)
	o.Slots, o.MaxNewExperts, o.MaxNewExpertsPerLayer, o.InstallDelay = 5, 1, 2, 76*time.Millisecond
	const layers = 16
	loads := make([]carawaybeam.LayerLoad, 0, layers)
	for range layers {
		loads = append(loads, skewed(random, 96))
	}
	p := reactive.New(o)
	uniform := planner.UniformMap(24, 4, 96, 16)
	settled := uniform
	for range 20 {
		settled = p.Plan(time.Time{}, carawaybeam.PlanRequest{Current: settled, Loads: loads})
	}
	for name, current := range map[string]carawaybeam.ExpertMap{"shift": uniform, "settled": settled} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				p.Plan(time.Time{}, carawaybeam.PlanRequest{Current: current, Loads: loads})
			}
		})
	}
}
