package main

import (
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/locator"
)

// hasHomes reports whether the configuration has home regions.
func (e *directEntry) hasHomes() bool {
	current := e.adopter.Current()
	return current != nil && current.HasHomes()
}

// reviewHomes logs odd homes of the configuration.
func (e *directEntry) reviewHomes() {
	if !e.hasHomes() {
		return
	}
	var (
		routing     = e.adopter.Current().Routing()
		homes       []locator.Homes
		dataCentres []carawaybeam.DataCentre
	)
	for i := range routing.Routes {
		route := &routing.Routes[i]
		homes = appendHomes(homes, "route "+string(route.ID), route.Homes, route.HomesFault)
	}
	for i := range routing.KeyHolders {
		holder := &routing.KeyHolders[i]
		homes = appendHomes(homes, "organisation "+string(holder.ID), holder.Homes, holder.HomesFault)
	}
	for _, instance := range e.discoverer.Known() {
		dataCentres = append(dataCentres, instance.DataCentre)
	}
	e.locator.Review(homes, dataCentres)
}

// appendHomes appends the homes of an owner if it has any.
func appendHomes(
	homes []locator.Homes,
	owner string,
	regions []carawaybeam.Region,
	fault string,
) []locator.Homes {
	if len(regions) == 0 && fault == "" {
		return homes
	}
	return append(homes, locator.Homes{Owner: owner, Regions: regions, Fault: fault})
}

// setHomeGauges sets the gauges of home regions.
func setHomeGauges(scope tally.Scope, state locator.State) {
	scope.Gauge("requests_refused_by_homes").Update(float64(state.Refused))
	scope.Gauge("data_centres_without_region").Update(float64(len(state.Unlocated)))
}
