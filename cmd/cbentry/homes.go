package main

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/locator"
)

// homesInterval is the time between two checks of the homes of classes and organisations for what is to be
// logged.
const homesInterval = 5 * time.Second

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

// configuredHomes returns the homes of classes and organisations.
func (e *entry) configuredHomes() []locator.Homes {
	var homes []locator.Homes
	for _, class := range e.configurer.Classes() {
		homes = appendHomes(homes, "class "+string(class.ID), class.Homes, "")
	}
	for _, org := range e.configurer.Organisations() {
		homes = appendHomes(homes, "organisation "+string(org.ID), org.Homes, "")
	}
	return homes
}

// homes returns the state of home regions, or false if the configuration has none.
func (e *entry) homes() (locator.State, bool) {
	if len(e.configuredHomes()) == 0 {
		return locator.State{}, false
	}
	return e.locator.State(), true
}

// reviewHomes logs odd homes of the configuration.
func (e *entry) reviewHomes() {
	homes := e.configuredHomes()
	if len(homes) == 0 {
		return
	}
	var dataCentres []carawaybeam.DataCentre
	for _, m := range e.tracker.All() {
		dataCentres = append(dataCentres, m.VM.DataCentre)
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
