package soaker

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/prover"
)

// runSchedule runs the soak test with the faults of a schedule, and reports the violations as those
// of a promise. The logs are kept if there are any.
func runSchedule(t *testing.T, promise prover.Promise, trials int, options Options, schedule []fault) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	prepared, err := Prepare(ctx, "..", filepath.Join(t.TempDir(), "bin"))
	if err != nil {
		t.Fatal(err)
	}
	options.Programs, options.EntryTemplate, options.AgentTemplate = prepared.Programs, prepared.EntryTemplate,
		prepared.AgentTemplate
	if options.Directory, err = os.MkdirTemp("", t.Name()); err != nil {
		t.Fatal(err)
	}
	result, err := run(ctx, options, schedule)
	if err != nil {
		t.Fatalf("%v; logs are in %s", err, options.Directory)
	}
	for _, v := range result.Violations {
		t.Log(v)
	}
	fmt.Printf(
		"%s: %d requests, %d served, %d crashes, %d by backend servers with limits, %d evacuations, %d by cold ones\n",
		t.Name(),
		result.Requests,
		result.Served,
		result.Crashes,
		result.Limited,
		result.Evacuations,
		result.Cold,
	)
	if len(result.Violations) > 0 {
		fmt.Printf("logs of the violations are in %s\n", options.Directory)
		if err := PrintEvidence(os.Stdout, options.Directory, result.Violations); err != nil {
			t.Error(err)
		}
	} else if err := os.RemoveAll(options.Directory); err != nil {
		t.Error(err)
	}
	prover.Report(t, promise, trials, len(result.Violations))
}
