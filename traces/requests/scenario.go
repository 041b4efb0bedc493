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

	// Lengths of the heads that prompts of all classes share, in tokens.
	classHead = 512
	orgHead   = 1024

	swingPeriod = 20 * time.Second

	organisations = 10
	runners       = 12

	// resume is the chance that a request goes on with a session.
	resume = 0.7
	// openSessions is how many sessions of an organisation go on at a time.
	openSessions = 24

	minTail = 100
	maxTail = 500

	minOutput = 10
	// maxOutput is in multiples of the mean.
	maxOutput = 4
)

type (
	// site is one of the users.
	site struct {
		dataCentres []carawaybeam.DataCentre
		between     time.Duration
		// classes are in the order of the mix.
		classes [2]class
	}

	// class is a class of work and the size of its requests.
	class struct {
		id carawaybeam.ClassID
		// sessionHead is the length of the head that a session shares.
		sessionHead carawaybeam.Tokens
		meanOutput  float64
	}

	// scenario is a trace of requests to be generated.
	scenario struct {
		kind    tracer.Kind
		name    string
		about   string
		site    site
		entries int
		// cacheEvents tells whether load reports carry cache events.
		cacheEvents bool
		// skew is how far the clock of each entry is ahead of the one before.
		skew   time.Duration
		length time.Duration
		// rate returns requests a second.
		rate func(at time.Duration) float64
		// mix returns the weight of the second class, from 0 to 1.
		mix func(at time.Duration) float64
		// flood returns the requests a second that the first organisation
		// sends besides.
		flood func(at time.Duration) float64
		// also lists further events.
		also   []queuer.Event
		bounds map[string]tracer.Bound
	}

	// generator draws the requests of one trace.
	generator struct {
		scenario scenario
		random   *rand.Rand
		sessions map[string][]prefixer.Hash
		nextHash prefixer.Hash
		heads    map[string]prefixer.Hash
	}
)

var (
	kitami = site{
		dataCentres: []carawaybeam.DataCentre{"kitami", "abashiri", "monbetsu"},
		between:     time.Millisecond,
		classes: [2]class{
			{id: "inspectionSummary", sessionHead: 2048, meanOutput: 130},
			{id: "snowReport", sessionHead: 4096, meanOutput: 70},
		},
	}
	repujados = site{
		dataCentres: []carawaybeam.DataCentre{"medellin", "itagui", "envigado"},
		between:     500 * time.Microsecond,
		classes: [2]class{
			{id: "quote", sessionHead: 2048, meanOutput: 130},
			{id: "drawingRead", sessionHead: 4096, meanOutput: 60},
		},
	}
)

func constant(value float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return value }
}

// swings alternates between two values, each for half a period.
func swings(low, high float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%swingPeriod < swingPeriod/2 {
			return low
		}
		return high
	}
}

// step changes from one value to another and back.
func step(base, raised float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return raised
		}
		return base
	}
}

func (s scenario) events(seed uint64) []queuer.Event {
	g := &generator{
		scenario: s,
		random:   rand.New(rand.NewPCG(seed, 0)),
		sessions: make(map[string][]prefixer.Hash),
		heads:    make(map[string]prefixer.Hash),
	}
	events := append(g.setup(), s.also...)
	events = append(events, g.arrivals(s.rate, g.anyOrganisation)...)
	if s.flood != nil {
		events = append(events, g.arrivals(s.flood, func() int { return 0 })...)
	}
	slices.SortStableFunc(events, func(a, b queuer.Event) int { return int(a.At - b.At) })
	return events
}

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
		LatencyBetween: tracer.Duration(g.scenario.site.between),
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

// arrivals draws a Poisson process with a changing rate, by thinning.
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

// anyOrganisation draws an organisation: a few are large.
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
	output := min(maxOutput*class.meanOutput, minOutput+g.random.ExpFloat64()*(class.meanOutput-minOutput))
	return &queuer.RequestEvent{
		Entry:        g.random.IntN(s.entries),
		Class:        class.id,
		Organisation: carawaybeam.OrganisationID(org),
		Prompt:       class.sessionHead + tail,
		Output:       carawaybeam.Tokens(output),
		SharedPrefixes: []queuer.SharedPrefix{
			{Hash: g.head(string(class.id)), Tokens: classHead},
			{Hash: g.head(string(class.id) + org), Tokens: orgHead},
			{Hash: g.session(string(class.id) + org), Tokens: class.sessionHead},
		},
	}
}

func (g *generator) newHash() prefixer.Hash {
	g.nextHash++
	return g.nextHash
}

func (g *generator) head(key string) prefixer.Hash {
	hash, ok := g.heads[key]
	if !ok {
		hash = g.newHash()
		g.heads[key] = hash
	}
	return hash
}

// session goes on with a session or opens one.
func (g *generator) session(key string) prefixer.Hash {
	open := g.sessions[key]
	if len(open) > 0 && g.random.Float64() < resume {
		return open[g.random.IntN(len(open))]
	}
	hash := g.newHash()
	if len(open) >= openSessions {
		open = open[1:]
	}
	g.sessions[key] = append(open, hash)
	return hash
}

// drift rises from one value to another along half a cosine.
func drift(from, to float64, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		x := min(1, at.Seconds()/length.Seconds())
		return from + (to-from)*(1-math.Cos(math.Pi*x))/2
	}
}
