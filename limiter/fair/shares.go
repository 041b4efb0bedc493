package fair

import (
	"math"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// workDecay is the time constant with which work decays exponentially.
	workDecay = 5 * time.Second

	// levelInterval is how often the fair level is recomputed.
	levelInterval = 100 * time.Millisecond

	// neutralPressure is the mean pressure at which the recently admitted work
	// is taken as the capacity of the backend servers. Less pressure means that
	// they have more capacity.
	neutralPressure = 0.12

	// pressureDecay is the time constant of the mean pressure.
	pressureDecay = 3 * time.Second

	// minCorrection is the smallest factor by which pressure corrects the
	// capacity.
	minCorrection = 0.5

	// peakDecay is the time constant with which the peak of admitted work decays.
	// At least the fraction peakShare of the peak counts as capacity. Otherwise a
	// wait that is not caused by the admitted work would make the limiter refuse
	// requests permanently.
	peakDecay = time.Minute
	peakShare = 0.5

	// minWork is the requested work, in tokens, below which the usage of an
	// organisation is dropped.
	minWork = 1
)

type (
	// shares tracks the requested and admitted work of organisations, in tokens,
	// and computes the fair level. Work decays exponentially.
	shares struct {
		usages map[carawaybeam.OrganisationID]*usage
		// total is the admitted work of all organisations.
		total decayingSum
		// pressure is the mean over all requests at the time pressureAt.
		pressure   float64
		pressureAt time.Time
		// peak is the decaying maximum of total at the time peakAt.
		peak   float64
		peakAt time.Time
		// fairLevel is the most work that is admitted for one organisation, as
		// computed at the time levelAt.
		fairLevel float64
		levelAt   time.Time
		// requested is a buffer of computeLevel, kept to avoid allocations.
		requested []float64
	}

	// usage is the work of one organisation.
	usage struct {
		requested decayingSum
		admitted  decayingSum
		// nextRetry is the earliest time for the retry of the next refused
		// request.
		nextRetry time.Time
	}

	// decayingSum is a sum that decays exponentially.
	decayingSum struct {
		value float64
		at    time.Time
	}
)

func newShares() *shares {
	return &shares{usages: make(map[carawaybeam.OrganisationID]*usage)}
}

func (d *decayingSum) get(now time.Time) float64 {
	if age := now.Sub(d.at); age > 0 && d.value > 0 {
		d.value *= math.Exp(-age.Seconds() / workDecay.Seconds())
	}
	d.at = now
	return d.value
}

func (d *decayingSum) add(now time.Time, value float64) {
	d.get(now)
	d.value += value
}

// usageOf returns the usage of the organisation, which it creates if necessary.
func (s *shares) usageOf(organisation carawaybeam.OrganisationID) *usage {
	u, ok := s.usages[organisation]
	if !ok {
		u = &usage{}
		s.usages[organisation] = u
	}
	return u
}

func (s *shares) admit(now time.Time, u *usage, cost float64) {
	u.admitted.add(now, cost)
	s.total.add(now, cost)
	s.peak *= math.Exp(-now.Sub(s.peakAt).Seconds() / peakDecay.Seconds())
	s.peak = max(s.peak, s.total.value)
	s.peakAt = now
}

// observePressure updates the mean pressure.
func (s *shares) observePressure(now time.Time, pressure float64) {
	weight := 1 - math.Exp(-now.Sub(s.pressureAt).Seconds()/pressureDecay.Seconds())
	s.pressure += weight * (pressure - s.pressure)
	s.pressureAt = now
}

// capacity returns the estimated capacity of the backend servers, as decaying
// work like total.
func (s *shares) capacity(now time.Time) float64 {
	corrected := s.total.get(now) * max(minCorrection, 1+neutralPressure-s.pressure)
	return max(corrected, peakShare*s.peak)
}

// rate returns the fair share of one organisation in tokens per second.
func (s *shares) rate(now time.Time) float64 {
	return min(s.level(now), s.total.get(now)) / workDecay.Seconds()
}

// level returns the fair level: the most work that is admitted for one
// organisation, or infinity if the capacity suffices for all requested work.
func (s *shares) level(now time.Time) float64 {
	if now.Sub(s.levelAt) >= levelInterval || s.levelAt.IsZero() {
		s.computeLevel(now)
	}
	return s.fairLevel
}

// computeLevel computes the max-min fair level: if each organisation gets its
// requested work up to the level, the sum equals the capacity.
func (s *shares) computeLevel(now time.Time) {
	s.levelAt = now
	s.requested = s.requested[:0]
	for id, u := range s.usages {
		requested := u.requested.get(now)
		if requested < minWork && now.After(u.nextRetry) {
			delete(s.usages, id)
			continue
		}
		s.requested = append(s.requested, requested)
	}
	slices.Sort(s.requested)
	left := s.capacity(now)
	s.fairLevel = math.Inf(1)
	for i, requested := range s.requested {
		equalShare := left / float64(len(s.requested)-i)
		if requested >= equalShare {
			s.fairLevel = equalShare
			return
		}
		left -= requested
	}
}
