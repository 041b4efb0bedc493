package placer_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/sampler"
	"github.com/carawaybeam/carawaybeam/planner"
	"github.com/carawaybeam/carawaybeam/recorder"
	"github.com/carawaybeam/carawaybeam/replayer"
	"github.com/carawaybeam/carawaybeam/replayer/placer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// TestTargets checks the users' bounds on skew and moves with shortened traces
// and several seeds. "make figures" replays the whole traces.
func TestTargets(t *testing.T) {
	tests := map[string]struct {
		events   int
		seeds    uint64
		drifting bool
	}{
		"winterDrift":   {events: 200, seeds: 3, drifting: true},
		"quarterSwings": {events: 140, seeds: 2},
		"stalledRank":   {events: 100, seeds: 2},
		"wideDrift":     {events: 25, seeds: 1, drifting: true},
	}
	for name, test := range tests {
		for seed := uint64(1); seed <= test.seeds; seed++ {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				events, ok := sampler.Generate(name, seed)
				is.True(ok)
				events = events[:test.events]
				results := map[string]placer.Result{}
				for _, policy := range []string{"static", "greedy", "drift"} {
					result, err := placer.Run(events, policy)
					is.NoErr(err)
					t.Logf("seed %d %s: skew %.4f moves %d", seed, policy, result.MeanSkew, result.Moves)
					results[policy] = result
				}
				static, greedy, drift := results["static"], results["greedy"], results["drift"]
				is.True(drift.Moves <= greedy.Moves)
				if test.drifting {
					is.True(drift.MeanSkew <= 1.1*greedy.MeanSkew)
					is.True(5*drift.Moves <= greedy.Moves)
					is.True(2*drift.MeanSkew <= static.MeanSkew)
				}
			})
		}
	}
}

// recordingPlanner records its requests and never moves an expert.
type recordingPlanner struct {
	requests []carawaybeam.PlanRequest
}

func (p *recordingPlanner) Plan(_ time.Time, request carawaybeam.PlanRequest) carawaybeam.ExpertMap {
	p.requests = append(p.requests, request)
	return request.Current
}

// invalidPlanner returns a map without any expert, which is invalid.
type invalidPlanner struct{}

func (invalidPlanner) Plan(_ time.Time, request carawaybeam.PlanRequest) carawaybeam.ExpertMap {
	next := carawaybeam.ExpertMap{Version: 1, Layers: make([][][]carawaybeam.Expert, len(request.Loads))}
	for layer := range next.Layers {
		next.Layers[layer] = make([][]carawaybeam.Expert, len(request.Current.Layers[layer]))
	}
	return next
}

// TestPlannerGetsPreviousLoads checks that a planner gets the loads of the
// period before the one on which its map is measured. With the loads of the
// same period the replay would report a skew that no planner can reach.
func TestPlannerGetsPreviousLoads(t *testing.T) {
	is := is.New(t)
	p := &recordingPlanner{}
	carawaybeam.Planners.Register("testBlind", func(carawaybeam.PlannerOptions) carawaybeam.Planner { return p })
	events, _ := sampler.Generate("stalledRank", 1)
	result, err := placer.Run(events[:5], "testBlind")
	is.NoErr(err)
	is.Equal(len(p.requests), 4)
	for i, request := range p.requests {
		is.Equal(request.Loads, events[i].Loads)
	}
	setup := events[0].Setup
	uniform := planner.UniformMap(setup.Ranks, setup.Slots, setup.Experts, setup.Layers)
	mean := 0.0
	for _, event := range events[1:5] {
		mean += planner.Skew(uniform, event.Loads, event.Speeds) / 4
	}
	is.True(result.MeanSkew-mean < 1e-9 && mean-result.MeanSkew < 1e-9)
	is.Equal(result.Moves, 0)
}

func TestRunRejectsInvalidInput(t *testing.T) {
	is := is.New(t)
	carawaybeam.Planners.Register("testInvalid",
		func(carawaybeam.PlannerOptions) carawaybeam.Planner { return invalidPlanner{} })
	events, _ := sampler.Generate("stalledRank", 1)
	for _, policy := range []string{"", "unknown", "drift@", "drift@2", "drift@NaN", "testInvalid"} {
		_, err := placer.Run(events[:3], policy)
		is.True(err != nil)
	}
	_, err := placer.Run(events[:1], "drift")
	_, ok := errors.AsType[*planner.EventError](err)
	is.True(ok)
}

// TestReplayOfRecording checks that replaying the recorded requests of a planner
// gives the same skew and moves as the events they were made from.
func TestReplayOfRecording(t *testing.T) {
	is := is.New(t)
	events, _ := sampler.Generate("stalledRank", 1)
	setup := *events[0].Setup
	newPlanner, err := carawaybeam.Planners.Lookup("drift")
	is.NoErr(err)
	r := recorder.New(recorder.Options{Process: "entry-1"})
	recorded := r.Planner(newPlanner(setup.Options()), setup)
	present := planner.UniformMap(setup.Ranks, setup.Slots, setup.Experts, setup.Layers)
	for _, event := range events[:20] {
		present = recorded.Plan(time.Time{}, carawaybeam.PlanRequest{
			Current: present,
			Loads:   event.Loads,
			Speeds:  event.Speeds,
		})
	}
	var trace bytes.Buffer
	is.NoErr(r.Write(&trace, planner.TraceKind))
	report, err := replayer.Replay(&trace, tracer.Outcome{}, "drift")
	is.NoErr(err)
	direct, err := placer.Run(events[:20], "drift")
	is.NoErr(err)
	is.Equal(report.Figures["meanSkew"], direct.MeanSkew)
	is.Equal(report.Figures["moves"], float64(direct.Moves))
}
