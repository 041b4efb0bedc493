// Package throttler keeps what backend servers say of the requests that they take: the
// limit that they name, that they are leaving, and that they want no requests for a time.
//
// Answers may arrive in another order than that in which they were sent. What an answer
// says is dated by the time at which its request was sent and the time at which it arrived.
package throttler

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// ownLimitTime is how long a limit that this process was told takes precedence over
	// what other processes know of it. After that, the lower one applies until they must
	// have been told too, which takes up to lowerLimitTime.
	ownLimitTime   = 2 * time.Second
	lowerLimitTime = 7 * time.Second

	// crossTime is the time within which the news of other processes that a limit has
	// ended may have crossed an answer which names it.
	crossTime = 3 * time.Second

	// trialTime is how long the first request to a backend server that was closed keeps
	// others back if no answer comes.
	trialTime = 2 * time.Second

	// maxReopenDelay bounds the random delay after which a closed backend server gets
	// requests again.
	maxReopenDelay = 500 * time.Millisecond

	// maxStates is the number of backend servers above which those that are not in use
	// any more are forgotten.
	maxStates = 1024

	// maxLogged is the maximum number of signals that are logged as invalid or unknown.
	maxLogged = 256
)

type (
	// Shares divides the limits of backend servers among the processes.
	Shares interface {
		// Take takes one request from the shares of this process. It returns false if
		// there is none.
		Take(backend carawaybeam.BackendIncarnation, limit carawaybeam.RequestRate) bool
		// NextIn returns in what time Take would succeed, or false if that is not known.
		NextIn(backend carawaybeam.BackendIncarnation, limit carawaybeam.RequestRate) (time.Duration, bool)
		// Limit returns the limit that other processes know of, or false.
		Limit(backend carawaybeam.BackendIncarnation) (carawaybeam.RequestRate, bool)
		// Told records that this process was told a limit, and how long ago the request
		// of that answer was sent.
		Told(backend carawaybeam.BackendIncarnation, limit carawaybeam.RequestRate, age time.Duration)
		// End tells the other processes that a limit has ended.
		End(backend carawaybeam.BackendIncarnation)
		// Ended reports whether other processes have found that a limit has ended, and
		// how old that news is at most.
		Ended(backend carawaybeam.BackendIncarnation) (age time.Duration, ended bool)
		// Quiet reports whether other processes know of no limit.
		Quiet() bool
		// Shares returns how many shares this process has, and all together.
		Shares(backend carawaybeam.BackendIncarnation) (own, all int)
	}

	// Options configures a Throttler.
	Options struct {
		Shares Shares
		// InUse reports whether a backend server may still get requests.
		InUse func(carawaybeam.BackendIncarnation) bool
		// LeavingTime is how long a backend server counts as leaving, or 0 if it does so
		// for ever.
		LeavingTime time.Duration
		Log         zerolog.Logger
	}

	// Throttler holds what backend servers have said. It is safe for concurrent use.
	Throttler struct {
		options Options

		mu     sync.Mutex
		states map[carawaybeam.BackendIncarnation]*state
		// logged holds the invalid and unknown signals that were logged.
		logged map[string]struct{}
		counts Counts
	}

	// Exchange is the time span of one request to a backend server, from its sending
	// to the beginning of the answer.
	Exchange struct {
		Sent, Answered time.Time
	}

	// Status says whether a backend server takes a request.
	Status struct {
		// Leaving is set once it is about to stop.
		Leaving bool
		// ClosedFor is how long it takes none, or 0.
		ClosedFor time.Duration
		// Limited is set while it names a limit. Then Wait is the time until this
		// process may send a request, if it has a share of the limit.
		Limited  bool
		HasShare bool
		Wait     time.Duration
	}

	// Counts counts what was done because of signals.
	Counts struct {
		// Diverted counts the requests for which a backend server was passed over,
		// and Refused those for which none was left.
		Diverted uint64 `json:"diverted"`
		Refused  uint64 `json:"refused"`
		// Invalid and Unknown count the signals that were not understood.
		Invalid uint64 `json:"invalid"`
		Unknown uint64 `json:"unknown"`
	}

	// state is what one backend server has said.
	state struct {
		// leavingSince is when it first said that it is leaving, or zero.
		leavingSince time.Time
		// limit is the limit that this process was told last, or nil. limitedBy is when
		// the request of that answer was sent, and limitedAt when the answer arrived.
		limit                *carawaybeam.RequestRate
		limitedBy, limitedAt time.Time
		// endedBy is when the request was sent whose answer ended the last limit, and
		// endedAt when that answer arrived.
		endedBy, endedAt time.Time
		// closedUntil is until when it wants no requests. trialAt is when a request was
		// sent to find out whether that is over, and reopening is set until one was
		// answered otherwise.
		closedUntil, trialAt time.Time
		reopening            bool
	}
)

// New returns a Throttler that knows nothing of any backend server.
func New(options Options) *Throttler {
	return &Throttler{
		options: options,
		states:  make(map[carawaybeam.BackendIncarnation]*state),
		logged:  make(map[string]struct{}),
	}
}

// Observe records what a backend server says of itself in an answer.
func (t *Throttler) Observe(
	backend carawaybeam.BackendIncarnation,
	exchange Exchange,
	signals carawaybeam.BackendSignals,
) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logUndecoded(backend, signals)
	s := t.states[backend]
	if s == nil {
		if signals.Limit == nil && !signals.Leaving && signals.RetryAfter == 0 {
			return
		}
		t.prune()
		s = &state{}
		t.states[backend] = s
	}
	if signals.Leaving && !t.isLeaving(exchange.Answered, s) {
		s.leavingSince = exchange.Answered
		t.options.Log.Info().Str("backend", string(backend.ID)).Int64("started", backend.Started).
			Msg("throttler: backend server says that it is leaving")
	}
	t.observeLimit(backend, s, exchange, signals.Limit)
	t.observeClosed(backend, s, exchange, signals.RetryAfter)
}

// observeLimit records the limit that an answer names, or that it names none. The caller
// holds mu.
func (t *Throttler) observeLimit(
	backend carawaybeam.BackendIncarnation,
	s *state,
	exchange Exchange,
	limit *carawaybeam.RequestRate,
) {
	switch {
	case limit != nil && (exchange.Sent.Before(s.endedBy) || exchange.Sent.Before(s.limitedBy)):
		// A later answer named another limit, or ended it.
	case limit != nil:
		if s.limit == nil || *s.limit != *limit {
			t.logLimit(backend, *limit)
		}
		s.limit, s.limitedBy, s.limitedAt = limit, exchange.Sent, exchange.Answered
		t.options.Shares.Told(backend, *limit, exchange.Answered.Sub(exchange.Sent))
	case s.limit != nil && exchange.Sent.After(s.limitedAt):
		s.limit, s.endedBy, s.endedAt = nil, exchange.Sent, exchange.Answered
		t.options.Log.Info().Str("backend", string(backend.ID)).Int64("started", backend.Started).
			Msg("throttler: limit of the backend server has ended")
		t.options.Shares.End(backend)
	}
}

// logLimit logs a new or changed limit.
func (t *Throttler) logLimit(backend carawaybeam.BackendIncarnation, limit carawaybeam.RequestRate) {
	own, all := t.options.Shares.Shares(backend)
	t.options.Log.Info().Str("backend", string(backend.ID)).Int64("started", backend.Started).
		Float64("limit", float64(limit)).Int("ownShares", own).Int("heldShares", all).
		Msg("throttler: backend server names a limit of requests per second")
}

// observeClosed records for how long a backend server wants no requests. The caller holds mu.
func (t *Throttler) observeClosed(
	backend carawaybeam.BackendIncarnation,
	s *state,
	exchange Exchange,
	retryAfter time.Duration,
) {
	if retryAfter == 0 {
		// Any other answer to a request that was sent since shows that it is open again.
		s.reopening = s.reopening && exchange.Sent.Before(s.closedUntil)
		return
	}
	until := exchange.Answered.Add(retryAfter + rand.N(maxReopenDelay))
	if until.After(s.closedUntil) {
		s.closedUntil = until
	}
	s.reopening, s.trialAt = true, time.Time{}
	t.options.Log.Info().Str("backend", string(backend.ID)).Int64("started", backend.Started).
		Dur("for", retryAfter).Msg("throttler: backend server wants no requests for a time")
}

// limit returns the limit that applies to a backend server, or false if there is none. The
// caller holds mu.
func (t *Throttler) limit(now time.Time, backend carawaybeam.BackendIncarnation) (carawaybeam.RequestRate, bool) {
	s := t.states[backend]
	told := s != nil && s.limit != nil
	switch {
	case told && now.Sub(s.limitedBy) < ownLimitTime:
		return *s.limit, true
	case s != nil && !told && !s.endedAt.IsZero() && now.Sub(s.endedAt) < ownLimitTime:
		return 0, false
	}
	if limit, ok := t.options.Shares.Limit(backend); ok {
		if told && now.Sub(s.limitedBy) < lowerLimitTime {
			limit = min(limit, *s.limit)
		}
		return limit, true
	}
	if !told {
		return 0, false
	}
	if age, ended := t.options.Shares.Ended(backend); ended && now.Sub(s.limitedAt)-age > crossTime {
		s.limit, s.endedBy, s.endedAt = nil, now, now
		t.options.Log.Info().Str("backend", string(backend.ID)).Int64("started", backend.Started).
			Msg("throttler: limit of the backend server has ended, as another process has learned")
		return 0, false
	}
	return *s.limit, true
}

// Quiet reports whether no backend server restricts its requests.
func (t *Throttler) Quiet() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.states) == 0 && t.options.Shares.Quiet()
}

// Status returns whether a backend server takes a request now.
func (t *Throttler) Status(now time.Time, backend carawaybeam.BackendIncarnation) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var status Status
	if s := t.states[backend]; s != nil {
		status.Leaving = t.isLeaving(now, s)
		status.ClosedFor = s.closedFor(now)
	}
	limit, limited := t.limit(now, backend)
	if status.Limited = limited; limited {
		status.Wait, status.HasShare = t.options.Shares.NextIn(backend, limit)
	}
	return status
}

// isLeaving reports whether a backend server is about to stop.
func (t *Throttler) isLeaving(now time.Time, s *state) bool {
	return !s.leavingSince.IsZero() && (t.options.LeavingTime == 0 || now.Sub(s.leavingSince) < t.options.LeavingTime)
}

// ObserveReturn records that another backend server may have taken the place of one that is leaving.
// What was said of requests holds until an answer says otherwise.
func (t *Throttler) ObserveReturn(backend carawaybeam.BackendIncarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[backend]; s != nil {
		s.leavingSince = time.Time{}
	}
}

// Open reports whether a request may be sent now.
func (s Status) Open() bool {
	return !s.Leaving && s.ClosedFor == 0 && (!s.Limited || s.HasShare && s.Wait == 0)
}

// closedFor returns how long the backend server takes no requests.
func (s *state) closedFor(now time.Time) time.Duration {
	wait := max(0, s.closedUntil.Sub(now))
	if s.reopening && !s.trialAt.IsZero() {
		wait = max(wait, trialTime-now.Sub(s.trialAt))
	}
	return wait
}

// Take reports whether a request may be sent to a backend server now, and counts it.
func (t *Throttler) Take(now time.Time, backend carawaybeam.BackendIncarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[backend]
	if s != nil && (t.isLeaving(now, s) || s.closedFor(now) > 0) {
		return false
	}
	if limit, ok := t.limit(now, backend); ok && !t.options.Shares.Take(backend, limit) {
		return false
	}
	if s != nil && s.reopening {
		s.trialAt = now
	}
	return true
}

// CountDiverted counts a request for which a backend server was passed over.
func (t *Throttler) CountDiverted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Diverted++
}

// CountRefused counts a request for which no backend server was left.
func (t *Throttler) CountRefused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Refused++
}

// logUndecoded counts signals that could not be decoded, and logs each of them once. The caller
// holds mu.
func (t *Throttler) logUndecoded(backend carawaybeam.BackendIncarnation, signals carawaybeam.BackendSignals) {
	t.counts.Invalid += uint64(len(signals.Invalid))
	t.counts.Unknown += uint64(len(signals.Unknown))
	log := func(key, field, text string) {
		if _, ok := t.logged[key]; ok || len(t.logged) >= maxLogged {
			return
		}
		t.logged[key] = struct{}{}
		t.options.Log.Warn().Str("backend", string(backend.ID)).Str("field", field).Msg(text)
	}
	for _, field := range signals.Invalid {
		log(string(backend.ID)+field, field, "throttler: signal of the backend server is invalid and counts as absent")
	}
	for _, name := range signals.Unknown {
		log(name, name, "throttler: signal of the backend server is unknown")
	}
}

// prune forgets the backend servers that are not in use any more, if there are many. The caller
// holds mu.
func (t *Throttler) prune() {
	if len(t.states) < maxStates {
		return
	}
	for backend := range t.states {
		if !t.options.InUse(backend) {
			delete(t.states, backend)
		}
	}
}
