package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/warmer"
)

// evacuatedRetryAfter is when the caller of a request may retry whose pool has backend servers in
// evacuated data centres only. Evacuations last for minutes, but may be lifted at any time.
const evacuatedRetryAfter = time.Second

type (
	// Evacuations knows the evacuated data centres.
	Evacuations interface {
		// Loaded reports whether the evacuations have been read.
		Loaded() bool
		// Active reports whether a data centre may be evacuated.
		Active() bool
		// Evacuated reports whether nothing may be sent to a data centre.
		Evacuated(dataCentre carawaybeam.DataCentre) bool
	}

	// coldness is what a choice knows of the cold backend servers of a pool.
	coldness struct {
		// cold tells which of the remaining backend servers are cold. It is nil if none is.
		cold []bool
		// left is the number of cold ones without a free share, which were left out. wait is
		// the shortest time until one of them takes a request.
		left int
		wait time.Duration
	}
)

// withoutEvacuated returns the backend servers that are not in evacuated data centres.
func (f *Forwarder) withoutEvacuated(instances []carawaybeam.Instance) []carawaybeam.Instance {
	if f.options.Evacuations == nil || !f.options.Evacuations.Active() {
		return instances
	}
	remaining := make([]carawaybeam.Instance, 0, len(instances))
	for _, instance := range instances {
		if !f.options.Evacuations.Evacuated(instance.DataCentre) {
			remaining = append(remaining, instance)
		}
	}
	return remaining
}

// withoutCold returns the backend servers that are warm or have a free share for this entry.
func (f *Forwarder) withoutCold(
	pool *carawaybeam.Pool,
	instances []carawaybeam.Instance,
) ([]carawaybeam.Instance, coldness) {
	var found coldness
	if f.options.Warmer == nil || pool.ColdRate <= 0 {
		return instances, found
	}
	now := f.options.Warmer.Now()
	remaining := make([]carawaybeam.Instance, 0, len(instances))
	for _, instance := range instances {
		status := f.options.Warmer.Status(now, instance)
		if !status.Open() {
			if wait := coldRetryAfter(status); found.left == 0 || wait < found.wait {
				found.wait = wait
			}
			found.left++
			continue
		}
		if status.Cold && found.cold == nil {
			found.cold = make([]bool, len(instances))
		}
		if status.Cold {
			found.cold[len(remaining)] = true
		}
		remaining = append(remaining, instance)
	}
	return remaining, found
}

// mark marks the cold ones among candidates, which are in the order of the backend servers.
func (c coldness) mark(candidates []carawaybeam.Candidate) {
	if c.cold == nil {
		return
	}
	for i := range candidates {
		candidates[i].Cold = c.cold[i]
	}
}

// coldRetryAfter returns in what time a caller may retry a request for a cold backend server.
func coldRetryAfter(status warmer.Status) time.Duration {
	if status.Share == 0 {
		return noShareRetryAfter
	}
	return status.Wait
}

// coldError returns the error of a request for which only cold backend servers without a free share
// are left.
func coldError(wait time.Duration) *carawaybeam.RequestError {
	return carawaybeam.NotRun(
		carawaybeam.ReasonBusy, "backend servers are cold and take few requests", wait+rand.N(maxRetrySpread),
	)
}

// evacuatedError returns the error of a request for a pool in evacuated data centres.
func evacuatedError() *carawaybeam.RequestError {
	return carawaybeam.NotRun(
		carawaybeam.ReasonNoBackend, "data centres of all backend servers are evacuated",
		evacuatedRetryAfter+rand.N(maxRetrySpread),
	)
}

// permit returns what tells whether a request may still be sent to a backend server once there is a
// connection to it. The configuration may get its first homes while the connection opens, so that it is
// asked without homes, too.
func (f *Forwarder) permit(p *pendingRequest, instance carawaybeam.Instance) func() bool {
	region, dataCentre := instance.Region, instance.DataCentre
	return func() bool {
		return f.residency(p).Permits(region) &&
			(f.options.Evacuations == nil || !f.options.Evacuations.Evacuated(dataCentre))
	}
}

// admitInstance reports whether a request may be sent to a backend server now, and counts it. If not,
// it returns the error of the request. What was known when the backend server was chosen may have
// changed since.
func (f *Forwarder) admitInstance(
	now time.Time,
	p *pendingRequest,
	instance carawaybeam.Instance,
) *carawaybeam.RequestError {
	if residency := f.residency(p); !residency.Permits(instance.Region) {
		return carawaybeam.NotRun(
			carawaybeam.ReasonNoBackend, "backend server is not in a home region any more: "+residency.String(),
			shortRetryAfter,
		)
	}
	if f.options.Evacuations != nil && f.options.Evacuations.Evacuated(instance.DataCentre) {
		return carawaybeam.NotRun(
			carawaybeam.ReasonNoBackend, "data centre of the backend server was evacuated meanwhile", shortRetryAfter,
		)
	}
	if f.options.Warmer != nil {
		if at := f.options.Warmer.Now(); !f.options.Warmer.Take(at, instance) {
			return coldError(coldRetryAfter(f.options.Warmer.Status(at, instance)))
		}
	}
	if !f.options.Throttler.Take(now, instance.BackendIncarnation) {
		return restrictedError(f.options.Throttler.Status(now, instance.BackendIncarnation))
	}
	return nil
}
