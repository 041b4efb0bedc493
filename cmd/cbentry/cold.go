package main

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/clock"
	"github.com/carawaybeam/carawaybeam/warmer"
)

// coldInstanceWait bounds the time that one watch of the backend servers waits for a change while
// some of them may be cold. Their announcements then are at most about twice as old, which is below
// the 4 s from which all count as cold.
const coldInstanceWait = 1500 * time.Millisecond

// newWarmer creates what bounds the requests to cold backend servers.
func (e *directEntry) newWarmer() {
	e.evacuator = newEvacuator(e)
	options := warmer.Options{
		Name: e.settings.Process, Entries: e.entries, Pool: e.poolConfig, Age: e.announcementsAge,
		Clock: clock.SinceBoot, Log: e.log,
	}
	if e.evacuator != nil {
		options.EndedAt = e.evacuator.EndedAt
	}
	e.warmer = warmer.New(options)
}

// poolConfig returns the configuration of a pool, or nil.
func (e *directEntry) poolConfig(pool carawaybeam.PoolID) *carawaybeam.Pool {
	if current := e.adopter.Current(); current != nil {
		return current.Pool(pool)
	}
	return nil
}

// announcementsAge returns how long ago the announcements of backend servers were known to be the
// newest, or false if they have not been read.
func (e *directEntry) announcementsAge() (time.Duration, bool) {
	following := e.instanceFollower.Load()
	if following == nil {
		return 0, false
	}
	return following.Age()
}

// decodeAnnouncement decodes the announcement of a backend server, adds its region and passes on how long
// it stays cold.
func (e *directEntry) decodeAnnouncement(object carawaybeam.Object) (carawaybeam.Instance, error) {
	instance, report, err := e.dialect.DecodeAnnouncement(object)
	instance.Region = e.locator.Region(instance.DataCentre)
	if err == nil {
		e.warmer.Announce(e.warmer.Now(), instance, report)
	}
	return instance, err
}

// limitsCold reports whether the configuration bounds the requests to cold backend servers of a pool.
func (e *directEntry) limitsCold() bool {
	current := e.adopter.Current()
	return current != nil && current.HasColdPools()
}

// maxInstanceWait returns the longest time that one watch of the backend servers may wait, or 0.
func (e *directEntry) maxInstanceWait() time.Duration {
	if e.limitsCold() {
		return coldInstanceWait
	}
	return 0
}
