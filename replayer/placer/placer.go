// Package placer replays traces of kind "planner": what a planner saw of a
// group of ranks in each period.
//
// The group starts with a uniform map. A planner is asked after each period
// with the loads of that period alone, and its map is in force in the next one,
// so it never knows the loads on which it is measured. The replay also runs the
// planners "static" and "greedy" on the same trace and works out the lower
// bound for the loads and the memory of the group.
package placer

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/sampler"
	"github.com/carawaybeam/carawaybeam/planner"
	_ "github.com/carawaybeam/carawaybeam/registrar" // The baselines are plug-ins.
	"github.com/carawaybeam/carawaybeam/replayer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// preferenceMark separates the name of a policy from a skew preference that
// replaces the one of the trace, as in "drift@0.25".
const preferenceMark = "@"

// percentile95 is the rank of the percentile that is reported.
const percentile95 = 0.95

type (
	// Kind replays traces of planners.
	Kind struct{}

	// Result is what one planner made of a trace.
	Result struct {
		// MeanSkew and P95Skew are over all periods but the first.
		MeanSkew float64
		P95Skew  float64
		// Moves counts experts that arrived on a rank.
		Moves int
		// MaxMoves is the largest number of them in one plan.
		MaxMoves int
		// Bytes is what the weight store gave.
		Bytes carawaybeam.Bytes
		// FetchShare is the share of the time in which the weight store was
		// fetched from.
		FetchShare float64
		// Delay is how long new experts held up the group: in each plan, as
		// long as the rank with the most of them.
		Delay time.Duration
		// MaxDelay is the largest delay of one plan.
		MaxDelay time.Duration
		// Plans counts the plans that changed the map.
		Plans int
	}

	// PreferenceError reports a skew preference that is no number from 0 to 1.
	PreferenceError struct {
		Policy string
	}
)

func init() { replayer.Kinds.Register(string(planner.TraceKind), Kind{}) }

func (e *PreferenceError) Error() string {
	return fmt.Sprintf("policy %q has no skew preference from 0 to 1", e.Policy)
}

var errNoGenerator = errors.New("trace has neither events nor a known generator")

// Replay returns the figures of the policy, those of the baselines and their
// ratios.
func (Kind) Replay(header tracer.Header, body io.Reader, policy string) (map[string]float64, error) {
	events, err := readEvents(header, body)
	if err != nil {
		return nil, err
	}
	result, err := Run(events, policy)
	if err != nil {
		return nil, err
	}
	static, err := Run(events, "static")
	if err != nil {
		return nil, err
	}
	greedy, err := Run(events, "greedy")
	if err != nil {
		return nil, err
	}
	figures := map[string]float64{}
	result.addTo(figures, "")
	static.addTo(figures, "static.")
	greedy.addTo(figures, "greedy.")
	figures["bound.meanSkew"], figures["bound.p95Skew"] = bounds(events)
	addRatio(figures, "meanSkewToGreedy", result.MeanSkew, greedy.MeanSkew)
	addRatio(figures, "meanSkewToStatic", result.MeanSkew, static.MeanSkew)
	addRatio(figures, "movesToGreedy", float64(result.Moves), float64(greedy.Moves))
	return figures, nil
}

func readEvents(header tracer.Header, body io.Reader) ([]planner.Event, error) {
	events, err := tracer.ReadEvents[planner.Event](header, body)
	if err != nil {
		return nil, err
	}
	if header.Generator != "" {
		generated, ok := sampler.Generate(header.Generator, header.Seed)
		if !ok {
			return nil, errNoGenerator
		}
		events = generated
	}
	if len(events) == 0 {
		return nil, errNoGenerator
	}
	return events, nil
}

// Run replays the events through one planner. The policy may carry a skew
// preference, as in "drift@0.25".
func Run(events []planner.Event, policy string) (Result, error) {
	setup, err := planner.CheckEvents(events)
	if err != nil {
		return Result{}, err
	}
	name, options, err := parsePolicy(policy, setup.Options())
	if err != nil {
		return Result{}, err
	}
	newPlanner, err := carawaybeam.Planners.Lookup(name)
	if err != nil {
		return Result{}, err
	}
	return replay(events, setup, newPlanner(options))
}

func parsePolicy(
	policy string,
	options carawaybeam.PlannerOptions,
) (string, carawaybeam.PlannerOptions, error) {
	name, text, found := strings.Cut(policy, preferenceMark)
	if !found {
		return name, options, nil
	}
	preference, err := strconv.ParseFloat(text, 64)
	if err != nil || !(preference >= 0 && preference <= 1) {
		return name, options, &PreferenceError{Policy: policy}
	}
	options.SkewPreference = preference
	return name, options, nil
}

func replay(events []planner.Event, setup planner.Setup, p carawaybeam.Planner) (Result, error) {
	var (
		result Result
		start  time.Time
	)
	present := planner.UniformMap(setup.Ranks, setup.Slots, setup.Experts, setup.Layers)
	skews := make([]float64, 0, len(events))
	for i, event := range events[1:] {
		seen := events[i]
		next := p.Plan(start.Add(seen.When()), carawaybeam.PlanRequest{
			Current: present,
			Loads:   seen.Loads,
			Speeds:  seen.Speeds,
		})
		if err := planner.Validate(next, setup.Ranks, setup.Slots, setup.Experts); err != nil {
			return result, err
		}
		result.count(setup, present, next)
		present = next
		skews = append(skews, planner.Skew(present, event.Loads, event.Speeds))
	}
	result.MeanSkew, result.P95Skew = summarise(skews)
	result.Bytes = carawaybeam.Bytes(result.Moves) * setup.ExpertBytes
	fetch := float64(result.Bytes) / float64(setup.WeightRate)
	result.FetchShare = fetch / events[len(events)-1].When().Seconds()
	return result, nil
}

// count adds the cost of one plan.
func (r *Result) count(setup planner.Setup, present, next carawaybeam.ExpertMap) {
	moves := planner.Moves(present, next)
	total := 0
	for _, n := range moves {
		total += n
	}
	delay := time.Duration(slices.Max(moves)) * time.Duration(setup.InstallDelay)
	r.Moves += total
	r.MaxMoves = max(r.MaxMoves, total)
	r.Delay += delay
	r.MaxDelay = max(r.MaxDelay, delay)
	if next.Version != present.Version {
		r.Plans++
	}
}

func (r *Result) addTo(figures map[string]float64, prefix string) {
	figures[prefix+"meanSkew"] = r.MeanSkew
	figures[prefix+"p95Skew"] = r.P95Skew
	figures[prefix+"moves"] = float64(r.Moves)
	figures[prefix+"maxMovesPerPlan"] = float64(r.MaxMoves)
	figures[prefix+"weightBytes"] = float64(r.Bytes)
	figures[prefix+"weightStoreShare"] = r.FetchShare
	figures[prefix+"delaySeconds"] = r.Delay.Seconds()
	figures[prefix+"maxDelaySeconds"] = r.MaxDelay.Seconds()
	figures[prefix+"plans"] = float64(r.Plans)
}

// addRatio leaves the figure out when it has no value.
func addRatio(figures map[string]float64, name string, a, b float64) {
	if b > 0 {
		figures[name] = a / b
	}
}

// bounds returns mean and 95th percentile of the lower bound of skew.
func bounds(events []planner.Event) (mean, p95 float64) {
	setup := events[0].Setup
	skews := make([]float64, 0, len(events))
	for _, event := range events[1:] {
		skews = append(skews, planner.SkewLowerBound(setup.Ranks, setup.Slots, event.Loads, event.Speeds))
	}
	return summarise(skews)
}

// summarise returns mean and 95th percentile. It sorts the values.
func summarise(values []float64) (mean, p95 float64) {
	slices.Sort(values)
	total := 0.0
	for _, v := range values {
		total += v
	}
	at := int(percentile95 * float64(len(values)))
	return total / float64(len(values)), values[min(at, len(values)-1)]
}
