package soaker

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/carawaybeam/carawaybeam/fakes/arbiter"
	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

const (
	// A run has up to maxSignalFaults faults of the signalKinds. They are drawn from the
	// random numbers of the stream signalStream.
	maxSignalFaults = 4
	signalStream    = 1 << 37

	// A limit is named for minLimitTime to maxLimitTime.
	minLimitTime = 6 * time.Second
	maxLimitTime = 12 * time.Second

	// noticeTime is how long after it was refused for a time an entry may still send
	// requests, and maxClosedArrivals how many after that.
	noticeTime        = 500 * time.Millisecond
	maxClosedArrivals = 2
)

var (
	// signalKinds are the kinds of faults in which backend servers say something of
	// themselves in their answers.
	signalKinds = []string{"nameLimit", "nameLeaving", "refuseFor"}

	// serverLimits holds the limits, in requests per second, that backend servers name.
	// The number of the host selects one.
	serverLimits = []string{"1", "1.2", "7", "0.4"}
)

// newSignalFaults returns the faults of a run in which backend servers say something of
// themselves. They do not depend on the other faults of the seed.
func newSignalFaults(options Options) []fault {
	random := rand.New(rand.NewPCG(options.Seed, signalStream))
	faults := make([]fault, 0, maxSignalFaults)
	for range random.IntN(maxSignalFaults + 1) {
		f := newFault(random, options, signalKinds)
		if f.kind == "nameLimit" {
			f.duration = pickDuration(random, minLimitTime, maxLimitTime)
		}
		faults = append(faults, f)
	}
	return faults
}

// nameLimit makes a backend server name a limit in its answers.
func nameLimit(_ context.Context, s *Soaker, f fault) {
	_, _, server := s.hosts[f.target].current()
	server.SetSignals(emulator.Signals{Limit: serverLimits[f.target%len(serverLimits)]})
	time.Sleep(f.duration)
	server.SetSignals(emulator.Signals{})
}

// refuseFor makes a backend server refuse all requests for a time that it states.
func refuseFor(_ context.Context, s *Soaker, f fault) {
	_, _, server := s.hosts[f.target].current()
	server.SetSignals(emulator.Signals{RefuseFor: f.duration})
	time.Sleep(f.duration)
}

// nameLeaving stops a backend server as planned, which says so in its answers only, and
// starts another one at its address.
func nameLeaving(ctx context.Context, s *Soaker, f fault) {
	h := s.hosts[f.target]
	if !h.changing.TryLock() {
		return
	}
	defer h.changing.Unlock()
	_, pool, server := h.current()
	server.SetSignals(emulator.Signals{Leaving: true})
	time.Sleep(leavingTime + time.Second)
	accepted, err := server.Withdraw(ctx)
	if err != nil {
		s.history.addProblem("request to the platform failed: " + err.Error())
		return
	}
	id, _, _ := h.current()
	s.history.leavingAccepted(id, accepted)
	time.Sleep(leavingTime)
	s.closeServer(h, server)
	time.Sleep(addressReuseDelay)
	if err := s.startServer(ctx, h, s.newName(pool), pool); err != nil {
		s.history.addProblem("backend server failed to start: " + err.Error())
	}
}

// checkSignals reports the violations of what backend servers have said in answers that an
// entry has passed on: that they are leaving, or refuse all requests for a time. The caller holds
// the mutex of the history.
func (s *Soaker) checkSignals(addViolation func(format string, args ...any)) {
	arrivals := make(map[string][]emulator.Arrival)
	for _, a := range s.journal.Arrivals() {
		arrivals[a.Server] = append(arrivals[a.Server], a)
	}
	leaving := make(map[string]bool)
	for _, said := range s.journal.SignalAnswers() {
		if s.history.losesAnswers(said.Server, said.At) {
			continue
		}
		sender := s.history.sender(said.Request)
		key := fmt.Sprint(said.Server, sender)
		if said.Signals.Leaving && !leaving[key] {
			leaving[key] = true
			if late := s.countLate(arrivals[said.Server], said); late > 0 {
				addViolation("%s got %d requests from entry-%d after %v since it said that it is leaving",
					said.Server, late, sender, drainBound)
			}
		}
		if late := s.countClosed(arrivals[said.Server], said); late > maxClosedArrivals {
			addViolation("%s got %d requests from entry-%d in the %v for which it wanted none",
				said.Server, late, sender, said.Signals.RefuseFor)
		}
	}
}

// losesAnswers reports whether what a backend server answers at a time does not reach the entry.
func (h *history) losesAnswers(server string, at time.Time) bool {
	return slices.ContainsFunc(h.faults, func(f injectedFault) bool {
		return f.kind == "linkMute" && f.target == h.hosts[server] && f.overlaps(at, at)
	})
}

// countLate returns the number of requests that reached a backend server although their caller
// sent them later than drainBound after the same entry had passed on that it is leaving.
func (s *Soaker) countLate(arrivals []emulator.Arrival, said emulator.SignalAnswer) int {
	sender, count := s.history.sender(said.Request), 0
	for _, a := range arrivals {
		sent := s.history.requests[a.Request].sentAt
		if s.history.sender(a.Request) == sender && sent.Sub(said.At) > drainBound &&
			!s.history.disturbsSender(sender, said.At, a.At) {
			count++
		}
	}
	return count
}

// countClosed returns the number of requests of the same entry that reached a backend server
// within the time for which it refused all requests.
func (s *Soaker) countClosed(arrivals []emulator.Arrival, said emulator.SignalAnswer) int {
	sender, count := s.history.sender(said.Request), 0
	from, to := said.At.Add(noticeTime), said.At.Add(said.Signals.RefuseFor)
	for _, a := range arrivals {
		if s.history.sender(a.Request) == sender && a.At.After(from) && a.At.Before(to) &&
			!s.history.disturbsSender(sender, said.At, a.At) {
			count++
		}
	}
	return count
}

// checkServerLimits reports the violations of limits that backend servers have named. It returns the
// number of requests that they got while they named one. The caller holds the mutex of the history.
func (s *Soaker) checkServerLimits(addViolation func(format string, args ...any)) int {
	records := make(map[string]*arbiter.Record)
	for _, c := range s.journal.LimitChanges() {
		if records[c.Server] == nil {
			records[c.Server] = &arbiter.Record{
				Told: make(map[arbiter.Sender]time.Time), Excused: s.history.disturbsSender, SettleTime: stableWindow,
			}
		}
		records[c.Server].Changes = append(records[c.Server].Changes, arbiter.Change{At: c.At, Limit: limitOf(c)})
	}
	for _, a := range s.journal.SignalAnswers() {
		sender := s.history.sender(a.Request)
		if a.Signals.Limit == "" {
			continue
		}
		if told := records[a.Server].Told; told[sender].IsZero() {
			told[sender] = a.At
		}
	}
	for _, a := range s.journal.Arrivals() {
		if r := records[a.Server]; r != nil {
			r.Arrivals = append(r.Arrivals, arbiter.Arrival{Sender: s.history.sender(a.Request), At: a.At})
		}
	}
	limited := 0
	for server, r := range records {
		limited += r.LimitedArrivals()
		for _, violation := range r.Violations() {
			addViolation("limit of %s: %s", server, violation)
		}
	}
	return limited
}

// limitOf returns the limit in requests per second, or infinity if there is none.
func limitOf(c emulator.LimitChange) float64 {
	limit, err := strconv.ParseFloat(c.Limit, 64)
	if err != nil {
		return math.Inf(1)
	}
	return limit
}

// sender returns the entry to which a request was sent.
func (h *history) sender(request string) arbiter.Sender {
	return arbiter.Sender(h.requests[request].entry)
}

// disturbsSender reports whether a fault affected an entry in a span or in the stableWindow before
// it. A fault of the store is no excuse.
func (h *history) disturbsSender(sender arbiter.Sender, from, to time.Time) bool {
	return slices.ContainsFunc(h.faults, func(f injectedFault) bool {
		return f.scope == onEntry && f.target == int(sender) && f.overlaps(from.Add(-stableWindow), to)
	})
}
