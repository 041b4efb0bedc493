package soaker

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/prover"
)

// TestPromisePoisonProcesses guards against requests that crash backend servers being
// sent on forever by entries that call backend servers themselves. The requests come again
// at any entry, with new identifiers, for backend servers with and without agents.
func TestPromisePoisonProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	options, err := Prepare(ctx, "..", filepath.Join(t.TempDir(), "bin"))
	if err != nil {
		t.Fatal(err)
	}
	options.Directory, options.Entries, options.Callers = t.TempDir(), 3, 12
	options.FaultWindow = 10 * time.Second
	schedule := make([]fault, 0, len(paths)+1)
	for target := range paths {
		schedule = append(
			schedule,
			fault{kind: "crashingRequest", target: target, at: time.Duration(target) * time.Second},
		)
	}
	schedule = append(schedule, fault{kind: "kill", target: 1, at: 9 * time.Second})
	result, err := run(ctx, options, schedule)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range result.Violations {
		t.Log(v)
	}
	fmt.Printf(
		"crashing requests: %d requests, %d served, %d crashes\n",
		result.Requests,
		result.Served,
		result.Crashes,
	)
	prover.Report(t, prover.PoisonRequest, len(paths), len(result.Violations))
}

// TestPromisePoisonTogether guards against a request that crashes backend servers being sent
// on because others that do so are always sent at the same time.
func TestPromisePoisonTogether(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	options, err := Prepare(ctx, "..", filepath.Join(t.TempDir(), "bin"))
	if err != nil {
		t.Fatal(err)
	}
	options.Directory, options.Entries, options.Callers = t.TempDir(), 5, 12
	options.FaultWindow, options.CrashDowntime = 30*time.Second, 3*time.Second
	result, err := run(ctx, options, []fault{
		{kind: "crashingCrowd", target: 1},
		{kind: "kill", target: 1, at: 9 * time.Second},
		{kind: "kill", target: 3, at: 20 * time.Second},
		{kind: "move", at: 14 * time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range result.Violations {
		t.Log(v)
	}
	fmt.Printf(
		"crashing together: %d requests, %d served, %d crashes\n",
		result.Requests,
		result.Served,
		result.Crashes,
	)
	prover.Report(t, prover.PoisonRequest, 1, len(result.Violations))
}

// TestPromisePoisonParts guards against requests being sent on that have a part of the prompt in
// common which crashes backend servers, and against the refusal of sound ones with the same
// other parts. Two parts crash, one request does so as a whole, and an entry is killed.
func TestPromisePoisonParts(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	options, err := Prepare(ctx, "..", filepath.Join(t.TempDir(), "bin"))
	if err != nil {
		t.Fatal(err)
	}
	options.Directory, options.Entries, options.Callers = t.TempDir(), 5, 24
	options.FaultWindow = 20 * time.Second
	result, err := run(ctx, options, []fault{
		{kind: "crashingPart", target: 1},
		{kind: "crashingPart", target: 2, at: 8 * time.Second},
		{kind: "crashingRequest", target: 3, at: 5 * time.Second},
		{kind: "kill", target: 1, at: 3 * time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range result.Violations {
		t.Log(v)
	}
	fmt.Printf("crashing parts: %d requests, %d served, %d crashes\n", result.Requests, result.Served, result.Crashes)
	prover.Report(t, prover.PoisonRequest, 1, len(result.Violations))
}
