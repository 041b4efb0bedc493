// Package sampler draws traces of the load of experts from a seed. It stands in
// for recorded traces until there are some.
//
// Each class of work has its own popularity of experts in each layer, drawn
// from a log-normal distribution. The load of an expert in a period is the sum
// over the classes of their share of the work at the time, times the
// popularity, times a slow random walk, times noise.
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

	// layerTokens is the load of a layer in one period, up to noise.
	layerTokens = 50_000

	// popularitySpread is the standard deviation of the logarithm of the
	// popularity of an expert.
	popularitySpread = 0.9

	// walkSpread and walkMemory are the standard deviation of the random walk
	// of an expert's load and the part of it that lasts for one more period.
	walkSpread = 0.05
	walkMemory = 0.98

	// noiseSpread is the standard deviation of the noise.
	noiseSpread = 0.02

	expertBytes  carawaybeam.Bytes = 44 << 20
	weightRate   carawaybeam.Bytes = 1 << 30
	installDelay                   = 500 * time.Millisecond

	// The sampler draws from one stream of random numbers for each seed.
	stream = 0x5eed
)

type (
	// scene describes one trace.
	scene struct {
		name   string
		setup  planner.Setup
		events int
		// mix returns the shares of the classes at an event.
		mix func(event int) []float64
		// speeds returns the speeds of the ranks, or nil.
		speeds func(event int) []float64
	}

	// draw holds the state of one drawing.
	draw struct {
		random *rand.Rand
		// popularity is indexed by class, layer and expert.
		popularity [][][]float64
		// walk is indexed by layer and expert.
		walk [][]float64
	}
)

// Names lists the generators in order.
func Names() []string { return slices.Sorted(maps.Keys(scenes())) }

// Describe returns what the generator's traces show.
func Describe(name string) string { return scenes()[name].name }

// Generate returns the events of a generator for a seed. It reports false when
// there is no such generator.
func Generate(name string, seed uint64) ([]planner.Event, bool) {
	s, ok := scenes()[name]
	if !ok {
		return nil, false
	}
	d := newDraw(s, seed)
	events := make([]planner.Event, s.events)
	for i := range events {
		events[i] = planner.Event{
			At:    tracer.Duration(time.Duration(i) * period),
			Loads: d.loads(s.mix(i)),
		}
		if s.speeds != nil {
			events[i].Speeds = s.speeds(i)
		}
	}
	events[0].Setup = &s.setup
	return events, true
}

func newDraw(s scene, seed uint64) *draw {
	d := &draw{random: rand.New(rand.NewPCG(seed, stream))}
	for range s.mix(0) {
		class := make([][]float64, s.setup.Layers)
		for layer := range class {
			class[layer] = d.popularities(s.setup.Experts)
		}
		d.popularity = append(d.popularity, class)
	}
	d.walk = make([][]float64, s.setup.Layers)
	for layer := range d.walk {
		d.walk[layer] = make([]float64, s.setup.Experts)
	}
	return d
}

// popularities returns shares of experts that add up to 1.
func (d *draw) popularities(experts int) []float64 {
	shares := make([]float64, experts)
	total := 0.0
	for e := range shares {
		shares[e] = math.Exp(popularitySpread * d.random.NormFloat64())
		total += shares[e]
	}
	for e := range shares {
		shares[e] /= total
	}
	return shares
}

// loads draws the loads of one period for the shares of the classes.
func (d *draw) loads(mix []float64) []carawaybeam.LayerLoad {
	step := walkSpread * math.Sqrt(1-walkMemory*walkMemory)
	loads := make([]carawaybeam.LayerLoad, len(d.walk))
	for layer, walk := range d.walk {
		loads[layer] = make(carawaybeam.LayerLoad, len(walk))
		for e := range walk {
			walk[e] = walkMemory*walk[e] + step*d.random.NormFloat64()
			share := 0.0
			for class, part := range mix {
				share += part * d.popularity[class][layer][e]
			}
			noise := 1 + noiseSpread*d.random.NormFloat64()
			loads[layer][e] = math.Round(layerTokens * share * math.Exp(walk[e]) * max(noise, 0))
		}
	}
	return loads
}
