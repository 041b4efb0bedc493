package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/replayer/queuer"
	"github.com/carawaybeam/carawaybeam/router/prefixer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	firstTokenTarget    = 1300 * time.Millisecond
	betweenTokensTarget = 67 * time.Millisecond

	// Lengths in tokens of the prefixes that prompts of the same class, and of
	// the same class and organisation, share.
	classPrefix        = 512
	organisationPrefix = 1024

	swingPeriod = 20 * time.Second

	organisations = 10
	runners       = 12

	// resumeProbability is the probability that a request continues a session.
	resumeProbability = 0.7
	// maxOpenSessions is the maximum number of open sessions of an
	// organisation in a class.
	maxOpenSessions = 24

	// Lengths in tokens of the part of a prompt after its shared prefixes.
	minTail = 100
	maxTail = 500

	// minOutput is the least length of an answer in tokens.
	minOutput = 10
	// maxOutputFactor limits the length of an answer, as a multiple of the
	// mean.
	maxOutputFactor = 4
)

type (
	// site describes the data centres and classes of one of the users.
	site struct {
		dataCentres []carawaybeam.DataCentre
		// latencyBetween is the one-way latency between data centres.
		latencyBetween time.Duration
		// classes are the two classes that scenario.mix divides requests
		// between.
		classes [2]class
	}

	// class is a class of work and the size of its requests.
	class struct {
		id carawaybeam.ClassID
		// sessionPrefix is the length in tokens of the prefix that prompts of
		// one session share.
		sessionPrefix carawaybeam.Tokens
		meanOutput    float64
	}

	// scenario describes a trace of requests to generate.
	scenario struct {
		kind    tracer.Kind
		name    string
		about   string
		site    site
		entries int
		// cacheEvents is set when load reports carry cache events.
		cacheEvents bool
		// skew is how far the clock of each entry is ahead of that of the
		// entry before it.
		skew   time.Duration
		length time.Duration
		// rate returns the requests per second of all organisations.
		rate func(at time.Duration) float64
		// mix returns the share of the second class, from 0 to 1.
		mix func(at time.Duration) float64
		// flood returns the additional requests per second of the first
		// organisation.
		flood func(at time.Duration) float64
		// extra lists further events.
		extra  []queuer.Event
		bounds map[string]tracer.Bound
	}

	// generator draws the requests of one trace.
	generator struct {
		scenario scenario
		random   *rand.Rand
		// sessions holds the prefix hashes of open sessions, oldest first, by
		// class and organisation.
		sessions map[string][]prefixer.Hash
		lastHash prefixer.Hash
		// prefixes holds the hashes of prefixes shared beyond a session, by
		// class or by class and organisation.
		prefixes map[string]prefixer.Hash
	}
)

var (
	kitami = site{
		dataCentres:    []carawaybeam.DataCentre{"kitami", "abashiri", "monbetsu"},
		latencyBetween: time.Millisecond,
		classes: [2]class{
			{id: "inspectionSummary", sessionPrefix: 2048, meanOutput: 130},
			{id: "snowReport", sessionPrefix: 4096, meanOutput: 70},
		},
	}
	repujados = site{
		dataCentres:    []carawaybeam.DataCentre{"medellin", "itagui", "envigado"},
		latencyBetween: 500 * time.Microsecond,
		classes: [2]class{
			{id: "quote", sessionPrefix: 2048, meanOutput: 130},
			{id: "drawingRead", sessionPrefix: 4096, meanOutput: 60},
		},
	}
)

func constant(value float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return value }
}

// swings returns a square wave that alternates between two values, each for half
// of swingPeriod.
func swings(low, high float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%swingPeriod < swingPeriod/2 {
			return low
		}
		return high
	}
}

// step returns raised between two times and base otherwise.
func step(base, raised float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return raised
		}
		return base
	}
}

// events generates the trace with a seed, sorted by time.
func (s scenario) events(seed uint64) []queuer.Event {
	g := &generator{
		scenario: s,
		random:   rand.New(rand.NewPCG(seed, 0)),
		sessions: make(map[string][]prefixer.Hash),
		prefixes: make(map[string]prefixer.Hash),
	}
	events := append(g.setup(), s.extra...)
	events = append(events, g.arrivals(s.rate, g.anyOrganisation)...)
	if s.flood != nil {
		events = append(events, g.arrivals(s.flood, func() int { return 0 })...)
	}
	slices.SortStableFunc(events, func(a, b queuer.Event) int { return int(a.At - b.At) })
	return events
}

// setup returns the classes, backend servers and entries.
func (g *generator) setup() []queuer.Event {
	var events []queuer.Event
	for _, class := range g.scenario.site.classes {
		events = append(events, queuer.Event{Class: &queuer.ClassEvent{
			ID:            class.id,
			FirstToken:    tracer.Duration(firstTokenTarget),
			BetweenTokens: tracer.Duration(betweenTokensTarget),
		}})
	}
	for i := range runners {
		events = append(events, queuer.Event{Backend: runner(i+1, g.scenario.site)})
	}
	entries := &queuer.EntriesEvent{
		LatencyWithin:  tracer.Duration(300 * time.Microsecond),
		LatencyBetween: tracer.Duration(g.scenario.site.latencyBetween),
		CacheEvents:    g.scenario.cacheEvents,
		ClockSkew:      tracer.Duration(g.scenario.skew),
	}
	for i := range g.scenario.entries {
		dc := g.scenario.site.dataCentres[i%len(g.scenario.site.dataCentres)]
		entries.DataCentres = append(entries.DataCentres, dc)
	}
	return append(events, queuer.Event{Entries: entries})
}

// runner returns the n-th backend server of a site.
func runner(n int, s site) *queuer.BackendEvent {
	return &queuer.BackendEvent{
		ID:              carawaybeam.BackendID(fmt.Sprintf("runner-%d", n)),
		DataCentre:      s.dataCentres[(n-1)%len(s.dataCentres)],
		Slots:           16,
		PromptRate:      8000,
		TokenTime:       tracer.Duration(20 * time.Millisecond),
		TokenTimePerJob: tracer.Duration(1500 * time.Microsecond),
		CacheCapacity:   96,
	}
}

// arrivals draws requests from a Poisson process with a variable rate, by
// thinning.
func (g *generator) arrivals(rate func(time.Duration) float64, organisation func() int) []queuer.Event {
	var events []queuer.Event
	peak := 0.0
	for at := time.Duration(0); at < g.scenario.length; at += time.Second {
		peak = max(peak, rate(at))
	}
	for at := time.Duration(0); ; {
		at += time.Duration(g.random.ExpFloat64() / peak * float64(time.Second))
		if at >= g.scenario.length {
			return events
		}
		if g.random.Float64()*peak < rate(at) {
			rounded := at.Round(100 * time.Microsecond)
			events = append(events, queuer.Event{At: tracer.Duration(rounded), Request: g.request(at, organisation())})
		}
	}
}

// anyOrganisation draws an organisation. The n-th one has a weight of 1/n, so
// that a few are large.
func (g *generator) anyOrganisation() int {
	sum := 0.0
	for i := range organisations {
		sum += 1 / float64(i+1)
	}
	at := g.random.Float64() * sum
	for i := range organisations {
		if at -= 1 / float64(i+1); at < 0 {
			return i
		}
	}
	return organisations - 1
}

func (g *generator) request(at time.Duration, organisation int) *queuer.RequestEvent {
	s := g.scenario
	class := s.site.classes[0]
	if g.random.Float64() < s.mix(at) {
		class = s.site.classes[1]
	}
	org := fmt.Sprintf("org-%d", organisation+1)
	tail := carawaybeam.Tokens(minTail + g.random.IntN(maxTail-minTail))
	output := min(maxOutputFactor*class.meanOutput, minOutput+g.random.ExpFloat64()*(class.meanOutput-minOutput))
	return &queuer.RequestEvent{
		Entry:        g.random.IntN(s.entries),
		Class:        class.id,
		Organisation: carawaybeam.OrganisationID(org),
		Prompt:       class.sessionPrefix + tail,
		Output:       carawaybeam.Tokens(output),
		SharedPrefixes: []queuer.SharedPrefix{
			{Hash: g.prefix(string(class.id)), Tokens: classPrefix},
			{Hash: g.prefix(string(class.id) + org), Tokens: organisationPrefix},
			{Hash: g.session(string(class.id) + org), Tokens: class.sessionPrefix},
		},
	}
}

func (g *generator) newHash() prefixer.Hash {
	g.lastHash++
	return g.lastHash
}

// prefix returns the hash for a key, always the same one.
func (g *generator) prefix(key string) prefixer.Hash {
	hash, ok := g.prefixes[key]
	if !ok {
		hash = g.newHash()
		g.prefixes[key] = hash
	}
	return hash
}

// session continues an open session at random or opens a new one, and returns
// the hash of its prefix. If there are too many, it closes the oldest one.
func (g *generator) session(key string) prefixer.Hash {
	open := g.sessions[key]
	if len(open) > 0 && g.random.Float64() < resumeProbability {
		return open[g.random.IntN(len(open))]
	}
	hash := g.newHash()
	if len(open) >= maxOpenSessions {
		open = open[1:]
	}
	g.sessions[key] = append(open, hash)
	return hash
}

// drift changes from one value to another along half a cosine wave.
func drift(from, to float64, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		x := min(1, at.Seconds()/length.Seconds())
		return from + (to-from)*(1-math.Cos(math.Pi*x))/2
	}
}
