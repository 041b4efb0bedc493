package main_test

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/booker"
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

// TestLinkedHomeRegions sets the homes of a class at running processes of the linked path. It guards against
// parts that are not connected.
func TestLinkedHomeRegions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	callers, admin, links, service := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	objects := platform(t, links)
	store := httptest.NewServer(objects.Handler())
	t.Cleanup(store.Close)
	desk := booker.New(0)
	listener, err := net.Listen("tcp", service)
	is.NoErr(err)
	server := &http.Server{Handler: desk.Handler()}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	start(t, "cbagent", agentSettings(links, freeAddress(t), "http://"+service))
	operators := "\n[operators]\ntokenHash = \"" + configurer.HashToken("secret") + "\"\n"
	start(t, "cbentry", entrySettings(callers, admin, store.URL)+operators+"\n[regions]\nkitami = \"north\"\n")
	await(t, "the booking runs", func() bool { return book(t, callers).status == http.StatusOK })

	setHomes := func(homes ...carawaybeam.Region) {
		object, err := objects.Get(t.Context(), carawaybeam.KindClass, "bookings")
		is.NoErr(err)
		value, err := json.Marshal(configurer.ClassDocument{
			Kind: carawaybeam.WorkService, Pool: "desk", Homes: homes,
			Targets: configurer.TargetsDocument{Completed: "5s", Completion: "99.9%"},
		})
		is.NoErr(err)
		_, err = objects.Put(
			t.Context(),
			carawaybeam.Object{Kind: carawaybeam.KindClass, Name: "bookings", Value: value},
			object.Version,
		)
		is.NoErr(err)
	}
	setHomes("south")
	await(t, "the booking is refused", func() bool { return book(t, callers).status == http.StatusServiceUnavailable })
	before := desk.Counts().Bookings["B-1"]
	for range 10 {
		refused := book(t, callers)
		is.Equal(refused.status, http.StatusServiceUnavailable)
		is.Equal(refused.outcome, carawaybeam.OutcomeNotRun)
		is.True(refused.retryAfter != "")
	}
	is.Equal(desk.Counts().Bookings["B-1"], before)
	is.True(strings.Contains(body(t, "http://"+admin+"/state"), `"homes"`))
	setHomes("south", "north")
	await(t, "the booking runs again", func() bool { return book(t, callers).status == http.StatusOK })
}
