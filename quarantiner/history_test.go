package quarantiner_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawaybeam/carawaybeam/prover"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

const (
	// A request that has crashed provenCrashes backend servers may run at most maxLateRuns
	// times later than stableWindow after that.
	provenCrashes = 3
	maxLateRuns   = 3
	stableWindow  = 3 * time.Second

	minSeeds   = 300
	waves      = 40
	poolSize   = 3
	returnTime = 4 * time.Second

	// popular is the number of requests that are sent again and again and are answered.
	popular = 8
)

type (
	// history is a random history of a pool whose backend servers crash all at once and
	// return under new identifiers. Several processes send requests to it.
	history struct {
		random    *rand.Rand
		processes []*quarantiner.Quarantiner
		// culprits crash each backend server that runs them.
		culprits []quarantiner.Fingerprint
		crashes  int
		crashed  map[quarantiner.Fingerprint][]time.Time
		late     map[quarantiner.Fingerprint]int
	}
)

func newHistory(seed uint64, evidence quarantiner.Evidence) *history {
	random := rand.New(rand.NewPCG(seed, 0))
	h := &history{
		random: random, crashed: make(map[quarantiner.Fingerprint][]time.Time),
		late: make(map[quarantiner.Fingerprint]int),
	}
	for range 1 + random.IntN(5) {
		h.processes = append(h.processes, quarantiner.New(evidence))
	}
	for i := range 1 + random.IntN(6) {
		h.culprits = append(h.culprits, quarantiner.Fingerprint(fmt.Sprintf("%d culprit", random.IntN(3)*10+i)))
	}
	return h
}

// share merges the records of all processes, in a random order.
func (h *history) share() {
	for range 2 {
		for _, i := range h.random.Perm(len(h.processes)) {
			records, _ := h.processes[i].Records()
			for _, j := range h.random.Perm(len(h.processes)) {
				h.processes[j].Merge(records)
			}
		}
	}
}

// process returns the number of the process that sends a request to a backend server, or false
// if it is refused. The first process conducts all trials.
func (h *history) process(f quarantiner.Fingerprint, trials map[quarantiner.Fingerprint]bool) (int, bool) {
	process := h.random.IntN(len(h.processes))
	switch h.processes[process].Status(f) {
	case quarantiner.Quarantined:
		return 0, false
	case quarantiner.OnTrial:
		if process != 0 || trials[f] {
			return 0, false
		}
		trials[f] = true
	}
	return process, true
}

// wave lets all backend servers of the pool run requests at the same time. Those that run a
// culprit crash. A culprit that is sent together with the others comes to each of them.
func (h *history) wave(n int, together bool) {
	var running [poolSize]map[quarantiner.Fingerprint]int
	trials := make(map[quarantiner.Fingerprint]bool)
	for server := range running {
		running[server] = make(map[quarantiner.Fingerprint]int)
		var requests []quarantiner.Fingerprint
		for i, f := range h.culprits {
			if together || (i+n)%len(h.culprits) < 2 || h.random.IntN(3) == 0 {
				requests = append(requests, f)
			}
		}
		for range h.random.IntN(4) {
			f := quarantiner.Fingerprint(fmt.Sprint("popular", h.random.IntN(popular)))
			if h.random.IntN(2) == 0 {
				f = quarantiner.Fingerprint(fmt.Sprint("single", h.random.Uint64()))
			}
			requests = append(requests, f)
		}
		for _, f := range requests {
			if process, ok := h.process(f, trials); ok {
				running[server][f] = process
			}
		}
	}
	for _, requests := range running {
		if slices.ContainsFunc(h.culprits, func(f quarantiner.Fingerprint) bool { _, ok := requests[f]; return ok }) {
			h.crash(requests)
		}
	}
}

// answerPopular answers some of the popular requests.
func (h *history) answerPopular() {
	for i := range popular {
		f := quarantiner.Fingerprint(fmt.Sprint("popular", i))
		if h.random.IntN(2) == 0 && !slices.Contains(h.culprits, f) {
			h.processes[h.random.IntN(len(h.processes))].Clear(f)
		}
	}
}

// crash records that a backend server crashed.
func (h *history) crash(running map[quarantiner.Fingerprint]int) {
	h.crashes++
	id := quarantiner.CrashID(fmt.Sprint(h.crashes))
	for _, f := range slices.Sorted(maps.Keys(running)) {
		h.processes[running[f]].Add(f, id)
		if !slices.Contains(h.culprits, f) {
			continue
		}
		times := h.crashed[f]
		if len(times) >= provenCrashes && time.Since(times[provenCrashes-1]) > stableWindow {
			h.late[f]++
		}
		h.crashed[f] = append(times, time.Now())
	}
}

// TestPromisePoisonHistories guards against a request that crashes backend servers being let pass
// without end, whatever else was running in its crashes and however long it goes on.
func TestPromisePoisonHistories(t *testing.T) {
	trials, violations := 0, 0
	for name, evidence := range map[string]quarantiner.Evidence{
		"complete": quarantiner.Complete, "partial": quarantiner.Partial,
	} {
		for seed := range uint64(max(minSeeds, prover.Seeds())) {
			trials++
			synctest.Test(t, func(t *testing.T) {
				for _, violation := range playHistory(seed, evidence) {
					violations++
					t.Logf("%s evidence, seed %d: %s", name, seed, violation)
				}
			})
		}
	}
	prover.Report(t, prover.PoisonRequest, trials, violations)
}

// playHistory plays a history and returns the violations.
func playHistory(seed uint64, evidence quarantiner.Evidence) []string {
	h := newHistory(seed, evidence)
	together := h.random.IntN(2) == 0
	for n := range waves {
		if n == waves/2 { // A request that has been answered crashes backend servers from now on.
			h.culprits = append(h.culprits, "popular0")
		}
		h.wave(n, together)
		time.Sleep(returnTime)
		h.share()
		h.answerPopular()
	}
	var violations []string
	for _, f := range h.culprits {
		if h.late[f] > maxLateRuns {
			violations = append(violations, fmt.Sprintf("%d processes, %d culprits, together %t: "+
				"%q ran %d times late and crashed %d in all",
				len(h.processes), len(h.culprits), together, string(f), h.late[f], len(h.crashed[f])))
		}
	}
	return violations
}
