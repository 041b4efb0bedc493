package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/throttler"
)

const (
	// noShareRetryAfter is when the caller of a request may retry for which backend
	// servers have limits that this entry has no share of. Other entries may have one.
	noShareRetryAfter = 500 * time.Millisecond

	// maxRetrySpread bounds the random time by which refused callers return later than
	// the first backend server takes requests again.
	maxRetrySpread = 500 * time.Millisecond

	// idleShare is the reciprocal of the share of the connections which a backend server
	// accepts that may be idle.
	idleShare = 2
)

// openInstances returns those of the backend servers that take requests now. If it leaves out
// others, restricted is the status of the one that takes requests first.
func (f *Forwarder) openInstances(
	now time.Time,
	instances []carawaybeam.Instance,
) (open []carawaybeam.Instance, restricted *throttler.Status) {
	if f.options.Throttler.Quiet() {
		return instances, nil
	}
	open = make([]carawaybeam.Instance, 0, len(instances))
	for _, instance := range instances {
		status := f.options.Throttler.Status(now, instance.BackendIncarnation)
		if status.Open() {
			open = append(open, instance)
			continue
		}
		if restricted == nil || retryAfter(status) < retryAfter(*restricted) {
			restricted = &status
		}
	}
	return open, restricted
}

// retryAfter returns in what time a caller may retry a request for a backend server.
func retryAfter(status throttler.Status) time.Duration {
	switch {
	case status.Leaving:
		return noShareRetryAfter
	case status.Limited && !status.HasShare:
		return max(status.ClosedFor, noShareRetryAfter)
	}
	return max(status.ClosedFor, status.Wait)
}

// restrictedError returns the error of a request that no backend server takes now, if the first of
// them has the status.
func restrictedError(status throttler.Status) *carawaybeam.RequestError {
	detail := "backend servers take fewer requests than there are"
	switch {
	case status.Leaving:
		detail = "backend servers are leaving"
	case status.ClosedFor > 0:
		detail = "backend servers take no requests for " + status.ClosedFor.String()
	}
	return carawaybeam.NotRun(carawaybeam.ReasonBusy, detail, retryAfter(status)+rand.N(maxRetrySpread))
}

// maxIdle returns how many idle connections this entry may leave to one backend server of a pool, or
// 0 if the pool does not limit its connections. The entries share what the pool allows.
func (f *Forwarder) maxIdle(pool *carawaybeam.Pool) int {
	if pool.MaxConnections <= 0 {
		return 0
	}
	entries := f.options.Entries()
	if entries <= 0 {
		return 1
	}
	return max(1, pool.MaxConnections/(idleShare*entries))
}
