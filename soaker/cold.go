package soaker

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

const (
	// One run in coldInterval has up to maxColdFaults faults of the coldKinds, and one of the
	// coldPairs. They are drawn from the random numbers of the stream coldStream.
	coldInterval  = 2
	maxColdFaults = 1
	coldStream    = 1 << 40

	// Cold backend servers sustain coldRate requests per second. They are cold for coldTime after
	// their start and after an evacuation.
	coldRate = 3
	coldTime = 4 * time.Second

	// Backend servers may become cold otherwise, for chillTime. The entries may take unnoticedTime to
	// notice it, as the announcements may be behind and the store away.
	chillTime     = 10 * time.Second
	unnoticedTime = 6500 * time.Millisecond

	// A cold backend server may get burstFactor times coldRate requests, and burstAllowance more, in any
	// second.
	burstFactor    = 1.5
	burstAllowance = 5
)

var (
	// coldKinds are the kinds of faults in which all backend servers of a data centre become cold.
	coldKinds = []string{"coldRestart", "chill"}

	// coldPairs are faults that strain cold backend servers in combination.
	coldPairs = [][2]string{
		{"storeDown", "coldRestart"},
		{"coldRestart", "kill"},
		{"storeDown", "chill"},
		{"coldRestart", "pause"},
		{"evacuate", "coldRestart"},
		{"chill", "storeBack"},
		{"storeCut", "coldRestart"},
	}
)

// coldSpan is a time in which a backend server is cold and the entries must know it.
type coldSpan struct {
	server   string
	from, to time.Time
}

// newColdFaults returns the faults of a run that make backend servers cold. They do not depend on the
// other faults of the seed.
func newColdFaults(options Options) []fault {
	random := rand.New(rand.NewPCG(options.Seed, coldStream))
	if random.IntN(coldInterval) > 0 {
		return nil
	}
	faults := newPair(random, options, coldPairs)
	for range random.IntN(maxColdFaults + 1) {
		faults = append(faults, newFault(random, options, coldKinds))
	}
	return faults
}

// hasCold reports whether backend servers are cold for some time in a run with the faults.
func hasCold(schedule []fault) bool {
	return slices.ContainsFunc(schedule, func(f fault) bool { return slices.Contains(coldKinds, f.kind) })
}

// hostsIn returns the hosts in a data centre.
func (s *Soaker) hostsIn(dataCentre int) []*host {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return dataCentreOf(h.index) != dataCentre })
}

// restartAll ends all backend servers of a data centre and starts others at their addresses.
func restartAll(ctx context.Context, s *Soaker, f fault) {
	for _, h := range s.hostsIn(f.target) {
		_, _, server := h.current()
		s.wait.Go(func() { s.crashedByRequest(ctx, h, server) })
	}
}

// chill makes all backend servers of a data centre cold for chillTime without a restart.
func chill(ctx context.Context, s *Soaker, f fault) {
	s.chillAll(f.target, chillTime, unnoticedTime)
	s.announceAll(ctx, f.target)
}

// chillAll makes the backend servers of a data centre cold from now on. The entries must know it after
// a time.
func (s *Soaker) chillAll(dataCentre int, duration, unnoticed time.Duration) {
	for _, h := range s.hostsIn(dataCentre) {
		id, _, server := h.current()
		server.SetCold(duration)
		now := time.Now()
		s.history.coldFor(coldSpan{server: id, from: now.Add(unnoticed), to: now.Add(duration)})
	}
}

// announceAll makes the backend servers of a data centre announce how long they stay cold. It does not wait for those
// that are being replaced: what runs at their address after that announces it then. Otherwise a backend server whose
// first announcement waits for the store would go on announcing the shorter time.
func (s *Soaker) announceAll(ctx context.Context, dataCentre int) {
	for _, h := range s.hostsIn(dataCentre) {
		if h.changing.TryLock() {
			s.announceCold(ctx, h)
			continue
		}
		s.wait.Go(func() {
			h.changing.Lock()
			s.announceCold(ctx, h)
		})
	}
}

// announceCold makes the backend server of a host announce how long it stays cold. It unlocks h.changing, which the
// caller has locked.
func (s *Soaker) announceCold(ctx context.Context, h *host) {
	defer h.changing.Unlock()
	_, _, server := h.current()
	if _, err := server.Announce(ctx, false); err != nil {
		s.history.addProblem("request to the platform failed: " + err.Error())
	}
}

// startedCold records that a backend server was started, and returns how long it is cold: for coldTime, or as long
// as the one of its name before it was to be if that is longer. Entries cannot tell at once that one was restarted
// under its name.
func (h *history) startedCold(id string, now time.Time, restarted bool) time.Duration {
	if !restarted {
		h.coldFor(coldSpan{server: id, from: now, to: now.Add(coldTime)})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	duration := coldTime
	for _, span := range h.cold {
		if span.server == id {
			duration = max(duration, span.to.Sub(now))
		}
	}
	return duration
}

func (h *history) coldFor(span coldSpan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cold = append(h.cold, span)
}

// checkDataCentres reports the violations that concern evacuations and cold backend servers. It returns the number
// of requests that cold backend servers got.
func (h *history) checkDataCentres(arrivals []emulator.Arrival, addViolation func(format string, args ...any)) int {
	h.checkEvacuations(arrivals, addViolation)
	return h.checkCold(arrivals, addViolation)
}

// checkCold reports the cold backend servers that got too many requests in a second. It returns the number of
// requests that they got. No fault is an excuse.
func (h *history) checkCold(arrivals []emulator.Arrival, addViolation func(format string, args ...any)) int {
	total := 0
	for _, span := range h.cold {
		var times []time.Time
		for _, a := range arrivals {
			if a.Server == span.server && !a.Misdirected && !a.At.Before(span.from) && a.At.Before(span.to) {
				times = append(times, a.At)
			}
		}
		total += len(times)
		if most := mostPerSecond(times); float64(most) > coldRate*burstFactor+burstAllowance {
			addViolation("%s got %d requests in a second while it was cold, from %s on",
				span.server, most, span.from.Format(timeFormat))
		}
	}
	return total
}

// mostPerSecond returns the highest number of the times in any second. The times are in order.
func mostPerSecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
