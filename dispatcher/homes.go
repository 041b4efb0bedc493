package dispatcher

import (
	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracker"
)

// permits reports whether the request may be served by a backend server because of its region.
func (d *Dispatcher) permits(request Request, member tracker.Member) bool {
	if !request.Residency.Restricted() {
		return true
	}
	return d.options.Region != nil && request.Residency.Permits(d.options.Region(member.VM.DataCentre))
}

// residency returns where the request may be served according to the configuration in force. Homes that were
// changed while the request runs apply to its further attempts.
func (d *Dispatcher) residency(request Request) carawaybeam.Residency {
	residency := request.Residency
	config := d.options.Configuration
	if config == nil {
		return residency
	}
	if class, ok := config.Class(request.Class.ID); ok {
		residency.Route = carawaybeam.NewHomeRegions(class.Homes, "")
	}
	if org, ok := config.Organisation(request.Organisation); ok {
		residency.Organisation = carawaybeam.NewHomeRegions(org.Homes, "")
	}
	return residency
}

// residencyError returns the error of a request if agents of its pool are linked, but none of them is in a
// home region, or nil.
func (d *Dispatcher) residencyError(request Request) *carawaybeam.RequestError {
	if !request.Residency.Restricted() {
		return nil
	}
	anyLinked := false
	for _, m := range d.options.Members.Members(request.Class.Pool) {
		if !m.Linked || m.Leaving {
			continue
		}
		anyLinked = true
		if d.permits(request, m) {
			return nil
		}
	}
	if !anyLinked {
		return nil
	}
	if d.options.HomeRefused != nil {
		d.options.HomeRefused()
	}
	return carawaybeam.NotRun(
		carawaybeam.ReasonNoBackend, "no backend server of the pool is in a home region: "+request.Residency.String(),
		defaultRetryAfter,
	)
}
