package matcher

import (
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

// HasSeveralPriorities reports whether requests of different priorities share the pool.
func (m *Matcher) HasSeveralPriorities(pool carawaybeam.PoolID) bool { return m.several[pool] }

// poolsWithSeveralPriorities returns the pools for which the routes, or the organisations that may use
// them, have different priorities.
func (m *Matcher) poolsWithSeveralPriorities() map[carawaybeam.PoolID]bool {
	var (
		several = make(map[carawaybeam.PoolID]bool)
		first   = make(map[carawaybeam.PoolID]int)
		holders = m.holderPriorities()
	)
	for i := range m.routing.Routes {
		route := &m.routing.Routes[i]
		priorities := m.prioritiesOf(route, holders)
		for _, share := range route.Shares {
			if share.Weight <= 0 {
				continue
			}
			for _, priority := range priorities {
				if known, ok := first[share.Pool]; !ok {
					first[share.Pool] = priority
				} else if known != priority {
					several[share.Pool] = true
				}
			}
		}
	}
	return several
}

// holderPriorities are the different priorities of the organisations.
type holderPriorities struct {
	own []int
	// inherit is set if an organisation has none, and thus that of the route.
	inherit bool
}

func (m *Matcher) holderPriorities() holderPriorities {
	var priorities holderPriorities
	for i := range m.routing.KeyHolders {
		if own := m.routing.KeyHolders[i].Priority; own == nil {
			priorities.inherit = true
		} else if !slices.Contains(priorities.own, *own) {
			priorities.own = append(priorities.own, *own)
		}
	}
	return priorities
}

// prioritiesOf returns the priorities that requests on the route can have. The priority of an
// organisation counts on routes that need a key only.
func (m *Matcher) prioritiesOf(route *carawaybeam.Route, holders holderPriorities) []int {
	if !m.NeedsKey(route) {
		return []int{route.Priority}
	}
	if !holders.inherit {
		return holders.own
	}
	return append(slices.Clip(holders.own), route.Priority)
}
