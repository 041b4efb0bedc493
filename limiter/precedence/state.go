package precedence

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// Count is the number of requests of a priority that were admitted, or refused for a
	// reason, since the start.
	Count struct {
		Priority int `json:"priority"`
		// Reason is empty for admitted requests.
		Reason   carawaybeam.RefusalReason `json:"reason,omitempty"`
		Requests uint64                    `json:"requests"`
	}

	// State is the state dump of a Limiter.
	State struct {
		Counts []Count     `json:"counts"`
		Pools  []PoolState `json:"pools"`
	}

	// PoolState is the state dump of a pool with several priorities.
	PoolState struct {
		Pool carawaybeam.PoolID `json:"pool"`
		// Running is the estimated number of running requests of all entries, and Scale
		// how many times more these have than this entry.
		Running float64 `json:"running"`
		Scale   float64 `json:"scale"`
		// Times is the number of routes and sizes of work whose response times are known.
		Times int         `json:"times"`
		Kinds []KindState `json:"kinds"`
	}

	// KindState is the state dump of the requests of one priority.
	KindState struct {
		Priority int `json:"priority"`
		// Offered is the number of requests per second at this entry.
		Offered float64 `json:"offered"`
		// Admitted is the share of the requests that were admitted lately.
		Admitted float64 `json:"admitted"`
		// Kept is how many places less urgent requests leave free for these, or fewer if
		// answers are shorter than 300 ms.
		Kept float64 `json:"kept"`
		// WaitMs is the wait at backend servers that do not report their load, as far as it
		// is more than chance.
		WaitMs        int64 `json:"waitMs"`
		Organisations int   `json:"organisations"`
		// FairTokens is the fair share of one organisation in tokens per second, or -1 while
		// no organisation is limited to it.
		FairTokens float64 `json:"fairTokens"`
	}
)

var _ carawaybeam.StateDumper = (*Limiter)(nil)

// Counts returns the numbers of decisions in pools with several priorities, and of refusals of
// requests that could not end in time.
func (l *Limiter) Counts() []Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make([]Count, 0, len(l.counts))
	for key, n := range l.counts {
		counts = append(counts, Count{Priority: key.priority, Reason: key.reason, Requests: n})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Reason, b.Reason))
	})
	return counts
}

// State returns the state dump as a State.
func (l *Limiter) State() any {
	state := State{Counts: l.Counts(), Pools: []PoolState{}}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for id, p := range l.pools {
		state.Pools = append(state.Pools, p.state(now, id))
	}
	slices.SortFunc(state.Pools, func(a, b PoolState) int { return cmp.Compare(a.Pool, b.Pool) })
	return state
}

func (p *pool) state(now time.Time, id carawaybeam.PoolID) PoolState {
	state := PoolState{
		Pool:    id,
		Running: p.poolRunning.value,
		Scale:   p.scale(),
		Times:   len(p.times.cells),
		Kinds:   []KindState{},
	}
	for _, k := range p.kinds {
		offered := k.offered.perSecond(now)
		s := KindState{
			Priority: k.priority, Offered: offered, Organisations: len(k.shares.usages), FairTokens: -1,
			Kept: need(offered*p.scale(), reserveTime), WaitMs: k.samples.excess(now).Milliseconds(),
			Admitted: k.admittedLately.get(now, shareDecay) /
				max(1, k.offeredLately.get(now, shareDecay)),
		}
		if level := k.shares.level(now); !math.IsInf(level, 1) {
			s.FairTokens = level / workDecay.Seconds()
		}
		state.Kinds = append(state.Kinds, s)
	}
	return state
}
