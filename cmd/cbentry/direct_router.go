package main

import (
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/balanced"
)

// setRouterGauges sets the gauges of the router "balanced", and logs which groups are slow. It does
// nothing with other routers.
func (e *directEntry) setRouterGauges(scope tally.Scope) {
	router, ok := e.router.(*balanced.Router)
	if !ok {
		return
	}
	state := router.Dump()
	scope.Gauge("route_decisions").Update(float64(state.Decisions))
	scope.Gauge("route_decisions_remote").Update(float64(state.Remote))
	scope.Gauge("route_decisions_late").Update(float64(state.Late))
	scope.Gauge("route_decisions_without_memory").Update(float64(state.NoMemory))
	scope.Gauge("route_decisions_oversized").Update(float64(state.Oversized))
	for group, factor := range state.Slowdowns {
		scope.Tagged(map[string]string{"group": string(group)}).Gauge("group_slowdown").Update(factor)
	}
	if e.slowGroups == nil {
		e.slowGroups = make(map[carawaybeam.GroupID]struct{})
	}
	added, removed := state.SlowGroups(e.slowGroups)
	for _, group := range added {
		e.log.Warn().Str("group", string(group)).Float64("slowdown", state.Slowdowns[group]).
			Msg("balanced: group is slow")
	}
	for _, group := range removed {
		e.log.Info().Str("group", string(group)).Float64("slowdown", state.Slowdowns[group]).
			Msg("balanced: group is no longer slow")
	}
}
