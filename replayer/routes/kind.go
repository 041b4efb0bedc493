package routes

import (
	"io"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam/replayer"
	"github.com/carawaybeam/carawaybeam/replayer/queuer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// KindName is the kind that headers of traces for routers name.
const KindName tracer.Kind = "router"

// Kind replays traces of the kind "router".
type Kind struct{}

var _ replayer.Kind = Kind{}

func init() { replayer.Kinds.Register(string(KindName), Kind{}) }

// Replay passes the requests of a trace to the router named policy and returns
// these figures:
//   - requests is the number of requests.
//   - inTargetShare is the share of requests answered within their targets, and
//     inTargetShareSettled the same without the requests that arrived within
//     5 s after a disturbance.
//   - firstTokenP50, firstTokenP95 and firstTokenP99 are percentiles of the time
//     to the first token in seconds, over answered requests.
//   - cachedShare is the share of prompt tokens found in a prefix cache.
//   - crossingShare is the share of requests sent to another data centre.
//   - lostShare is the share of requests without a complete answer.
//
// It returns an error for an invalid trace or an unknown router.
func (Kind) Replay(header tracer.Header, body io.Reader, policy string) (map[string]float64, error) {
	events, err := queuer.Read(header, body)
	if err != nil {
		return nil, err
	}
	return ReplayEvents(header, events, policy)
}

// ReplayEvents passes events to the router named policy and returns the figures
// that Kind.Replay lists. It returns an error for an unknown router.
func ReplayEvents(header tracer.Header, events []queuer.Event, policy string) (map[string]float64, error) {
	fleet, err := New(Options{Header: header, Events: events, Router: policy})
	if err != nil {
		return nil, err
	}
	return figures(fleet.Run()), nil
}

// InTarget reports whether the attempt was answered within the targets of its
// class.
func (a *Attempt) InTarget() bool {
	targets := a.Class.Targets
	return a.Answered && !a.Lost && a.FirstToken <= targets.FirstToken && a.BetweenTokens <= targets.BetweenTokens
}

func figures(attempts []*Attempt) map[string]float64 {
	var inTarget, settled, inTargetSettled, crossDataCentre, lost, prompt, cached float64
	var firstTokens []time.Duration
	for _, a := range attempts {
		inTarget += count(a.InTarget())
		settled += count(a.Settled)
		inTargetSettled += count(a.Settled && a.InTarget())
		crossDataCentre += count(a.CrossDataCentre)
		lost += count(a.Lost)
		if a.Answered {
			firstTokens = append(firstTokens, a.FirstToken)
			prompt += float64(a.Prompt)
			cached += float64(a.Cached)
		}
	}
	slices.Sort(firstTokens)
	all := float64(len(attempts))
	return map[string]float64{
		"requests":             all,
		"inTargetShare":        share(inTarget, all),
		"inTargetShareSettled": share(inTargetSettled, settled),
		"firstTokenP50":        Percentile(firstTokens, 0.50).Seconds(),
		"firstTokenP95":        Percentile(firstTokens, 0.95).Seconds(),
		"firstTokenP99":        Percentile(firstTokens, 0.99).Seconds(),
		"cachedShare":          share(cached, prompt),
		"crossingShare":        share(crossDataCentre, all),
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

// Percentile returns the value below which the given fraction of the sorted
// values lies, or 0 if there are none. The fraction is from 0 to 1.
func Percentile(sorted []time.Duration, fraction float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}
