package forwarder

import (
	"cmp"
	"slices"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/matcher"
)

// newResidency returns where a request may be served. The homes of an organisation restrict its requests
// also on routes that need no key, and while keys are too old to be believed.
func newResidency(
	config *matcher.Matcher,
	route *carawaybeam.Route,
	request *carawaybeam.ClientRequest,
) carawaybeam.Residency {
	if !config.HasHomes() {
		return carawaybeam.Residency{}
	}
	return config.Residency(route, config.Holder(request.Key))
}

// residency returns where the request may be served now. Homes that were changed while it runs apply to
// its further attempts.
func (f *Forwarder) residency(p *pendingRequest) carawaybeam.Residency {
	current := f.options.Configuration.Current()
	if current == p.config || current == nil {
		return p.residency
	}
	route := routeOf(current, p.request)
	residency := newResidency(current, cmp.Or(route, p.route), p.request)
	// If the route or the organisation is gone, its homes with which the request was accepted still apply.
	if route == nil {
		residency.Route = p.residency.Route
	}
	if current.Holder(p.request.Key) == nil {
		residency.Organisation = p.residency.Organisation
	}
	return residency
}

// permitted returns the backend servers in regions in which a request may be served.
func permitted(residency carawaybeam.Residency, instances []carawaybeam.Instance) []carawaybeam.Instance {
	if !residency.Restricted() {
		return instances
	}
	remaining := make([]carawaybeam.Instance, 0, len(instances))
	for _, instance := range instances {
		if residency.Permits(instance.Region) {
			remaining = append(remaining, instance)
		}
	}
	return remaining
}

// hasPermitted reports whether one of the backend servers is in a region in which a request may be served.
func hasPermitted(residency carawaybeam.Residency, instances []carawaybeam.Instance) bool {
	return slices.ContainsFunc(instances, func(instance carawaybeam.Instance) bool {
		return residency.Permits(instance.Region)
	})
}

// choosePool chooses one of the pools of the request's route. If the request may not be served in all
// regions, pools without a backend server in a home region are left out, unless there is no other one.
func (f *Forwarder) choosePool(p *pendingRequest) (carawaybeam.PoolID, bool) {
	if p.residency.Restricted() && len(p.route.Shares) > 1 {
		route := carawaybeam.Route{Shares: make([]carawaybeam.PoolShare, 0, len(p.route.Shares))}
		for _, share := range p.route.Shares {
			if hasPermitted(p.residency, f.options.Members.Instances(share.Pool)) {
				route.Shares = append(route.Shares, share)
			}
		}
		if pool, ok := matcher.ChoosePool(&route, f.random); ok {
			return pool, true
		}
	}
	return matcher.ChoosePool(p.route, f.random)
}

// residencyError returns the error of a request if none of the backend servers of its pool is in a home
// region, or nil.
func (f *Forwarder) residencyError(
	residency carawaybeam.Residency,
	members []carawaybeam.Instance,
) *carawaybeam.RequestError {
	if !residency.Restricted() || len(members) == 0 || hasPermitted(residency, members) {
		return nil
	}
	if f.options.HomeRefused != nil {
		f.options.HomeRefused()
	}
	return carawaybeam.NotRun(
		carawaybeam.ReasonNoBackend, "no backend server of the pool is in a home region: "+residency.String(),
		shortRetryAfter,
	)
}
