package reactive_test

import (
	"math"
	"math/rand/v2"
	"slices"
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
	return powerLaw(random, experts, 1.2)
}

// powerLaw returns the load of a layer that follows a power law with an exponent.
func powerLaw(random *rand.Rand, experts int, exponent float64) carawaybeam.LayerLoad {
	load := make(carawaybeam.LayerLoad, experts)
	for i, e := range random.Perm(experts) {
		load[e] = 1e5 / math.Pow(float64(i+1), exponent)
	}
	return load
}

// sampled returns a load of the given number of picks from a popularity.
func sampled(random *rand.Rand, popularity carawaybeam.LayerLoad, picks int) carawaybeam.LayerLoad {
	cumulative := make([]float64, len(popularity))
	total := 0.0
	for e, n := range popularity {
		total += n
		cumulative[e] = total
	}
	load := make(carawaybeam.LayerLoad, len(popularity))
	for range picks {
		e, _ := slices.BinarySearch(cumulative, random.Float64()*total)
		load[e]++
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

// TestCopiesPay plans under a popularity that shifts every few plans and is known from few
// picks, where most of a plan's gain comes from its first copies. The copies of each plan
// in a layer must save at least the time of one rank for as long as each occupies the link
// of its rank, over the horizon of the planner: others load the links for nothing.
func TestCopiesPay(t *testing.T) {
	const (
		ranks, experts, layers = 24, 96, 4
		slots, picksPerExpert  = 5, 25
		plansPerShift          = 5
		exponent               = 0.64
		horizon                = 2500 * time.Millisecond
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 4))
		o := options(ranks)
		o.Slots = slots
		p := reactive.New(o)
		popularity := make([]carawaybeam.LayerLoad, layers)
		current := planner.UniformMap(ranks, experts/ranks, experts, layers)
		for plan := range 20 {
			loads := make([]carawaybeam.LayerLoad, layers)
			for i := range loads {
				if plan%plansPerShift == 0 {
					popularity[i] = powerLaw(random, experts, exponent)
				}
				loads[i] = sampled(random, popularity[i], picksPerExpert*experts)
			}
			next := p.Plan(time.Time{}, carawaybeam.PlanRequest{Current: current, Loads: loads})
			for i, load := range loads {
				before := planner.LayerTime(current.Layers[i], load, planner.UsableSpeeds(nil, ranks))
				after := planner.LayerTime(next.Layers[i], load, planner.UsableSpeeds(nil, ranks))
				balanced := planner.BalancedTime(load, planner.UsableSpeeds(nil, ranks))
				saved := o.ExpertShare * (before - after) / balanced / layers * ranks
				copies := planner.LayerMoves(current.Layers[i], next.Layers[i])
				if cost := o.InstallDelay.Seconds() / horizon.Seconds() * float64(copies); saved < cost {
					t.Errorf("seed %d, plan %d, layer %d: %d copies save %.2f of the time of a rank, want %.2f",
						seed, plan, i, copies, saved, cost)
				}
			}
			current = next
		}
	}
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
