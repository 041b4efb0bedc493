package hedger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// Counts counts the second attempts of one route.
	Counts struct {
		// Sent is how many were sent, Won how many of them brought the answer, and Cancelled how
		// many were cancelled because the first attempt brought it. The others failed, or their
		// client left.
		Sent      uint64 `json:"sent"`
		Won       uint64 `json:"won"`
		Cancelled uint64 `json:"cancelled"`
		// Suppressed is how often one was due and not sent, by reason. One that is not forecast to be
		// sooner is due again later.
		Suppressed map[Reason]uint64 `json:"suppressed"`
	}

	// KindState is the state of a kind in the state dump.
	KindState struct {
		Pool  carawaybeam.PoolID  `json:"pool"`
		Route carawaybeam.RouteID `json:"route"`
		// Samples is the number of recent latencies. DelayMs is after what time a second attempt is
		// due, or 0 while there are too few samples, and MedianMs the usual latency.
		Samples  int64 `json:"samples"`
		DelayMs  int64 `json:"delayMs"`
		MedianMs int64 `json:"medianMs"`
	}

	// State is the state dump of a Hedger.
	State struct {
		Ratio  float64                        `json:"ratio"`
		Routes map[carawaybeam.RouteID]Counts `json:"routes"`
		Kinds  []KindState                    `json:"kinds"`
		// Earned is the number of second attempts that may be sent at once, by pool.
		Earned map[carawaybeam.PoolID]float64 `json:"earned"`
	}
)

// count returns the counts of a route. The caller holds mu.
func (h *Hedger) count(route carawaybeam.RouteID) *Counts {
	if counts, ok := h.counts[route]; ok {
		return counts
	}
	if len(h.counts) >= maxRoutes {
		route = OtherRoutes
	}
	counts, ok := h.counts[route]
	if !ok {
		counts = &Counts{Suppressed: make(map[Reason]uint64)}
		h.counts[route] = counts
	}
	return counts
}

// suppress counts a second attempt that is not sent.
func (c *Counts) suppress(reason Reason) {
	if reason != Permitted {
		c.Suppressed[reason]++
	}
}

// Counts returns the counts of all routes.
func (h *Hedger) Counts() map[carawaybeam.RouteID]Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	routes := make(map[carawaybeam.RouteID]Counts, len(h.counts))
	for route, counts := range h.counts {
		copied := *counts
		copied.Suppressed = maps.Clone(counts.Suppressed)
		routes[route] = copied
	}
	return routes
}

// State returns the state dump.
func (h *Hedger) State(now time.Time) State {
	settings := h.settings.Load()
	state := State{
		Ratio: settings.Ratio, Routes: h.Counts(), Kinds: []KindState{}, Earned: make(map[carawaybeam.PoolID]float64),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, kind := range h.kinds.Keys() {
		known, _ := h.kinds.Peek(kind)
		known.update(now, settings.quantile)
		s := KindState{
			Pool: kind.Pool, Route: kind.Route, Samples: known.samples, MedianMs: known.median.Milliseconds(),
		}
		if known.samples >= minSamples {
			s.DelayMs = max(known.delay, settings.MinDelay).Milliseconds()
		}
		state.Kinds = append(state.Kinds, s)
	}
	slices.SortFunc(state.Kinds, func(a, b KindState) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Route, b.Route))
	})
	for _, id := range h.pools.Keys() {
		known, _ := h.pools.Peek(id)
		state.Earned[id] = known.budget.tokens
	}
	return state
}
