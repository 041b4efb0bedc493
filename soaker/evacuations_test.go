package soaker

import (
	"fmt"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
	"github.com/carawaybeam/carawaybeam/prover"
)

// TestChecksFindSendsToEvacuated checks which requests that reach an evacuated data centre violate the
// promise. The data centre of the backend server is evacuated from second 10 on.
func TestChecksFindSendsToEvacuated(t *testing.T) {
	faultAt := func(kind string, from, to time.Duration) func(*history) {
		return func(h *history) {
			h.faultBegan(injectedFault{kind: kind, scope: kinds[kind].scope, beganAt: at(from), endedAt: at(to)})
		}
	}
	lifted := func(from, again time.Duration) func(*history) {
		return func(h *history) {
			h.evacuationLifted(0, at(from))
			if again > 0 {
				h.evacuationSet(evacuation{setAt: at(again)})
			}
		}
	}
	none := func(*history) {}
	tests := map[string]struct {
		change   func(h *history)
		arrives  time.Duration
		misled   bool
		violates bool
	}{
		"before":           {none, 9 * time.Second, false, false},
		"within the bound": {none, 14900 * time.Millisecond, false, false},
		"after the bound":  {none, 15 * time.Second, false, true},
		"turned away":      {none, 16 * time.Second, true, false},
		"after the end":    {lifted(15*time.Second, 0), 16 * time.Second, false, false},
		"set again, between": {
			lifted(15*time.Second, 15700*time.Millisecond),
			15500 * time.Millisecond,
			false,
			true,
		},
		"set again, after":      {lifted(15*time.Second, 15700*time.Millisecond), 16 * time.Second, false, true},
		"set again late, after": {lifted(15*time.Second, 16*time.Second), 17 * time.Second, false, false},
		"set again late, long":  {lifted(15*time.Second, 16*time.Second), 21 * time.Second, false, true},
		"set again after a fault, before": {func(h *history) {
			lifted(16*time.Second, 16500*time.Millisecond)(h)
			faultAt("storeDown", 15*time.Second, 16*time.Second)(h)
		}, 15500 * time.Millisecond, false, true},
		"store down": {
			faultAt("storeDown", 11*time.Second, 17*time.Second),
			16 * time.Second,
			false,
			false,
		},
		"store was down": {
			faultAt("storeDown", 11*time.Second, 12*time.Second),
			17 * time.Second,
			false,
			true,
		},
		"known, store down": {
			faultAt("storeDown", 15*time.Second, 30*time.Second),
			16 * time.Second,
			false,
			true,
		},
		"known, killed": {faultAt("kill", 15*time.Second, 16*time.Second), 17 * time.Second, false, true},
		"back from an older copy": {
			faultAt("storeBack", 9*time.Second, 13*time.Second),
			17 * time.Second,
			false,
			false,
		},
		"store slow": {faultAt("storeSlow", 9*time.Second, 20*time.Second), 15 * time.Second, false, true},
		"other entry cut off": {func(h *history) {
			h.faultBegan(injectedFault{kind: "storeCut", scope: onEntry, target: 1, beganAt: at(0)})
		}, 15 * time.Second, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, sent, r := newHistory()
			h.serverStarted(r.Server, 0)
			h.addRequest(*sent)
			h.evacuationSet(evacuation{setAt: at(10 * time.Second)})
			test.change(h)
			a := emulator.Arrival{Request: sent.id, Server: r.Server, At: at(test.arrives), Misdirected: test.misled}
			var found []string
			h.checkEvacuations([]emulator.Arrival{a}, func(format string, args ...any) {
				found = append(found, fmt.Sprintf(format, args...))
			})
			if (len(found) > 0) != test.violates {
				t.Errorf("found %q, want a violation %t", found, test.violates)
			}
		})
	}
}

// TestPromiseEvacuationProcesses guards against requests to evacuated data centres while entries are restarted,
// suspended and cut off, and the store is away or comes back from an older copy.
func TestPromiseEvacuationProcesses(t *testing.T) {
	t.Parallel()
	options := Options{Entries: 3, Callers: 24, FaultWindow: 14 * time.Second}
	runSchedule(t, prover.Evacuation, 1, options, []fault{
		{kind: "evacuateAgain", target: 1, duration: 3 * time.Second},
		{kind: "kill", target: 0, at: 6 * time.Second},
		{kind: "storeDown", target: noTarget, at: 6500 * time.Millisecond, duration: time.Second},
		{kind: "storeBack", target: noTarget, at: 9 * time.Second, duration: time.Second},
		{kind: "evacuate", target: 0, at: 10 * time.Second, duration: 4 * time.Second},
		{kind: "pause", target: 1, at: 11 * time.Second, duration: time.Second},
		{kind: "storeCut", target: 2, at: 17 * time.Second, duration: time.Second},
	})
}
