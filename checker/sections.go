package checker

import (
	"github.com/carawaybeam/carawaybeam"
)

// checkVersion reports a missing version, which entries never adopt.
func (c *check) checkVersion() {
	if c.routing.Version == 0 {
		c.fail(CodeVersion, inSection(carawaybeam.FieldVersion, ""),
			"the version is missing or 0: entries adopt versions from 1 on")
	}
}

// checkNewer compares the version with the one that is in force. The same version is allowed if it is
// the same configuration.
func (c *check) checkNewer(differs bool) {
	inForce := c.options.Against.Version
	if c.routing.Version < inForce || c.routing.Version == inForce && differs {
		c.fail(CodeVersion, inSection(carawaybeam.FieldVersion, ""),
			"the version %d is not above %d, with which it is compared: entries ignore it", c.routing.Version, inForce)
	}
}

func (c *check) checkPools() {
	names := make(map[carawaybeam.PoolID]int, len(c.routing.Pools))
	for i := range c.routing.Pools {
		pool := &c.routing.Pools[i]
		checkName(c, names, pool.ID, i, carawaybeam.FieldPools, carawaybeam.FieldPoolName)
		if pool.MaxConnections < 0 {
			c.fail(CodeConnections, inElement(carawaybeam.FieldPools, i, carawaybeam.FieldPoolConnections),
				"the maximum number of connections is negative")
		}
	}
}

// checkOrganisations checks the organisations and their keys. Keys are never shown.
func (c *check) checkOrganisations() {
	names := make(map[carawaybeam.OrganisationID]int, len(c.routing.KeyHolders))
	holders := make(map[carawaybeam.APIKey]int)
	for i := range c.routing.KeyHolders {
		holder := &c.routing.KeyHolders[i]
		checkName(c, names, holder.ID, i, carawaybeam.FieldOrganisations, carawaybeam.FieldOrganisationName)
		if holder.Priority != nil {
			c.checkPriority(*holder.Priority,
				inElement(carawaybeam.FieldOrganisations, i, carawaybeam.FieldOrganisationPriority))
		}
		keys := inElement(carawaybeam.FieldOrganisations, i, carawaybeam.FieldOrganisationKeys)
		if len(holder.Keys) == 0 {
			c.warn(CodeNoKeys, keys, "the organisation has no key: no request can be its own")
		}
		for j, key := range holder.Keys {
			at := keys
			at.item = j
			c.checkKey(holders, key, i, at)
		}
	}
	c.checkAccess(len(holders) > 0)
}

func (c *check) checkKey(holders map[carawaybeam.APIKey]int, key carawaybeam.APIKey, i int, at place) {
	if key == "" {
		c.fail(CodeEmptyKey, at, "the key is empty: requests without a key would count as this organisation's")
		return
	}
	first, known := holders[key]
	switch {
	case !known:
		holders[key] = i
	case first == i:
		c.warn(CodeDuplicateKey, at, "the key %s is listed twice", KeyHash(key))
	default:
		c.fail(CodeDuplicateKey, at, "the key %s is also that of %s", KeyHash(key),
			c.schema.path(inElement(carawaybeam.FieldOrganisations, first, "")))
	}
}

// checkAccess checks whether requests on routes that are not public can be authenticated. Entries ask
// for keys only if there are organisations.
func (c *check) checkAccess(anyKey bool) {
	if anyKey {
		return
	}
	closed := 0
	for i := range c.routing.Routes {
		if !c.routing.Routes[i].Public {
			closed++
		}
	}
	switch at := inSection(carawaybeam.FieldOrganisations, ""); {
	case closed == 0:
	case len(c.routing.KeyHolders) == 0:
		c.warn(
			CodeOpenRoutes,
			at,
			"%d routes are not public, but as there are no organisations no key is asked for",
			closed,
		)
	default:
		c.fail(CodeClosedRoutes, at, "%d routes are not public, but no organisation has a key", closed)
	}
}

func (c *check) checkLimits() {
	limits := &c.routing.Limits
	for _, limit := range []struct {
		field carawaybeam.RoutingField
		value int64
	}{
		{carawaybeam.FieldHeaderBytes, int64(limits.HeaderBytes)},
		{carawaybeam.FieldBodyBytes, limits.BodyBytes},
		{carawaybeam.FieldHeaderTimeout, int64(limits.HeaderTimeout)},
		{carawaybeam.FieldIdleTimeout, int64(limits.IdleTimeout)},
	} {
		if limit.value <= 0 {
			c.fail(
				CodeLimit,
				inSection(carawaybeam.FieldLimits, limit.field),
				"the limit is missing, not positive or too large",
			)
		}
	}
	if limits.HeaderTimeout > limits.IdleTimeout && limits.IdleTimeout > 0 {
		c.warn(CodeContradiction, inSection(carawaybeam.FieldLimits, carawaybeam.FieldHeaderTimeout),
			"the timeout for headers %v is above the idle timeout %v", limits.HeaderTimeout, limits.IdleTimeout)
	}
}

// checkHedging reports routes that could have second attempts but for a single attempt, and exceptions
// for routes that do not exist.
func (c *check) checkHedging() {
	if c.options.Hedging == nil {
		return
	}
	except := make(map[carawaybeam.RouteID]bool, len(c.options.Hedging.ExceptRoutes))
	for _, route := range c.options.Hedging.ExceptRoutes {
		except[route] = true
	}
	exists := make(map[carawaybeam.RouteID]bool, len(c.routing.Routes))
	for i := range c.routing.Routes {
		route := &c.routing.Routes[i]
		exists[route.ID] = true
		hedged := route.Kind == carawaybeam.RouteSafe || route.Kind == carawaybeam.RouteStream && route.Resumable
		if hedged && !except[route.ID] && route.MaxAttempts == 1 {
			c.warn(CodeHedgingAttempts, inRoute(i, carawaybeam.FieldRouteAttempts),
				"with one attempt there are no second attempts, though the settings ask for them")
		}
	}
	for _, route := range c.options.Hedging.ExceptRoutes {
		if !exists[route] {
			c.warn(CodeHedgingException, inSection(carawaybeam.FieldRoutes, ""),
				"the settings except the route %s from second attempts, but there is none of this name", quote(route))
		}
	}
}
