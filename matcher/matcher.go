// Package matcher looks up the route, pool and organisation of a request in one
// version of the routing configuration.
package matcher

import (
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/carawaybeam/carawaybeam"
)

// Matcher is an index of one version of the routing configuration. It is
// immutable.
type Matcher struct {
	routing carawaybeam.Routing
	// byHost holds the routes of each host in lower case, sorted by descending
	// length of the path prefix.
	byHost  map[string][]*carawaybeam.Route
	holders map[carawaybeam.APIKey]*carawaybeam.KeyHolder
	pools   map[carawaybeam.PoolID]*carawaybeam.Pool
	// several holds the pools that requests of different priorities share.
	several map[carawaybeam.PoolID]bool
	// hasColdPools is set if the backend servers of a pool may be cold.
	hasColdPools bool
	// hasHomes is set if the requests of a route or an organisation may not be served everywhere.
	hasHomes bool
}

// New returns a Matcher for a routing configuration.
func New(routing carawaybeam.Routing) *Matcher {
	m := &Matcher{
		routing: routing,
		byHost:  make(map[string][]*carawaybeam.Route),
		holders: make(map[carawaybeam.APIKey]*carawaybeam.KeyHolder),
		pools:   make(map[carawaybeam.PoolID]*carawaybeam.Pool),
	}
	for i := range routing.Routes {
		host := strings.ToLower(routing.Routes[i].Host)
		m.byHost[host] = append(m.byHost[host], &routing.Routes[i])
	}
	for _, routes := range m.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range routing.KeyHolders {
		for _, key := range routing.KeyHolders[i].Keys {
			m.holders[key] = &routing.KeyHolders[i]
		}
	}
	for i := range routing.Pools {
		m.pools[routing.Pools[i].ID] = &routing.Pools[i]
		m.hasColdPools = m.hasColdPools || routing.Pools[i].ColdRate > 0
	}
	m.hasHomes = hasHomes(&routing)
	m.several = m.poolsWithSeveralPriorities()
	return m
}

// Version returns the version of the configuration.
func (m *Matcher) Version() carawaybeam.ConfigVersion { return m.routing.Version }

// HasColdPools reports whether the backend servers of a pool may be cold.
func (m *Matcher) HasColdPools() bool { return m.hasColdPools }

// Routing returns the configuration. Callers must not change it.
func (m *Matcher) Routing() carawaybeam.Routing { return m.routing }

// Limits returns the limits that apply to clients.
func (m *Matcher) Limits() carawaybeam.ClientLimits { return m.routing.Limits }

// Route returns the route of the host whose path prefix is the longest that
// matches the path, or nil if none matches. The path is compared in the form in
// which the client sent it, without decoding.
func (m *Matcher) Route(host, path string) *carawaybeam.Route {
	for _, route := range m.byHost[hostname(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// hostname returns the host in lower case and without a port.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// NeedsKey reports whether requests on the route must have a valid API key.
func (m *Matcher) NeedsKey(route *carawaybeam.Route) bool {
	return !route.Public && len(m.routing.KeyHolders) > 0
}

// Holder returns the organisation that holds the key, or nil if there is none.
func (m *Matcher) Holder(key carawaybeam.APIKey) *carawaybeam.KeyHolder { return m.holders[key] }

// Pool returns the pool with the identifier, or nil if there is none.
func (m *Matcher) Pool(id carawaybeam.PoolID) *carawaybeam.Pool { return m.pools[id] }

// ChoosePool chooses one of the route's pools at random, in proportion to their
// weights. It returns false if the route has no pool with a positive weight.
func ChoosePool(route *carawaybeam.Route, random *rand.Rand) (carawaybeam.PoolID, bool) {
	total := 0
	for _, share := range route.Shares {
		total += max(0, share.Weight)
	}
	if total == 0 {
		return "", false
	}
	drawn := random.IntN(total)
	for _, share := range route.Shares {
		if drawn -= max(0, share.Weight); drawn < 0 {
			return share.Pool, true
		}
	}
	return "", false
}
