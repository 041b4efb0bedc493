package main

import (
	"time"

	"github.com/carawaybeam/carawaybeam/replayer/queuer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	// fullLoad is roughly the rate, in requests per second, that the backend
	// servers can answer within the targets.
	fullLoad = 40

	refusalReason  = "issue 5: the rest is refused early, median under 5 ms"
	returnReason   = "issue 5: Retry-After works when obeyed; letter 1: 95 in 100"
	idleReason     = "issue 5: idle capacity is never withheld"
	floodingReason = "issue 5: a flooding organisation costs the others under 5% of their in-target share"
)

// overloadBounds returns the bounds for traces of twice the capacity.
func overloadBounds() map[string]tracer.Bound {
	return map[string]tracer.Bound{
		"admittedInTargetShare": atLeast95Percent(targetReason),
		"refusalMedian":         atMost(5, refusalReason),
		"returnAdmittedShare":   atLeast95Percent(returnReason),
		"returnInTargetShare":   atLeast95Percent(returnReason),
		"idleRefusedShare":      atMost(0, idleReason),
	}
}

func limiterScenarios() []scenario {
	floodBounds := map[string]tracer.Bound{
		"admittedInTargetShare": atLeast95Percent(targetReason),
		"othersLossShare":       atMost(0.05, floodingReason),
		"refusalMedian":         atMost(5, refusalReason),
		"idleRefusedShare":      atMost(0, idleReason),
	}
	floodingEvents := []queuer.Event{{Flooding: &queuer.FloodingEvent{Organisation: "org-1"}}}
	scenarios := append([]scenario{
		{
			name: "overload1Entry", about: "Kitami: twice what the runners take, then calm, one entry", entries: 1,
			rate: step(0.4*fullLoad, 2*fullLoad, 10*time.Second, 25*time.Second), length: 100 * time.Second,
			bounds: overloadBounds(),
		},
		{
			name: "overload3Entries", about: "Kitami: twice what the runners take, then calm, three entries",
			rate: step(0.4*fullLoad, 2*fullLoad, 10*time.Second, 25*time.Second), length: 100 * time.Second,
			bounds: overloadBounds(),
		},
		{
			name: "floodingOrganisation", about: "Kitami: one organisation floods, twice what the runners take in all",
			rate: constant(0.5 * fullLoad), flood: step(0, 1.5*fullLoad, 10*time.Second, 40*time.Second),
			length: 50 * time.Second, bounds: floodBounds, extra: floodingEvents,
		},
		{
			name: "idleCapacity", about: "Kitami: one organisation takes what the others leave",
			rate: constant(0.1 * fullLoad), flood: step(0, 0.5*fullLoad, 10*time.Second, 50*time.Second),
			bounds: map[string]tracer.Bound{
				"admittedInTargetShare": atLeast95Percent(targetReason),
				"refusedShare":          atMost(0, idleReason),
			},
		},
	}, skewScenarios()...)
	for i := range scenarios {
		scenarios[i].kind, scenarios[i].site, scenarios[i].mix = "limiter", kitami, constant(0.3)
		if scenarios[i].entries == 0 {
			scenarios[i].entries = 3
		}
		if scenarios[i].length == 0 {
			scenarios[i].length = time.Minute
		}
	}
	return scenarios
}

// skewScenarios lists traces in which the clocks of the entries differ.
func skewScenarios() []scenario {
	skews := []time.Duration{200 * time.Millisecond, time.Second}
	scenarios := make([]scenario, 0, len(skews))
	for _, skew := range skews {
		scenarios = append(scenarios, scenario{
			name: "skewedClocks" + skew.String(),
			about: "Kitami: twice what the runners take, the clock of each entry is " + skew.String() +
				" ahead of the one before",
			skew: skew,
			rate: step(0.4*fullLoad, 2*fullLoad, 10*time.Second, 25*time.Second), length: 100 * time.Second,
			bounds: overloadBounds(),
		})
	}
	return scenarios
}
