package arbiter_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/fakes/arbiter"
)

// record returns a record of arrivals at an even rate from 10 s on, over 8 s.
func record(limit, rate float64) arbiter.Record {
	start := time.Unix(1000, 0)
	r := arbiter.Record{
		Changes: []arbiter.Change{{At: start, Limit: limit}}, SettleTime: 3 * time.Second,
		Told: map[arbiter.Sender]time.Time{0: start, 1: start},
	}
	for i := range int(8 * rate) {
		at := 10*time.Second + time.Duration(float64(i)/rate*float64(time.Second))
		r.Arrivals = append(r.Arrivals, arbiter.Arrival{Sender: arbiter.Sender(i % 2), At: start.Add(at)})
	}
	return r
}

// The figures of the users' record: 12 requests in 4 s are allowed at a limit of 1.2, and 13 are not.
func TestViolations(t *testing.T) {
	is := is.New(t)
	is.Equal(len(record(1.2, 3).Violations()), 0)
	is.True(len(record(1.2, 3.25).Violations()) > 0)
	is.Equal(len(record(1, 2.75).Violations()), 0)
	is.True(len(record(1, 3.75).Violations()) > 0)
}

func TestUncounted(t *testing.T) {
	is := is.New(t)
	untold := record(1, 3.75)
	delete(untold.Told, 1)
	is.Equal(len(untold.Violations()), 0) // Half of the requests count.
	excused := record(1, 3.75)
	excused.Excused = func(sender arbiter.Sender, _, _ time.Time) bool { return sender == 0 }
	is.Equal(len(excused.Violations()), 0)
	ended := record(1, 3.75)
	ended.Changes = append(ended.Changes, arbiter.Change{At: time.Unix(1009, 0), Limit: math.Inf(1)})
	is.Equal(len(ended.Violations()), 0)
	recent := record(1, 3.75)
	recent.Changes[0].At = time.Unix(1016, 0)
	is.Equal(len(recent.Violations()), 0)
}

func TestChangedLimit(t *testing.T) {
	is := is.New(t)
	raised := record(1, 8)
	raised.Changes = append(raised.Changes, arbiter.Change{At: time.Unix(1010, 0), Limit: 5})
	is.Equal(len(raised.Violations()), 0)
	lowered := record(5, 8)
	lowered.Changes = append(lowered.Changes, arbiter.Change{At: time.Unix(1011, 0), Limit: 0})
	is.True(len(lowered.Violations()) > 0)
}
