package drift

import (
	"math"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// maxMixes is the maximum number of workload mixes in the history.
	maxMixes = 4

	// mixDistance is the total variation distance, averaged over the layers,
	// from which loads belong to different mixes.
	mixDistance = 0.08

	// meanSmoothing is the weight of a new observation in the mean of its mix.
	meanSmoothing = 0.25

	// trendSmoothing is the weight of a new observation in the trend.
	trendSmoothing = 0.05

	// timeSmoothing is the weight of a new observation in the share of time of a
	// mix. Its inverse is approximately the length of the history in periods.
	timeSmoothing = 0.02

	// minTimeShare is the share of time below which a mix is removed.
	minTimeShare = 0.05

	// currentMixWeight is the minimum weight of the current mix.
	currentMixWeight = 0.35
)

type (
	// mix is a recurring workload mix: a distribution of the load over the
	// experts of each layer.
	mix struct {
		// shares holds the mean share of load by layer and expert.
		shares [][]float64
		// trends holds the smoothed change of the shares per period.
		trends [][]float64
		// timeShare is the smoothed fraction of periods with this mix.
		timeShare float64
		// observations is the number of observations so far.
		observations int
	}

	// mixHistory holds the workload mixes of recent periods.
	mixHistory struct {
		mixes   []*mix
		current *mix
	}
)

// observe adds the loads of one period to the nearest mix, or to a new mix if
// none is near, and removes mixes that have become rare.
func (h *mixHistory) observe(loads []carawaybeam.LayerLoad) {
	shares := normalise(loads)
	h.current = h.nearest(shares)
	if h.current == nil {
		h.current = newMix(shares)
		h.evict()
		h.mixes = append(h.mixes, h.current)
	}
	h.current.add(shares)
	kept := h.mixes[:0]
	for _, x := range h.mixes {
		x.timeShare *= 1 - timeSmoothing
		if x == h.current {
			x.timeShare += timeSmoothing
		}
		if x == h.current || x.timeShare >= minTimeShare*h.total() {
			kept = append(kept, x)
		}
	}
	h.mixes = kept
}

// nearest returns the nearest mix within mixDistance, or nil.
func (h *mixHistory) nearest(shares [][]float64) *mix {
	var found *mix
	least := mixDistance
	for _, x := range h.mixes {
		if d := distance(x.shares, shares); d < least {
			found, least = x, d
		}
	}
	return found
}

// evict removes the mix with the smallest share of time if the history is full.
func (h *mixHistory) evict() {
	if len(h.mixes) < maxMixes {
		return
	}
	least := 0
	for i, x := range h.mixes {
		if x.timeShare < h.mixes[least].timeShare {
			least = i
		}
	}
	h.mixes = append(h.mixes[:least], h.mixes[least+1:]...)
}

// total returns the sum of the time shares of all mixes.
func (h *mixHistory) total() float64 {
	total := 0.0
	for _, x := range h.mixes {
		total += x.timeShare
	}
	return total
}

// weight returns the weight of a mix in the objective. The weights of all mixes
// add up to 1.
func (h *mixHistory) weight(x *mix) float64 {
	weight := (1 - currentMixWeight) * x.timeShare / h.total()
	if x == h.current {
		weight += currentMixWeight
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

// add includes one observation by double exponential smoothing (Holt's linear
// method), so that the shares follow a steady drift without lag.
func (x *mix) add(shares [][]float64) {
	x.observations++
	part := max(meanSmoothing, 1/float64(x.observations))
	for layer := range shares {
		mean, trend := x.shares[layer], x.trends[layer]
		for e, share := range shares[layer] {
			previous := mean[e]
			mean[e] += trend[e]
			mean[e] += part * (share - mean[e])
			mean[e] = max(mean[e], 0)
			trend[e] += trendSmoothing * (mean[e] - previous - trend[e])
		}
	}
}

// expected returns the shares that a layer is expected to have in the next
// period.
func (x *mix) expected(layer int) []float64 {
	shares := make([]float64, len(x.shares[layer]))
	for e, share := range x.shares[layer] {
		shares[e] = max(share+x.trends[layer][e], 0)
	}
	return shares
}

// normalise returns the share of each expert in the load of its layer.
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
