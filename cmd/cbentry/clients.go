package main

import (
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/acceptor"
	"github.com/carawaybeam/carawaybeam/keeper"
	"github.com/carawaybeam/carawaybeam/readier"
	"github.com/carawaybeam/carawaybeam/reserver"
	"github.com/carawaybeam/carawaybeam/shedder"
	"github.com/carawaybeam/carawaybeam/starter"
)

const (
	// linkedBodyShare is the share of the memory of an entry in an installation with agents that bodies may
	// take. A body is copied once into a frame for an agent.
	linkedBodyShare = 0.2

	// linkedAnswerShare is the share that answers may take which are held until they are complete.
	linkedAnswerShare = 0.15
)

// connectionBound returns the bound on the connections of clients.
func (e *directEntry) connectionBound() shedder.Bound {
	return shedder.NewBound(memoryShare(e.settings.Direct.MemoryMB, 1), e.settings.Direct.MaxDescriptors)
}

// listenReadiness starts to answer readiness checks.
func (e *directEntry) listenReadiness() error {
	readiness, err := starter.Listen("the balancer", e.settings.Direct.Readiness)
	if err != nil {
		return err
	}
	e.closers.Add(readier.New(readiness, e.ready, e.log))
	return nil
}

// clients returns the state of the connections of clients.
func (e *directEntry) clients() keeper.State {
	if a := e.accepting.Load(); a != nil {
		return a.Connections()
	}
	return keeper.State{}
}

// Check checks a request whose body has not been read. It counts those that are refused.
func (m *meteredForwarder) Check(
	request *carawaybeam.ClientRequest,
) (carawaybeam.OrganisationID, *carawaybeam.RequestError) {
	checker, ok := m.Forwarder.(acceptor.Checker)
	if !ok {
		return "", nil
	}
	organisation, failure := checker.Check(request)
	if failure != nil {
		m.scope.Tagged(map[string]string{
			"outcome": string(failure.Outcome), "reason": string(failure.Reason),
		}).Counter("requests").Inc(1)
	}
	return organisation, failure
}

// setClientGauges sets the gauges of the connections and uploads of clients.
func setClientGauges(scope tally.Scope, clients keeper.State, bodies reserver.State) {
	scope.Gauge("client_connections").Update(float64(clients.Connections))
	scope.Gauge("client_connections_bound").Update(float64(clients.Bound))
	scope.Gauge("client_connections_shed").Update(float64(clients.Shed))
	scope.Gauge("client_connections_refused").Update(float64(clients.Refused))
	scope.Gauge("client_headers_refused").Update(float64(clients.Headers))
	scope.Gauge("small_body_bytes").Update(float64(bodies.Small))
	scope.Gauge("bodies_given_up").Update(float64(bodies.GivenUp))
}

// limitMemory limits the memory of an entry in an installation with agents, and returns the bound on its connections.
func (e *entry) limitMemory() shedder.Bound {
	limits := e.settings.Limits
	if limits.MemoryMB > 0 {
		starter.LimitMemory(limits.MemoryMB)
	}
	return shedder.NewBound(memoryShare(limits.MemoryMB, 1), limits.MaxDescriptors)
}

// clients returns the state of the connections of clients.
func (e *entry) clients() keeper.State {
	if s := e.serving.Load(); s != nil {
		return s.Connections()
	}
	return keeper.State{}
}
