package main

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/clock"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/evacuator"
	"github.com/carawaybeam/carawaybeam/follower"
	"github.com/carawaybeam/carawaybeam/loader"
	"github.com/carawaybeam/carawaybeam/proposer"
	"github.com/carawaybeam/carawaybeam/starter"
	"github.com/carawaybeam/carawaybeam/tracker"
)

const (
	// evacuationsTimeout bounds the calls with which evacuations are read. With evacuationsWait, it
	// keeps the time until a silent connection is replaced within the 5 s in which an evacuation must
	// be in force.
	evacuationsTimeout = loader.Duration(time.Second)

	// evacuationsInterval is the minimum time between two such calls. A store that has never been
	// written is listed again and again, as no version of it can be watched.
	evacuationsInterval = 100 * time.Millisecond

	// linkReviewInterval is the time between two checks for evacuations of which agents are to be told.
	linkReviewInterval = 250 * time.Millisecond

	// linkReviews is the number of such checks for one check of what is to be logged.
	linkReviews = int(reviewInterval / linkReviewInterval)
)

// followEvacuations starts to follow the evacuations in the store, if the settings ask for it. It must
// be called before the parts that obey them are created.
func (e *entry) followEvacuations() error {
	if !e.settings.Evacuations {
		return nil
	}
	service := e.settings.Store
	service.Timeout = min(service.Timeout, evacuationsTimeout)
	store, err := service.OpenStore(e.log)
	if err != nil {
		return err
	}
	e.evacuator = evacuator.New(evacuator.Options{Log: e.log})
	e.closers.Add(follower.New(follower.Options{
		Store: store, Kind: carawaybeam.KindEvacuation, Sink: e.evacuator, Complete: e.evacuator.Complete,
		Clock: clock.SinceBoot, Wait: evacuationsWait, MinInterval: evacuationsInterval, Log: e.log,
	}))
	return nil
}

// reviewEvacuations starts to tell agents of evacuations and to log what changes, if they are followed.
func (e *entry) reviewEvacuations() {
	if e.evacuator == nil {
		return
	}
	reviews := 0
	e.closers.Add(starter.Repeat(linkReviewInterval, func() {
		e.tracker.ReviewEvacuations()
		if reviews++; reviews%linkReviews == 0 && e.evacuator.Active() {
			e.evacuator.Review(e.instances())
		}
	}))
}

// instances returns the known backend servers with their pools and data centres.
func (e *entry) instances() []carawaybeam.Instance {
	members := e.tracker.All()
	instances := make([]carawaybeam.Instance, 0, len(members))
	for _, m := range members {
		instances = append(instances, carawaybeam.Instance{
			BackendIncarnation: carawaybeam.BackendIncarnation{ID: m.Backend},
			Pool:               m.VM.Pool, Address: m.VM.Address, DataCentre: m.VM.DataCentre,
		})
	}
	return instances
}

// withEvacuations adds the evacuations, if they are followed, to the options of the dispatcher.
func (e *entry) withEvacuations(options dispatcher.Options) dispatcher.Options {
	if e.evacuator != nil {
		options.Evacuations = e.evacuator
	}
	return options
}

// trackEvacuations adds the evacuations, if they are followed, to the options of the tracker.
func (e *entry) trackEvacuations(options tracker.Options) tracker.Options {
	if e.evacuator != nil {
		options.Evacuations = e.evacuator
	}
	return options
}

// holdEvacuatedGroups makes the proposer begin no change of groups in evacuated data centres, if
// evacuations are followed.
func (e *entry) holdEvacuatedGroups(options proposer.Options) proposer.Options {
	if e.evacuator != nil {
		options.Evacuated = e.allEvacuated
	}
	return options
}

// allEvacuated reports whether all agents are in evacuated data centres.
func (e *entry) allEvacuated(agents []carawaybeam.Address) bool {
	if !e.evacuator.Active() {
		return false
	}
	dataCentres := make(map[carawaybeam.Address]carawaybeam.DataCentre)
	for _, instance := range e.instances() {
		dataCentres[instance.Address] = instance.DataCentre
	}
	for _, agent := range agents {
		if !e.evacuator.Evacuated(dataCentres[agent]) {
			return false
		}
	}
	return len(agents) > 0
}

// evacuatedDataCentres returns the evacuated data centres.
func (e *entry) evacuatedDataCentres() []carawaybeam.DataCentre {
	if e.evacuator == nil {
		return nil
	}
	return e.evacuator.State().DataCentres
}

// evacuationState returns the evacuations for the state dump, or nil if they are not followed.
func (e *entry) evacuationState() *evacuator.State {
	if e.evacuator == nil {
		return nil
	}
	state := e.evacuator.State()
	return &state
}
