package main

import (
	"fmt"
	"time"

	"github.com/carawaybeam/carawaybeam/replayer/queuer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	targetReason  = "letter 1: first token within 1.3 s and 67 ms between tokens for 95 in 100"
	settledReason = "the same from 5 s after each disturbance: left within seconds"

	// normalLoad and calmLoad are rates in requests per second.
	normalLoad = 34
	calmLoad   = 22
)

func inTargetBounds() map[string]tracer.Bound {
	return map[string]tracer.Bound{
		"inTargetShare": atLeast95Percent(targetReason),
		"firstTokenP95": atMost(1.3, targetReason),
	}
}

func settledBounds() map[string]tracer.Bound {
	return map[string]tracer.Bound{"inTargetShareSettled": atLeast95Percent(settledReason)}
}

// at sets the time of an event in seconds since the start of the trace.
func at(seconds int, e queuer.Event) queuer.Event {
	e.At = tracer.Duration(time.Duration(seconds) * time.Second)
	return e
}

func routerScenarios() []scenario {
	scenarios := append(faultScenarios(), []scenario{
		{
			name: "kitamiWinter", about: "Kitami: drift towards snow reports, then a storm", site: kitami,
			rate: step(normalLoad, 1.2*normalLoad, 50*time.Second, 65*time.Second),
			mix:  drift(0.1, 0.9, 50*time.Second), length: 80 * time.Second, bounds: inTargetBounds(),
		},
		{
			name: "floodingOrganisation", about: "Kitami: one large organisation floods", site: kitami,
			rate: constant(0.7 * normalLoad), flood: step(0, 0.5*normalLoad, 15*time.Second, 45*time.Second),
			mix: constant(0.3), bounds: inTargetBounds(),
		},
		{
			name: "lostReports", about: "Kitami: half of the load reports are lost", site: kitami,
			rate: constant(normalLoad), mix: constant(0.3), bounds: inTargetBounds(),
			extra: []queuer.Event{{Reports: &queuer.ReportsEvent{LossShare: 0.5}}},
		},
		{
			name: "lateReports", about: "Kitami: load reports come 10 s late", site: kitami,
			rate: constant(normalLoad), mix: constant(0.3), bounds: inTargetBounds(),
			extra: []queuer.Event{{Reports: &queuer.ReportsEvent{Delay: tracer.Duration(10 * time.Second)}}},
		},
		{
			name: "noReports", about: "Kitami: no load report arrives", site: kitami,
			rate: constant(normalLoad), mix: constant(0.3), bounds: inTargetBounds(),
			extra: []queuer.Event{{Reports: &queuer.ReportsEvent{LossShare: 1}}},
		},
	}...)
	scenarios = append(scenarios, swingScenarios()...)
	for i := range scenarios {
		scenarios[i].kind = "router"
		if scenarios[i].entries == 0 {
			scenarios[i].entries = 3
		}
		if scenarios[i].length == 0 {
			scenarios[i].length = time.Minute
		}
	}
	return scenarios
}

// faultScenarios lists traces in which backend servers, caches or the store fail.
func faultScenarios() []scenario {
	return []scenario{
		{
			name: "dataCentreGone", about: "Repujados: itagui goes and comes back", site: repujados,
			rate: constant(calmLoad), mix: constant(0.5), bounds: settledBounds(), length: 80 * time.Second,
			extra: []queuer.Event{
				at(20, queuer.Event{Outage: &queuer.OutageEvent{DataCentre: "itagui"}}),
				at(55, queuer.Event{Outage: &queuer.OutageEvent{DataCentre: "itagui", Recovered: true}}),
			},
		},
		{
			name: "coldCaches", about: "Repujados: all prefix caches are emptied", site: repujados,
			rate: constant(0.9 * normalLoad), mix: constant(0.5), bounds: settledBounds(),
			extra: []queuer.Event{at(30, queuer.Event{CachesCleared: &queuer.CachesClearedEvent{}})},
		},
		{
			name: "storeOutage", about: "Kitami: the store is away while two runners are replaced", site: kitami,
			rate: constant(calmLoad), mix: constant(0.3), bounds: settledBounds(),
			extra: []queuer.Event{
				at(10, queuer.Event{Store: &queuer.StoreEvent{}}),
				at(15, queuer.Event{Outage: &queuer.OutageEvent{Backend: "runner-2"}}),
				at(15, queuer.Event{Outage: &queuer.OutageEvent{Backend: "runner-9"}}),
				at(20, queuer.Event{Backend: runner(runners+1, kitami)}),
				at(20, queuer.Event{Backend: runner(runners+2, kitami)}),
				at(45, queuer.Event{Store: &queuer.StoreEvent{Recovered: true}}),
			},
		},
		{
			name: "slowBackend", about: "Kitami: two runners become 8 times slower and recover", site: kitami,
			rate: constant(calmLoad), mix: constant(0.3), bounds: settledBounds(), length: 90 * time.Second,
			extra: []queuer.Event{
				at(20, queuer.Event{Slowdown: &queuer.SlowdownEvent{Backend: "runner-3", Factor: 8}}),
				at(20, queuer.Event{Slowdown: &queuer.SlowdownEvent{Backend: "runner-7", Factor: 8}}),
				at(55, queuer.Event{Slowdown: &queuer.SlowdownEvent{Backend: "runner-3", Factor: 1}}),
				at(55, queuer.Event{Slowdown: &queuer.SlowdownEvent{Backend: "runner-7", Factor: 1}}),
			},
		},
	}
}

// swingScenarios lists traces in which the mix of classes and the rate alternate
// between two levels, for different numbers of independent entries.
func swingScenarios() []scenario {
	scenarios := make([]scenario, 0, 5)
	for _, entries := range []int{2, 8, 64} {
		scenarios = append(scenarios, scenario{
			name:    fmt.Sprintf("swings%dEntries", entries),
			about:   fmt.Sprintf("Repujados: swings between quotes and drawing reads, %d entries", entries),
			entries: entries,
		})
	}
	for _, lost := range []float64{0, 0.5} {
		scenarios = append(scenarios, scenario{
			name:        fmt.Sprintf("swings64CacheEvents%.0fLost", 100*lost),
			about:       fmt.Sprintf("Repujados: swings, 64 entries, cache events, %.0f in 100 lost", 100*lost),
			entries:     64,
			cacheEvents: true,
			extra:       []queuer.Event{{Reports: &queuer.ReportsEvent{LossShare: lost}}},
		})
	}
	for i := range scenarios {
		scenarios[i].site = repujados
		scenarios[i].rate = swings(0.75*normalLoad, 1.05*normalLoad)
		scenarios[i].mix = swings(0.1, 0.9)
		scenarios[i].bounds = inTargetBounds()
	}
	return scenarios
}
