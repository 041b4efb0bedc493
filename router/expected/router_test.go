package expected_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/expected"
)

func candidates(n int) []carawaybeam.Candidate {
	list := make([]carawaybeam.Candidate, n)
	for i := range list {
		list[i].Backend = carawaybeam.BackendID(fmt.Sprintf("b%d", i))
	}
	return list
}

// spread routes 1000 requests and counts them by backend server.
func spread(
	r *expected.Router,
	now time.Time,
	request carawaybeam.RouteRequest,
	list []carawaybeam.Candidate,
) map[carawaybeam.BackendID]int {
	random := rand.New(rand.NewPCG(1, 0))
	counts := make(map[carawaybeam.BackendID]int)
	for range 1000 {
		decision, ok := r.Route(now, request, list, random)
		if ok {
			counts[decision.Backend]++
		}
	}
	return counts
}

func TestNoCandidateIsNoDecision(t *testing.T) {
	is := is.New(t)
	r := expected.New()
	random := rand.New(rand.NewPCG(1, 0))
	_, ok := r.Route(time.Now(), carawaybeam.RouteRequest{}, nil, random)
	is.Equal(ok, false)
	tried := carawaybeam.RouteRequest{Tried: []carawaybeam.BackendID{"b0"}}
	_, ok = r.Route(time.Now(), tried, candidates(1), random)
	is.Equal(ok, false)
}

func TestLoadedBackendIsAvoided(t *testing.T) {
	is := is.New(t)
	list := candidates(4)
	list[0].Load = carawaybeam.Load{Running: 16, Waiting: 20, WaitingTokens: 40000}
	counts := spread(expected.New(), time.Now(), carawaybeam.RouteRequest{Prompt: 500}, list)
	is.True(counts["b0"] < 100) // only samples without another candidate
}

func TestPromptsWithSamePrefixShareBackends(t *testing.T) {
	is := is.New(t)
	request := carawaybeam.RouteRequest{Prompt: 500, Affinity: 77, Target: time.Second}
	list := candidates(12)
	one := spread(expected.New(), time.Now(), request, list)
	two := spread(expected.New(), time.Now(), request, list)
	is.True(len(one) <= 2) // two preferred candidates per prefix
	for backend := range two {
		is.True(one[backend] > 0) // processes choose alike without communication
	}
}

func TestHomesStayWithinRegion(t *testing.T) {
	is := is.New(t)
	list := candidates(6)
	for i := range list[:4] {
		list[i].Distance = 40 * time.Millisecond
	}
	request := carawaybeam.RouteRequest{Prompt: 500, Affinity: 77, Target: time.Second}
	counts := spread(expected.New(), time.Now(), request, list)
	is.True(counts["b4"]+counts["b5"] > 950)
}

func TestStalledBackendIsOnlyProbed(t *testing.T) {
	is := is.New(t)
	r := expected.New()
	list := candidates(3)
	list[0].OwnRunning, list[0].OwnWaiting, list[0].OwnOldest = 1, 1, 5*time.Second
	start := time.Now()
	is.Equal(spread(r, start, carawaybeam.RouteRequest{}, list)["b0"], 0)
	later := spread(r, start.Add(time.Minute), carawaybeam.RouteRequest{}, list)
	is.Equal(later["b0"], 1) // only one probe, not all requests at once
}

func TestRecoveredBackendIsUsedAgain(t *testing.T) {
	is := is.New(t)
	r := expected.New()
	list := candidates(3)
	now := time.Now()
	failed := carawaybeam.RouteDecision{Backend: "b0", Work: carawaybeam.PendingWork{Tokens: 1000}}
	r.Observe(now, failed, carawaybeam.RouteOutcome{Failed: true})
	is.Equal(spread(r, now, carawaybeam.RouteRequest{}, list)["b0"], 0)
	for range 20 {
		r.Observe(now, failed, carawaybeam.RouteOutcome{FirstToken: 120 * time.Millisecond})
	}
	is.True(spread(r, now, carawaybeam.RouteRequest{}, list)["b0"] > 100)
}

func TestAllSlowBackendsAreStillUsed(t *testing.T) {
	is := is.New(t)
	list := candidates(3)
	for i := range list {
		list[i].OwnOldest = time.Minute
	}
	counts := spread(expected.New(), time.Now(), carawaybeam.RouteRequest{}, list)
	is.Equal(counts["b0"]+counts["b1"]+counts["b2"], 1000)
}

func TestStaleReportCountsLess(t *testing.T) {
	is := is.New(t)
	list := candidates(2)
	list[0].Load = carawaybeam.Load{Running: 16, Waiting: 20, WaitingTokens: 40000}
	list[0].ReportAge, list[1].ReportAge = time.Minute, time.Minute
	counts := spread(expected.New(), time.Now(), carawaybeam.RouteRequest{}, list)
	is.True(counts["b0"] > 200)
}

func TestGoneBackendsAreForgotten(t *testing.T) {
	is := is.New(t)
	r := expected.New()
	now := time.Now()
	for i := range 1000 {
		gone := carawaybeam.RouteDecision{Backend: carawaybeam.BackendID(fmt.Sprintf("gone%d", i))}
		r.Observe(now, gone, carawaybeam.RouteOutcome{Failed: true})
	}
	is.Equal(len(r.State().(expected.State).Slow), 1000)
	spread(r, now, carawaybeam.RouteRequest{}, candidates(3))
	is.Equal(len(r.State().(expected.State).Slow), 0)
}

// A backend server that gets no requests because it fails must not count as
// idle capacity. The limiter would admit everything while one backend server is
// broken.
func TestSlowBackendIsNotIdle(t *testing.T) {
	is := is.New(t)
	r := expected.New()
	now := time.Now()
	list := candidates(3)
	for i := range list[1:] {
		list[i+1].Load = carawaybeam.Load{Running: 16, Waiting: 4, WaitingTokens: 8000}
	}
	random := rand.New(rand.NewPCG(1, 0))
	decision, _ := r.Route(now, carawaybeam.RouteRequest{}, list, random)
	is.True(decision.Idle)
	r.Observe(now, carawaybeam.RouteDecision{Backend: "b0"}, carawaybeam.RouteOutcome{Failed: true})
	decision, _ = r.Route(now, carawaybeam.RouteRequest{}, list, random)
	is.True(!decision.Idle)
}
