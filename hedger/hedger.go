// Package hedger decides on second attempts: whether and when a request that waits longer than most
// of its kind do is sent to another backend server as well (hedged requests).
//
// It follows Dean and Barroso, "The Tail at Scale" (the second attempt waits for a high quantile of
// the usual latency) and the hedging policy of gRPC (a budget of tokens that requests earn). What it
// knows comes from the requests of its own process, so that it needs neither the store nor the other
// entries. It does no I/O and starts no goroutine.
package hedger

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// minQuantile and maxQuantile bound the quantile of the latency after which a second attempt is
	// due. Between them it is the one that as many requests exceed as may have a second attempt, so
	// that a small budget goes to the slowest requests.
	minQuantile = 0.95
	maxQuantile = 0.99

	// minSamples is the number of latencies of a kind from which its quantile is used. Fewer do not
	// show the 95th percentile. With too few for a higher quantile, it is the longest one.
	minSamples = 20

	// minFreeShare is the share of the slots of a pool that must be free. With fewer, a second
	// attempt soon delays the first attempt of another request.
	minFreeShare = 0.1

	// maxKinds and maxPools are the numbers of kinds and pools that are remembered, those in use
	// last. A kind that was evicted has no second attempts until it has minSamples again, and a
	// pool that was evicted has earned none.
	maxKinds = 256
	maxPools = 256

	// maxRoutes is the number of routes that are counted by themselves. The others are counted
	// under OtherRoutes.
	maxRoutes = 64
)

// OtherRoutes stands for all routes that are not counted by themselves.
const OtherRoutes carawaybeam.RouteID = "other"

const (
	// Permitted means that the second attempt may be sent.
	Permitted Reason = ""
	// Unsafe means that the request may run at most once.
	Unsafe Reason = "unsafe"
	// Started means that the client has part of the answer.
	Started Reason = "started"
	// Stopping means that the process ends.
	Stopping Reason = "stopping"
	// Suspect means that the request may crash backend servers.
	Suspect Reason = "suspect"
	// Attempts means that the route allows no further attempt.
	Attempts Reason = "attempts"
	// Deadline means that too little time is left.
	Deadline Reason = "deadline"
	// Slow means that the backend servers of the pool are slow as a whole.
	Slow Reason = "slow"
	// Full means that too few slots of the pool are free.
	Full Reason = "full"
	// NoServer means that no other backend server takes requests now.
	NoServer Reason = "noServer"
	// LockStep means that all other backend servers step together with that of the first attempt.
	LockStep Reason = "lockStep"
	// NotSooner means that the answer is not forecast to be sooner elsewhere.
	NotSooner Reason = "notSooner"
	// Budget means that the requests of the pool have not earned another second attempt.
	Budget Reason = "budget"
	// RetryBudget means that the retry budget of all entries together is exhausted.
	RetryBudget Reason = "retryBudget"
)

type (
	// Settings is what operators allow.
	Settings struct {
		// Ratio is the number of second attempts per request of a pool. With 0 there are none.
		Ratio float64
		// MinDelay is the least time after which a second attempt is due.
		MinDelay time.Duration
		// ExceptRoutes lists the routes without second attempts.
		ExceptRoutes []carawaybeam.RouteID
	}

	// Kind identifies requests that take about as long: those of a route to a pool.
	Kind struct {
		Pool  carawaybeam.PoolID
		Route carawaybeam.RouteID
	}

	// Reason is why a second attempt is not sent.
	Reason string

	// Request is a request whose first attempt has taken the delay.
	Request struct {
		Kind Kind
		// Idempotent is set if the request may run more than once.
		Idempotent bool
		// Started is set if the client has part of the answer.
		Started bool
		// Suspect is set if the request may crash backend servers.
		Suspect bool
		// Stopping is set while the process ends.
		Stopping bool
		// AttemptsLeft is the number of attempts that the route allows beside those made.
		AttemptsLeft int
		// Late is set if so little time is left that no further attempt begins.
		Late bool
		// Again is set if the request was checked before.
		Again bool
	}

	// Offer is the backend server that would get the second attempt.
	Offer struct {
		// Elapsed is how long the first attempt has taken.
		Elapsed time.Duration
		// Slots is the number of slots of the backend servers of the pool that take requests, and
		// Used how many of them are in use.
		Slots, Used int
		// Found is set if there is such a backend server, and LockStep if there are only ones that
		// step together with that of the first attempt.
		Found, LockStep bool
		// Crowded is set if another request would make those there late.
		Crowded bool
		// Expected is how long the first event is expected to take there, or 0 if unknown, and Whole is set
		// if latencies of the kind are those of whole answers.
		Expected time.Duration
		Whole    bool
		// Retry draws on the retry budget of all entries together and reports whether that
		// allows an attempt.
		Retry func() bool
	}

	// Hedger decides on the second attempts of one process. Its methods are safe for concurrent
	// use.
	Hedger struct {
		settings atomic.Pointer[rules]
		started  time.Time

		mu     sync.Mutex
		kinds  *simplelru.LRU[Kind, *latencies]
		pools  *simplelru.LRU[carawaybeam.PoolID, *pool]
		counts map[carawaybeam.RouteID]*Counts
	}

	// rules is the settings in force in the form in which they are used.
	rules struct {
		Settings

		quantile float64
	}

	// pool is what is known of the requests to a pool.
	pool struct {
		budget   budget
		lateness lateness
	}
)

// New returns a Hedger of a process that starts now.
func New(now time.Time, settings Settings) *Hedger {
	h := &Hedger{started: now, counts: make(map[carawaybeam.RouteID]*Counts)}
	// The only error is about a size below 1.
	h.kinds, _ = simplelru.NewLRU[Kind, *latencies](maxKinds, nil)
	h.pools, _ = simplelru.NewLRU[carawaybeam.PoolID, *pool](maxPools, nil)
	h.SetSettings(settings)
	return h
}

// SetSettings replaces the settings. What was learned and earned is kept.
func (h *Hedger) SetSettings(settings Settings) {
	settings.ExceptRoutes = slices.Clone(settings.ExceptRoutes)
	h.settings.Store(&rules{
		Settings: settings, quantile: min(max(1-settings.Ratio, minQuantile), maxQuantile),
	})
}

// Enabled reports whether requests of a route may have second attempts.
func (h *Hedger) Enabled(route carawaybeam.RouteID) bool {
	settings := h.settings.Load()
	return settings.Ratio > 0 && !slices.Contains(settings.ExceptRoutes, route)
}

// CountRequest counts a request to a pool, which earns a part of a second attempt.
func (h *Hedger) CountRequest(now time.Time, id carawaybeam.PoolID) {
	settings := h.settings.Load()
	if settings.Ratio <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool(id).budget.earn(now.Sub(h.started), settings.Ratio)
}

// pool returns what is known of a pool. The caller holds mu.
func (h *Hedger) pool(id carawaybeam.PoolID) *pool {
	known, ok := h.pools.Get(id)
	if !ok {
		known = &pool{}
		h.pools.Add(id, known)
	}
	return known
}

// Delay returns the time after which a second attempt of a request that is sent now is due, or false
// if too little is known of the kind.
func (h *Hedger) Delay(now time.Time, kind Kind) (time.Duration, bool) {
	settings := h.settings.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.kinds.Get(kind)
	if !ok {
		return 0, false
	}
	known.update(now, settings.quantile)
	return max(known.delay, settings.MinDelay), known.samples >= minSamples
}

// Observe records how long a first attempt took: to the first event of a stream, or to the whole
// answer. due is set if Check was called for the attempt.
func (h *Hedger) Observe(now time.Time, kind Kind, latency time.Duration, due bool) {
	h.observe(now, kind, latency, false, due)
}

// ObserveCancelled records how long a first attempt for which Check was called had taken when it was
// cancelled. It counts as a latency, because it would have taken longer: without it, the delay would
// fall with each second attempt.
func (h *Hedger) ObserveCancelled(now time.Time, kind Kind, latency time.Duration) {
	h.observe(now, kind, latency, true, true)
}

func (h *Hedger) observe(now time.Time, kind Kind, latency time.Duration, cancelled, due bool) {
	settings := h.settings.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.kinds.Get(kind)
	if !ok {
		known = newLatencies(now)
		h.kinds.Add(kind, known)
	}
	known.update(now, settings.quantile)
	known.record(now, latency, cancelled)
	if !due {
		h.pool(kind.Pool).lateness.add(now, false)
	}
}

// Check reports why no second attempt may be sent, or Permitted, when the delay of a request has
// passed. It is called before a backend server is sought, and again if the answer was not forecast to
// be sooner there.
func (h *Hedger) Check(now time.Time, request Request) Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	lateness := &h.pool(request.Kind.Pool).lateness
	if !request.Again {
		lateness.add(now, true)
	}
	reason := request.check()
	if reason == Permitted && lateness.most(now) {
		reason = Slow
	}
	h.count(request.Kind.Route).suppress(reason)
	return reason
}

func (r Request) check() Reason {
	switch {
	case !r.Idempotent:
		return Unsafe
	case r.Started:
		return Started
	case r.Stopping:
		return Stopping
	case r.Suspect:
		return Suspect
	case r.AttemptsLeft <= 0:
		return Attempts
	case r.Late:
		return Deadline
	}
	return Permitted
}

// Take reports why the second attempt may not be sent to the backend server that was found, or
// Permitted. It is then counted.
func (h *Hedger) Take(now time.Time, kind Kind, offer Offer) Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	reason := h.take(now, kind, offer)
	counts := h.count(kind.Route)
	counts.suppress(reason)
	if reason == Permitted {
		counts.Sent++
	}
	return reason
}

// take decides on an offer. The caller holds mu.
func (h *Hedger) take(now time.Time, kind Kind, offer Offer) Reason {
	settings := h.settings.Load()
	own := &h.pool(kind.Pool).budget
	switch {
	case offer.Crowded, float64(offer.Slots-offer.Used) < minFreeShare*float64(offer.Slots):
		return Full
	case offer.LockStep:
		return LockStep
	case !offer.Found:
		return NoServer
	case !h.isSooner(kind, offer):
		return NotSooner
	case !own.allows(now.Sub(h.started), settings.Ratio):
		return Budget
	case !offer.Retry():
		return RetryBudget
	}
	own.spend()
	return Permitted
}

// isSooner reports whether the answer is expected sooner from the offered backend server than from the one
// that has the request. The usual latency is expected of a backend server that does not report its load.
// The caller holds mu.
func (h *Hedger) isSooner(kind Kind, offer Offer) bool {
	known, ok := h.kinds.Get(kind)
	if !ok || known.samples == 0 {
		return offer.Expected < offer.Elapsed
	}
	expected := offer.Expected
	if expected <= 0 || offer.Whole {
		expected = max(expected, known.median)
	}
	return expected <= known.remaining(offer.Elapsed)
}

// CountEnd counts the end of a second attempt. won is set if its answer was delivered, and cancelled
// if that of the first one was.
func (h *Hedger) CountEnd(route carawaybeam.RouteID, won, cancelled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := h.count(route)
	switch {
	case won:
		counts.Won++
	case cancelled:
		counts.Cancelled++
	}
}
