package main

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/hedger"
	"github.com/carawaybeam/carawaybeam/loader"
)

// hedgingSettings returns what operators allow of second attempts.
func hedgingSettings(settings loader.Hedging) hedger.Settings {
	return hedger.Settings{
		Ratio: settings.Ratio, MinDelay: time.Duration(settings.MinDelay), ExceptRoutes: settings.ExceptRoutes,
	}
}

// withHedger adds what decides on second attempts.
func (e *directEntry) withHedger(options forwarder.Options) forwarder.Options {
	options.Hedger = e.hedger
	return options
}

// addHedging adds second attempts to the state dump, unless there were none and there are none.
func (e *directEntry) addHedging(state *directState) {
	if hedging := e.hedger.State(time.Now()); hedging.Ratio > 0 || len(hedging.Routes) > 0 {
		state.Hedging = &hedging
	}
}

// setHedgingGauges sets the gauges of second attempts, by route. The Hedger bounds their number.
func (e *directEntry) setHedgingGauges(scope tally.Scope) {
	for route, counts := range e.hedger.Counts() {
		tagged := scope.Tagged(map[string]string{"route": string(route)})
		tagged.Gauge("second_attempts_sent").Update(float64(counts.Sent))
		tagged.Gauge("second_attempts_won").Update(float64(counts.Won))
		tagged.Gauge("second_attempts_cancelled").Update(float64(counts.Cancelled))
		for reason, n := range counts.Suppressed {
			scope.Tagged(map[string]string{"route": string(route), "reason": string(reason)}).
				Gauge("second_attempts_suppressed").Update(float64(n))
		}
	}
}
