package prover_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/applier"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/launcher"
	"github.com/carawaybeam/carawaybeam/prover"
)

const (
	// forceBound is how long an accepted change may take to be in force.
	forceBound = 6 * time.Second

	readInterval = 100 * time.Millisecond
	readTimeout  = time.Second
	changedClass = "bookings"

	races = 10
	// raceTarget is the first target of the operators who race, in milliseconds.
	raceTarget = 7000
)

// host is one process whose configuration is read from its state dump.
type host struct {
	*launcher.Process

	admin string
	// live is since when the process runs unpaused. It is zero while paused or
	// killed.
	live time.Time
	held configurer.ClassState
	// reverts counts the reads that showed an older version than the one before.
	reverts int
	// unknown counts the reads that showed a target never accepted.
	unknown int
}

// read reads the class from the state dump of the process.
func (h *host) read(t *testing.T, accepted map[int64]bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
	defer cancel()
	var dump struct {
		State struct {
			Classes []configurer.ClassState `json:"classes"`
		} `json:"state"`
	}
	if h.live.IsZero() || launcher.FetchJSON(ctx, h.admin+"/state", &dump) != nil {
		return
	}
	for _, class := range dump.State.Classes {
		if class.Class != changedClass {
			continue
		}
		if class.Version < h.held.Version {
			h.reverts++
		}
		if !accepted[class.CompletedMs] {
			h.unknown++
		}
		h.held = class
	}
}

// operate asks an entry for a new target of the class, as cbctl does.
func operate(t *testing.T, entry *launcher.Entry, completedMs int64) applier.Result {
	t.Helper()
	document := fmt.Sprintf(
		`{"kind":"service","pool":"desk","idempotent":false,"targets":{"completed":"%dms","completion":"99.9%%"}}`,
		completedMs,
	)
	result := applier.Result{Status: applier.StatusUncertain}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	url := entry.Admin + "/v1/objects/class/" + changedClass
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewBufferString(document))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+launcher.OperatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(data, &result) != nil {
		t.Errorf("entry answered %d %s", response.StatusCode, data)
	}
	return result
}

// configTrial is one change with a fault around it.
type configTrial struct {
	name string
	// entry is the position of the entry asked.
	entry int
	// before and after are brought about before the change is asked for and
	// after its answer.
	before, after func() error
}

// hosts returns all entries and then all agents.
func hosts(f *launcher.Fleet) []*host {
	all := make([]*host, 0, len(f.Entries)+len(f.Slots))
	for _, e := range f.Entries {
		all = append(all, &host{Process: e.Process, admin: e.Admin, live: time.Now()})
	}
	for _, s := range f.Slots {
		all = append(all, &host{Process: s.Agent, admin: s.Admin, live: time.Now()})
	}
	return all
}

func (h *host) pause() error {
	h.live = time.Time{}
	return h.Signal(syscall.SIGSTOP)
}

func (h *host) wake() error {
	h.live = time.Now()
	return h.Signal(syscall.SIGCONT)
}

func (h *host) kill() error {
	h.live = time.Time{}
	return h.Kill()
}

func (h *host) begin() error {
	h.live = time.Now()
	return h.Start()
}

// awaitForce reads all processes until each live one holds the version, and
// returns how many did not in time and the longest time taken.
func awaitForce(
	t *testing.T,
	all []*host,
	result applier.Result,
	accepted map[int64]bool,
) (late int, slowest time.Duration) {
	t.Helper()
	since := time.Now()
	for {
		late = 0
		for _, h := range all {
			h.read(t, accepted)
			if !h.live.IsZero() && h.held.Version < result.Version {
				late++
			}
		}
		took := time.Since(since)
		if late == 0 || took > forceBound {
			return late, took
		}
		time.Sleep(readInterval)
	}
}

// race asks two entries at once for different targets and returns the accepted
// changes.
func race(t *testing.T, f *launcher.Fleet, i int, accepted map[int64]bool) []applier.Result {
	t.Helper()
	var wait sync.WaitGroup
	results := make([]applier.Result, 2)
	for n := range results {
		wait.Go(func() {
			results[n] = operate(t, f.Entries[(i+n)%len(f.Entries)], raceTarget+int64(2*i+n))
		})
	}
	wait.Wait()
	var taken []applier.Result
	for n, result := range results {
		accepted[raceTarget+int64(2*i+n)] = result.Status == applier.StatusAccepted
		if result.Status == applier.StatusAccepted {
			taken = append(taken, result)
		}
	}
	return taken
}

// configTrials brings about the faults one after another.
func configTrials(t *testing.T, f *launcher.Fleet, all []*host) []configTrial {
	order := func(fault string) func() error {
		return func() error { return f.SetStoreFault(t.Context(), fault) }
	}
	heal := order(`{"mode":"none"}`)
	return []configTrial{
		{name: "calm", entry: 0},
		{name: "other entry", entry: 1},
		{name: "entry paused", entry: 0, before: all[2].pause},
		{name: "entry woken", entry: 1, before: all[2].wake},
		{name: "agent paused", entry: 2, before: all[3].pause},
		{name: "agent woken", entry: 0, before: all[3].wake},
		{name: "answer lost", entry: 1, before: order(`{"mode":"lostAnswer"}`), after: heal},
		{name: "store slow", entry: 2, before: order(`{"mode":"slow","delay":1000000000}`), after: heal},
		{name: "outage after accept", entry: 0, after: order(`{"mode":"down"}`)},
		{name: "store down", entry: 1},
		{name: "healed", entry: 2, before: heal},
		{name: "asked entry killed after accept", entry: 0, after: all[0].kill},
		{name: "entry restarted", entry: 1, before: all[0].begin},
		{name: "agent killed", entry: 2, before: all[4].kill},
		{name: "agent restarted", entry: 0, before: all[4].begin},
	}
}

// TestPromiseProcessConfig changes a target through all entries while processes
// are paused, killed and started again and the store fails.
func TestPromiseProcessConfig(t *testing.T) {
	f := startFleetOf(t, 2, 0, 3)
	all := hosts(f)
	accepted := map[int64]bool{5000: true}
	counts := make(map[applier.Status]int)
	violations, slowest := 0, time.Duration(0)
	for i, trial := range configTrials(t, f, all) {
		do(t, trial.before)
		completedMs := int64(6000 + i)
		result := operate(t, f.Entries[trial.entry], completedMs)
		counts[result.Status]++
		accepted[completedMs] = result.Status == applier.StatusAccepted || result.Status == applier.StatusUncertain
		do(t, trial.after)
		if result.Status != applier.StatusAccepted {
			t.Log(trial.name, result.Status, result.Detail)
			continue
		}
		late, took := awaitForce(t, all, result, accepted)
		slowest = max(slowest, took)
		if late > 0 {
			t.Logf("%s: not in force in %d processes", trial.name, late)
			violations += late
		}
	}
	raced := 0
	for i := range races {
		for _, result := range race(t, f, i, accepted) {
			late, took := awaitForce(t, all, result, accepted)
			slowest = max(slowest, took)
			violations += late
			raced++
		}
	}
	for range int(forceBound / readInterval) {
		for _, h := range all {
			h.read(t, accepted)
		}
		time.Sleep(readInterval)
	}
	for _, h := range all {
		violations += h.reverts + h.unknown
	}
	fmt.Printf("processes: changes %v, accepted of %d that raced %d, slowest in force %v\n",
		counts, 2*races, raced, slowest.Round(time.Millisecond))
	prover.Report(t, prover.ConfigInForce, counts[applier.StatusAccepted]+raced, violations)
}

func do(t *testing.T, act func() error) {
	t.Helper()
	if act == nil {
		return
	}
	if err := act(); err != nil {
		t.Error(err)
	}
}
