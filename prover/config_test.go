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
	// inForceBound is how long an accepted change may take to come into force
	// in every running process.
	inForceBound = 6 * time.Second

	readInterval = 100 * time.Millisecond
	readTimeout  = time.Second
	changedClass = "bookings"

	races = 10
	// firstRaceTargetMs is the first completion target that the concurrent changes set,
	// in milliseconds. Each change sets its own.
	firstRaceTargetMs = 7000
)

// observedProcess is a process whose configuration is read from its state dump.
type observedProcess struct {
	*launcher.Process

	admin string
	// runningSince is when the process was last started or resumed. It is zero
	// while the process is paused or killed.
	runningSince time.Time
	lastSeen     configurer.ClassState
	// reverts counts reads that returned an older version than the previous read.
	reverts int
	// unknown counts reads that returned a target that was not accepted.
	unknown int
}

// read fetches the state dump of the process and records its version of the class.
// It does nothing if the process is not running or does not answer.
func (p *observedProcess) read(t *testing.T, accepted map[int64]bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readTimeout)
	defer cancel()
	var dump struct {
		State struct {
			Classes []configurer.ClassState `json:"classes"`
		} `json:"state"`
	}
	if p.runningSince.IsZero() || launcher.FetchJSON(ctx, p.admin+"/state", &dump) != nil {
		return
	}
	for _, class := range dump.State.Classes {
		if class.Class != changedClass {
			continue
		}
		if class.Version < p.lastSeen.Version {
			p.reverts++
		}
		if !accepted[class.CompletedMs] {
			p.unknown++
		}
		p.lastSeen = class
	}
}

// changeTarget sets the target of the class through an entry, as cbctl does.
func changeTarget(t *testing.T, entry *launcher.Entry, completedMs int64) applier.Result {
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
		t.Errorf("entry answered with status %d: %s", response.StatusCode, data)
	}
	return result
}

// configTrial is one change of the configuration, made during or before a fault.
type configTrial struct {
	name string
	// entry is the index of the entry that the change is sent to.
	entry int
	// before and after inject or end faults, before the change is sent and after
	// its answer. Either may be nil.
	before, after func() error
}

// observeAll returns all entries followed by all agents.
func observeAll(f *launcher.Fleet) []*observedProcess {
	all := make([]*observedProcess, 0, len(f.Entries)+len(f.Slots))
	for _, e := range f.Entries {
		all = append(all, &observedProcess{Process: e.Process, admin: e.Admin, runningSince: time.Now()})
	}
	for _, s := range f.Slots {
		all = append(all, &observedProcess{Process: s.Agent, admin: s.Admin, runningSince: time.Now()})
	}
	return all
}

func (p *observedProcess) pause() error {
	p.runningSince = time.Time{}
	return p.Signal(syscall.SIGSTOP)
}

func (p *observedProcess) resume() error {
	p.runningSince = time.Now()
	return p.Signal(syscall.SIGCONT)
}

func (p *observedProcess) kill() error {
	p.runningSince = time.Time{}
	return p.Kill()
}

func (p *observedProcess) restart() error {
	p.runningSince = time.Now()
	return p.Start()
}

// awaitInForce polls all processes until each running one has the version of the
// result or inForceBound has passed. It returns the number of processes without the
// version and the time waited.
func awaitInForce(
	t *testing.T,
	all []*observedProcess,
	result applier.Result,
	accepted map[int64]bool,
) (late int, slowest time.Duration) {
	t.Helper()
	since := time.Now()
	for {
		late = 0
		for _, p := range all {
			p.read(t, accepted)
			if !p.runningSince.IsZero() && p.lastSeen.Version < result.Version {
				late++
			}
		}
		took := time.Since(since)
		if late == 0 || took > inForceBound {
			return late, took
		}
		time.Sleep(readInterval)
	}
}

// race sends different targets to two entries concurrently and returns the accepted
// results.
func race(t *testing.T, f *launcher.Fleet, i int, accepted map[int64]bool) []applier.Result {
	t.Helper()
	var wait sync.WaitGroup
	results := make([]applier.Result, 2)
	for n := range results {
		wait.Go(func() {
			results[n] = changeTarget(t, f.Entries[(i+n)%len(f.Entries)], firstRaceTargetMs+int64(2*i+n))
		})
	}
	wait.Wait()
	var acceptedResults []applier.Result
	for n, result := range results {
		accepted[firstRaceTargetMs+int64(2*i+n)] = result.Status == applier.StatusAccepted
		if result.Status == applier.StatusAccepted {
			acceptedResults = append(acceptedResults, result)
		}
	}
	return acceptedResults
}

// configTrials returns the trials in order. A fault lasts until a later trial ends it.
func configTrials(t *testing.T, f *launcher.Fleet, all []*observedProcess) []configTrial {
	setFault := func(fault string) func() error {
		return func() error { return f.SetStoreFault(t.Context(), fault) }
	}
	heal := setFault(`{"mode":"none"}`)
	return []configTrial{
		{name: "no fault", entry: 0},
		{name: "other entry", entry: 1},
		{name: "entry paused", entry: 0, before: all[2].pause},
		{name: "entry resumed", entry: 1, before: all[2].resume},
		{name: "agent paused", entry: 2, before: all[3].pause},
		{name: "agent resumed", entry: 0, before: all[3].resume},
		{name: "answer lost", entry: 1, before: setFault(`{"mode":"lostAnswer"}`), after: heal},
		{name: "store slow", entry: 2, before: setFault(`{"mode":"slow","delay":1000000000}`), after: heal},
		{name: "outage after accept", entry: 0, after: setFault(`{"mode":"down"}`)},
		{name: "store down", entry: 1},
		{name: "healed", entry: 2, before: heal},
		{name: "entry killed after accepting the change", entry: 0, after: all[0].kill},
		{name: "entry restarted", entry: 1, before: all[0].restart},
		{name: "agent killed", entry: 2, before: all[4].kill},
		{name: "agent restarted", entry: 0, before: all[4].restart},
	}
}

// TestPromiseProcessConfig checks that accepted changes come into force within
// inForceBound and never revert. It changes a target through all entries while
// processes are paused, killed and restarted and while the store fails, then through
// two entries concurrently.
func TestPromiseProcessConfig(t *testing.T) {
	f := startFleetOf(t, 2, 0, 3)
	all := observeAll(f)
	accepted := map[int64]bool{5000: true}
	counts := make(map[applier.Status]int)
	violations, slowest := 0, time.Duration(0)
	for i, trial := range configTrials(t, f, all) {
		runStep(t, trial.before)
		completedMs := int64(6000 + i)
		result := changeTarget(t, f.Entries[trial.entry], completedMs)
		counts[result.Status]++
		accepted[completedMs] = result.Status == applier.StatusAccepted || result.Status == applier.StatusUncertain
		runStep(t, trial.after)
		if result.Status != applier.StatusAccepted {
			t.Log(trial.name, result.Status, result.Detail)
			continue
		}
		late, took := awaitInForce(t, all, result, accepted)
		slowest = max(slowest, took)
		if late > 0 {
			t.Logf("%s: change is not in force in %d processes", trial.name, late)
			violations += late
		}
	}
	raced := 0
	for i := range races {
		for _, result := range race(t, f, i, accepted) {
			late, took := awaitInForce(t, all, result, accepted)
			slowest = max(slowest, took)
			violations += late
			raced++
		}
	}
	for range int(inForceBound / readInterval) {
		for _, p := range all {
			p.read(t, accepted)
		}
		time.Sleep(readInterval)
	}
	for _, p := range all {
		violations += p.reverts + p.unknown
	}
	fmt.Printf("processes: changes %v, accepted of %d that raced %d, slowest in force %v\n",
		counts, 2*races, raced, slowest.Round(time.Millisecond))
	prover.Report(t, prover.ConfigInForce, counts[applier.StatusAccepted]+raced, violations)
}

// runStep calls a step of a trial, unless it is nil, and reports its error.
func runStep(t *testing.T, act func() error) {
	t.Helper()
	if act == nil {
		return
	}
	if err := act(); err != nil {
		t.Error(err)
	}
}
