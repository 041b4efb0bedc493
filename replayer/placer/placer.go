// Package placer replays traces of the kind "planner": the expert loads and
// rank speeds of a group of ranks in each period.
//
// The group starts with a uniform expert map. After each period the planner
// gets the loads of that period only, and its new map applies to the next
// period, so a planner never sees the loads on which its map is measured. The
// replay also runs the planners "static" and "greedy" on the same trace as
// baselines, and computes the lower bound of skew for the loads and the memory
// of the group.
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
	_ "github.com/carawaybeam/carawaybeam/registrar" // Registers the baseline planners.
	"github.com/carawaybeam/carawaybeam/replayer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// preferenceSeparator separates the name of a policy from a skew preference
// that overrides the one of the trace, as in "drift@0.25".
const preferenceSeparator = "@"

// percentile95 is the reported percentile, as a fraction.
const percentile95 = 0.95

type (
	// Kind replays traces of the kind "planner".
	Kind struct{}

	// Result holds the figures of one planner on a trace.
	Result struct {
		// MeanSkew and P95Skew are the mean and the 95th percentile of skew
		// over all periods but the first.
		MeanSkew float64
		P95Skew  float64
		// Moves counts experts loaded onto a rank, over all plans.
		Moves int
		// MaxMoves is the largest number of moves in one plan.
		MaxMoves int
		// Bytes is the volume of weights fetched from the weight store.
		Bytes carawaybeam.Bytes
		// FetchShare is the fraction of the trace's time that fetching these
		// weights takes at the weight store's rate.
		FetchShare float64
		// Delay is the total time that installing experts delays the group.
		// For each plan it is the delay of the rank with the most moves.
		Delay time.Duration
		// MaxDelay is the largest delay by one plan.
		MaxDelay time.Duration
		// Plans counts the plans that changed the map.
		Plans int
	}

	// PreferenceError reports a policy whose skew preference isn't a number
	// from 0 to 1.
	PreferenceError struct {
		Policy string
	}
)

func init() { replayer.Kinds.Register(string(planner.TraceKind), Kind{}) }

func (e *PreferenceError) Error() string {
	return fmt.Sprintf("policy %q: skew preference is not a number from 0 to 1", e.Policy)
}

var errNoGenerator = errors.New("trace has neither events nor a known generator")

// Replay returns the figures of the policy, of the baselines "static" and
// "greedy" and of the lower bound, and the ratios of the policy to the
// baselines. It returns an error for an invalid trace, an unknown planner or an
// invalid skew preference.
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

// Run replays the events through one planner. The policy is the name of the
// planner, optionally with a skew preference, as in "drift@0.25". It returns an
// error for invalid events, an unknown planner, an invalid skew preference or
// an invalid map of the planner.
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
	name, text, found := strings.Cut(policy, preferenceSeparator)
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
		previous := events[i]
		next := p.Plan(start.Add(previous.When()), carawaybeam.PlanRequest{
			Current: present,
			Loads:   previous.Loads,
			Speeds:  previous.Speeds,
		})
		if err := planner.Validate(next, setup.Ranks, setup.Slots, setup.Experts); err != nil {
			return result, err
		}
		result.addPlan(setup, present, next)
		present = next
		skews = append(skews, planner.Skew(present, event.Loads, event.Speeds))
	}
	result.MeanSkew, result.P95Skew = summarise(skews)
	result.Bytes = carawaybeam.Bytes(result.Moves) * setup.ExpertBytes
	fetchSeconds := float64(result.Bytes) / float64(setup.WeightRate)
	result.FetchShare = fetchSeconds / events[len(events)-1].When().Seconds()
	return result, nil
}

// addPlan adds the cost of a change from the present map to the next one.
func (r *Result) addPlan(setup planner.Setup, present, next carawaybeam.ExpertMap) {
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

// addRatio sets the figure to a / b, or leaves it out when b isn't positive.
func addRatio(figures map[string]float64, name string, a, b float64) {
	if b > 0 {
		figures[name] = a / b
	}
}

// bounds returns the mean and the 95th percentile of the lower bound of skew.
func bounds(events []planner.Event) (mean, p95 float64) {
	setup := events[0].Setup
	skews := make([]float64, 0, len(events))
	for _, event := range events[1:] {
		skews = append(skews, planner.SkewLowerBound(setup.Ranks, setup.Slots, event.Loads, event.Speeds))
	}
	return summarise(skews)
}

// summarise returns the mean and the 95th percentile. It sorts values in place.
func summarise(values []float64) (mean, p95 float64) {
	slices.Sort(values)
	total := 0.0
	for _, v := range values {
		total += v
	}
	index := int(percentile95 * float64(len(values)))
	return total / float64(len(values)), values[min(index, len(values)-1)]
}
