package main

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/server"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

type (
	// meteredDispatcher counts requests by class, outcome and reason, and measures
	// their duration.
	meteredDispatcher struct {
		server.Dispatcher
		scope tally.Scope
	}

	// gauges updates the gauges of an entry.
	gauges struct {
		entry *entry
		scope tally.Scope
	}
)

// answered is the reason in the metrics of a request whose whole answer was delivered.
const answered = "answered"

// Do serves one request and records its metrics.
func (m meteredDispatcher) Do(
	ctx context.Context,
	request dispatcher.Request,
	w dispatcher.AnswerWriter,
) *carawaybeam.RequestError {
	begun := time.Now()
	failure := m.Dispatcher.Do(ctx, request, w)
	tags := map[string]string{
		"class": string(request.Class.ID), "outcome": string(carawaybeam.OutcomeRan), "reason": answered,
	}
	if failure != nil {
		tags["outcome"] = string(failure.Outcome)
		tags["reason"] = string(failure.Reason)
	}
	m.scope.Tagged(tags).Counter("requests").Inc(1)
	m.scope.Tagged(map[string]string{"class": string(request.Class.ID)}).
		Timer("request_duration").Record(time.Since(begun))
	return failure
}

func (g *gauges) set() {
	config := g.entry.configurer
	g.scope.Gauge("config_version").Update(float64(config.Version()))
	g.scope.Gauge("config_invalid_objects").Update(float64(len(config.Invalid())))
	if fresh := config.FreshAt(); !fresh.IsZero() {
		g.scope.Gauge("config_age_seconds").Update(time.Since(fresh).Seconds())
	}
	if homes, ok := g.entry.homes(); ok {
		setHomeGauges(g.scope, homes)
	}
	linked, leaving := 0, 0
	for _, m := range g.entry.tracker.All() {
		if m.Linked {
			linked++
		}
		if m.Leaving {
			leaving++
		}
	}
	g.scope.Gauge("agents_linked").Update(float64(linked))
	g.scope.Gauge("agents_leaving").Update(float64(leaving))
	if evacuations := g.entry.evacuationState(); evacuations != nil {
		g.scope.Gauge("data_centres_evacuated").Update(float64(len(evacuations.DataCentres)))
	}
	setClientGauges(g.scope, g.entry.clients(), g.entry.bodies.State())
	g.scope.Gauge("entries_linked").Update(float64(len(g.entry.replicator.Peers())))
}
