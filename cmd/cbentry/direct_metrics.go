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

// latencyBuckets span the targets of the users' classes, 150 ms to 8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.6, 16)

type (
	// meteredForwarder counts requests by their end and measures them.
	meteredForwarder struct {
		acceptor.Forwarder
		scope    tally.Scope
		first    tally.Histogram
		duration tally.Histogram
	}

	// timedAnswer notes when an answer begins.
	timedAnswer struct {
		forwarder.AnswerWriter
		first   tally.Histogram
		arrived time.Time
		begun   bool
	}
)

func newMeteredForwarder(scope tally.Scope, next acceptor.Forwarder) *meteredForwarder {
	return &meteredForwarder{
		Forwarder: next,
		scope:     scope,
		first:     scope.Histogram("first_part_seconds", latencyBuckets),
		duration:  scope.Histogram("request_seconds", latencyBuckets),
	}
}

// Serve serves one request.
func (m *meteredForwarder) Serve(
	ctx context.Context,
	arrived time.Time,
	request *carawaybeam.ClientRequest,
	w forwarder.AnswerWriter,
) *carawaybeam.RequestError {
	failure := m.Forwarder.Serve(ctx, arrived, request, &timedAnswer{AnswerWriter: w, first: m.first, arrived: arrived})
	tags := map[string]string{"outcome": string(carawaybeam.OutcomeRan), "reason": answered}
	if failure != nil {
		tags["outcome"], tags["reason"] = string(failure.Outcome), string(failure.Reason)
	}
	m.scope.Tagged(tags).Counter("requests").Inc(1)
	m.duration.RecordDuration(time.Since(arrived))
	return failure
}

// Write adds to the answer.
func (t *timedAnswer) Write(data []byte) (int, error) {
	if !t.begun {
		t.begun = true
		t.first.RecordDuration(time.Since(t.arrived))
	}
	return t.AnswerWriter.Write(data)
}

// setGauges sets the gauges of the entry.
func (e *directEntry) setGauges(scope tally.Scope) {
	if current := e.adopter.Current(); current != nil {
		scope.Gauge("config_version").Update(float64(current.Version()))
	}
	if age, known := e.config.Age(); known {
		scope.Gauge("config_age_seconds").Update(age.Seconds())
	}
	connections := e.pooler.State()
	scope.Gauge("connections_idle").Update(float64(connections.Idle))
	scope.Gauge("connections_opened").Update(float64(connections.Opened))
	scope.Gauge("connections_reused").Update(float64(connections.Reused))
	scope.Gauge("entries_enrolled").Update(float64(e.roll.Len()))
	scope.Gauge("log_lines_dropped").Update(float64(starter.DroppedLines()))
	for _, group := range e.collector.Groups() {
		reporting := e.collector.ReportingRanks(group, maxReportAge)
		scope.Tagged(map[string]string{"group": string(group)}).Gauge("ranks_reporting").Update(float64(reporting))
	}
}
