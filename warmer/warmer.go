// Package warmer bounds the requests to cold backend servers, which sustain only a few per second
// until they are warm, from all entries together.
//
// Each entry computes its share of a cold backend server from the set of enrolled entries. Entries
// with the same set have shares whose sum is the rate of the pool, so that no messages are needed.
package warmer

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// staleAge is the age of the announcements above which backend servers may have become cold
	// unnoticed.
	staleAge = 4 * time.Second

	// settleTime is how long announcements may be behind: backend servers renew them every 1.2 s,
	// and one renewal may be missed. Backend servers stay cold for this time after an evacuation,
	// and after the announcements were stale or, in a new process, unknown. A value that falls at once
	// counts after this time,
	// because it may be from an older copy of the store.
	settleTime = 3 * time.Second

	// shortestWindow is the time over which shares are counted, unless the rate is below 1 per
	// second.
	shortestWindow = time.Second

	// longestWindow bounds that time, so that the rate of a bad configuration can be counted.
	longestWindow = time.Hour

	// maxLogged is the maximum number of faults of announcements and pools that were logged.
	maxLogged = 256
)

type (
	// Entries is the set of enrolled entries.
	Entries interface {
		// Rank returns the rank of an entry for a key and the number of entries, or false if
		// the set does not have the entry.
		Rank(key, name string) (rank, size int, ok bool)
		// Generation returns a number that changes with the set.
		Generation() uint64
	}

	// Options configures a Warmer.
	Options struct {
		// Name is the name of this entry in Entries.
		Name    string
		Entries Entries
		// Pool returns the configuration of a pool, or nil.
		Pool func(carawaybeam.PoolID) *carawaybeam.Pool
		// Age returns how long ago the announcements were known to be the newest, or false
		// if they have not been read.
		Age func() (time.Duration, bool)
		// EndedAt returns when the last evacuation of a data centre ended, or false. If nil,
		// there are no evacuations.
		EndedAt func(carawaybeam.DataCentre) (time.Time, bool)
		// Clock returns the time since some fixed moment, including the time for which the
		// VM was suspended.
		Clock func() time.Duration
		Log   zerolog.Logger
	}

	// Warmer knows which backend servers are cold and counts the requests to them. It is safe for
	// concurrent use. Times that are durations are those of Options.Clock.
	Warmer struct {
		options Options
		started time.Duration

		mu     sync.Mutex
		states map[carawaybeam.BackendIncarnation]*state
		logged map[string]struct{}
		// checkedAt is when the age of the announcements was last checked, and staleAt when it
		// was last found to be too high. stale is set until settleTime after that.
		checkedAt, staleAt time.Duration
		// age is the age of the announcements when it was checked.
		age   time.Duration
		stale bool
		// loggedStale is the value of stale that was logged last.
		loggedStale bool
		counts      Counts
	}

	// Status says whether a backend server takes a request.
	Status struct {
		// Cold is set while the backend server counts as cold.
		Cold bool
		// Share is how many requests this entry may send in any Window. If it is 0, Wait is
		// not known.
		Share  int
		Window time.Duration
		// Wait is the time until this entry may send a request.
		Wait time.Duration
	}

	// Counts counts requests.
	Counts struct {
		// Sent counts the requests to cold backend servers, Diverted those for which one was
		// passed over, and Refused those for which no backend server was left.
		Sent     uint64 `json:"sent"`
		Diverted uint64 `json:"diverted"`
		Refused  uint64 `json:"refused"`
	}

	// state is what is known of one backend server.
	state struct {
		// firstSeen is when the incarnation was first announced, and running how long it had been
		// running then by its own clock. firstWarm is set if it said then that it was not cold.
		firstSeen, running time.Duration
		firstWarm          bool
		// Until coldUntil the backend server is cold according to its announcements.
		coldUntil time.Duration
		// lapsed is set if announcements said how long it stays cold, and lapsedAt is when they
		// first did not any more.
		known, lapsed bool
		lapsedAt      time.Duration
		pool          carawaybeam.PoolID
		dataCentre    carawaybeam.DataCentre
		// fault is that of the last report.
		fault string
		// believed is set if Review last found the backend server cold by itself.
		believed bool
		// sent holds the times of the requests in the last window, in order.
		sent []time.Duration
		// rank and size are those of this entry in the given generation of the set of entries,
		// if ranked is set. enrolled is set if the set has this entry.
		rank, size       int
		ranked, enrolled bool
		generation       uint64
	}
)

// New returns a Warmer that knows no backend servers. The first announcements may be behind, as after
// the store was away, and an evacuation may have ended just before. This entry has no share until a window has
// passed, because an earlier incarnation of it may have used it.
func New(options Options) *Warmer {
	now := options.Clock()
	return &Warmer{
		options:   options,
		started:   now,
		checkedAt: now,
		staleAt:   now,
		stale:     true,

		loggedStale: true,
		states:      make(map[carawaybeam.BackendIncarnation]*state),
		logged:      make(map[string]struct{}),
	}
}

// Now returns the time that the other methods want.
func (w *Warmer) Now() time.Duration { return w.options.Clock() }

// Announce records an announcement of a backend server that was just read.
func (w *Warmer) Announce(now time.Duration, instance carawaybeam.Instance, report carawaybeam.ColdReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.states[instance.BackendIncarnation]
	if s == nil {
		s = w.add(now, instance)
		s.firstWarm = report.Known && report.Left == 0
	}
	s.pool, s.dataCentre, s.fault = instance.Pool, instance.DataCentre, report.Fault
	switch {
	case report.Known:
		until := now + report.Left
		if until < s.coldUntil {
			until = min(s.coldUntil, max(until, now+settleTime))
		}
		s.coldUntil = until
	case s.known:
		s.lapsed, s.lapsedAt = true, now
	}
	s.known = report.Known
}

// add adds the state of a backend server that is seen for the first time. The caller holds mu.
func (w *Warmer) add(now time.Duration, instance carawaybeam.Instance) *state {
	s := &state{firstSeen: now, pool: instance.Pool, dataCentre: instance.DataCentre}
	if instance.Started > 0 {
		s.running = time.Since(time.UnixMilli(instance.Started))
	}
	w.states[instance.BackendIncarnation] = s
	return s
}

// Status returns whether a backend server is cold and takes a request of this entry.
func (w *Warmer) Status(now time.Duration, instance carawaybeam.Instance) Status {
	pool := w.options.Pool(instance.Pool)
	if pool == nil || pool.ColdRate <= 0 {
		return Status{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status, _ := w.status(now, instance, pool)
	return status
}

// status implements Status. The caller holds mu.
func (w *Warmer) status(
	now time.Duration,
	instance carawaybeam.Instance,
	pool *carawaybeam.Pool,
) (Status, *state) {
	s := w.states[instance.BackendIncarnation]
	if s == nil {
		s = w.add(now, instance)
	}
	if !w.isCold(now, pool, s) {
		return Status{}, s
	}
	rate, window := countable(pool.ColdRate)
	status := Status{Cold: true, Window: window, Share: w.share(instance.ID, s, rate)}
	s.trim(now - window)
	if status.Share == 0 {
		return status, s
	}
	status.Wait = max(0, w.started+window-now)
	if n := len(s.sent); n >= status.Share {
		status.Wait = max(status.Wait, s.sent[n-status.Share]+window-now)
	}
	return status, s
}

// Take reports whether a request may be sent to a backend server now, and counts it.
func (w *Warmer) Take(now time.Duration, instance carawaybeam.Instance) bool {
	pool := w.options.Pool(instance.Pool)
	if pool == nil || pool.ColdRate <= 0 {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status, s := w.status(now, instance, pool)
	if !status.Cold {
		return true
	}
	if !status.Open() {
		return false
	}
	if n := len(s.sent); n > 0 {
		now = max(now, s.sent[n-1])
	}
	s.sent = append(s.sent, now)
	w.counts.Sent++
	return true
}

// Open reports whether a request may be sent now.
func (s Status) Open() bool { return !s.Cold || s.Share > 0 && s.Wait == 0 }

// countable returns how many requests all entries together may send in which time.
func countable(rate carawaybeam.RequestRate) (int, time.Duration) {
	if rate >= 1 {
		return int(rate), shortestWindow
	}
	return 1, time.Duration(min(float64(shortestWindow)/float64(rate), float64(longestWindow)))
}

// share returns how many of the requests this entry may send. The caller holds mu.
func (w *Warmer) share(id carawaybeam.BackendID, s *state, requests int) int {
	if generation := w.options.Entries.Generation(); !s.ranked || s.generation != generation {
		s.rank, s.size, s.enrolled = w.options.Entries.Rank(string(id), w.options.Name)
		s.ranked, s.generation = true, generation
	}
	if !s.enrolled {
		return 0
	}
	return (requests + s.size - 1 - s.rank) / s.size
}

// trim forgets the requests that were sent up to a time.
func (s *state) trim(until time.Duration) {
	old := 0
	for old < len(s.sent) && s.sent[old] <= until {
		old++
	}
	if old > 0 {
		s.sent = s.sent[:copy(s.sent, s.sent[old:])]
	}
}

// isCold reports whether a backend server counts as cold. The caller holds mu.
func (w *Warmer) isCold(now time.Duration, pool *carawaybeam.Pool, s *state) bool {
	w.checkAge(now)
	return w.stale || now < s.until(pool) || w.wasEvacuated(s.dataCentre)
}

// until returns until when a backend server is cold by what it says and when it started.
func (s *state) until(pool *carawaybeam.Pool) time.Duration {
	until := s.coldUntil
	if !s.firstWarm || s.running <= pool.ColdStart {
		until = max(until, s.firstSeen+pool.ColdStart)
	}
	if s.lapsed {
		until = max(until, s.lapsedAt+pool.ColdStart)
	}
	return until
}

// wasEvacuated reports whether an evacuation of a data centre has ended so recently that the
// announcements which are known may be from before. The caller holds mu.
func (w *Warmer) wasEvacuated(dataCentre carawaybeam.DataCentre) bool {
	if w.options.EndedAt == nil {
		return false
	}
	ended, ok := w.options.EndedAt(dataCentre)
	return ok && time.Since(ended)-w.age < settleTime
}

// checkAge sets stale while the announcements are unknown or too old, and for a while after. Review calls it
// every second, so a longer pause shows that the process was suspended. The time after counts only as
// far as the announcements are known, since the store may be away again. The caller holds mu.
func (w *Warmer) checkAge(now time.Duration) {
	if now <= w.checkedAt {
		return
	}
	age, known := w.options.Age()
	if !known || age > staleAge || now-w.checkedAt > staleAge {
		w.staleAt = now
	}
	w.checkedAt, w.age = now, age
	w.stale = now-w.staleAt-age < settleTime
}

// CountDiverted counts a request for which a cold backend server was passed over.
func (w *Warmer) CountDiverted() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Diverted++
}

// CountRefused counts a request for which only cold backend servers without a free share were left.
func (w *Warmer) CountRefused() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Refused++
}
