// Package admissions replays traces of the kind "limiter": it passes recorded
// requests, in most traces more than the backend servers have capacity for, to
// a limiter and the router "expected". Refused requests are retried after the
// delay in the refusal.
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

	// Registers the router that limiters are replayed with.
	_ "github.com/carawaybeam/carawaybeam/router/expected"
)

const (
	// KindName is the kind that headers of traces for limiters name.
	KindName tracer.Kind = "limiter"

	// router is the router that limiters are replayed with.
	router = "expected"

	// maxRetries is how often a refused request is retried.
	maxRetries = 3
)

// Kind replays traces of the kind "limiter".
type Kind struct{}

var _ replayer.Kind = Kind{}

func init() { replayer.Kinds.Register(string(KindName), Kind{}) }

// Replay passes the requests of a trace to the limiter named policy and returns
// these figures:
//   - requests is the number of requests.
//   - admittedInTargetShare is the share of admitted attempts answered within
//     their targets.
//   - refusedShare is the share of requests whose first attempt was refused.
//   - servedInTargetShare is the share of requests answered within their targets
//     by any attempt.
//   - returnAdmittedShare is the share of first retries that were admitted, and
//     returnInTargetShare the share of these answered within their targets.
//   - idleRefusedShare is the share of attempts refused while a backend server
//     had no jobs.
//   - refusalMedian and refusalP99 are percentiles of the time that refusals
//     took to decide, in milliseconds.
//   - othersInTargetShare is the share of first attempts answered within their
//     targets, for all organisations but the flooding one. othersLossShare is
//     the part of that share lost to the flooding organisation, compared with
//     the same trace without it. Both exist only for traces that name a
//     flooding organisation.
//
// It returns an error for an invalid trace or an unknown limiter.
func (Kind) Replay(header tracer.Header, body io.Reader, policy string) (map[string]float64, error) {
	events, err := queuer.Read(header, body)
	if err != nil {
		return nil, err
	}
	return ReplayEvents(header, events, policy)
}

// ReplayEvents passes events to the limiter named policy and returns the figures
// that Kind.Replay lists. It returns an error for an unknown limiter.
func ReplayEvents(header tracer.Header, events []queuer.Event, policy string) (map[string]float64, error) {
	attempts, err := runFleet(header, events, policy)
	if err != nil {
		return nil, err
	}
	result := figures(attempts)
	flooding := floodingOrganisation(events)
	if flooding == "" {
		return result, nil
	}
	unflooded, err := runFleet(header, without(events, flooding), policy)
	if err != nil {
		return nil, err
	}
	result["othersInTargetShare"] = othersInTarget(attempts, flooding)
	result["othersLossShare"] = 1 - share(othersInTarget(attempts, flooding), othersInTarget(unflooded, flooding))
	return result, nil
}

func runFleet(header tracer.Header, events []queuer.Event, policy string) ([]*routes.Attempt, error) {
	fleet, err := routes.New(routes.Options{
		Header: header, Events: events, Router: router, Limiter: policy, MaxRetries: maxRetries,
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

// without returns the events except the requests of an organisation.
func without(events []queuer.Event, organisation carawaybeam.OrganisationID) []queuer.Event {
	return slices.DeleteFunc(slices.Clone(events), func(e queuer.Event) bool {
		return e.Request != nil && e.Request.Organisation == organisation
	})
}

// othersInTarget returns the share of first attempts answered within their
// targets, for all organisations but the flooding one.
func othersInTarget(attempts []*routes.Attempt, flooding carawaybeam.OrganisationID) float64 {
	var all, inTarget float64
	for _, a := range attempts {
		if a.Organisation == flooding || a.Retries > 0 {
			continue
		}
		all++
		inTarget += count(a.InTarget())
	}
	return share(inTarget, all)
}

// attemptCounts counts attempts by their results. The fields with "retried" count
// first retries only.
type attemptCounts struct {
	requests, refusedFirst, admitted, admittedInTarget float64
	retried, retriedAdmitted, retriedInTarget          float64
	idleRefused                                        float64
	refusalTimes                                       []time.Duration
}

func (c *attemptCounts) add(a *routes.Attempt) {
	c.requests += count(a.Retries == 0)
	c.refusedFirst += count(a.Retries == 0 && a.Refused)
	c.retried += count(a.Retries == 1)
	c.retriedAdmitted += count(a.Retries == 1 && !a.Refused)
	c.retriedInTarget += count(a.Retries == 1 && a.InTarget())
	c.admitted += count(!a.Refused)
	c.admittedInTarget += count(a.InTarget())
	c.idleRefused += count(a.Refused && a.IdleCapacity)
	if a.Refused {
		c.refusalTimes = append(c.refusalTimes, a.DecisionTime)
	}
}

func figures(attempts []*routes.Attempt) map[string]float64 {
	var c attemptCounts
	for _, a := range attempts {
		c.add(a)
	}
	slices.Sort(c.refusalTimes)
	return map[string]float64{
		"requests":              c.requests,
		"admittedInTargetShare": share(c.admittedInTarget, c.admitted),
		"refusedShare":          share(c.refusedFirst, c.requests),
		"servedInTargetShare":   share(c.admittedInTarget, c.requests),
		"returnAdmittedShare":   share(c.retriedAdmitted, c.retried),
		"returnInTargetShare":   share(c.retriedInTarget, c.retriedAdmitted),
		"idleRefusedShare":      share(c.idleRefused, float64(len(attempts))),
		"refusalMedian":         milliseconds(routes.Percentile(c.refusalTimes, 0.5)),
		"refusalP99":            milliseconds(routes.Percentile(c.refusalTimes, 0.99)),
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
