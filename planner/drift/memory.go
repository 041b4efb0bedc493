package drift

import (
	"math"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// maxMixes bounds the mixes of work that are remembered.
	maxMixes = 4

	// mixDistance is the total variation distance, averaged over the layers,
	// from which loads count as another mix of work.
	mixDistance = 0.08

	// smoothing is the weight of a new observation in the mean of its mix.
	smoothing = 0.25

	// trendSmoothing is the weight of a new observation in the trend.
	trendSmoothing = 0.05

	// recency is the weight of a new observation in the share of time that a
	// mix takes. Its inverse is about the length of the memory in periods.
	recency = 0.02

	// forgotten is the share of time below which a mix is forgotten.
	forgotten = 0.05

	// presentWeight is the least weight of the present mix.
	presentWeight = 0.35
)

type (
	// mix is one recurrent mix of work.
	mix struct {
		// shares holds the mean share of load by layer and expert.
		shares [][]float64
		// trends holds the smoothed change of the shares in one period.
		trends [][]float64
		// time is the share of recent time that the mix took.
		time float64
		// seen counts observations.
		seen int
	}

	// memory holds the mixes of work seen of late.
	memory struct {
		mixes   []*mix
		present *mix
	}
)

// observe adds the loads of one period to the nearest mix, or makes a new one.
func (m *memory) observe(loads []carawaybeam.LayerLoad) {
	shares := normalise(loads)
	m.present = m.nearest(shares)
	if m.present == nil {
		m.present = newMix(shares)
		m.makeRoom()
		m.mixes = append(m.mixes, m.present)
	}
	m.present.add(shares)
	kept := m.mixes[:0]
	for _, x := range m.mixes {
		x.time *= 1 - recency
		if x == m.present {
			x.time += recency
		}
		if x == m.present || x.time >= forgotten*m.total() {
			kept = append(kept, x)
		}
	}
	m.mixes = kept
}

// nearest returns the nearest mix within mixDistance, or nil.
func (m *memory) nearest(shares [][]float64) *mix {
	var found *mix
	least := mixDistance
	for _, x := range m.mixes {
		if d := distance(x.shares, shares); d < least {
			found, least = x, d
		}
	}
	return found
}

// makeRoom forgets the mix that took least time when the memory is full.
func (m *memory) makeRoom() {
	if len(m.mixes) < maxMixes {
		return
	}
	least := 0
	for i, x := range m.mixes {
		if x.time < m.mixes[least].time {
			least = i
		}
	}
	m.mixes = append(m.mixes[:least], m.mixes[least+1:]...)
}

// total returns the time of all mixes.
func (m *memory) total() float64 {
	total := 0.0
	for _, x := range m.mixes {
		total += x.time
	}
	return total
}

// weight returns the weight of a mix in the objective. All weights add up to 1.
func (m *memory) weight(x *mix) float64 {
	weight := (1 - presentWeight) * x.time / m.total()
	if x == m.present {
		weight += presentWeight
	}
	return weight
}

func newMix(shares [][]float64) *mix {
	x := &mix{shares: shares, trends: make([][]float64, len(shares))}
	for layer := range shares {
		x.trends[layer] = make([]float64, len(shares[layer]))
	}
	return x
}

// add takes in one observation by double exponential smoothing (Holt's linear
// method), so that the shares follow a steady drift without lag.
func (x *mix) add(shares [][]float64) {
	x.seen++
	part := max(smoothing, 1/float64(x.seen))
	for layer := range shares {
		mean, trend := x.shares[layer], x.trends[layer]
		for e, share := range shares[layer] {
			before := mean[e]
			mean[e] += trend[e]
			mean[e] += part * (share - mean[e])
			mean[e] = max(mean[e], 0)
			trend[e] += trendSmoothing * (mean[e] - before - trend[e])
		}
	}
}

// expected returns the shares of a layer expected for the next period.
func (x *mix) expected(layer int) []float64 {
	shares := make([]float64, len(x.shares[layer]))
	for e, share := range x.shares[layer] {
		shares[e] = max(share+x.trends[layer][e], 0)
	}
	return shares
}

func normalise(loads []carawaybeam.LayerLoad) [][]float64 {
	shares := make([][]float64, len(loads))
	for layer, load := range loads {
		total := 0.0
		for _, l := range load {
			total += l
		}
		shares[layer] = make([]float64, len(load))
		for e, l := range load {
			if total > 0 {
				shares[layer][e] = l / total
			}
		}
	}
	return shares
}

// distance returns the total variation distance, averaged over the layers.
func distance(a, b [][]float64) float64 {
	total := 0.0
	for layer := range a {
		for e := range a[layer] {
			total += math.Abs(a[layer][e] - b[layer][e])
		}
	}
	return total / float64(2*len(a))
}
