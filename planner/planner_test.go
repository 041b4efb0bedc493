package planner_test

import (
	"errors"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
	"github.com/carawaybeam/carawaybeam/tracer"
)

type layer = [][]carawaybeam.Expert

func TestSkew(t *testing.T) {
	tests := map[string]struct {
		held   layer
		load   carawaybeam.LayerLoad
		speeds []float64
		want   float64
	}{
		"balanced":       {held: layer{{0}, {1}}, load: carawaybeam.LayerLoad{5, 5}, want: 0},
		"one straggler":  {held: layer{{0}, {1}}, load: carawaybeam.LayerLoad{15, 5}, want: 0.5},
		"replica splits": {held: layer{{0, 1}, {0}}, load: carawaybeam.LayerLoad{8, 2}, want: 0.2},
		"slow rank": {
			held:   layer{{0}, {1}},
			load:   carawaybeam.LayerLoad{6, 3},
			speeds: []float64{1, 0.5},
			want:   0,
		},
		"slow rank loaded": {
			held:   layer{{0}, {1}},
			load:   carawaybeam.LayerLoad{3, 6},
			speeds: []float64{1, 0.5},
			want:   1,
		},
		"no load": {held: layer{{0}, {1}}, load: carawaybeam.LayerLoad{0, 0}, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := carawaybeam.ExpertMap{Layers: []layer{test.held}}
			got := planner.Skew(m, []carawaybeam.LayerLoad{test.load}, test.speeds)
			if math.Abs(got-test.want) > 1e-9 {
				t.Errorf("skew is %g, want %g", got, test.want)
			}
		})
	}
}

// TestSkewAddsLayers checks that stragglers in different layers add up, since
// ranks wait for each other in every layer.
func TestSkewAddsLayers(t *testing.T) {
	is := is.New(t)
	m := carawaybeam.ExpertMap{Layers: []layer{{{0}, {1}}, {{0}, {1}}}}
	is.Equal(planner.Skew(m, []carawaybeam.LayerLoad{{15, 5}, {5, 15}}, nil), 0.5)
}

func TestSkewBound(t *testing.T) {
	is := is.New(t)
	// Expert 0 has a third of the load. Two spare slots split it into three.
	loads := []carawaybeam.LayerLoad{{12, 8, 8, 8}}
	is.True(math.Abs(planner.SkewLowerBound(6, 1, loads, nil)-(8.0/6-1)) < 1e-12)
	is.Equal(planner.SkewLowerBound(2, 2, loads, nil), 0.0)
}

func TestMoves(t *testing.T) {
	is := is.New(t)
	from := carawaybeam.ExpertMap{Layers: []layer{{{0, 1}, {2}}, {{0}, {1, 2}}}}
	to := carawaybeam.ExpertMap{Layers: []layer{{{1, 2}, {0, 2}}, {{0}, {2, 1}}}}
	is.Equal(planner.Moves(from, to), []int{1, 1})
	is.Equal(planner.Moves(from, from), []int{0, 0})
}

func TestValidate(t *testing.T) {
	tests := map[string]struct {
		held  layer
		valid bool
	}{
		"valid":          {held: layer{{0, 1}, {2, 0}}, valid: true},
		"free slot":      {held: layer{{0, 1}, {2}}, valid: true},
		"expert absent":  {held: layer{{0, 1}, {0}}},
		"held twice":     {held: layer{{0, 0}, {1, 2}}},
		"too many":       {held: layer{{0, 1, 2}, {0}}},
		"unknown expert": {held: layer{{0, 1}, {2, 3}}},
		"rank absent":    {held: layer{{0, 1}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := planner.Validate(carawaybeam.ExpertMap{Layers: []layer{test.held}}, 2, 2, 3)
			is.Equal(err == nil, test.valid)
		})
	}
}

// TestRelabelKeepsPlacedSets checks that a plan that only permutes the ranks
// causes no moves.
func TestRelabelKeepsPlacedSets(t *testing.T) {
	is := is.New(t)
	current := layer{{0, 1}, {2, 3}, {4, 5}}
	plan := layer{{4, 5}, {0, 1}, {2, 3}}
	is.Equal(planner.Relabel(current, plan, []float64{1, 1, 1}), current)
}

// TestRelabelKeepsSlowRank checks that a rank does not receive a set of experts
// that was planned for a much faster rank.
func TestRelabelKeepsSlowRank(t *testing.T) {
	is := is.New(t)
	plan := layer{{2}, {0, 1}}
	is.Equal(planner.Relabel(layer{{0, 1}, {2}}, plan, []float64{0.5, 1}), plan)
}

// TestPackIsValid checks on random layers that a placement is valid and that its
// skew is not below the lower bound, before and after relabelling.
func TestPackIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(1, 12).Draw(t, "ranks")
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		experts := rapid.IntRange(slots, ranks*slots).Draw(t, "experts")
		load := rapid.SliceOfN(rapid.Float64Range(0, 1000), experts, experts).Draw(t, "load")
		speeds := rapid.SliceOfN(rapid.Float64Range(0, 2), ranks, ranks).Draw(t, "speeds")
		current := planner.UniformMap(ranks, slots, experts, 1)
		if err := planner.Validate(current, ranks, slots, experts); err != nil {
			t.Fatal(err)
		}
		packed := planner.Pack(load, ranks, slots, speeds)
		relabelled := planner.Relabel(current.Layers[0], packed, planner.UsableSpeeds(speeds, ranks))
		loads := []carawaybeam.LayerLoad{load}
		for _, held := range []layer{packed, relabelled} {
			m := carawaybeam.ExpertMap{Layers: []layer{held}}
			if err := planner.Validate(m, ranks, slots, experts); err != nil {
				t.Fatal(err)
			}
			bound := planner.SkewLowerBound(ranks, slots, loads, speeds)
			if skew := planner.Skew(m, loads, speeds); skew < bound-1e-9 {
				t.Fatalf("skew %g is below the bound %g", skew, bound)
			}
		}
	})
}

func TestPackReplicatesHotExpert(t *testing.T) {
	is := is.New(t)
	load := carawaybeam.LayerLoad{70, 10, 10, 10, 10, 10, 10, 10}
	replicas := planner.Replicas(planner.Pack(load, 4, 3, nil), len(load))
	is.True(replicas[0] >= 3)
}

func TestCheckEvents(t *testing.T) {
	setup := planner.Setup{
		Ranks: 2, Experts: 2, Layers: 1, Slots: 1, WeightRate: 1,
		Period: tracer.Duration(time.Minute), SkewPreference: 0.5,
	}
	tests := map[string]struct {
		change func(events []planner.Event)
		valid  bool
	}{
		"valid":             {change: func([]planner.Event) {}, valid: true},
		"setup repeated":    {change: func(e []planner.Event) { e[1].Setup = &setup }, valid: true},
		"setup missing":     {change: func(e []planner.Event) { e[0].Setup = nil }},
		"setup changes":     {change: func(e []planner.Event) { e[1].Setup = &planner.Setup{Ranks: 3} }},
		"no room":           {change: func(e []planner.Event) { e[0].Setup.Experts = 3 }},
		"preference":        {change: func(e []planner.Event) { e[0].Setup.SkewPreference = 1.5 }},
		"preference is NaN": {change: func(e []planner.Event) { e[0].Setup.SkewPreference = math.NaN() }},
		"layer missing":     {change: func(e []planner.Event) { e[1].Loads = nil }},
		"expert missing":    {change: func(e []planner.Event) { e[1].Loads[0] = carawaybeam.LayerLoad{1} }},
		"negative load":     {change: func(e []planner.Event) { e[1].Loads[0][0] = -1 }},
		"no load":           {change: func(e []planner.Event) { e[1].Loads[0] = carawaybeam.LayerLoad{0, 0} }},
		"infinite load":     {change: func(e []planner.Event) { e[1].Loads[0][0] = math.Inf(1) }},
		"speeds missing":    {change: func(e []planner.Event) { e[1].Speeds = []float64{1} }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			own := setup
			events := []planner.Event{
				{Setup: &own, Loads: []carawaybeam.LayerLoad{{1, 2}}},
				{Loads: []carawaybeam.LayerLoad{{1, 2}}, Speeds: []float64{1, 0.5}},
			}
			test.change(events)
			_, err := planner.CheckEvents(events)
			_, typed := errors.AsType[*planner.EventError](err)
			is.Equal(err == nil, test.valid)
			is.Equal(typed, !test.valid)
		})
	}
	if _, err := planner.CheckEvents(slices.Grow([]planner.Event{}, 1)); err == nil {
		t.Error("a trace without events is accepted")
	}
}
