package coordinator_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/collector"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/leaser"
	"github.com/carawaybeam/carawaybeam/proposer/coordinator"
	"github.com/carawaybeam/carawaybeam/prover"
)

const (
	groupSize = 4

	// clientPatience is how long clients wait for the next event of a stream.
	clientPatience = 2 * time.Second
)

// swapper is a planner that exchanges the experts of two ranks in each plan.
type swapper struct{ n int }

func (s *swapper) Plan(_ time.Time, request carawaybeam.PlanRequest) carawaybeam.ExpertMap {
	s.n++
	next := carawaybeam.ExpertMap{Version: request.Current.Version + 1}
	for _, layer := range request.Current.Layers {
		swapped := append([][]carawaybeam.Expert(nil), layer...)
		i, j := s.n%len(layer), (s.n+1)%len(layer)
		swapped[i], swapped[j] = swapped[j], swapped[i]
		next.Layers = append(next.Layers, swapped)
	}
	return next
}

// start runs one process that competes for the control of the group.
func start(g *fakeGroup, store carawaybeam.Store, p *fakeProcess) *coordinator.Coordinator {
	return coordinator.New(coordinator.Options{
		Group:     "g",
		Statuses:  func() []collector.Status { p.gate(); return g.newest() },
		WantPicks: p.want,
		Engine: func(a carawaybeam.Address) carawaybeam.RankEngine {
			return &fakeEngine{group: g, rank: int(a[len(a)-1] - '0'), process: p}
		},
		Layout: func() (carawaybeam.ExpertLayout, bool) {
			return carawaybeam.ExpertLayout{
				Layers: layers, Experts: experts, Slots: slots, NewExperts: 2, Share: 0.85, CopyTime: copyTime,
			}, true
		},
		NewPlanner: func(carawaybeam.PlannerOptions) carawaybeam.Planner { return &swapper{} },
		Lease: leaser.New(leaser.Options{
			Store: store, Name: "g", Holder: carawaybeam.NewIncarnation(),
		}),
		Log: zerolog.Nop(),
	})
}

// play runs three processes for a while in which some of them are killed, started
// again and paused, and the group crashes now and then.
func play(t *testing.T, seed uint64, f faults, troubles bool, length time.Duration) *fakeGroup {
	t.Helper()
	g := newGroup(groupSize, seed, f)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := storer.New()
		random := rand.New(rand.NewPCG(seed, 11))
		processes := make([]*fakeProcess, 3)
		conductors := make([]*coordinator.Coordinator, 3)
		for i := range processes {
			processes[i] = &fakeProcess{}
		}
		g.processes = processes
		for i := range processes {
			conductors[i] = start(g, store, processes[i])
		}
		done := make(chan struct{})
		go func() { defer close(done); g.run(ctx) }()
		for begun := time.Now(); time.Since(begun) < length; {
			time.Sleep(time.Duration(random.Int64N(int64(900 * time.Millisecond))))
			if !troubles {
				continue
			}
			i := random.IntN(len(processes))
			switch random.IntN(8) {
			case 0:
				if err := conductors[i].Close(); err != nil {
					t.Error(err)
				}
				conductors[i] = start(g, store, processes[i])
			case 1, 2:
				// One process stands still at a time: while all do, nobody can
				// free a group, and a successor that stops too costs its own time.
				if !anyPaused(processes) {
					processes[i].pause(time.Duration(random.Int64N(int64(4 * time.Second))))
				}
			case 3:
				if random.IntN(4) == 0 {
					g.crash()
				}
			}
		}
		// With no process left, nobody frees a group that is held.
		longest := g.longestHold()
		defer func() { g.longest = longest }()
		for _, c := range conductors {
			if err := c.Close(); err != nil {
				t.Error(err)
			}
		}
		// Late orders are still carried out.
		time.Sleep(13 * time.Second)
		cancel()
		<-done
	})
	return g
}

func anyPaused(processes []*fakeProcess) bool {
	return slices.ContainsFunc(processes, (*fakeProcess).paused)
}

// TestCalmGroup changes the map again and again and never stops the group for as
// long as a pass.
func TestCalmGroup(t *testing.T) {
	g := play(t, 1, faults{}, false, 20*time.Second)
	if len(g.violations) > 0 {
		t.Errorf("ranks differ: %v", g.violations[0])
	}
	if g.changes < 20*groupSize {
		t.Errorf("%d switches of ranks in 20 s", g.changes)
	}
	if g.longest > passTime {
		t.Errorf("group was held for %v", g.longest)
	}
}

// TestPromiseOneMapOrders plays groups whose ranks lose orders, leave them without an
// answer and carry them out late, under processes that die and pause.
func TestPromiseOneMapOrders(t *testing.T) {
	tests := map[string]faults{
		"answered":     {},
		"late":         {late: 0.5},
		"lost":         {lost: 0.3},
		"mute":         {mute: 0.3},
		"all troubles": {lost: 0.1, mute: 0.15, late: 0.2},
	}
	plays, violations := 0, 0
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			changes := 0
			for seed := range uint64(25) {
				g := play(t, seed, f, true, 40*time.Second)
				changes += g.changes
				plays++
				if len(g.violations) > 0 {
					violations++
					t.Logf("seed %d: ranks differ: %v", seed, g.violations[0])
				}
			}
			if changes == 0 {
				t.Error("no map was changed")
			}
		})
	}
	prover.Report(t, prover.OneMap, plays, violations)
}

// TestHeldGroupIsFreed lets the holder of the lease stop at any moment, while
// ranks leave orders unanswered or not: another process frees the group before
// clients give their streams up, and no two processes keep each other from it.
func TestHeldGroupIsFreed(t *testing.T) {
	tests := map[string]faults{"answered": {}, "late": {late: 0.5}}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				g := play(t, seed+1000, f, true, 20*time.Second)
				if g.longest > clientPatience {
					t.Errorf("seed %d: group was held for %v", seed+1000, g.longest)
				}
			}
		})
	}
}
