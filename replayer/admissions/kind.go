// Package admissions replays traces of the kind "limiter": recorded requests,
// more than the backend servers can take, are put through a limiter in front of
// the router "expected". Refused requests come back when they are told to.
package admissions

import (
	"io"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/replayer"
	"github.com/carawaybeam/carawaybeam/replayer/queuer"
	"github.com/carawaybeam/carawaybeam/replayer/routes"
	"github.com/carawaybeam/carawaybeam/tracer"

	// The router that limiters are judged with.
	_ "github.com/carawaybeam/carawaybeam/router/expected"
)

const (
	// KindName is the kind of traces for limiters.
	KindName tracer.Kind = "limiter"

	// router is the policy behind the limiter.
	router = "expected"

	// maxReturns is how often a refused request comes back.
	maxReturns = 3
)

// Kind replays traces for limiters.
type Kind struct{}

var _ replayer.Kind = Kind{}

func init() { replayer.Kinds.Register(string(KindName), Kind{}) }

// Replay puts the requests of a trace through a limiter.
//
// Figures: admittedInTargetShare of admitted tries; refusedShare of first
// tries; servedInTargetShare of requests, whichever try served them;
// returnAdmittedShare of requests that came back once as told, and
// returnInTargetShare of those that were admitted then; idleRefusedShare of
// tries refused while a backend server had nothing to do; refusalMedian and
// refusalP99, the processor time of a refusal in milliseconds; and
// othersLossShare, the part of their in-target share that a flooding
// organisation takes from the others, against the same trace without it.
func (Kind) Replay(header tracer.Header, body io.Reader, policy string) (map[string]float64, error) {
	events, err := queuer.Read(header, body)
	if err != nil {
		return nil, err
	}
	return ReplayEvents(header, events, policy)
}

// ReplayEvents puts events through a limiter and returns the figures of Replay.
func ReplayEvents(header tracer.Header, events []queuer.Event, policy string) (map[string]float64, error) {
	tries, err := play(header, events, policy)
	if err != nil {
		return nil, err
	}
	result := figures(tries)
	flooding := floodingOrganisation(events)
	if flooding == "" {
		return result, nil
	}
	calm, err := play(header, without(events, flooding), policy)
	if err != nil {
		return nil, err
	}
	result["othersInTargetShare"] = othersInTarget(tries, flooding)
	result["othersLossShare"] = 1 - share(othersInTarget(tries, flooding), othersInTarget(calm, flooding))
	return result, nil
}

func play(header tracer.Header, events []queuer.Event, policy string) ([]*routes.Attempt, error) {
	fleet, err := routes.New(routes.Options{
		Header: header, Events: events, Router: router, Limiter: policy, MaxRetries: maxReturns,
	})
	if err != nil {
		return nil, err
	}
	return fleet.Run(), nil
}

func floodingOrganisation(events []queuer.Event) carawaybeam.OrganisationID {
	for _, e := range events {
		if e.Flooding != nil {
			return e.Flooding.Organisation
		}
	}
	return ""
}

func without(events []queuer.Event, organisation carawaybeam.OrganisationID) []queuer.Event {
	return slices.DeleteFunc(slices.Clone(events), func(e queuer.Event) bool {
		return e.Request != nil && e.Request.Organisation == organisation
	})
}

// othersInTarget returns the share of first tries in target of all but one
// organisation.
func othersInTarget(tries []*routes.Attempt, flooding carawaybeam.OrganisationID) float64 {
	var all, inTarget float64
	for _, t := range tries {
		if t.Organisation == flooding || t.Retries > 0 {
			continue
		}
		all++
		inTarget += count(t.InTarget())
	}
	return share(inTarget, all)
}

// tally counts tries.
type tally struct {
	requests, refusedFirst, admitted, admittedInTarget float64
	returned, returnedAdmitted, returnedInTarget       float64
	idleRefused                                        float64
	refusals                                           []time.Duration
}

func (c *tally) add(t *routes.Attempt) {
	c.requests += count(t.Retries == 0)
	c.refusedFirst += count(t.Retries == 0 && t.Refused)
	c.returned += count(t.Retries == 1)
	c.returnedAdmitted += count(t.Retries == 1 && !t.Refused)
	c.returnedInTarget += count(t.Retries == 1 && t.InTarget())
	c.admitted += count(!t.Refused)
	c.admittedInTarget += count(t.InTarget())
	c.idleRefused += count(t.Refused && t.IdleCapacity)
	if t.Refused {
		c.refusals = append(c.refusals, t.DecisionTime)
	}
}

func figures(tries []*routes.Attempt) map[string]float64 {
	var c tally
	for _, t := range tries {
		c.add(t)
	}
	slices.Sort(c.refusals)
	return map[string]float64{
		"requests":              c.requests,
		"admittedInTargetShare": share(c.admittedInTarget, c.admitted),
		"refusedShare":          share(c.refusedFirst, c.requests),
		"servedInTargetShare":   share(c.admittedInTarget, c.requests),
		"returnAdmittedShare":   share(c.returnedAdmitted, c.returned),
		"returnInTargetShare":   share(c.returnedInTarget, c.returnedAdmitted),
		"idleRefusedShare":      share(c.idleRefused, float64(len(tries))),
		"refusalMedian":         milliseconds(routes.Percentile(c.refusals, 0.5)),
		"refusalP99":            milliseconds(routes.Percentile(c.refusals, 0.99)),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func count(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
