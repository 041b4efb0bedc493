package soaker

import (
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/prover"
)

// TestPromisePoisonProcesses guards against requests that crash backend servers being
// sent on forever by entries that call backend servers themselves. The requests come again
// at any entry, with new identifiers, for backend servers with and without agents.
func TestPromisePoisonProcesses(t *testing.T) {
	schedule := make([]fault, 0, len(paths)+1)
	for target := range paths {
		schedule = append(
			schedule,
			fault{kind: "crashingRequest", target: target, at: time.Duration(target) * time.Second},
		)
	}
	schedule = append(schedule, fault{kind: "kill", target: 1, at: 9 * time.Second})
	options := Options{Entries: 3, Callers: 12, FaultWindow: 10 * time.Second}
	runSchedule(t, prover.PoisonRequest, len(paths), options, schedule)
}

// TestPromisePoisonTogether guards against a request that crashes backend servers being sent
// on because others that do so are always sent at the same time.
func TestPromisePoisonTogether(t *testing.T) {
	options := Options{Entries: 5, Callers: 12, FaultWindow: 30 * time.Second, CrashDowntime: 3 * time.Second}
	runSchedule(t, prover.PoisonRequest, 1, options, []fault{
		{kind: "crashingCrowd", target: 1},
		{kind: "kill", target: 1, at: 9 * time.Second},
		{kind: "kill", target: 3, at: 20 * time.Second},
		{kind: "move", at: 14 * time.Second},
	})
}

// TestPromisePoisonParts guards against requests being sent on that have a part of the prompt in
// common which crashes backend servers, and against the refusal of sound ones with the same
// other parts. Two parts crash, one request does so as a whole, and an entry is killed.
func TestPromisePoisonParts(t *testing.T) {
	options := Options{Entries: 5, Callers: 24, FaultWindow: 20 * time.Second}
	runSchedule(t, prover.PoisonRequest, 1, options, []fault{
		{kind: "crashingPart", target: 1},
		{kind: "crashingPart", target: 2, at: 8 * time.Second},
		{kind: "crashingRequest", target: 3, at: 5 * time.Second},
		{kind: "kill", target: 1, at: 3 * time.Second},
	})
}
