package soaker

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/prover"
)

// TestChecksFindUnservedOthers checks when requests that are not served beside misbehaving clients violate the
// promise. The clients misbehave from second 10 to 20.
func TestChecksFindUnservedOthers(t *testing.T) {
	tests := map[string]struct {
		refused, cut int
		change       func(h *history, s *sentRequest)
		violates     bool
	}{
		"all served":      {0, 0, nil, false},
		"a few refused":   {2, 0, nil, false},
		"many refused":    {3, 0, nil, true},
		"many cut off":    {0, 3, nil, true},
		"of other entry":  {30, 0, func(_ *history, s *sentRequest) { s.entry = 1 }, false},
		"before":          {30, 0, func(_ *history, s *sentRequest) { s.sentAt = at(9 * time.Second) }, false},
		"slow themselves": {30, 0, func(_ *history, s *sentRequest) { s.slow = true }, false},
		"beside an evacuation": {30, 0, func(h *history, _ *sentRequest) {
			h.faultBegan(injectedFault{kind: "evacuate", scope: onDataCentre, beganAt: at(8 * time.Second)})
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, _, _ := newHistory()
			h.faultBegan(injectedFault{
				kind:    "stalledBodies",
				scope:   onCaller,
				target:  3,
				beganAt: at(10 * time.Second),
				endedAt: at(20 * time.Second),
			})
			for n := range 45 {
				_, s, _ := newHistory()
				s.id, s.sentAt, s.endedAt = fmt.Sprintf("r%d", n), at(11*time.Second), at(12*time.Second)
				switch {
				case n < test.refused:
					s.reply.Status = 503
				case n < test.refused+test.cut:
					s.err = errors.New("connection reset")
				}
				if test.change != nil {
					test.change(h, s)
				}
				h.addRequest(*s)
			}
			violations := 0
			h.checkOthersServed(3, func(string, ...any) { violations++ })
			if (violations > 0) != test.violates {
				t.Errorf("found %d violations, want any %t", violations, test.violates)
			}
		})
	}
}

// TestPromiseMisbehavingClientsProcesses guards against entries that end, use more than their memory, run requests
// whose bodies have no end or do not serve others, while clients send bodies that stop short of their end, and
// read slowly or not at all.
func TestPromiseMisbehavingClientsProcesses(t *testing.T) {
	options := Options{Entries: 3, Callers: 24, FaultWindow: 18 * time.Second}
	runSchedule(t, prover.Soak, 1, options, []fault{
		{kind: "stalledBodies", target: 0, duration: 6 * time.Second},
		{kind: "stalledBodies", target: 2, duration: 6 * time.Second},
		{kind: "slowReaders", target: 3, at: 8 * time.Second, duration: 4 * time.Second},
		{kind: "slowReaders", target: 1, at: 8 * time.Second, duration: 4 * time.Second},
		{kind: "stalledBodies", target: 3, at: 12 * time.Second, duration: 4 * time.Second},
	})
}
