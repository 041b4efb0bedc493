package fair

import (
	"math"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// memory is the time constant with which work is forgotten.
	memory = 5 * time.Second

	// shareInterval is how often the fair share is worked out anew.
	shareInterval = 100 * time.Millisecond

	// easyPressure is the mean pressure at which the work that was admitted
	// lately counts as what the backend servers can take. Less pressure means
	// that they can take more.
	easyPressure = 0.12

	// pressureMemory is the time constant of the mean pressure.
	pressureMemory = 3 * time.Second

	// minCapacity bounds the correction by pressure.
	minCapacity = 0.5

	// peakMemory is the time constant with which the most work that was ever
	// admitted is forgotten, and peakShare the part of it that still counts as
	// capacity when less is admitted now. Without it, a wait that does not come
	// from the admitted work would close the limiter for good.
	peakMemory = time.Minute
	peakShare  = 0.5

	// forgotten is the work, in tokens, below which an organisation is dropped.
	forgotten = 1
)

type (
	// shares follows what organisations ask for and get, as work in tokens
	// that decays exponentially.
	shares struct {
		rows map[carawaybeam.OrganisationID]*row
		// total is the admitted work of all.
		total decaying
		// pressure is the mean over all requests, as of pressed.
		pressure float64
		pressed  time.Time
		// peak is the most admitted work lately, as of peaked.
		peak   float64
		peaked time.Time
		// fair is the work that an organisation may get, as of computed.
		fair     float64
		computed time.Time
		asked    []float64
	}

	row struct {
		asked    decaying
		admitted decaying
		// next is when a further refused request may come back.
		next time.Time
	}

	// decaying is a sum that decays exponentially.
	decaying struct {
		value float64
		at    time.Time
	}
)

func newShares() *shares {
	return &shares{rows: make(map[carawaybeam.OrganisationID]*row)}
}

func (d *decaying) get(now time.Time) float64 {
	if age := now.Sub(d.at); age > 0 && d.value > 0 {
		d.value *= math.Exp(-age.Seconds() / memory.Seconds())
	}
	d.at = now
	return d.value
}

func (d *decaying) add(now time.Time, value float64) {
	d.get(now)
	d.value += value
}

func (s *shares) row(organisation carawaybeam.OrganisationID) *row {
	r, ok := s.rows[organisation]
	if !ok {
		r = &row{}
		s.rows[organisation] = r
	}
	return r
}

func (s *shares) admit(now time.Time, row *row, cost float64) {
	row.admitted.add(now, cost)
	s.total.add(now, cost)
	s.peak *= math.Exp(-now.Sub(s.peaked).Seconds() / peakMemory.Seconds())
	s.peak = max(s.peak, s.total.value)
	s.peaked = now
}

// press adds to the mean pressure.
func (s *shares) press(now time.Time, pressure float64) {
	weight := 1 - math.Exp(-now.Sub(s.pressed).Seconds()/pressureMemory.Seconds())
	s.pressure += weight * (pressure - s.pressure)
	s.pressed = now
}

// capacity returns the work that the backend servers can take, within the
// memory.
func (s *shares) capacity(now time.Time) float64 {
	corrected := s.total.get(now) * max(minCapacity, 1+easyPressure-s.pressure)
	return max(corrected, peakShare*s.peak)
}

// rate returns the work in a second that an organisation may get.
func (s *shares) rate(now time.Time) float64 {
	return min(s.level(now), s.total.get(now)) / memory.Seconds()
}

// level returns the work that an organisation may get.
func (s *shares) level(now time.Time) float64 {
	if now.Sub(s.computed) >= shareInterval || s.computed.IsZero() {
		s.compute(now)
	}
	return s.fair
}

// compute finds the max-min fair level: what organisations get up to it adds up
// to the admitted work.
func (s *shares) compute(now time.Time) {
	s.computed = now
	s.asked = s.asked[:0]
	for id, r := range s.rows {
		asked := r.asked.get(now)
		if asked < forgotten && now.After(r.next) {
			delete(s.rows, id)
			continue
		}
		s.asked = append(s.asked, asked)
	}
	slices.Sort(s.asked)
	left := s.capacity(now)
	s.fair = math.Inf(1)
	for i, asked := range s.asked {
		even := left / float64(len(s.asked)-i)
		if asked >= even {
			s.fair = even
			return
		}
		left -= asked
	}
}
