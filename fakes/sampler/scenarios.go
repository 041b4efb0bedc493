package sampler

import (
	"github.com/carawaybeam/carawaybeam/planner"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	// kitamiPreference and repujadosPreference are the skew preferences of the
	// two users.
	kitamiPreference    = 0.8
	repujadosPreference = 0.3

	winterEvents = 480
	stormFirst   = 300
	stormLast    = 359
	stormRamp    = 5

	quarterEvents  = 360
	quarterCalm    = 60
	shortestSwing  = 8
	swingLengths   = 5
	swingIncrement = 3

	stallEvents     = 240
	longStallFirst  = 60
	longStallLast   = 119
	longStallRank   = 5
	longStallSpeed  = 0.4
	shortStallFirst = 180
	shortStallLast  = 182
	shortStallRank  = 11
	shortStallSpeed = 0.2

	wideEvents = 120
)

// scenarios returns the scenarios by the name of their generator.
func scenarios() map[string]scenario {
	return map[string]scenario{
		"winterDrift": {
			description: "Kitami: winter drift towards snow reports, with a storm day, a winter in 8 hours",
			setup:       smallGroup(kitamiPreference),
			events:      winterEvents,
			mix:         winterMix,
		},
		"quarterSwings": {
			description: "Repujados: a quarter's end, sharp swings between drawing reads and quotes",
			setup:       smallGroup(repujadosPreference),
			events:      quarterEvents,
			mix:         quarterMix,
		},
		"stalledRank": {
			description: "Steady work, one rank slow for an hour and another one almost stalled for 3 minutes",
			setup:       smallGroup(kitamiPreference),
			events:      stallEvents,
			mix:         func(int) []float64 { return []float64{0.5, 0.5} },
			speeds:      stalledSpeeds,
		},
		"wideDrift": {
			description: "Drift between two classes on 128 ranks with 256 experts in each of 6 layers",
			setup:       wideGroup(kitamiPreference),
			events:      wideEvents,
			mix:         func(event int) []float64 { return mixBetween(0.1, 0.8, ratio(event, wideEvents)) },
		},
	}
}

func smallGroup(preference float64) planner.Setup {
	return planner.Setup{
		Ranks:          16,
		Experts:        64,
		Layers:         4,
		Slots:          6,
		ExpertBytes:    expertBytes,
		WeightRate:     weightRate,
		Period:         tracer.Duration(period),
		InstallDelay:   tracer.Duration(installDelay),
		SkewPreference: preference,
	}
}

func wideGroup(preference float64) planner.Setup {
	setup := smallGroup(preference)
	setup.Ranks = 128
	setup.Experts = 256
	setup.Layers = 6
	setup.Slots = 3
	return setup
}

// winterMix shifts from summaries to snow reports over the whole trace. During
// a storm the share of snow reports rises to 95%.
func winterMix(event int) []float64 {
	mix := mixBetween(0.1, 0.7, ratio(event, winterEvents))
	storm := min(ratio(event-stormFirst, stormRamp), ratio(stormLast-event, stormRamp))
	if storm > 0 {
		return mixBetween(mix[1], 0.95, min(storm, 1))
	}
	return mix
}

// quarterMix alternates between two mixes after a calm beginning. The lengths
// of the alternations vary in a fixed order.
func quarterMix(event int) []float64 {
	event -= quarterCalm
	drawings := true
	for swing := 0; event >= 0; swing++ {
		event -= shortestSwing + swingIncrement*(swing*2%swingLengths)
		drawings = !drawings
	}
	if drawings {
		return []float64{0.85, 0.15}
	}
	return []float64{0.15, 0.85}
}

func stalledSpeeds(event int) []float64 {
	speeds := make([]float64, 16)
	for rank := range speeds {
		speeds[rank] = 1
	}
	if event >= longStallFirst && event <= longStallLast {
		speeds[longStallRank] = longStallSpeed
	}
	if event >= shortStallFirst && event <= shortStallLast {
		speeds[shortStallRank] = shortStallSpeed
	}
	return speeds
}

// mixBetween returns the shares of two classes. That of the second goes from
// one value to another as progress goes from 0 to 1.
func mixBetween(from, to, progress float64) []float64 {
	second := from + (to-from)*progress
	return []float64{1 - second, second}
}

func ratio(a, b int) float64 { return float64(a) / float64(b) }
