package throttler

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// State is the state dump of a Throttler.
	State struct {
		Counts

		// Backends lists the backend servers that restrict their requests.
		Backends []BackendState `json:"backends"`
	}

	// BackendState is the state of one backend server in the state dump.
	BackendState struct {
		Backend carawaybeam.BackendID `json:"backend"`
		// Limit is in requests per second, or nil if there is none. This process
		// holds OwnShares of HeldShares. It was told the limit AgeMs ago, or never if
		// that is negative.
		Limit      *carawaybeam.RequestRate `json:"limit,omitempty"`
		OwnShares  int                      `json:"ownShares"`
		HeldShares int                      `json:"heldShares"`
		AgeMs      int64                    `json:"ageMs"`
		Leaving    bool                     `json:"leaving,omitempty"`
		// ClosedForMs is how long it wants no requests.
		ClosedForMs int64 `json:"closedForMs,omitempty"`
	}
)

// State returns the state dump.
func (t *Throttler) State() State {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	state := State{Counts: t.counts, Backends: []BackendState{}}
	for backend, s := range t.states {
		b := BackendState{
			Backend: backend.ID, Leaving: t.isLeaving(now, s), ClosedForMs: s.closedFor(now).Milliseconds(), AgeMs: -1,
		}
		if limit, ok := t.limit(now, backend); ok {
			b.Limit = &limit
			b.OwnShares, b.HeldShares = t.options.Shares.Shares(backend)
		}
		if s.limit != nil {
			b.AgeMs = now.Sub(s.limitedAt).Milliseconds()
		}
		if b.Limit != nil || b.Leaving || b.ClosedForMs > 0 {
			state.Backends = append(state.Backends, b)
		}
	}
	slices.SortFunc(state.Backends, func(a, b BackendState) int { return cmp.Compare(a.Backend, b.Backend) })
	return state
}
