package soaker

import (
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/prover"
)

// TestPromiseForeignEntriesProcesses guards against entries that end, stop following the backend
// servers, or serve nothing, because another writer has left something among them.
func TestPromiseForeignEntriesProcesses(t *testing.T) {
	t.Parallel()
	options := Options{Entries: 3, Callers: 24, FaultWindow: 12 * time.Second}
	runSchedule(t, prover.OddObject, 1, options, []fault{
		{kind: "oddEntries"},
		{kind: "foreignEntries", at: time.Second},
		{kind: "stop", target: 0, at: 3 * time.Second},
		{kind: "kill", target: 1, at: 6 * time.Second},
	})
}

// TestPromiseConditionalCallerProcesses guards against a caller that takes all backend servers away from
// the others by requests which none of them may run.
func TestPromiseConditionalCallerProcesses(t *testing.T) {
	t.Parallel()
	options := Options{Entries: 2, Callers: 16, FaultWindow: 6 * time.Second}
	runSchedule(t, prover.OddObject, 1, options, []fault{
		{kind: "conditionalCaller", target: 0},
		{kind: "conditionalCaller", target: 1, at: time.Second},
		{kind: "conditionalCaller", target: 2, at: 2 * time.Second},
	})
}
