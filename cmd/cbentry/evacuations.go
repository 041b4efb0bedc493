package main

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/clock"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/evacuator"
	"github.com/carawaybeam/carawaybeam/follower"
	"github.com/carawaybeam/carawaybeam/starter"
)

const (
	// evacuationsWait is the time that one watch of the evacuations waits for a change. A connection
	// that has silently stopped working is noticed after this time and the timeout of a call, and
	// one or two further calls may meet other such connections: about 2.6 s to 4.7 s in all with a
	// timeout of 1 s, within the 5 s in which an evacuation must be in force.
	evacuationsWait = 1500 * time.Millisecond

	// reviewInterval is the time between two checks for what is to be logged of evacuations and cold
	// backend servers.
	reviewInterval = time.Second
)

// startEvacuator starts to follow the evacuations in the store, if the settings ask for it, and to log
// what changes of them and of cold backend servers.
func (e *directEntry) startEvacuator() {
	e.closers.Add(starter.Repeat(reviewInterval, e.review))
	if e.settings.Direct.Evacuations {
		e.followEvacuations()
	}
}

func (e *directEntry) followEvacuations() {
	e.closers.Add(follower.New(follower.Options{
		Store: e.store, Kind: e.dialect.EvacuationKind(), Sink: e.evacuator, Clock: clock.SinceBoot,
		Wait: evacuationsWait, Outage: e.outage, Log: e.log,
	}))
}

// withExclusions adds what excludes backend servers in evacuated data centres and cold ones.
func (e *directEntry) withExclusions(options forwarder.Options) forwarder.Options {
	if e.evacuator != nil {
		options.Evacuations = e.evacuator
	}
	options.Warmer = e.warmer
	options.HomeRefused = e.locator.CountRefused
	return options
}

// review logs what has changed of evacuations and cold backend servers, and odd homes.
func (e *directEntry) review() {
	if e.evacuator != nil && e.evacuator.Active() {
		e.evacuator.Review(e.discoverer.Known())
	}
	e.warmer.Review(e.warmer.Now(), e.discoverer.Uses)
	e.reviewHomes()
}

// groupEvacuated reports whether all ranks of a group are in evacuated data centres.
func (e *directEntry) groupEvacuated(group carawaybeam.GroupID) bool {
	if e.evacuator == nil || !e.evacuator.Active() {
		return false
	}
	dataCentres := make(map[carawaybeam.Address]carawaybeam.DataCentre)
	for _, instance := range e.discoverer.Known() {
		dataCentres[instance.Address] = instance.DataCentre
	}
	statuses := e.collector.Statuses(group)
	for i := range statuses {
		if !e.evacuator.Evacuated(dataCentres[statuses[i].Address]) {
			return false
		}
	}
	return len(statuses) > 0
}

// addExclusions adds evacuations, cold backend servers and homes to the state dump.
func (e *directEntry) addExclusions(state *directState) {
	if e.evacuator != nil {
		evacuations := e.evacuator.State()
		state.Evacuations = &evacuations
	}
	if e.limitsCold() {
		warmth := e.warmer.State()
		state.Warmth = &warmth
	}
	if e.hasHomes() {
		homes := e.locator.State()
		state.Homes = &homes
	}
}

// setExclusionGauges sets the gauges of evacuations, cold backend servers and homes.
func (e *directEntry) setExclusionGauges(scope tally.Scope) {
	if e.evacuator != nil {
		scope.Gauge("data_centres_evacuated").Update(float64(len(e.evacuator.State().DataCentres)))
	}
	if e.hasHomes() {
		setHomeGauges(scope, e.locator.State())
	}
	if !e.limitsCold() {
		return
	}
	warmth := e.warmer.State()
	scope.Gauge("backends_cold").Update(float64(len(warmth.Cold)))
	stale := 0.0
	if warmth.Stale {
		stale = 1
	}
	scope.Gauge("backends_cold_unknown").Update(stale)
	scope.Gauge("requests_to_cold_backends").Update(float64(warmth.Sent))
	scope.Gauge("requests_diverted_from_cold_backends").Update(float64(warmth.Diverted))
	scope.Gauge("requests_refused_by_cold_backends").Update(float64(warmth.Refused))
}

// newEvacuator returns an Evacuator if the settings ask for it.
func newEvacuator(e *directEntry) *evacuator.Evacuator {
	if !e.settings.Direct.Evacuations {
		return nil
	}
	return evacuator.New(evacuator.Options{Log: e.log})
}
