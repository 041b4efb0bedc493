package precedence

import (
	"math"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// workDecay is the time constant of the work of organisations, in tokens.
	workDecay = 5 * time.Second

	// levelInterval is how often the fair level is recomputed.
	levelInterval = 100 * time.Millisecond

	// spareWork is how much more work than was admitted is taken as capacity, so that organisations
	// are not limited while nearly all requests are admitted.
	spareWork = 1.05

	// minWork is the requested work, in tokens, below which an organisation is forgotten.
	minWork = 1

	// maxOrganisations is the maximum number of organisations of a kind whose work is
	// remembered. Further ones have a share together.
	maxOrganisations = 4096
)

type (
	// shares computes the max-min fair shares of organisations in the admitted work of a
	// kind.
	shares struct {
		usages map[carawaybeam.OrganisationID]*usage
		// others is the usage of organisations beyond maxOrganisations.
		others   usage
		admitted sum
		// fair is the most work that is admitted for one organisation, as computed at the
		// time levelAt, or infinite. within is the part of the requested work that is of
		// organisations which request less.
		fair    float64
		within  float64
		levelAt time.Time
		// requested is a buffer of computeLevel.
		requested []float64
	}

	// usage is the work of one organisation, and the number of its requests.
	usage struct {
		requested, admitted           sum
		offeredLately, admittedLately sum
	}
)

func newShares() *shares {
	return &shares{usages: make(map[carawaybeam.OrganisationID]*usage), fair: math.Inf(1)}
}

func (s *shares) usageOf(organisation carawaybeam.OrganisationID) *usage {
	u, ok := s.usages[organisation]
	if !ok {
		if len(s.usages) >= maxOrganisations {
			return &s.others
		}
		u = &usage{}
		s.usages[organisation] = u
	}
	return u
}

func (u *usage) offer(now time.Time, cost float64) {
	u.requested.add(now, cost, workDecay)
	u.offeredLately.add(now, 1, shareDecay)
}

// isWithin reports whether all requests of the organisation are within the fair level, which limits others.
func (u *usage) isWithin(now time.Time, level float64) bool {
	return !math.IsInf(level, 1) && u.requested.get(now, workDecay) <= level
}

func (s *shares) admit(now time.Time, u *usage, cost float64) {
	u.admitted.add(now, cost, workDecay)
	u.admittedLately.add(now, 1, shareDecay)
	s.admitted.add(now, cost, workDecay)
}

// fraction returns the admitted work as a fraction of the fair level, or 0 if the level is infinite.
func (u *usage) fraction(now time.Time, level float64) float64 {
	if math.IsInf(level, 1) || level <= 0 {
		return 0
	}
	return u.admitted.get(now, workDecay) / level
}

// level returns the most work that is admitted for one organisation, or infinity.
func (s *shares) level(now time.Time) float64 {
	if now.Sub(s.levelAt) >= levelInterval || s.levelAt.IsZero() {
		s.computeLevel(now)
	}
	return s.fair
}

// computeLevel computes the max-min fair level: if each organisation gets its requested work up to
// the level, the sum is what was admitted.
func (s *shares) computeLevel(now time.Time) {
	s.levelAt = now
	s.requested = s.requested[:0]
	for id, u := range s.usages {
		requested := u.requested.get(now, workDecay)
		if requested < minWork {
			delete(s.usages, id)
			continue
		}
		s.requested = append(s.requested, requested)
	}
	if requested := s.others.requested.get(now, workDecay); requested >= minWork {
		s.requested = append(s.requested, requested)
	}
	slices.Sort(s.requested)
	left := spareWork * s.admitted.get(now, workDecay)
	s.fair, s.within = math.Inf(1), 1
	var within, total float64
	for _, requested := range s.requested {
		total += requested
	}
	for i, requested := range s.requested {
		equal := left / float64(len(s.requested)-i)
		if requested >= equal {
			s.fair, s.within = equal, within/total
			return
		}
		left -= requested
		within += requested
	}
}
