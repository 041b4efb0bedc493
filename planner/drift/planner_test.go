package drift_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
	"github.com/carawaybeam/carawaybeam/planner/drift"
)

// group is a group of ranks with the planner under test.
type group struct {
	planner carawaybeam.Planner
	current carawaybeam.ExpertMap
}

func newGroup(s size, preference float64) *group {
	o := options(s)
	o.SkewPreference = preference
	return &group{planner: drift.New(o), current: planner.UniformMap(s.ranks, s.slots, s.experts, s.layers)}
}

// plan applies one plan and returns the number of experts moved.
func (g *group) plan(loads []carawaybeam.LayerLoad, speeds []float64) int {
	next := g.planner.Plan(time.Time{}, carawaybeam.PlanRequest{Current: g.current, Loads: loads, Speeds: speeds})
	moves := 0
	for _, n := range planner.Moves(g.current, next) {
		moves += n
	}
	g.current = next
	return moves
}

// popularity returns random loads for the seed.
func popularity(s size, seed uint64) []carawaybeam.LayerLoad {
	random := rand.New(rand.NewPCG(seed, 2))
	loads := make([]carawaybeam.LayerLoad, s.layers)
	for layer := range loads {
		for range s.experts {
			loads[layer] = append(loads[layer], 1000*random.ExpFloat64())
		}
	}
	return loads
}

// noisy returns the loads with random noise, whose standard deviation is 2%.
func noisy(loads []carawaybeam.LayerLoad, random *rand.Rand) []carawaybeam.LayerLoad {
	changed := make([]carawaybeam.LayerLoad, len(loads))
	for layer, load := range loads {
		for _, l := range load {
			changed[layer] = append(changed[layer], l*(1+0.02*random.NormFloat64()))
		}
	}
	return changed
}

var small = size{ranks: 16, experts: 64, layers: 2, slots: 6}

// TestHotExpertIsReplicated checks that an expert whose load grows to that of all
// others together is replicated on at least half of the ranks.
func TestHotExpertIsReplicated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newGroup(small, 0.5)
	loads := popularity(small, 1)
	for range 5 {
		g.plan(loads, nil)
	}
	// Expert 7 of layer 1 becomes as popular as all others together.
	hot := 0.0
	for _, l := range loads[1] {
		hot += l
	}
	loads[1][7] = hot
	for range 10 {
		g.plan(loads, nil)
	}
	is.True(planner.Replicas(g.current.Layers[1], small.experts)[7] >= small.ranks/2)
	is.True(planner.Skew(g.current, loads, nil) < 0.15)
}

// TestSwingBackCausesNoShuffle alternates between two workload mixes, which a
// planner without a history would answer with a new placement each time. Once
// both mixes are known, at most a twentieth of the experts may move right after a
// change, and until the next change at most a third of the number that moved
// after the first change to the new mix.
func TestSwingBackCausesNoShuffle(t *testing.T) {
	t.Parallel()
	const (
		swings, periods = 12, 10
		known           = 4
	)
	is := is.New(t)
	all := small.ranks * small.slots * small.layers
	for seed := range uint64(3) {
		g := newGroup(small, 0.3)
		random := rand.New(rand.NewPCG(seed, 3))
		mixes := [][]carawaybeam.LayerLoad{popularity(small, 10+seed), popularity(small, 20+seed)}
		var atOnce, moves [swings]int
		for swing := range swings {
			for period := range periods {
				n := g.plan(noisy(mixes[swing%2], random), nil)
				moves[swing] += n
				if period < 2 {
					atOnce[swing] += n
				}
			}
		}
		t.Log("moves by swing", moves, "of them in the first two periods", atOnce)
		for swing := known; swing < swings; swing++ {
			is.True(atOnce[swing] <= all/20)
			is.True(moves[swing] <= moves[1]/3)
		}
		is.True(planner.Skew(g.current, mixes[0], nil) < 0.15)
		is.True(planner.Skew(g.current, mixes[1], nil) < 0.15)
	}
}

// TestSteadyLoadCausesNoMoves checks that no experts move once the map has settled
// under a constant load.
func TestSteadyLoadCausesNoMoves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newGroup(small, 1)
	loads := popularity(small, 1)
	for range 30 {
		g.plan(loads, nil)
	}
	settled := g.current
	for range 30 {
		is.Equal(g.plan(loads, nil), 0)
	}
	is.Equal(g.current, settled)
}

// TestSlowRankIsRelieved checks that load moves away from a rank whose speed drops
// to 40%.
func TestSlowRankIsRelieved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newGroup(small, 0.8)
	loads := popularity(small, 1)
	for range 5 {
		g.plan(loads, nil)
	}
	speeds := planner.UsableSpeeds(nil, small.ranks)
	speeds[3] = 0.4
	before := planner.Skew(g.current, loads, speeds)
	for range 5 {
		g.plan(loads, speeds)
	}
	is.True(before > 1)
	is.True(planner.Skew(g.current, loads, speeds) < 0.1)
}

// TestPreferenceShiftsTradeOff checks that a higher skew preference leads to more
// moves and less skew.
func TestPreferenceShiftsTradeOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deep := small
	deep.layers = 4
	preferences := []float64{0, 0.1, 0.25, 0.5, 1}
	moves := make([]int, 0, len(preferences))
	skews := make([]float64, 0, len(preferences))
	for _, preference := range preferences {
		g := newGroup(deep, preference)
		total, skew := 0, 0.0
		loads := drawLoads(deep, 60)
		for i, load := range loads[1:] {
			total += g.plan(loads[i], nil)
			skew += planner.Skew(g.current, load, nil) / float64(len(loads)-1)
		}
		moves = append(moves, total)
		skews = append(skews, skew)
	}
	t.Log("moves", moves, "skews", skews)
	for i := range moves[1:] {
		is.True(moves[i] < moves[i+1])
		is.True(skews[i] > skews[i+1])
	}
}

// TestPlanIsValid checks on random groups that each plan is valid, that its
// version increases if experts move, and that two planners with the same requests
// move the same number of experts.
func TestPlanIsValid(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := size{
			ranks:  rapid.IntRange(1, 8).Draw(t, "ranks"),
			layers: rapid.IntRange(1, 2).Draw(t, "layers"),
			slots:  rapid.IntRange(1, 4).Draw(t, "slots"),
		}
		s.experts = rapid.IntRange(s.slots, s.ranks*s.slots).Draw(t, "experts")
		g := newGroup(s, rapid.Float64Range(0, 1).Draw(t, "preference"))
		twin, other := newGroup(s, 0.5), newGroup(s, 0.5)
		for range rapid.IntRange(1, 6).Draw(t, "periods") {
			loads := make([]carawaybeam.LayerLoad, s.layers)
			for layer := range loads {
				loads[layer] = rapid.SliceOfN(rapid.Float64Range(0, 100), s.experts, s.experts).Draw(t, "load")
			}
			speeds := rapid.SliceOfN(rapid.Float64Range(0, 2), s.ranks, s.ranks).Draw(t, "speeds")
			before := g.current
			moves := g.plan(loads, speeds)
			if err := planner.Validate(g.current, s.ranks, s.slots, s.experts); err != nil {
				t.Fatal(err)
			}
			if moves > 0 && g.current.Version <= before.Version {
				t.Fatalf("map changed, but its version is %d after %d", g.current.Version, before.Version)
			}
			if twin.plan(loads, speeds) != other.plan(loads, speeds) {
				t.Fatal("the same requests gave different plans")
			}
		}
	})
}
