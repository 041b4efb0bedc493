// Package routes replays traces of the kind "router": it passes recorded
// requests to a router and simulates the queue of each backend server that
// results from the router's decisions.
package routes

import (
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/replayer/queuer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	// reportInterval is how often a backend server reports its load.
	reportInterval = time.Second

	// linkTimeout is the time without a heartbeat after which an entry closes
	// a link. The replay applies it to new links after an outage too.
	linkTimeout = 3 * time.Second

	// settlingTime is how long after a disturbance attempts don't count as
	// settled.
	settlingTime = 5 * time.Second

	// drainTime is how long the replay goes on after the last event, so that
	// running requests complete.
	drainTime = 5 * time.Minute

	// Pool is the pool that contains all backend servers of a trace.
	Pool = carawaybeam.PoolID("trace")
)

type (
	// Options configures a Fleet.
	Options struct {
		Header tracer.Header
		Events []queuer.Event
		Router string
		// Limiter is the plug-in that admits requests. If empty, all requests
		// are admitted.
		Limiter string
		// MaxRetries is how often a refused request is retried, each time after
		// the delay in the refusal.
		MaxRetries int
	}

	// Fleet simulates the backend servers and the entries of a trace.
	Fleet struct {
		options Options
		clock   queuer.Clock
		random  *rand.Rand
		// start is the wall clock time that plug-ins get for time 0 of the
		// trace.
		start time.Time

		classes map[carawaybeam.ClassID]carawaybeam.Class
		servers []*server
		entries []*entry
		// latencyWithin and latencyBetween are the one-way network latencies
		// within and between data centres.
		latencyWithin  time.Duration
		latencyBetween time.Duration
		reports        queuer.ReportsEvent
		// cacheEvents is set when load reports carry cache events.
		cacheEvents bool
		// storeOutage is set while the VM list is not available.
		storeOutage bool
		// disturbed is the time of the last disturbance.
		disturbed time.Duration
		attempts  []*Attempt
	}

	server struct {
		queue      *queuer.Server
		id         carawaybeam.BackendID
		dataCentre carawaybeam.DataCentre
		// listed is set once the VM list has contained the server.
		listed bool
	}

	// Attempt is one arrival of a request at an entry, with its result.
	Attempt struct {
		Class        carawaybeam.Class
		Organisation carawaybeam.OrganisationID
		Prompt       carawaybeam.Tokens
		// Backend is the backend server that the attempt was sent to, or empty.
		Backend carawaybeam.BackendID
		// Retries counts the earlier attempts of the request, all of them refused.
		Retries int
		Refused bool
		// IdleCapacity is set when the attempt was refused while a backend
		// server had no jobs.
		IdleCapacity bool
		// DecisionTime is the real time that the router and the limiter took to
		// decide. It is 0 without a limiter.
		DecisionTime time.Duration
		// At is the time of arrival since the start of the trace.
		At time.Duration
		// FirstToken is the time from arrival to the first token.
		FirstToken    time.Duration
		BetweenTokens time.Duration
		// Cached is the number of prompt tokens found in the prefix cache.
		Cached          carawaybeam.Tokens
		CrossDataCentre bool
		// Lost is set when no backend server was available, or when it went
		// down before the end of the answer.
		Lost bool
		// Answered is set when there was a first token.
		Answered bool
		// Settled is set when the attempt arrived at least 5 s after the last
		// disturbance.
		Settled bool
	}
)

// New returns a Fleet that is ready to run. It returns an error if the router or
// the limiter is unknown.
func New(options Options) (*Fleet, error) {
	f := &Fleet{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Header.Seed, 0)),
		start:     time.Unix(0, 0),
		classes:   make(map[carawaybeam.ClassID]carawaybeam.Class),
		disturbed: -settlingTime,
	}
	if _, err := carawaybeam.Routers.Lookup(options.Router); err != nil {
		return nil, err
	}
	if options.Limiter != "" {
		if _, err := carawaybeam.Limiters.Lookup(options.Limiter); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Run replays all events and returns the attempts in the order of their arrival.
// It must be called only once.
func (f *Fleet) Run() []*Attempt {
	var last time.Duration
	for _, e := range f.options.Events {
		last = e.When()
		f.clock.At(last, func() { f.handle(e) })
	}
	f.clock.Run(last + drainTime)
	return f.attempts
}

func (f *Fleet) now() time.Time { return f.start.Add(f.clock.Now()) }

func (f *Fleet) handle(e queuer.Event) {
	switch {
	case e.Class != nil:
		f.addClass(*e.Class)
	case e.Backend != nil:
		f.addServer(*e.Backend)
	case e.Entries != nil:
		f.addEntries(*e.Entries)
	case e.Request != nil:
		f.arrive(f.entries[e.Request.Entry], *e.Request, 0)
	case e.Reports != nil:
		f.reports = *e.Reports
	case e.Slowdown != nil:
		f.disturbed = f.clock.Now()
		f.setSlowdown(*e.Slowdown)
	case e.Outage != nil:
		f.disturbed = f.clock.Now()
		f.setOutage(*e.Outage)
	case e.CachesCleared != nil:
		f.disturbed = f.clock.Now()
		f.clearCaches()
	case e.Store != nil:
		f.setStoreAvailable(e.Store.Recovered)
	}
}

func (f *Fleet) addClass(e queuer.ClassEvent) {
	f.classes[e.ID] = carawaybeam.Class{
		ID:         e.ID,
		Kind:       carawaybeam.WorkModel,
		Pool:       Pool,
		Idempotent: true,
		Targets: carawaybeam.Targets{
			FirstToken:    time.Duration(e.FirstToken),
			BetweenTokens: time.Duration(e.BetweenTokens),
		},
	}
}

func (f *Fleet) addServer(e queuer.BackendEvent) {
	s := &server{id: e.ID, dataCentre: e.DataCentre, listed: !f.storeOutage, queue: queuer.New(queuer.Options{
		Clock:           &f.clock,
		Slots:           e.Slots,
		PromptRate:      e.PromptRate,
		TokenTime:       time.Duration(e.TokenTime),
		TokenTimePerJob: time.Duration(e.TokenTimePerJob),
		CacheCapacity:   e.CacheCapacity,
	})}
	f.servers = append(f.servers, s)
	f.clock.After(time.Duration(f.random.Int64N(int64(reportInterval))), func() { f.report(s) })
}

func (f *Fleet) setStoreAvailable(available bool) {
	f.storeOutage = !available
	for _, s := range f.servers {
		s.listed = s.listed || available
	}
}

func (f *Fleet) addEntries(e queuer.EntriesEvent) {
	f.cacheEvents = e.CacheEvents
	f.latencyWithin, f.latencyBetween = time.Duration(e.LatencyWithin), time.Duration(e.LatencyBetween)
	for i, dc := range e.DataCentres {
		entry := newEntry(f, dc, uint64(i))
		entry.clockSkew = time.Duration(i) * time.Duration(e.ClockSkew)
		f.entries = append(f.entries, entry)
	}
}

// latency returns the one-way network latency between two data centres.
func (f *Fleet) latency(a, b carawaybeam.DataCentre) time.Duration {
	if a == b {
		return f.latencyWithin
	}
	return f.latencyBetween
}

// report schedules the next load report of a server and, unless it is down, sends
// its load to each entry. A report is lost with the probability that the trace
// sets.
func (f *Fleet) report(s *server) {
	f.clock.After(reportInterval, func() { f.report(s) })
	if s.queue.Down() {
		return
	}
	load, reported := s.queue.Load(), f.now()
	cache := s.queue.CacheEvent()
	for _, e := range f.entries {
		if f.random.Float64() < f.reports.LossShare {
			continue
		}
		delay := time.Duration(f.reports.Delay) + f.latency(e.dataCentre, s.dataCentre)
		f.clock.After(delay, func() {
			e.addReport(s, load, reported)
			if f.cacheEvents || cache.Cleared {
				e.table.Apply(s.id, cache)
			}
		})
	}
}

func (f *Fleet) setSlowdown(e queuer.SlowdownEvent) {
	for _, s := range f.servers {
		if s.id == e.Backend {
			s.queue.SetSlowdown(e.Factor)
		}
	}
}

func (f *Fleet) setOutage(e queuer.OutageEvent) {
	for _, s := range f.servers {
		if s.dataCentre != e.DataCentre && s.id != e.Backend {
			continue
		}
		s.queue.SetDown(!e.Recovered)
		for _, entry := range f.entries {
			f.clock.After(linkTimeout, func() { entry.setLinked(s, !s.queue.Down()) })
		}
	}
}

func (f *Fleet) clearCaches() {
	for _, s := range f.servers {
		s.queue.ClearCache()
	}
}

// hasIdleServer reports whether a backend server that is up has no jobs.
func (f *Fleet) hasIdleServer() bool {
	for _, s := range f.servers {
		load := s.queue.Load()
		if !s.queue.Down() && load.Running == 0 && load.Waiting == 0 {
			return true
		}
	}
	return false
}

// arrive serves one attempt of a request at an entry, and schedules a retry if
// the attempt is refused.
func (f *Fleet) arrive(e *entry, request queuer.RequestEvent, retries int) {
	a := &Attempt{
		Class:        f.classes[request.Class],
		Organisation: request.Organisation,
		Prompt:       request.Prompt,
		Retries:      retries,
		At:           f.clock.Now(),
		Settled:      f.clock.Now() >= f.disturbed+settlingTime,
	}
	f.attempts = append(f.attempts, a)
	retryAfter := e.serve(a, request)
	if !a.Refused || retries >= f.options.MaxRetries || retryAfter <= 0 {
		return
	}
	// The load balancer in front of the entries picks any of them, regardless
	// of earlier attempts.
	next := f.entries[f.random.IntN(len(f.entries))]
	f.clock.After(retryAfter, func() { f.arrive(next, request, retries+1) })
}
