package routes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/replayer/queuer"
	"github.com/carawaybeam/carawaybeam/router/counter"
	"github.com/carawaybeam/carawaybeam/router/prefixer"
)

// prefixTableCapacity is the maximum number of prefixes that an entry tracks.
const prefixTableCapacity = 1 << 16

type (
	// entry is one entry process. It decides without data of the other entries.
	entry struct {
		fleet      *Fleet
		dataCentre carawaybeam.DataCentre
		// clockSkew is how far the clock of the entry is ahead.
		clockSkew time.Duration
		router    carawaybeam.Router
		limiter   carawaybeam.Limiter
		random    *rand.Rand
		counter   *counter.Counter
		table     *prefixer.Table
		views     map[*server]*view
	}

	// view is the state of a backend server that an entry knows.
	view struct {
		linked   bool
		load     carawaybeam.Load
		reported time.Time
	}
)

func newEntry(f *Fleet, dc carawaybeam.DataCentre, n uint64) *entry {
	newRouter, _ := carawaybeam.Routers.Lookup(f.options.Router)
	e := &entry{
		fleet:      f,
		dataCentre: dc,
		router:     newRouter(),
		random:     rand.New(rand.NewPCG(f.options.Header.Seed, n+1)),
		counter:    counter.New(),
		table:      prefixer.New(prefixTableCapacity),
		views:      make(map[*server]*view),
	}
	if f.options.Limiter != "" {
		newLimiter, _ := carawaybeam.Limiters.Lookup(f.options.Limiter)
		e.limiter = newLimiter()
	}
	return e
}

func (e *entry) view(s *server) *view {
	v, ok := e.views[s]
	if !ok {
		v = &view{linked: true, reported: e.fleet.start}
		e.views[s] = v
	}
	return v
}

// addReport records a load report, unless it is older than the present one.
func (e *entry) addReport(s *server, load carawaybeam.Load, reported time.Time) {
	if v := e.view(s); reported.After(v.reported) {
		v.load, v.reported = load, reported
	}
}

// setLinked records that the link to a server was made or lost. It removes the
// server's prefixes from the table, as an outage empties the server's cache.
func (e *entry) setLinked(s *server, linked bool) {
	e.view(s).linked = linked
	e.table.Forget(s.id)
}

// candidates returns the backend servers that the entry has a link to and that
// the VM list contained since their start.
func (e *entry) candidates(prefixes []prefixer.Prefix) []carawaybeam.Candidate {
	now := e.fleet.now()
	hits := e.table.Lookup(prefixes)
	candidates := make([]carawaybeam.Candidate, 0, len(e.fleet.servers))
	for _, s := range e.fleet.servers {
		v := e.view(s)
		if !v.linked || !s.listed {
			continue
		}
		c := carawaybeam.Candidate{
			Backend:    s.id,
			DataCentre: s.dataCentre,
			Distance:   e.fleet.latency(e.dataCentre, s.dataCentre),
			Load:       v.load,
			ReportAge:  now.Sub(v.reported),
		}
		for _, hit := range hits {
			if hit.Backend == s.id {
				c.CachedPrompt = hit.Tokens
			}
		}
		e.counter.Fill(now, v.reported, &c)
		candidates = append(candidates, c)
	}
	return candidates
}

// serve routes an attempt, asks the limiter, if any, and dispatches the attempt.
// If it is refused, serve returns the delay after which the caller may retry.
func (e *entry) serve(a *Attempt, request queuer.RequestEvent) time.Duration {
	now := e.fleet.now()
	prefixes := request.Prefixes()
	candidates := e.candidates(prefixes)
	began := time.Now()
	decision, ok := e.router.Route(now, carawaybeam.RouteRequest{
		Class:        request.Class,
		Pool:         Pool,
		Organisation: request.Organisation,
		DataCentre:   e.dataCentre,
		Affinity:     prefixer.Affinity(prefixes),
		Prompt:       request.Prompt,
		Target:       a.Class.Targets.FirstToken,
	}, candidates, e.random)
	if !ok {
		a.Lost = true
		return 0
	}
	release := func() {}
	if e.limiter != nil {
		admit := carawaybeam.AdmitRequest{
			Class:        a.Class,
			Organisation: request.Organisation,
			Fingerprint:  fingerprint(request),
			Prompt:       request.Prompt,
			Expected:     decision.Expected,
			Unloaded:     decision.Unloaded,
			Idle:         decision.Idle,
		}
		admission := e.limiter.Admit(now.Add(e.clockSkew), admit)
		a.DecisionTime = time.Since(began)
		if !admission.Admitted {
			a.Refused, a.IdleCapacity = true, e.fleet.hasIdleServer()
			return roundUp(admission.RetryAfter)
		}
		release = func() { e.limiter.Release(e.fleet.now().Add(e.clockSkew), admit, e.fleet.now().Sub(now)) }
	}
	e.dispatch(a, request, decision, release)
	return 0
}

// roundUp rounds up to whole seconds, as in the header Retry-After.
func roundUp(d time.Duration) time.Duration { return (d + time.Second - 1).Truncate(time.Second) }

// fingerprint returns a hash of the recorded properties of a request.
func fingerprint(request queuer.RequestEvent) uint64 {
	return xxhash.Sum64String(fmt.Sprint(request.Organisation, request.SharedPrefixes, request.Prompt, request.Output))
}

// dispatch sends an attempt to the backend server of the decision. The counts of
// requests in flight, the limiter and the router are updated when the answer,
// or its loss, reaches the entry.
func (e *entry) dispatch(a *Attempt, request queuer.RequestEvent, decision carawaybeam.RouteDecision, release func()) {
	f := e.fleet
	began := f.clock.Now()
	s := f.server(decision.Backend)
	latency := f.latency(e.dataCentre, s.dataCentre)
	prefixes := request.Prefixes()
	a.Backend = s.id
	a.CrossDataCentre = e.dataCentre != s.dataCentre
	inFlight := e.counter.Add(f.now(), s.id, e.uncached(s, request, prefixes))
	e.table.Add(s.id, prefixes)
	observe := func(failed bool) {
		e.router.Observe(f.now(), decision, carawaybeam.RouteOutcome{FirstToken: f.clock.Now() - began, Failed: failed})
	}
	job := &queuer.Job{Prompt: request.Prompt, Output: request.Output, Prefixes: prefixes}
	job.OnFirstToken = func() {
		a.Answered, a.Cached, a.BetweenTokens = true, job.Cached, job.BetweenTokens
		a.FirstToken = f.clock.Now() + latency - a.At
		f.clock.After(latency, func() { inFlight.MarkFirstToken(); observe(false) })
	}
	job.OnDone = func() { f.clock.After(latency, func() { inFlight.Done(f.now()); release() }) }
	job.OnLost = func() {
		a.Lost = true
		f.clock.After(linkTimeout, func() { inFlight.Done(f.now()); release(); observe(true) })
	}
	f.clock.After(latency, func() { s.queue.Enqueue(job) })
}

// uncached returns the number of prompt tokens that the entry does not expect in
// the server's prefix cache.
func (e *entry) uncached(s *server, request queuer.RequestEvent, prefixes []prefixer.Prefix) carawaybeam.Tokens {
	for _, hit := range e.table.Lookup(prefixes) {
		if hit.Backend == s.id {
			return max(0, request.Prompt-hit.Tokens)
		}
	}
	return request.Prompt
}

func (f *Fleet) server(id carawaybeam.BackendID) *server {
	for _, s := range f.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}
