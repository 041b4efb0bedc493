package reactive_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
	"github.com/carawaybeam/carawaybeam/planner/reactive"
)

func options(ranks int) carawaybeam.PlannerOptions {
	return carawaybeam.PlannerOptions{
		Ranks:                 ranks,
		Slots:                 11,
		InstallDelay:          400 * time.Millisecond,
		MaxNewExperts:         1,
		MaxNewExpertsPerLayer: 4,
		ExpertShare:           0.85,
		CopySlowdown:          0.15,
	}
}

// skewed returns the load of a layer that follows a power law over the experts in
// random order.
func skewed(random *rand.Rand, experts int) carawaybeam.LayerLoad {
	load := make(carawaybeam.LayerLoad, experts)
	for i, e := range random.Perm(experts) {
		load[e] = 1e5 / math.Pow(float64(i+1), 1.2)
	}
	return load
}

// An engine on the users' platform runs 12 sequences per rank. A pass has 6 steps,
// and each step takes 4.84 ms plus 0.362 ms per sequence. The target for the time
// between two events of an answer is 120 ms.
const (
	balancedPass   = 6 * (4.84 + 12*0.362)
	targetEventGap = 120.0
)

// pass returns the duration of a pass in milliseconds, with or without copying in
// progress.
func pass(skew float64, o carawaybeam.PlannerOptions, copying bool) float64 {
	duration := balancedPass * (1 - o.ExpertShare + o.ExpertShare*(1+skew))
	if copying {
		duration *= 1 + o.CopySlowdown
	}
	return duration
}

// TestExpertShift changes the popularity of experts in a group with full load. The
// first plan must bring the event gap back below its target, even while experts
// are copied, and no later plan may increase the skew.
func TestExpertShift(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		o := options(12)
		p := reactive.New(o)
		current := planner.UniformMap(12, 8, 96, 3)
		for shift := range 4 {
			loads := []carawaybeam.LayerLoad{skewed(random, 96), skewed(random, 96), skewed(random, 96)}
			before := planner.Skew(current, loads, nil)
			for plan := range 4 {
				current = p.Plan(time.Time{}, carawaybeam.PlanRequest{Current: current, Loads: loads})
				skew := planner.Skew(current, loads, nil)
				if gap := pass(skew, o, true); gap > targetEventGap {
					t.Errorf(
						"seed %d, shift %d, plan %d: event gap is %.0f ms (skew %.2f)",
						seed,
						shift,
						plan,
						gap,
						skew,
					)
				}
				if skew > before {
					t.Errorf(
						"seed %d, shift %d, plan %d: skew increases from %.2f to %.2f",
						seed,
						shift,
						plan,
						before,
						skew,
					)
				}
				before = skew
			}
		}
	}
}

// TestBounds checks that each plan is valid and within the limit on new experts.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 24).Draw(t, "ranks")
		o := options(ranks)
		experts := rapid.IntRange(ranks, ranks*8).Draw(t, "experts")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		p := reactive.New(o)
		current := planner.UniformMap(ranks, (experts+ranks-1)/ranks, experts, 2)
		for range 4 {
			loads := []carawaybeam.LayerLoad{skewed(random, experts), skewed(random, experts)}
			next := p.Plan(time.Time{}, carawaybeam.PlanRequest{Current: current, Loads: loads})
			if err := planner.Validate(next, ranks, o.Slots, experts); err != nil {
				t.Fatal(err)
			}
			for rank, moves := range planner.Moves(current, next) {
				// The largest limit that the planner tries is twice MaxNewExperts.
				if moves > 2*o.MaxNewExperts {
					t.Fatalf("rank %d copies %d experts", rank, moves)
				}
			}
			current = next
		}
	})
}

// TestNoPlanWithoutGain checks that the map is kept if its load is uneven only
// because of noise.
func TestNoPlanWithoutGain(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	loads := []carawaybeam.LayerLoad{make(carawaybeam.LayerLoad, 96)}
	for e := range loads[0] {
		loads[0][e] = 1000 + random.NormFloat64()*10
	}
	current := planner.UniformMap(12, 8, 96, 1)
	next := reactive.New(options(12)).Plan(time.Time{}, carawaybeam.PlanRequest{Current: current, Loads: loads})
	is.Equal(next.Version, current.Version)
}

// TestSlowRank slows down one rank of a group with full load. After two plans the
// event gap must be below its target, even while experts are copied.
func TestSlowRank(t *testing.T) {
	const slowness = 1.6
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		o := options(12)
		p := reactive.New(o)
		loads := []carawaybeam.LayerLoad{skewed(random, 96), skewed(random, 96), skewed(random, 96)}
		speeds := planner.UsableSpeeds(nil, 12)
		speeds[random.IntN(12)] = 1 / slowness
		current := planner.UniformMap(12, 8, 96, 3)
		for range 2 {
			current = p.Plan(time.Time{}, carawaybeam.PlanRequest{Current: current, Loads: loads, Speeds: speeds})
		}
		straggler := 0.0
		for i, load := range loads {
			straggler += planner.LayerTime(
				current.Layers[i],
				load,
				speeds,
			) / planner.BalancedTime(
				load,
				planner.UsableSpeeds(nil, 12),
			)
		}
		work := (1-o.ExpertShare)*slowness + o.ExpertShare*straggler/float64(len(loads))
		gap := balancedPass * work * (1 + o.CopySlowdown)
		if gap > targetEventGap {
			t.Errorf("seed %d: event gap is %.0f ms with a slow rank", seed, gap)
		}
	}
}
