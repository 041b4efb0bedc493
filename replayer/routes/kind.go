package routes

import (
	"io"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam/replayer"
	"github.com/carawaybeam/carawaybeam/replayer/queuer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// KindName is the kind of traces for routers.
const KindName tracer.Kind = "router"

// Kind replays traces for routers.
type Kind struct{}

var _ replayer.Kind = Kind{}

func init() { replayer.Kinds.Register(string(KindName), Kind{}) }

// Replay puts the requests of a trace through a router.
//
// Figures: inTargetShare of all requests and inTargetShareSettled of those that
// did not come within 5 s after a disturbance; firstTokenP50, P95 and P99 in
// seconds of those answered; cachedShare of prompt tokens; crossingShare of
// requests to another data centre; lostShare of requests that got no answer.
func (Kind) Replay(header tracer.Header, body io.Reader, policy string) (map[string]float64, error) {
	events, err := queuer.Read(header, body)
	if err != nil {
		return nil, err
	}
	return ReplayEvents(header, events, policy)
}

// ReplayEvents puts events through a router and returns the figures of Replay.
func ReplayEvents(header tracer.Header, events []queuer.Event, policy string) (map[string]float64, error) {
	fleet, err := New(Options{Header: header, Events: events, Router: policy})
	if err != nil {
		return nil, err
	}
	return figures(fleet.Run()), nil
}

// InTarget tells whether the try was answered within the targets of its class.
func (t *Attempt) InTarget() bool {
	targets := t.Class.Targets
	return t.Answered && !t.Lost && t.FirstToken <= targets.FirstToken && t.BetweenTokens <= targets.BetweenTokens
}

func figures(tries []*Attempt) map[string]float64 {
	var inTarget, settled, inTargetSettled, crossed, lost, prompt, cached float64
	var first []time.Duration
	for _, t := range tries {
		inTarget += count(t.InTarget())
		settled += count(t.Settled)
		inTargetSettled += count(t.Settled && t.InTarget())
		crossed += count(t.CrossDataCentre)
		lost += count(t.Lost)
		if t.Answered {
			first = append(first, t.FirstToken)
			prompt += float64(t.Prompt)
			cached += float64(t.Cached)
		}
	}
	slices.Sort(first)
	all := float64(len(tries))
	return map[string]float64{
		"requests":             all,
		"inTargetShare":        share(inTarget, all),
		"inTargetShareSettled": share(inTargetSettled, settled),
		"firstTokenP50":        Percentile(first, 0.50).Seconds(),
		"firstTokenP95":        Percentile(first, 0.95).Seconds(),
		"firstTokenP99":        Percentile(first, 0.99).Seconds(),
		"cachedShare":          share(cached, prompt),
		"crossingShare":        share(crossed, all),
		"lostShare":            share(lost, all),
	}
}

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

// Percentile returns the value below which the given share of sorted values
// lies, or 0 without values.
func Percentile(sorted []time.Duration, at float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(at*float64(len(sorted))))]
}
