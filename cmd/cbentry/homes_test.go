package main_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

// setHomes writes a version of the configuration with homes of the route and the organisation, each of
// which may be nil.
func (e *excludingEntry) setHomes(version int, route, organisation any) {
	e.t.Helper()
	configuration := e.configuration(version)
	configuration.ColdRate = 0 // Requests are rejected because of homes only.
	configuration.Routes[0].Homes = route
	if organisation != nil {
		configuration.OrganisationHomes = map[string]any{"crews": organisation}
	}
	if _, err := e.platform.Configure(e.t.Context(), configuration); err != nil {
		e.t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond) // Until it is in force.
}

// request sends one request, and returns the status of its answer.
func (e *excludingEntry) request(id string) int {
	e.t.Helper()
	connection, err := emulator.Dial(e.t.Context(), e.callers)
	if err != nil {
		e.t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	reply, _, err := connection.Do(id, "/look/x", "key", 2*time.Second)
	if err != nil {
		e.t.Fatal(err)
	}
	return reply.Status
}

// TestHomeRegions sets homes at a running process with a backend server in each of two regions. It guards
// against parts that are not connected.
func TestHomeRegions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	e := newExcludingEntry(t)
	await(t, "the entry is ready", e.ready)
	await(t, "both regions are used", func() bool {
		_, arrivals := e.send(200 * time.Millisecond)
		return len(at(arrivals, "near")) > 0 && len(at(arrivals, "far")) > 0
	})
	is.True(!strings.Contains(body(t, "http://"+e.admin+"/state"), `"homes"`))

	e.setHomes(2, []string{"south"}, nil)
	statuses, arrivals := e.send(500 * time.Millisecond)
	is.True(statuses[http.StatusOK] > 0)
	is.Equal(len(statuses), 1)
	is.Equal(len(at(arrivals, "near")), 0)

	e.setHomes(3, nil, []string{"north", "nowhere"})
	statuses, arrivals = e.send(500 * time.Millisecond)
	is.True(statuses[http.StatusOK] > 0)
	is.Equal(len(at(arrivals, "far")), 0)

	for i, organisation := range []any{[]string{"north"}, "south", []any{"", 3}} {
		e.setHomes(4+i, []string{"south"}, organisation)
		statuses, arrivals = e.send(300 * time.Millisecond)
		is.True(statuses[http.StatusServiceUnavailable] > 0)
		is.Equal(len(statuses), 1)
		is.Equal(len(arrivals), 0)
	}
	is.Equal(e.request("explained"), http.StatusServiceUnavailable)
	explanation := body(t, "http://"+e.admin+"/v1/requests/explained/explanation")
	is.True(strings.Contains(explanation, "no backend server of the pool is in a home region"))
	is.True(strings.Contains(body(t, "http://"+e.admin+"/metrics"), "requests_refused_by_homes"))

	e.setHomes(9, nil, nil)
	await(t, "both regions are used again", func() bool {
		_, arrivals := e.send(200 * time.Millisecond)
		return len(at(arrivals, "near")) > 0 && len(at(arrivals, "far")) > 0
	})
}
