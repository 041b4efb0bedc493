package main

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/acceptor"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/starter"
)

// latencyBuckets cover the latency targets of the classes of work, 150 ms to 8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 16)

type (
	// meteredForwarder counts requests by outcome and reason, and measures the
	// time to the first part of the answer and to its end.
	meteredForwarder struct {
		acceptor.Forwarder
		scope     tally.Scope
		firstPart tally.Histogram
		duration  tally.Histogram
	}

	// timedAnswer measures the time to the first part of an answer.
	timedAnswer struct {
		forwarder.AnswerWriter
		firstPart tally.Histogram
		arrived   time.Time
		begun     bool
	}
)

func newMeteredForwarder(scope tally.Scope, next acceptor.Forwarder) *meteredForwarder {
	return &meteredForwarder{
		Forwarder: next,
		scope:     scope,
		firstPart: scope.Histogram("first_part_seconds", latencyBuckets),
		duration:  scope.Histogram("request_seconds", latencyBuckets),
	}
}

// Serve serves one request and records its metrics.
func (m *meteredForwarder) Serve(
	ctx context.Context,
	arrived time.Time,
	request *carawaybeam.ClientRequest,
	w forwarder.AnswerWriter,
) *carawaybeam.RequestError {
	failure := m.Forwarder.Serve(
		ctx,
		arrived,
		request,
		&timedAnswer{AnswerWriter: w, firstPart: m.firstPart, arrived: arrived},
	)
	tags := map[string]string{"outcome": string(carawaybeam.OutcomeRan), "reason": answered}
	if failure != nil {
		tags["outcome"], tags["reason"] = string(failure.Outcome), string(failure.Reason)
	}
	m.scope.Tagged(tags).Counter("requests").Inc(1)
	m.duration.RecordDuration(time.Since(arrived))
	return failure
}

// Write writes a part of the answer.
func (t *timedAnswer) Write(data []byte) (int, error) {
	if !t.begun {
		t.begun = true
		t.firstPart.RecordDuration(time.Since(t.arrived))
	}
	return t.AnswerWriter.Write(data)
}

// setGauges sets the gauges of the entry.
func (e *directEntry) setGauges(scope tally.Scope) {
	if current := e.adopter.Current(); current != nil {
		scope.Gauge("config_version").Update(float64(current.Version()))
	}
	if age, known := e.configFollower.Age(); known {
		scope.Gauge("config_age_seconds").Update(age.Seconds())
	}
	era, eraChanges := e.configFollower.Era()
	scope.Gauge("store_era").Update(float64(era))
	scope.Gauge("store_era_changes").Update(float64(eraChanges))
	quarantine := e.quarantiner.State()
	scope.Gauge("suspect_requests").Update(float64(quarantine.Suspects))
	scope.Gauge("quarantined_requests").Update(float64(quarantine.Quarantined))
	scope.Gauge("backend_crashes").Update(float64(e.detector.State().Crashes))
	restrictions := e.throttler.State()
	scope.Gauge("backends_restricted").Update(float64(len(restrictions.Backends)))
	scope.Gauge("requests_diverted").Update(float64(restrictions.Diverted))
	scope.Gauge("requests_refused_by_restrictions").Update(float64(restrictions.Refused))
	scope.Gauge("signals_invalid").Update(float64(restrictions.Invalid))
	scope.Gauge("signals_unknown").Update(float64(restrictions.Unknown))
	connections := e.pooler.State()
	scope.Gauge("connections_idle").Update(float64(connections.Idle))
	scope.Gauge("connections_opened").Update(float64(connections.Opened))
	scope.Gauge("connections_reused").Update(float64(connections.Reused))
	scope.Gauge("oversized_answers").Update(float64(connections.Oversized))
	scope.Gauge("broken_answers").Update(float64(connections.Broken))
	scope.Gauge("body_bytes").Update(float64(e.bodies.State().Held))
	scope.Gauge("answer_bytes").Update(float64(e.answers.State().Held))
	scope.Gauge("requests_refused_by_memory").Update(float64(e.bodies.State().Refused))
	setClientGauges(scope, e.clients(), e.bodies.State())
	scope.Gauge("entries_enrolled").Update(float64(e.entries.Len()))
	scope.Gauge("log_lines_dropped").Update(float64(starter.DroppedLines()))
	e.setAdmissionGauges(scope)
	e.setRouterGauges(scope)
	e.setStreamGauges(scope)
	e.setOverloadGauges(scope)
	e.setExclusionGauges(scope)
	e.setHedgingGauges(scope)
	for _, group := range e.collector.Groups() {
		reporting := e.collector.ReportingRanks(group, maxReportAge)
		scope.Tagged(map[string]string{"group": string(group)}).Gauge("ranks_reporting").Update(float64(reporting))
	}
}
