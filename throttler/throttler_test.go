package throttler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/throttler"
)

// otherShares plays the other processes: it grants no share, and knows what they say of a limit.
type otherShares struct {
	throttler.Sole

	told, ends int
	ended      bool
	endedAge   time.Duration
}

var (
	backend = carawaybeam.BackendIncarnation{ID: "b", Started: 1}
	start   = time.Unix(1000, 0)
)

func (s *otherShares) NextIn(carawaybeam.BackendIncarnation, carawaybeam.RequestRate) (time.Duration, bool) {
	return 0, false
}

func (s *otherShares) Take(carawaybeam.BackendIncarnation, carawaybeam.RequestRate) bool {
	return false
}

func (s *otherShares) Told(carawaybeam.BackendIncarnation, carawaybeam.RequestRate, time.Duration) {
	s.told++
}

func (s *otherShares) End(carawaybeam.BackendIncarnation) { s.ends++ }

func (s *otherShares) Ended(carawaybeam.BackendIncarnation) (time.Duration, bool) {
	return s.endedAge, s.ended
}

func newThrottler(shares throttler.Shares) *throttler.Throttler {
	return throttler.New(throttler.Options{
		Shares: shares, InUse: func(carawaybeam.BackendIncarnation) bool { return true }, Log: zerolog.Nop(),
	})
}

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func limited(rate carawaybeam.RequestRate) carawaybeam.BackendSignals {
	return carawaybeam.BackendSignals{Limit: &rate}
}

func exchange(sent, answered float64) throttler.Exchange {
	return throttler.Exchange{Sent: at(sent), Answered: at(answered)}
}

// TestCrossedAnswers checks which answers begin, change and end a limit when they arrive in
// another order than they were sent.
func TestCrossedAnswers(t *testing.T) {
	type answer struct {
		sent, answered float64
		// limit is negative if the answer names none.
		limit carawaybeam.RequestRate
	}
	tests := map[string]struct {
		answers []answer
		limited bool
	}{
		"named":                         {[]answer{{0, 1, 2}}, true},
		"named, then without":           {[]answer{{0, 1, 2}, {1.1, 1.3, -1}}, false},
		"answer sent before is late":    {[]answer{{0, 1, 2}, {0.5, 1.3, -1}}, true},
		"named late after the end":      {[]answer{{0, 1, 2}, {1.1, 1.3, -1}, {0.9, 1.5, 2}}, false},
		"named again after the end":     {[]answer{{0, 1, 2}, {1.1, 1.3, -1}, {1.2, 1.5, 2}}, true},
		"first answer was sent earlier": {[]answer{{0.5, 0.6, -1}, {0, 1, 2}}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			throttle := newThrottler(&otherShares{})
			for _, a := range test.answers {
				signals := carawaybeam.BackendSignals{}
				if a.limit >= 0 {
					signals = limited(a.limit)
				}
				throttle.Observe(backend, exchange(a.sent, a.answered), signals)
			}
			is.Equal(throttle.Status(at(2), backend).Limited, test.limited)
		})
	}
}

// TestLateAnswerDoesNotChangeLimit guards against a limit that a late answer names replacing the
// present one.
func TestLateAnswerDoesNotChangeLimit(t *testing.T) {
	is := is.New(t)
	throttle := newThrottler(&throttler.Sole{})
	throttle.Observe(backend, exchange(1, 1.2), limited(0))
	throttle.Observe(backend, exchange(0, 1.4), limited(1000))
	is.Equal(*throttle.State().Backends[0].Limit, carawaybeam.RequestRate(0))
}

// TestLimitEndsElsewhere checks that the news of others end a limit unless they may be older than
// what this process was told.
func TestLimitEndsElsewhere(t *testing.T) {
	is := is.New(t)
	shares := &otherShares{}
	throttle := newThrottler(shares)
	throttle.Observe(backend, exchange(0, 0.2), limited(1))
	shares.ended = true
	is.True(throttle.Status(at(2), backend).Limited)
	shares.endedAge = 9 * time.Second
	is.True(throttle.Status(at(9), backend).Limited) // The news are as old as the limit.
	shares.endedAge = time.Second
	is.True(!throttle.Status(at(9), backend).Limited)
}

// statedLimit plays other processes that know of a limit, and records the one that applies.
type statedLimit struct {
	throttler.Sole

	limit, applied carawaybeam.RequestRate
}

func (s *statedLimit) Limit(carawaybeam.BackendIncarnation) (carawaybeam.RequestRate, bool) {
	return s.limit, true
}

func (s *statedLimit) NextIn(
	_ carawaybeam.BackendIncarnation,
	limit carawaybeam.RequestRate,
) (time.Duration, bool) {
	s.applied = limit
	return 0, true
}

// TestLowerLimitApplies guards against a limit that other processes still name after it was lowered.
func TestLowerLimitApplies(t *testing.T) {
	is := is.New(t)
	shares := &statedLimit{limit: 40}
	throttle := newThrottler(shares)
	throttle.Status(at(0), backend)
	is.Equal(shares.applied, carawaybeam.RequestRate(40)) // This process was not told.
	throttle.Observe(backend, exchange(0, 0.2), limited(1))
	for _, seconds := range []float64{0.3, 3, 6.5} {
		throttle.Status(at(seconds), backend)
		is.Equal(shares.applied, carawaybeam.RequestRate(1))
	}
	throttle.Status(at(8), backend)
	is.Equal(shares.applied, carawaybeam.RequestRate(40))
}

func TestLimitEndIsShared(t *testing.T) {
	is := is.New(t)
	shares := &otherShares{}
	throttle := newThrottler(shares)
	throttle.Observe(backend, exchange(0, 0.2), limited(1))
	throttle.Observe(backend, exchange(0.3, 0.5), carawaybeam.BackendSignals{})
	is.Equal(shares.told, 1)
	is.Equal(shares.ends, 1)
}

// TestLeavingIsFinal checks that a backend server that said that it is leaving gets nothing more,
// whatever later answers say, but its successor does.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	throttle := newThrottler(&throttler.Sole{})
	is.True(throttle.Take(at(0), backend))
	throttle.Observe(backend, exchange(0, 0.2), carawaybeam.BackendSignals{Leaving: true})
	throttle.Observe(backend, exchange(0.1, 0.3), carawaybeam.BackendSignals{})
	is.True(!throttle.Take(at(0.3), backend))
	is.True(!throttle.Take(at(1000), backend))
	is.True(throttle.Take(at(1), carawaybeam.BackendIncarnation{ID: backend.ID, Started: 2}))
}

// TestClosed checks that a backend server gets nothing for the time that it states, and then one
// request at a time until one was answered otherwise.
func TestClosed(t *testing.T) {
	is := is.New(t)
	throttle := newThrottler(&throttler.Sole{})
	closed := func(d time.Duration) carawaybeam.BackendSignals { return carawaybeam.BackendSignals{RetryAfter: d} }
	throttle.Observe(backend, exchange(0, 0.1), closed(5*time.Second))
	throttle.Observe(backend, exchange(0, 0.2), closed(time.Second)) // A shorter time does not shorten it.
	for _, seconds := range []float64{0.3, 1.5, 3, 5.09} {
		is.True(!throttle.Take(at(seconds), backend))
	}
	is.True(throttle.Take(at(5.7), backend))
	is.True(!throttle.Take(at(5.8), backend))
	throttle.Observe(backend, exchange(5.7, 5.9), closed(2*time.Second))
	is.True(!throttle.Take(at(7.8), backend))
	is.True(throttle.Take(at(8.5), backend))
	throttle.Observe(backend, exchange(8.5, 8.6), carawaybeam.BackendSignals{})
	for range 5 {
		is.True(throttle.Take(at(8.7), backend))
	}
}

// TestClosedLateAnswer guards against an answer to an earlier request opening a backend server
// again that has said since that it is closed.
func TestClosedLateAnswer(t *testing.T) {
	is := is.New(t)
	throttle := newThrottler(&throttler.Sole{})
	throttle.Observe(backend, exchange(0.1, 0.2), carawaybeam.BackendSignals{RetryAfter: time.Second})
	throttle.Observe(backend, exchange(0, 0.4), carawaybeam.BackendSignals{})
	is.True(throttle.Status(at(0.5), backend).ClosedFor > 0)
	is.True(throttle.Take(at(2), backend))
	is.True(!throttle.Take(at(2.1), backend)) // One request finds out whether it is open.
}

// TestStatesAreBounded checks that backend servers that are not in use any more are forgotten, and
// no other ones.
func TestStatesAreBounded(t *testing.T) {
	is := is.New(t)
	throttle := throttler.New(throttler.Options{
		Shares: &throttler.Sole{}, Log: zerolog.Nop(),
		InUse: func(b carawaybeam.BackendIncarnation) bool { return b.Started%2 == 0 },
	})
	for n := range int64(3000) {
		b := carawaybeam.BackendIncarnation{ID: "b", Started: n}
		throttle.Observe(b, exchange(0, 0.1), carawaybeam.BackendSignals{Leaving: true})
	}
	is.True(!throttle.Take(at(1), carawaybeam.BackendIncarnation{ID: "b", Started: 0}))
	is.True(len(throttle.State().Backends) < 3000)
}
