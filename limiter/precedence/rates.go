package precedence

import (
	"math"
	"time"
)

const (
	// fastDecay and slowDecay are the time constants of rates. The fast one follows the front
	// of a burst, the slow one has enough samples at an entry with few requests.
	fastDecay = 700 * time.Millisecond
	slowDecay = 4 * time.Second

	// significance is how many standard deviations a burst must exceed the slow rate.
	significance = 1.5

	// shareDecay is the time constant over which the shares of priorities and organisations
	// are compared.
	shareDecay = 8 * time.Second
)

type (
	// sum is a sum that decays exponentially.
	sum struct {
		value float64
		at    time.Time
	}

	// mean is a mean that follows its samples with a time constant.
	mean struct {
		value float64
		at    time.Time
	}

	// rate measures how often something happens.
	rate struct {
		fast, slow sum
	}
)

func (s *sum) get(now time.Time, decay time.Duration) float64 {
	if age := now.Sub(s.at); age > 0 && s.value > 0 {
		s.value *= math.Exp(-age.Seconds() / decay.Seconds())
	}
	s.at = now
	return s.value
}

func (s *sum) add(now time.Time, value float64, decay time.Duration) {
	s.value = s.get(now, decay) + value
}

func (m *mean) observe(now time.Time, value float64, decay time.Duration) {
	if m.at.IsZero() {
		m.value, m.at = value, now
		return
	}
	weight := 1 - math.Exp(-max(0, now.Sub(m.at).Seconds())/decay.Seconds())
	m.value += weight * (value - m.value)
	m.at = now
}

func (r *rate) add(now time.Time) {
	r.fast.add(now, 1, fastDecay)
	r.slow.add(now, 1, slowDecay)
}

// perSecond returns the slow rate, or the fast one as far as it is larger by more than chance.
func (r *rate) perSecond(now time.Time) float64 {
	recent := r.fast.get(now, fastDecay)
	recent -= significance * math.Sqrt(recent)
	return max(recent/fastDecay.Seconds(), r.slow.get(now, slowDecay)/slowDecay.Seconds())
}
