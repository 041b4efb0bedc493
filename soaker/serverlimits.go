package soaker

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/carawaybeam/carawaybeam/fakes/arbiter"
	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

// serverLimits holds the limits, in requests per second, that backend servers name. The
// number of the host selects one.
var serverLimits = []string{"1", "1.2", "7", "0.4"}

// nameLimit makes a backend server name a limit in its answers.
func nameLimit(_ context.Context, s *Soaker, f fault) {
	_, _, server := s.hosts[f.target].current()
	server.SetLimit(serverLimits[f.target%len(serverLimits)])
	time.Sleep(f.duration)
	server.SetLimit("")
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
	for _, a := range s.journal.LimitAnswers() {
		told, sender := records[a.Server].Told, s.history.sender(a.Request)
		if _, ok := told[sender]; !ok {
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

// disturbsSender reports whether a fault affected an entry in a span. A fault of the store
// is no excuse.
func (h *history) disturbsSender(sender arbiter.Sender, from, to time.Time) bool {
	for _, f := range h.faults {
		if f.scope == onEntry && f.target == int(sender) && f.overlaps(from.Add(-stableWindow), to) {
			return true
		}
	}
	return false
}
