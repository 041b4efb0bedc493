// Package sampler generates traces of expert loads from a seed, for use until
// there are recorded traces.
//
// Each class of work has its own popularity of experts in each layer, drawn
// from a log-normal distribution. The load of an expert in a period is the sum,
// over the classes, of their share of the work at the time multiplied by that
// popularity, multiplied by a slow random walk and by noise.
package sampler

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	// period is the time between two events.
	period = time.Minute

	// layerTokens is the expected load of a layer in one period, in tokens,
	// without walk and noise.
	layerTokens = 50_000

	// popularitySpread is the standard deviation of the logarithm of an
	// expert's popularity.
	popularitySpread = 0.9

	// walkSpread is the standard deviation of the random walk of an expert's
	// load. walkPersistence is the part of the walk's value that remains after
	// one period.
	walkSpread      = 0.05
	walkPersistence = 0.98

	// noiseSpread is the standard deviation of the noise.
	noiseSpread = 0.02

	expertBytes  carawaybeam.Bytes = 44 << 20
	weightRate   carawaybeam.Bytes = 1 << 30
	installDelay                   = 500 * time.Millisecond

	// randomStream is the second part of the seed of the random number
	// generator, the same for all seeds.
	randomStream = 0x5eed
)

type (
	// scenario describes the traces of one generator.
	scenario struct {
		description string
		setup       planner.Setup
		events      int
		// mix returns the share of each class in the work at an event.
		mix func(event int) []float64
		// speeds returns the speed of each rank at an event, where 1 is full
		// speed. If it is nil, the trace has no speeds.
		speeds func(event int) []float64
	}

	// loadModel holds the random state of one trace.
	loadModel struct {
		random *rand.Rand
		// popularity is indexed by class, layer and expert.
		popularity [][][]float64
		// walk is indexed by layer and expert.
		walk [][]float64
	}
)

// Names returns the names of the generators in alphabetical order.
func Names() []string { return slices.Sorted(maps.Keys(scenarios())) }

// Describe returns a description of a generator's traces, or the empty string
// if there is no such generator.
func Describe(name string) string { return scenarios()[name].description }

// Generate returns the events of a generator for a seed. It returns false if
// there is no such generator.
func Generate(name string, seed uint64) ([]planner.Event, bool) {
	s, ok := scenarios()[name]
	if !ok {
		return nil, false
	}
	m := newLoadModel(s, seed)
	events := make([]planner.Event, s.events)
	for i := range events {
		events[i] = planner.Event{
			At:    tracer.Duration(time.Duration(i) * period),
			Loads: m.loads(s.mix(i)),
		}
		if s.speeds != nil {
			events[i].Speeds = s.speeds(i)
		}
	}
	events[0].Setup = &s.setup
	return events, true
}

func newLoadModel(s scenario, seed uint64) *loadModel {
	m := &loadModel{random: rand.New(rand.NewPCG(seed, randomStream))}
	for range s.mix(0) {
		class := make([][]float64, s.setup.Layers)
		for layer := range class {
			class[layer] = m.popularities(s.setup.Experts)
		}
		m.popularity = append(m.popularity, class)
	}
	m.walk = make([][]float64, s.setup.Layers)
	for layer := range m.walk {
		m.walk[layer] = make([]float64, s.setup.Experts)
	}
	return m
}

// popularities draws the shares of experts in a layer's load, which add up to
// 1.
func (m *loadModel) popularities(experts int) []float64 {
	shares := make([]float64, experts)
	total := 0.0
	for e := range shares {
		shares[e] = math.Exp(popularitySpread * m.random.NormFloat64())
		total += shares[e]
	}
	for e := range shares {
		shares[e] /= total
	}
	return shares
}

// loads draws the loads of one period. mix holds the share of each class in the
// work.
func (m *loadModel) loads(mix []float64) []carawaybeam.LayerLoad {
	step := walkSpread * math.Sqrt(1-walkPersistence*walkPersistence)
	loads := make([]carawaybeam.LayerLoad, len(m.walk))
	for layer, walk := range m.walk {
		loads[layer] = make(carawaybeam.LayerLoad, len(walk))
		for e := range walk {
			walk[e] = walkPersistence*walk[e] + step*m.random.NormFloat64()
			share := 0.0
			for class, part := range mix {
				share += part * m.popularity[class][layer][e]
			}
			noise := 1 + noiseSpread*m.random.NormFloat64()
			loads[layer][e] = math.Round(layerTokens * share * math.Exp(walk[e]) * max(noise, 0))
		}
	}
	return loads
}
