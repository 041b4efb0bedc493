package matcher

import (
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

// HasHomes reports whether the requests of a route or an organisation may not be served in all regions.
func (m *Matcher) HasHomes() bool { return m.hasHomes }

// Residency returns where requests on the route may be served. The holder is the organisation of the
// request, or nil.
func (m *Matcher) Residency(route *carawaybeam.Route, holder *carawaybeam.KeyHolder) carawaybeam.Residency {
	var residency carawaybeam.Residency
	if !m.hasHomes {
		return residency
	}
	residency.Route = carawaybeam.NewHomeRegions(route.Homes, route.HomesFault)
	if holder != nil {
		residency.Organisation = carawaybeam.NewHomeRegions(holder.Homes, holder.HomesFault)
	}
	return residency
}

func hasHomes(routing *carawaybeam.Routing) bool {
	return slices.ContainsFunc(routing.Routes, func(route carawaybeam.Route) bool {
		return len(route.Homes) > 0 || route.HomesFault != ""
	}) || slices.ContainsFunc(routing.KeyHolders, func(holder carawaybeam.KeyHolder) bool {
		return len(holder.Homes) > 0 || holder.HomesFault != ""
	})
}
