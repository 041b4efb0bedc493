package applier_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/prover"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// maxLoggedViolations is how many violations of one trial are logged at most.
const maxLoggedViolations = 5

func TestPromiseConfigInForceInNamedScenarios(t *testing.T) {
	files, err := filepath.Glob("../traces/promises/config*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	trials, violations := 0, 0
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			in, err := os.Open(file)
			is.NoErr(err)
			defer func() { _ = in.Close() }()
			_, events, err := tracer.Read[configEvent](in, kindConfigFaults)
			is.NoErr(err)
			expected, err := os.Open(strings.TrimSuffix(file, ".jsonl") + ".outcome.json")
			is.NoErr(err)
			defer func() { _ = expected.Close() }()
			outcome, err := tracer.ReadOutcome(expected)
			is.NoErr(err)
			synctest.Test(t, func(t *testing.T) {
				r := run(t, events)
				logResult(t, r)
				for _, miss := range outcome.Check(r.figures()) {
					t.Error(miss)
				}
				trials += len(r.outcomes)
				violations += len(r.violations)
			})
		})
	}
	prover.Report(t, prover.ConfigInForce, trials, violations)
}

func TestPromiseConfigInForceUnderRandomFaults(t *testing.T) {
	trials, violations := 0, 0
	for seed := range prover.Seeds() {
		events := randomTrace(uint64(seed + 1))
		t.Run(fmt.Sprint("seed", seed+1), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := run(t, events)
				logResult(t, r)
				trials += len(r.outcomes)
				violations += len(r.violations)
				if len(r.violations) > 0 {
					saveTrace(t, uint64(seed+1), events)
				}
			})
		})
	}
	prover.Report(t, prover.ConfigInForce, trials, violations)
}

func logResult(t *testing.T, r *replay) {
	t.Helper()
	for _, v := range r.violations[:min(len(r.violations), maxLoggedViolations)] {
		t.Log(v)
	}
	t.Log(r.figures())
}

// saveTrace writes the trace of a trial with violations to a temporary file.
func saveTrace(t *testing.T, seed uint64, events []configEvent) {
	t.Helper()
	out, err := os.CreateTemp("", "configFaults*.jsonl")
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = out.Close() }()
	header := tracer.Header{Kind: kindConfigFaults, Name: "violation", Source: "random", Seed: seed}
	if err := tracer.Write(out, header, events); err != nil {
		t.Error(err)
	}
	t.Log("trace is in", out.Name())
}
