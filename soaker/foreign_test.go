package soaker

import (
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/prover"
)

// TestPromiseForeignEntriesProcesses guards against entries that end, stop following the backend
// servers, or serve nothing, because another writer has left something among them.
func TestPromiseForeignEntriesProcesses(t *testing.T) {
	options := Options{Entries: 3, Callers: 24, FaultWindow: 12 * time.Second}
	runSchedule(t, prover.OddObject, 1, options, []fault{
		{kind: "oddEntries"},
		{kind: "foreignEntries", at: time.Second},
		{kind: "stop", target: 0, at: 3 * time.Second},
		{kind: "kill", target: 1, at: 6 * time.Second},
	})
}
