package soaker

import (
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/prover"
)

// TestLostAnswersSayNothing checks that an entry is not bound by answers that a fault kept from it, and
// by all others.
func TestLostAnswersSayNothing(t *testing.T) {
	began := time.Now()
	h := history{hosts: map[string]int{"a": 3, "b": 4}, faults: []injectedFault{
		{kind: "linkMute", scope: onServer, target: 3, beganAt: began, endedAt: began.Add(4 * time.Second)},
		{kind: "linkDeaf", scope: onServer, target: 4, beganAt: began, endedAt: began.Add(4 * time.Second)},
	}}
	for _, test := range []struct {
		server string
		at     time.Duration
		lost   bool
	}{
		{"a", -time.Millisecond, false},
		{"a", time.Millisecond, true},
		{"a", 3999 * time.Millisecond, true},
		{"a", 4001 * time.Millisecond, false},
		{"b", time.Second, false},
	} {
		if got := h.losesAnswers(test.server, began.Add(test.at)); got != test.lost {
			t.Errorf("answer of %s %v after the beginning is lost: %t", test.server, test.at, got)
		}
	}
}

// TestPromiseServerLimitProcesses guards against entries that together send a backend server more
// requests than the limit that it names, though each of them was told. The backend servers are with
// and without agents.
func TestPromiseServerLimitProcesses(t *testing.T) {
	options := Options{Entries: 5, Callers: 24, FaultWindow: 12 * time.Second}
	runSchedule(t, prover.ServerLimit, 1, options, []fault{
		{kind: "nameLimit", target: 0, duration: 14 * time.Second},
		{kind: "nameLimit", target: 3, duration: 14 * time.Second},
		{kind: "nameLimit", target: 4, at: 2 * time.Second, duration: 10 * time.Second},
	})
}

// TestPromiseSignalsProcesses guards against requests to backend servers that have said in their
// answers that they are leaving, or that they want no requests for a time. The backend servers are
// with and without agents.
func TestPromiseSignalsProcesses(t *testing.T) {
	options := Options{Entries: 3, Callers: 24, FaultWindow: 10 * time.Second}
	runSchedule(t, prover.ServerSignals, 1, options, []fault{
		{kind: "nameLeaving", target: 0},
		{kind: "refuseFor", target: 1, duration: 4 * time.Second},
		{kind: "refuseFor", target: 3, at: time.Second, duration: 3 * time.Second},
		{kind: "refuseFor", target: 1, at: 7 * time.Second, duration: 3 * time.Second},
		{kind: "nameLeaving", target: 4, at: 5 * time.Second},
	})
}
