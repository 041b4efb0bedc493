package occupancy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/occupancy"
)

var random = rand.New(rand.NewPCG(1, 1))

func route(
	r *occupancy.Router,
	now time.Time,
	tried []carawaybeam.BackendID,
	c ...carawaybeam.Candidate,
) carawaybeam.BackendID {
	decision, ok := r.Route(now, carawaybeam.RouteRequest{DataCentre: "here", Tried: tried}, c, random)
	if !ok {
		return ""
	}
	return decision.Backend
}

func candidate(id carawaybeam.BackendID, running, slots int) carawaybeam.Candidate {
	return carawaybeam.Candidate{
		Backend:    id,
		DataCentre: "here",
		Slots:      slots,
		Load:       carawaybeam.Load{Running: running},
	}
}

func TestSmallestOccupancyIsChosen(t *testing.T) {
	is := is.New(t)
	r := occupancy.New()
	now := time.Unix(0, 0)
	is.Equal(route(r, now, nil), carawaybeam.BackendID(""))
	is.Equal(route(r, now, nil, candidate("a", 3, 12), candidate("b", 2, 6)), carawaybeam.BackendID("a"))
	far := candidate("far", 3, 12)
	far.DataCentre = "there"
	is.Equal(route(r, now, nil, candidate("near", 3, 12), far), carawaybeam.BackendID("near"))
	is.Equal(route(r, now, nil, candidate("near", 4, 12), far), carawaybeam.BackendID("far"))
	is.Equal(route(r, now, []carawaybeam.BackendID{"a"}, candidate("a", 0, 12), candidate("b", 9, 12)),
		carawaybeam.BackendID("b"))
}

// TestOwnRequestsSinceTheReport fails if a burst of own requests that the last
// load report does not include is not counted.
func TestOwnRequestsSinceTheReport(t *testing.T) {
	is := is.New(t)
	burst := candidate("a", 2, 12)
	burst.OwnRunning, burst.OwnReported = 5, 1
	is.Equal(route(occupancy.New(), time.Unix(0, 0), nil, burst, candidate("b", 5, 12)), carawaybeam.BackendID("b"))
}

// TestFailingBackendBacksOff fails if a backend server that fails although its
// reported load is low keeps getting requests, or gets none after its backoff.
func TestFailingBackendBacksOff(t *testing.T) {
	is := is.New(t)
	r := occupancy.New()
	now := time.Unix(0, 0)
	a, b := candidate("a", 0, 12), candidate("b", 9, 12)
	failed := carawaybeam.RouteOutcome{Failed: true}
	r.Observe(now, carawaybeam.RouteDecision{Backend: "a"}, failed)
	is.Equal(route(r, now, nil, a, b), carawaybeam.BackendID("b"))
	is.Equal(route(r, now, nil, a), carawaybeam.BackendID("a")) // no other candidate
	is.Equal(route(r, now.Add(250*time.Millisecond), nil, a, b), carawaybeam.BackendID("a"))
	for range 10 {
		r.Observe(now, carawaybeam.RouteDecision{Backend: "a"}, failed)
	}
	is.Equal(route(r, now.Add(3900*time.Millisecond), nil, a, b), carawaybeam.BackendID("b"))
	is.Equal(route(r, now.Add(4100*time.Millisecond), nil, a, b), carawaybeam.BackendID("a"))
	r.Observe(now, carawaybeam.RouteDecision{Backend: "a"}, carawaybeam.RouteOutcome{})
	is.Equal(route(r, now, nil, a, b), carawaybeam.BackendID("a"))
}
