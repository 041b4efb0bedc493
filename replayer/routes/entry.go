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

// tableHeads bounds the prefix table of an entry.
const tableHeads = 1 << 16

type (
	// entry is one process that decides, and sees nothing of the others.
	entry struct {
		fleet      *Fleet
		dataCentre carawaybeam.DataCentre
		// skew is how far the clock of the entry is ahead.
		skew    time.Duration
		router  carawaybeam.Router
		limiter carawaybeam.Limiter
		random  *rand.Rand
		counter *counter.Counter
		table   *prefixer.Table
		views   map[*server]*view
	}

	// view is what an entry knows of a backend server.
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
		table:      prefixer.New(tableHeads),
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

func (e *entry) take(s *server, load carawaybeam.Load, made time.Time) {
	if v := e.view(s); made.After(v.reported) {
		v.load, v.reported = load, made
	}
}

func (e *entry) setLinked(s *server, linked bool) {
	e.view(s).linked = linked
	e.table.Forget(s.id)
}

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
			Distance:   e.fleet.distance(e.dataCentre, s.dataCentre),
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

// serve decides on a try and puts it where the decision says. It returns when
// to come back if it is refused.
func (e *entry) serve(t *Attempt, request queuer.RequestEvent) time.Duration {
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
		Target:       t.Class.Targets.FirstToken,
	}, candidates, e.random)
	if !ok {
		t.Lost = true
		return 0
	}
	release := func() {}
	if e.limiter != nil {
		admit := carawaybeam.AdmitRequest{
			Class:        t.Class,
			Organisation: request.Organisation,
			Fingerprint:  fingerprint(request),
			Prompt:       request.Prompt,
			Expected:     decision.Expected,
			Unloaded:     decision.Unloaded,
			Idle:         decision.Idle,
		}
		verdict := e.limiter.Admit(now.Add(e.skew), admit)
		t.DecisionTime = time.Since(began)
		if !verdict.Admitted {
			t.Refused, t.IdleCapacity = true, e.fleet.idle()
			return roundUp(verdict.RetryAfter)
		}
		release = func() { e.limiter.Release(e.fleet.now().Add(e.skew), admit, e.fleet.now().Sub(now)) }
	}
	e.dispatch(t, request, decision, release)
	return 0
}

// roundUp returns the whole seconds that callers are told.
func roundUp(d time.Duration) time.Duration { return (d + time.Second - 1).Truncate(time.Second) }

// fingerprint tells requests of a trace apart.
func fingerprint(request queuer.RequestEvent) uint64 {
	return xxhash.Sum64String(fmt.Sprint(request.Organisation, request.SharedPrefixes, request.Prompt, request.Output))
}

func (e *entry) dispatch(t *Attempt, request queuer.RequestEvent, decision carawaybeam.RouteDecision, release func()) {
	f := e.fleet
	began := f.clock.Now()
	s := f.server(decision.Backend)
	way := f.distance(e.dataCentre, s.dataCentre)
	prefixes := request.Prefixes()
	t.Backend = s.id
	t.CrossDataCentre = e.dataCentre != s.dataCentre
	own := e.counter.Add(f.now(), s.id, e.unread(s, request, prefixes))
	e.table.Add(s.id, prefixes)
	observe := func(failed bool) {
		e.router.Observe(f.now(), decision, carawaybeam.RouteOutcome{FirstToken: f.clock.Now() - began, Failed: failed})
	}
	job := &queuer.Job{Prompt: request.Prompt, Output: request.Output, Prefixes: prefixes}
	job.OnFirstToken = func() {
		t.Answered, t.Cached, t.BetweenTokens = true, job.Cached, job.BetweenTokens
		t.FirstToken = f.clock.Now() + way - t.At
		f.clock.After(way, func() { own.MarkFirstToken(); observe(false) })
	}
	job.OnDone = func() { f.clock.After(way, func() { own.Done(f.now()); release() }) }
	job.OnLost = func() {
		t.Lost = true
		f.clock.After(silence, func() { own.Done(f.now()); release(); observe(true) })
	}
	f.clock.After(way, func() { s.queue.Enqueue(job) })
}

// unread returns the prompt tokens that are not expected in the cache.
func (e *entry) unread(s *server, request queuer.RequestEvent, prefixes []prefixer.Prefix) carawaybeam.Tokens {
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
