package checker

import (
	"net/netip"
	"strings"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/matcher"
)

const (
	maxHostBytes  = 253
	maxLabelBytes = 63

	// maxWeight bounds weights so that their sum, from which the matcher draws, does not overflow.
	maxWeight = 1<<31 - 1

	// maxLookup is the number of routes from which the matcher is made to look some of them up. The
	// matcher searches the routes of a host one by one.
	maxLookup = 64

	// maxPriority is the least urgent priority.
	maxPriority = 9
)

// address identifies the requests of a route.
type address struct {
	host   string
	prefix string
}

// checkRoutes checks each route, and the routes against each other.
func (c *check) checkRoutes() {
	pools := make(map[carawaybeam.PoolID]bool, len(c.routing.Pools))
	for i := range c.routing.Pools {
		pools[c.routing.Pools[i].ID] = true
	}
	names := make(map[carawaybeam.RouteID]int, len(c.routing.Routes))
	for i := range c.routing.Routes {
		route := &c.routing.Routes[i]
		checkName(c, names, route.ID, i, carawaybeam.FieldRoutes, carawaybeam.FieldRouteName)
		c.checkAddress(route, i)
		c.checkShares(route, i, pools)
		c.checkAttempts(route, i)
		c.checkTimes(route, i)
		switch route.Kind {
		case carawaybeam.RouteSafe, carawaybeam.RouteUnsafe, carawaybeam.RouteStream:
		default:
			c.fail(
				CodeUnknownKind,
				inRoute(i, carawaybeam.FieldRouteKind),
				"kind %s is none of safe, unsafe and stream",
				quote(route.Kind),
			)
		}
		c.checkPriority(route.Priority, inRoute(i, carawaybeam.FieldRoutePriority))
	}
	c.checkReachable()
}

func inRoute(i int, field carawaybeam.RoutingField) place {
	return inElement(carawaybeam.FieldRoutes, i, field)
}

// checkName reports a missing name, or one that an earlier element of the section has. It adds the
// name to the known ones.
func checkName[T ~string](c *check, known map[T]int, name T, i int, section, field carawaybeam.RoutingField) {
	at := inElement(section, i, field)
	if name == "" {
		c.fail(CodeMissingName, at, "the name is missing")
		return
	}
	if first, ok := known[name]; ok {
		c.fail(CodeDuplicateName, at, "the name %s is also that of %s", quote(name),
			c.schema.path(inElement(section, first, "")))
		return
	}
	known[name] = i
}

func (c *check) checkAddress(route *carawaybeam.Route, i int) {
	if route.Host == "" {
		c.fail(CodeInvalidHost, inRoute(i, carawaybeam.FieldRouteHost), "the host is missing")
	} else if !isHost(route.Host) {
		c.fail(CodeInvalidHost, inRoute(i, carawaybeam.FieldRouteHost),
			"%s is no host name or address (hosts have no port and no wildcard)", quote(route.Host))
	}
	at := inRoute(i, carawaybeam.FieldRoutePrefix)
	switch prefix := route.Prefix; {
	case prefix == "":
		c.fail(CodeInvalidPrefix, at, "the prefix is missing")
	case !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/"):
		c.fail(CodeInvalidPrefix, at, "the prefix %s does not begin and end with a slash", quote(prefix))
	case strings.ContainsAny(prefix, "?# \\") || strings.IndexFunc(prefix, isControl) >= 0:
		c.fail(CodeInvalidPrefix, at, "the prefix %s contains characters that no path has", quote(prefix))
	}
}

func isControl(r rune) bool { return r < ' ' || r == '\x7f' }

// isHost reports whether the text is a host name, an IPv4 address, or an IPv6 address in brackets.
func isHost(host string) bool {
	if inner, ok := strings.CutPrefix(host, "["); ok {
		inner, ok = strings.CutSuffix(inner, "]")
		parsed, err := netip.ParseAddr(inner)
		return ok && err == nil && parsed.Is6()
	}
	if len(host) > maxHostBytes {
		return false
	}
	for label := range strings.SplitSeq(host, ".") {
		if !isLabel(label) {
			return false
		}
	}
	return true
}

func isLabel(label string) bool {
	if label == "" || len(label) > maxLabelBytes || label[0] == '-' || label[len(label)-1] == '-' {
		return false
	}
	for i := range len(label) {
		b := label[i] | 0x20 // Lower case, for letters.
		if (b < 'a' || b > 'z') && (label[i] < '0' || label[i] > '9') && label[i] != '-' && label[i] != '_' {
			return false
		}
	}
	return true
}

// checkShares checks the pools of a route and their weights.
func (c *check) checkShares(route *carawaybeam.Route, i int, pools map[carawaybeam.PoolID]bool) {
	positive, usable := false, true
	for j, share := range route.Shares {
		switch {
		case share.Pool == "":
			c.fail(CodeUnknownPool, c.share(i, j, carawaybeam.FieldSharePool), "the pool is missing")
		case !pools[share.Pool]:
			c.fail(CodeUnknownPool, c.share(i, j, carawaybeam.FieldSharePool), "there is no pool %s", quote(share.Pool))
		}
		switch {
		case share.Weight < 0 || share.Weight > maxWeight:
			usable = false
			c.fail(CodeInvalidWeight, c.share(i, j, carawaybeam.FieldShareWeight), "the weight %d is not from 0 to %d",
				share.Weight, maxWeight)
		case share.Weight == 0:
			c.warn(CodeZeroWeight, c.share(i, j, carawaybeam.FieldShareWeight),
				"the weight is 0: the pool %s gets no requests of the route", quote(share.Pool))
		default:
			positive = true
		}
	}
	if usable && !positive {
		c.fail(CodeNoWeight, inRoute(i, carawaybeam.FieldRouteShares),
			"all weights are 0: no request of the route can be served")
	}
}

// share returns the place of a field of a share, or of the only pool of a route without a list.
func (c *check) share(i, j int, field carawaybeam.RoutingField) place {
	at := inRoute(i, carawaybeam.FieldRouteShares)
	if len(c.document.findItems(at, c.schema)) == 0 {
		return inRoute(i, carawaybeam.FieldRoutePool)
	}
	at.item, at.itemField = j, field
	return at
}

func (c *check) checkAttempts(route *carawaybeam.Route, i int) {
	at := inRoute(i, carawaybeam.FieldRouteAttempts)
	if route.MaxAttempts < 1 {
		c.fail(CodeAttempts, at, "attempts are %d, and must be 1 or more", route.MaxAttempts)
		return
	}
	for _, share := range route.Shares {
		known, ok := c.options.Backends[share.Pool]
		if ok && share.Weight > 0 && route.MaxAttempts > known {
			c.warn(CodeTooManyAttempts, at, "attempts are %d, but pool %s has %d backend servers", route.MaxAttempts,
				quote(share.Pool), known)
			return
		}
	}
}

// checkTimes compares the timeout of a route with its targets. A target of 0 is none.
func (c *check) checkTimes(route *carawaybeam.Route, i int) {
	if route.Target < 0 {
		c.fail(CodeTarget, inRoute(i, carawaybeam.FieldRouteTarget), "the latency target is negative or too long")
	}
	if route.EventGap < 0 {
		c.fail(CodeGap, inRoute(i, carawaybeam.FieldRouteGap), "the gap target is negative or too long")
	}
	if route.Timeout <= 0 {
		c.fail(
			CodeTimeout,
			inRoute(i, carawaybeam.FieldRouteTimeout),
			"the timeout is missing, not positive or too long",
		)
		return
	}
	if route.Target > 0 && route.Timeout <= route.Target {
		c.fail(CodeTarget, inRoute(i, carawaybeam.FieldRouteTarget),
			"the latency target %v is not below the timeout %v", route.Target, route.Timeout)
	}
	if route.EventGap > route.Timeout {
		c.fail(CodeGap, inRoute(i, carawaybeam.FieldRouteGap),
			"the gap target %v is above the timeout %v", route.EventGap, route.Timeout)
	}
}

func (c *check) checkPriority(priority int, at place) {
	if priority < 0 || priority > maxPriority {
		c.fail(CodePriority, at, "the priority %d is not from 0 to %d", priority, maxPriority)
	}
}

// checkReachable reports routes that the matcher never chooses. As the longest prefix that matches is
// chosen, only routes with the same host and prefix can hide each other.
func (c *check) checkReachable() {
	var (
		order []address
		same  = make(map[address][]int, len(c.routing.Routes))
	)
	for i := range c.routing.Routes {
		route := &c.routing.Routes[i]
		key := address{host: strings.ToLower(route.Host), prefix: route.Prefix}
		if len(same[key]) == 0 {
			order = append(order, key)
		}
		same[key] = append(same[key], i)
	}
	var chunk []address
	routes := 0
	for _, key := range order {
		chunk = append(chunk, key)
		if routes += len(same[key]); routes >= maxLookup {
			c.checkChunk(chunk, same)
			chunk, routes = chunk[:0], 0
		}
	}
	c.checkChunk(chunk, same)
}

// checkChunk looks up the routes of some addresses with a matcher.
func (c *check) checkChunk(chunk []address, same map[address][]int) {
	var (
		candidates []carawaybeam.Route
		indexes    []int
	)
	for _, key := range chunk {
		for _, i := range same[key] {
			candidates = append(candidates, c.routing.Routes[i])
			indexes = append(indexes, i)
		}
	}
	m := matcher.New(carawaybeam.Routing{Routes: candidates})
	n := 0
	for _, key := range chunk {
		chosen := m.Route(key.host, key.prefix)
		for range same[key] {
			c.checkChosen(&candidates[n], chosen, indexes[n], same[key][0])
			n++
		}
	}
}

// checkChosen reports a route that is not the one which the matcher chose for its own host and prefix.
// First is the first route with the same host and prefix.
func (c *check) checkChosen(route, chosen *carawaybeam.Route, i, first int) {
	switch chosen {
	case route:
	case nil:
		// The host is faulty, such as one with a port, and has a finding of its own.
		c.fail(CodeUnreachable, inRoute(i, ""), "no request can reach this route")
	default:
		c.fail(CodeDuplicateRoute, inRoute(i, ""),
			"no request can reach this route, as %s has the same host and prefix", c.schema.path(inRoute(first, "")))
	}
}
