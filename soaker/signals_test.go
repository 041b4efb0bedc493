package soaker

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/prover"
)

// TestPromiseServerLimitProcesses guards against entries that together send a backend server more
// requests than the limit that it names, though each of them was told. The backend servers are with
// and without agents.
func TestPromiseServerLimitProcesses(t *testing.T) {
	options, err := Prepare(t.Context(), "..", filepath.Join(t.TempDir(), "bin"))
	if err != nil {
		t.Fatal(err)
	}
	options.Directory, options.Entries, options.Callers = t.TempDir(), 5, 24
	options.FaultWindow = 12 * time.Second
	result, err := run(t.Context(), options, []fault{
		{kind: "nameLimit", target: 0, duration: 14 * time.Second},
		{kind: "nameLimit", target: 3, duration: 14 * time.Second},
		{kind: "nameLimit", target: 4, at: 2 * time.Second, duration: 10 * time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range result.Violations {
		t.Log(v)
	}
	fmt.Printf(
		"limits of backend servers: %d requests, %d served, %d by backend servers with limits\n",
		result.Requests, result.Served, result.Limited,
	)
	prover.Report(t, prover.ServerLimit, 1, len(result.Violations))
}

// TestPromiseSignalsProcesses guards against requests to backend servers that have said in their
// answers that they are leaving, or that they want no requests for a time. The backend servers are
// with and without agents.
func TestPromiseSignalsProcesses(t *testing.T) {
	options, err := Prepare(t.Context(), "..", filepath.Join(t.TempDir(), "bin"))
	if err != nil {
		t.Fatal(err)
	}
	options.Directory, options.Entries, options.Callers = t.TempDir(), 3, 24
	options.FaultWindow = 10 * time.Second
	result, err := run(t.Context(), options, []fault{
		{kind: "nameLeaving", target: 0},
		{kind: "refuseFor", target: 1, duration: 4 * time.Second},
		{kind: "refuseFor", target: 3, at: time.Second, duration: 3 * time.Second},
		{kind: "refuseFor", target: 1, at: 7 * time.Second, duration: 3 * time.Second},
		{kind: "nameLeaving", target: 4, at: 5 * time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range result.Violations {
		t.Log(v)
	}
	fmt.Printf("signals of backend servers: %d requests, %d served\n", result.Requests, result.Served)
	prover.Report(t, prover.ServerSignals, 1, len(result.Violations))
}
