package precedence

import (
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/forecaster"
)

const (
	// occupancyDecay is the time constant of the occupancy of a data centre. It is about that
	// of the step times in reports, which are compared with it.
	occupancyDecay = 400 * time.Millisecond

	// usefulShare is the smallest part of the slots that must keep a target for the target
	// to limit the occupancy. With less, the engines are slow for another reason than their
	// number of requests.
	usefulShare = 0.05

	// maxDataCentres is the maximum number of data centres whose occupancy is remembered.
	maxDataCentres = 64

	// maxScale bounds how many times more requests the pool has than this entry.
	maxScale = 1000

	// scaleDecay is the time constant of the numbers of running requests whose quotient is
	// the scale.
	scaleDecay = 2 * time.Second
)

// capacity is the state of the backend servers of a pool as an entry sees it for one request.
type capacity struct {
	// slots and running are sums over the open backend servers. running includes waiting
	// requests.
	slots, running float64
	// places is the number of requests that can run within the binding gap, and free how many
	// places have no request. Backend servers with too many requests take nothing from the
	// free places of others.
	places, free float64
	// chosenFree is the number of free places of the backend server that the router chose.
	chosenFree float64
	// gap is the mean time between events at present, or 0 if unknown.
	gap time.Duration
	// own is by how many the running requests of this entry have increased since the reports.
	own float64
	// limited is set if a gap bounds the places, rather than the slots.
	limited bool
}

// observe updates the occupancies and the scale from the candidates of a request.
func (p *pool) observe(now time.Time, request carawaybeam.AdmitRequest) capacity {
	var (
		c        capacity
		gaps     float64
		known    float64
		ownTotal float64
	)
	p.centres, p.centreOf = p.centres[:0], p.centreOf[:0]
	for i := range request.Contention.Candidates {
		candidate := &request.Contention.Candidates[i]
		centre := p.centre(candidate.DataCentre)
		p.centreOf = append(p.centreOf, centre)
		if candidate.ClosedFor > 0 {
			continue
		}
		running := float64(forecaster.Running(candidate))
		c.slots += float64(forecaster.Slots(candidate))
		c.running += running
		c.own += float64(candidate.OwnRunning - candidate.OwnReported)
		ownTotal += float64(candidate.OwnRunning)
		if candidate.StepTime > 0 {
			gaps += float64(candidate.StepTime) * (running + 1)
			known += running + 1
		}
		p.centres[centre].most = max(p.centres[centre].most, running)
	}
	c.own = max(0, c.own)
	if known > 0 {
		c.gap = time.Duration(gaps / known)
	}
	p.observeCentres(now)
	p.poolRunning.observe(now, c.running, scaleDecay)
	p.ownRunning.observe(now, ownTotal, scaleDecay)
	return c
}

// centre returns the index of a data centre in centres. Those beyond maxDataCentres share one.
func (p *pool) centre(dc carawaybeam.DataCentre) int {
	if n := len(p.centreOf); n > 0 && p.centres[p.centreOf[n-1]].dc == dc {
		return p.centreOf[n-1] // Mostly the candidates of a data centre follow each other.
	}
	for i := range p.centres {
		if p.centres[i].dc == dc {
			return i
		}
	}
	if len(p.centres) >= maxDataCentres {
		return len(p.centres) - 1
	}
	p.centres = append(p.centres, centre{dc: dc})
	return len(p.centres) - 1
}

// observeCentres updates the occupancies of the data centres.
func (p *pool) observeCentres(now time.Time) {
	for i := range p.centres {
		centre := &p.centres[i]
		m, ok := p.occupancies[centre.dc]
		if !ok && len(p.occupancies) >= maxDataCentres {
			clear(p.occupancies)
		}
		m.observe(now, centre.most, occupancyDecay)
		p.occupancies[centre.dc] = m
		centre.occupancy = m.value
	}
}

// scale returns how many times more requests the pool has than this entry.
func (p *pool) scale() float64 {
	if p.poolRunning.value <= 0 {
		return 1
	}
	return clamp(p.poolRunning.value/max(p.ownRunning.value, 1), 1, maxScale)
}

// fill computes the places within the tightest gap that can be kept. The gaps of each kind are in
// the order of preference.
func (p *pool) fill(request carawaybeam.AdmitRequest, c *capacity, binding time.Duration) {
	c.places, c.free, c.chosenFree = 0, 0, 0
	c.limited = binding > 0
	for i := range request.Contention.Candidates {
		candidate := &request.Contention.Candidates[i]
		if candidate.ClosedFor > 0 {
			continue
		}
		places := placesOf(request.Contention.Engine, candidate, p.centres[p.centreOf[i]].occupancy, binding)
		free := places - float64(forecaster.Running(candidate))
		c.places += places
		c.free += max(0, free)
		if candidate.Backend == request.Contention.Chosen {
			c.chosenFree = free
		}
	}
}

// placesOf returns with how many requests a backend server keeps the gap between events.
//
// A pass of a group takes as long as its slowest rank, a time in proportion to StepTime + n x SequenceTime
// with n running requests there.
func placesOf(
	engine *carawaybeam.EngineProfile,
	candidate *carawaybeam.Candidate,
	occupancy float64,
	gap time.Duration,
) float64 {
	slots := float64(forecaster.Slots(candidate))
	if gap <= 0 || engine == nil || candidate.StepTime <= 0 || engine.SequenceTime <= 0 {
		return slots
	}
	base, each := engine.StepTime.Seconds(), engine.SequenceTime.Seconds()
	allowed := float64(gap) / float64(candidate.StepTime) * (base + occupancy*each)
	return clamp(math.Floor((allowed-base)/each), 0, slots)
}

// binding returns the tightest gap that can be kept among those of the kinds that are at least as
// urgent as the last one and in demand, or 0 if there is none. For each kind it is the gap of its
// target or, if that cannot be kept, the one with which its answers end before the deadline.
func (p *pool) binding(now time.Time, request carawaybeam.AdmitRequest, c *capacity, last *kind) time.Duration {
	var tightest, filled time.Duration
	for _, k := range p.kinds {
		if k.priority > last.priority {
			break
		}
		if k != last && k.offered.perSecond(now) < minDemand {
			continue
		}
		for _, gap := range [...]time.Duration{k.gap, k.endGap} {
			if gap <= 0 || tightest > 0 && gap >= tightest {
				continue
			}
			filled = gap
			if p.fill(request, c, gap); c.places >= usefulShare*c.slots {
				tightest = gap
				break
			}
		}
	}
	if filled != tightest || tightest == 0 {
		p.fill(request, c, tightest)
	}
	return tightest
}
