// Package routes replays traces of the kind "router": recorded requests are put
// through a router, and each backend server's queue follows from its decisions.
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

	// silence is how long after the last sign of life a link is given up.
	silence = 3 * time.Second

	// settling is how long after a disturbance requests do not count as
	// settled.
	settling = 5 * time.Second

	// drainTime is how long requests may run behind the last event.
	drainTime = 5 * time.Minute

	// Pool is the pool of all backend servers of a trace.
	Pool = carawaybeam.PoolID("trace")
)

type (
	// Options is what a Fleet is made from.
	Options struct {
		Header tracer.Header
		Events []queuer.Event
		Router string
		// Limiter is the plug-in that admits requests. Without one, all are.
		Limiter string
		// MaxRetries is how often a refused request comes back when it is told
		// to.
		MaxRetries int
	}

	// Fleet is the backend servers and entries of a trace.
	Fleet struct {
		options Options
		clock   queuer.Clock
		random  *rand.Rand
		// start is the time in which decisions see the trace begin.
		start time.Time

		classes map[carawaybeam.ClassID]carawaybeam.Class
		servers []*server
		entries []*entry
		within  time.Duration
		between time.Duration
		reports queuer.ReportsEvent
		// cacheEvents is set when load reports carry cache events.
		cacheEvents bool
		// storeGone is set while the list of VMs is not available.
		storeGone bool
		// disturbed is when the last disturbance began.
		disturbed time.Duration
		tries     []*Attempt
	}

	server struct {
		queue      *queuer.Server
		id         carawaybeam.BackendID
		dataCentre carawaybeam.DataCentre
		// listed is set once the list of VMs has it.
		listed bool
	}

	// Attempt is one arrival of a request at an entry and what became of it.
	Attempt struct {
		Class        carawaybeam.Class
		Organisation carawaybeam.OrganisationID
		Prompt       carawaybeam.Tokens
		// Backend is where the try was sent, or empty.
		Backend carawaybeam.BackendID
		// Retries counts how often the request had been refused before.
		Retries int
		Refused bool
		// IdleCapacity is set when it was refused while a backend server had nothing
		// to do.
		IdleCapacity bool
		// DecisionTime is the processor time that the decision took.
		DecisionTime    time.Duration
		At              time.Duration
		FirstToken      time.Duration
		BetweenTokens   time.Duration
		Cached          carawaybeam.Tokens
		CrossDataCentre bool
		Lost            bool
		Answered        bool
		Settled         bool
	}
)

// New returns a Fleet that has played nothing yet. It fails when there are no
// such plug-ins.
func New(options Options) (*Fleet, error) {
	f := &Fleet{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Header.Seed, 0)),
		start:     time.Unix(0, 0),
		classes:   make(map[carawaybeam.ClassID]carawaybeam.Class),
		disturbed: -settling,
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

// Run puts all events through the decisions and returns the tries in the order
// of their arrival.
func (f *Fleet) Run() []*Attempt {
	var last time.Duration
	for _, e := range f.options.Events {
		last = e.When()
		f.clock.At(last, func() { f.play(e) })
	}
	f.clock.Run(last + drainTime)
	return f.tries
}

func (f *Fleet) now() time.Time { return f.start.Add(f.clock.Now()) }

func (f *Fleet) play(e queuer.Event) {
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
		f.slow(*e.Slowdown)
	case e.Outage != nil:
		f.disturbed = f.clock.Now()
		f.gone(*e.Outage)
	case e.CachesCleared != nil:
		f.disturbed = f.clock.Now()
		f.clearCaches()
	case e.Store != nil:
		f.setStore(e.Store.Recovered)
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
	s := &server{id: e.ID, dataCentre: e.DataCentre, listed: !f.storeGone, queue: queuer.New(queuer.Options{
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

func (f *Fleet) setStore(back bool) {
	f.storeGone = !back
	for _, s := range f.servers {
		s.listed = s.listed || back
	}
}

func (f *Fleet) addEntries(e queuer.EntriesEvent) {
	f.cacheEvents = e.CacheEvents
	f.within, f.between = time.Duration(e.LatencyWithin), time.Duration(e.LatencyBetween)
	for i, dc := range e.DataCentres {
		entry := newEntry(f, dc, uint64(i))
		entry.skew = time.Duration(i) * time.Duration(e.ClockSkew)
		f.entries = append(f.entries, entry)
	}
}

func (f *Fleet) distance(a, b carawaybeam.DataCentre) time.Duration {
	if a == b {
		return f.within
	}
	return f.between
}

// report sends the load of a server to each entry, which may not get it.
func (f *Fleet) report(s *server) {
	f.clock.After(reportInterval, func() { f.report(s) })
	if s.queue.Down() {
		return
	}
	load, made := s.queue.Load(), f.now()
	cache := s.queue.CacheEvent()
	for _, e := range f.entries {
		if f.random.Float64() < f.reports.LossShare {
			continue
		}
		late := time.Duration(f.reports.Delay) + f.distance(e.dataCentre, s.dataCentre)
		f.clock.After(late, func() {
			e.take(s, load, made)
			if f.cacheEvents || cache.Cleared {
				e.table.Apply(s.id, cache)
			}
		})
	}
}

func (f *Fleet) slow(e queuer.SlowdownEvent) {
	for _, s := range f.servers {
		if s.id == e.Backend {
			s.queue.SetSlowdown(e.Factor)
		}
	}
}

func (f *Fleet) gone(e queuer.OutageEvent) {
	for _, s := range f.servers {
		if s.dataCentre != e.DataCentre && s.id != e.Backend {
			continue
		}
		s.queue.SetDown(!e.Recovered)
		for _, entry := range f.entries {
			f.clock.After(silence, func() { entry.setLinked(s, !s.queue.Down()) })
		}
	}
}

func (f *Fleet) clearCaches() {
	for _, s := range f.servers {
		s.queue.ClearCache()
	}
}

// idle tells whether a backend server has nothing to do.
func (f *Fleet) idle() bool {
	for _, s := range f.servers {
		load := s.queue.Load()
		if !s.queue.Down() && load.Running == 0 && load.Waiting == 0 {
			return true
		}
	}
	return false
}

func (f *Fleet) arrive(e *entry, request queuer.RequestEvent, returned int) {
	t := &Attempt{
		Class:        f.classes[request.Class],
		Organisation: request.Organisation,
		Prompt:       request.Prompt,
		Retries:      returned,
		At:           f.clock.Now(),
		Settled:      f.clock.Now() >= f.disturbed+settling,
	}
	f.tries = append(f.tries, t)
	retryAfter := e.serve(t, request)
	if !t.Refused || returned >= f.options.MaxRetries || retryAfter <= 0 {
		return
	}
	// The balancer in front of the entries knows nothing of earlier tries.
	next := f.entries[f.random.IntN(len(f.entries))]
	f.clock.After(retryAfter, func() { f.arrive(next, request, returned+1) })
}
