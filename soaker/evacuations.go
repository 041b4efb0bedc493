package soaker

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

const (
	// A run has up to maxEvacuations evacuations, and one of the evacuationPairs. They are drawn from
	// the random numbers of the stream evacuationStream.
	maxEvacuations   = 1
	evacuationStream = 1 << 39

	// evacuationBound is the time after the acknowledgement of an evacuation from which no request may
	// reach its data centre, as the users set it.
	evacuationBound = 5 * time.Second

	// minEvacuationTime is the shortest evacuation. A late write must not set it again after its end.
	minEvacuationTime = lateWriteDelay + 500*time.Millisecond

	// Evacuations end recoveryTime before the final phase, unless outages of the store delay their end. An entry
	// learns of the end up to a second late, and treats the backend servers as cold for 3 s and until it has
	// read newer announcements.
	recoveryTime = 7 * time.Second

	// An evacuation that is set again does so minResetGap to maxResetGap after it was lifted. It counts
	// as still set if that took less than resetTime, which leaves some of the second of the rule for the
	// way to the entries.
	minResetGap = 50 * time.Millisecond
	maxResetGap = 600 * time.Millisecond
	resetTime   = 800 * time.Millisecond

	// A store that comes back has a copy of maxCopyAge at most, and is away for maxAwayTime at most. Keys
	// that the copy brings back are withdrawn again within keyBound.
	maxCopyAge  = time.Second
	maxAwayTime = 1500 * time.Millisecond
)

var (
	// dataCentres are the data centres. Hosts and entries are in them in turn.
	dataCentres = []string{"dc", "far"}

	// evacuationKinds are the kinds of faults that evacuate data centres, and those that are used with
	// them only.
	evacuationKinds = []string{"evacuate", "evacuateAgain", "storeBack"}

	// evacuationPairs are faults that strain an evacuation in combination.
	evacuationPairs = [][2]string{
		{"evacuate", "storeDown"},
		{"storeBack", "evacuate"},
		{"evacuateAgain", "kill"},
		{"storeCut", "evacuate"},
		{"evacuate", "storeBack"},
		{"evacuateAgain", "pause"},
		{"storeDown", "evacuateAgain"},
		{"storeDeaf", "evacuate"},
		{"storeSlow", "evacuateAgain"},
		{"evacuate", "stop"},
		{"storeSilentWatch", "evacuate"},
	}

	// contactKinds are the kinds of faults during which an entry is not in contact with the store.
	contactKinds = []string{
		"storeCut", "storeSilent", "storeDeaf", "pause", "kill", "stop", "storeDown", "storeSilentWatch", "storeBack",
	}
)

// evacuation is an evacuation of a data centre: when the store acknowledged it, and when its end was
// sent, which is zero before that.
type evacuation struct {
	dataCentre      int
	setAt, liftedAt time.Time
}

// dataCentreOf returns the number of the data centre of a host or entry.
func dataCentreOf(index int) int { return index % len(dataCentres) }

// newEvacuations returns the faults of a run that concern evacuations. They do not depend on the other
// faults of the seed.
func newEvacuations(options Options) []fault {
	random := rand.New(rand.NewPCG(options.Seed, evacuationStream))
	faults := newPair(random, options, evacuationPairs)
	for range random.IntN(maxEvacuations + 1) {
		faults = append(faults, newFault(random, options, evacuationKinds))
	}
	return faults
}

// evacuate returns an action that evacuates a data centre for longer than evacuationBound and, if again is
// set, a second time shortly after. It does nothing while another fault evacuates the data centre.
func evacuate(again bool) action {
	return func(ctx context.Context, s *Soaker, f fault) {
		if !s.evacuating[f.target].TryLock() {
			return
		}
		defer s.evacuating[f.target].Unlock()
		until := s.history.finalPhaseStart().Add(-recoveryTime)
		if again {
			until = until.Add(-maxResetGap - minEvacuationTime)
		}
		s.evacuateFor(ctx, f.target, evacuationBound+min(f.duration, extraDuration), until)
		if again {
			random := rand.New(rand.NewPCG(s.options.Seed, evacuationStream+uint64(f.at)))
			time.Sleep(pickDuration(random, minResetGap, maxResetGap))
			s.evacuateFor(ctx, f.target, minEvacuationTime, until)
		}
	}
}

// evacuateFor evacuates a data centre for a time, or up to a moment if that is earlier. It records a problem if
// the context ends first.
func (s *Soaker) evacuateFor(ctx context.Context, dataCentre int, duration time.Duration, until time.Time) {
	at, err := s.platform.Evacuate(ctx, dataCentres[dataCentre], true)
	if err == nil {
		index := s.history.evacuationSet(evacuation{dataCentre: dataCentre, setAt: at})
		time.Sleep(max(minEvacuationTime, min(duration, time.Until(until))))
		if s.cold {
			s.chillAll(dataCentre, coldTime, 0)
			defer s.announceAll(ctx, dataCentre)
		}
		s.history.evacuationLifted(index, time.Now())
		_, err = s.platform.Evacuate(ctx, dataCentres[dataCentre], false)
	}
	if err != nil {
		s.history.addProblem("request to the platform failed: " + err.Error())
	}
}

// comeBack makes the store come back from an older copy.
func comeBack(ctx context.Context, s *Soaker, f fault) {
	if err := s.platform.ComeBack(ctx, min(f.duration, maxCopyAge), min(f.duration, maxAwayTime)); err != nil {
		s.history.addProblem("request to the platform failed: " + err.Error())
	}
}

func (h *history) evacuationSet(v evacuation) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations = append(h.evacuations, v)
	return len(h.evacuations) - 1
}

func (h *history) evacuationLifted(index int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations[index].liftedAt = at
}

// checkEvacuations reports the requests that reached a backend server in an evacuated data centre.
func (h *history) checkEvacuations(arrivals []emulator.Arrival, addViolation func(format string, args ...any)) {
	for _, a := range arrivals {
		sent, ok := h.requests[a.Request]
		if !ok || a.Misdirected {
			continue
		}
		if set, known := h.knownEvacuation(dataCentreOf(h.hosts[a.Server]), sent.entry, a.At); known {
			addViolation(
				"request %s reached %s from entry-%d %v after the evacuation of its data centre was acknowledged",
				a.Request,
				a.Server,
				sent.entry,
				a.At.Sub(set).Round(time.Millisecond),
			)
		}
	}
}

// knownEvacuation returns when the evacuation of a data centre that is in force at a time was acknowledged, and
// whether the entry must know it: whether there is one and the entry was in contact with the store for
// evacuationBound since. What it knows holds also without contact.
func (h *history) knownEvacuation(dataCentre, entry int, at time.Time) (set time.Time, known bool) {
	var last evacuation
	for _, v := range h.evacuations {
		if v.dataCentre != dataCentre {
			continue
		}
		continued := v.setAt.Sub(last.liftedAt) < resetTime &&
			h.undisturbed(entry, last.liftedAt, v.setAt.Add(resetTime), "")
		if continued {
			v.setAt = last.setAt
		}
		if !v.setAt.After(at) {
			last = v
		}
	}
	if last.setAt.IsZero() || last.setAt.After(at) || !last.liftedAt.IsZero() && last.liftedAt.Before(at) {
		return last.setAt, false
	}
	return last.setAt, h.hadContact(entry, last.setAt, at, evacuationBound)
}

// hadContact reports whether an entry was in contact with the store for a time without interruption, at any time
// of a span. The faults are in order.
func (h *history) hadContact(entry int, from, to time.Time, duration time.Duration) bool {
	since := from
	for _, f := range h.faults {
		if f.scope == onEntry && f.target != entry || !slices.Contains(contactKinds, f.kind) || !f.overlaps(from, to) {
			continue
		}
		if f.beganAt.Sub(since) >= duration {
			return true
		}
		if f.endedAt.IsZero() {
			return false
		}
		if f.endedAt.After(since) {
			since = f.endedAt
		}
	}
	return to.Sub(since) >= duration
}
