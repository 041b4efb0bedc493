package fair_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/fair"
)

const target = 1300 * time.Millisecond

func ask(org string, expected time.Duration, fingerprint uint64) carawaybeam.AdmitRequest {
	return carawaybeam.AdmitRequest{
		Class:        carawaybeam.Class{ID: "drafting", Targets: carawaybeam.Targets{FirstToken: target}},
		Organisation: carawaybeam.OrganisationID(org),
		Fingerprint:  fingerprint,
		Prompt:       1000,
		Expected:     expected,
		Unloaded:     100 * time.Millisecond,
	}
}

func TestIdleCapacityIsNeverWithheld(t *testing.T) {
	is := is.New(t)
	l := fair.New()
	now := time.Unix(1000, 0)
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		request := ask("only", 100*time.Millisecond, uint64(i))
		is.True(l.Admit(now, request).Admitted)
	}
	idle := ask("only", 10*time.Second, 1)
	idle.Idle = true
	is.True(l.Admit(now, idle).Admitted)
}

func TestUnknownExpectationIsAdmitted(t *testing.T) {
	is := is.New(t)
	is.True(fair.New().Admit(time.Unix(1000, 0), ask("org", 0, 1)).Admitted)
}

func TestWhatMissesItsTargetIsRefused(t *testing.T) {
	is := is.New(t)
	decision := fair.New().Admit(time.Unix(1000, 0), ask("org", 2*time.Second, 1))
	is.Equal(decision.Admitted, false)
	is.True(decision.RetryAfter >= time.Second)
	is.True(decision.RetryAfter <= time.Minute)
}

func TestRequestTooLongForItsTargetIsAdmittedWhenNothingWaits(t *testing.T) {
	is := is.New(t)
	request := ask("org", 2*time.Second, 1)
	request.Unloaded = 2 * time.Second
	is.True(fair.New().Admit(time.Unix(1000, 0), request).Admitted)
}

// flood lets one organisation ask ten times as much as five others together,
// while the wait is between what stops large and what stops small ones.
func flood(l *fair.Limiter, now time.Time) (admitted, asked map[string]int) {
	admitted, asked = make(map[string]int), make(map[string]int)
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		org := "flooding"
		if i%10 == 0 {
			org = fmt.Sprintf("small-%d", i/10%5)
		}
		asked[org]++
		if l.Admit(now, ask(org, 300*time.Millisecond, uint64(i)*7+3)).Admitted {
			admitted[org]++
		}
	}
	return admitted, asked
}

func TestFloodingOrganisationIsHeldToItsShare(t *testing.T) {
	is := is.New(t)
	l := fair.New()
	now := time.Unix(1000, 0)
	// Capacity is learnt while nothing waits.
	for i := range 5000 {
		now = now.Add(2 * time.Millisecond)
		l.Admit(now, ask(fmt.Sprintf("small-%d", i%5), 100*time.Millisecond, 0))
	}
	admitted, asked := flood(l, now)
	is.True(admitted["flooding"] < asked["flooding"]/2)
	for i := range 5 {
		org := fmt.Sprintf("small-%d", i)
		is.True(admitted[org] > asked[org]*95/100)
	}
}

// A wait that does not come from the admitted work must not close the limiter.
func TestLastingWaitDoesNotCloseLimiter(t *testing.T) {
	is := is.New(t)
	l := fair.New()
	now := time.Unix(1000, 0)
	for i := range 5000 {
		now = now.Add(2 * time.Millisecond)
		l.Admit(now, ask("org", 100*time.Millisecond, uint64(i)))
	}
	admitted := 0
	for i := range 20_000 {
		now = now.Add(2 * time.Millisecond)
		if l.Admit(now, ask("org", 500*time.Millisecond, uint64(i))).Admitted {
			admitted++
		}
	}
	is.True(admitted > 20_000/4)
}

func TestRequestComesBackThroughAnyProcess(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 123456789)
	for fingerprint := range uint64(50) {
		refused := fair.New().Admit(now, ask("org", 2*time.Second, fingerprint))
		back := now.Add(refused.RetryAfter)
		// Half full: refused for an organisation above its share, if it comes
		// outside its window.
		other := fair.New()
		request := ask("org", 500*time.Millisecond, fingerprint)
		is.True(other.Admit(back, request).Admitted)
	}
}

func TestBacklogIsSpreadOverTime(t *testing.T) {
	is := is.New(t)
	l := fair.New()
	now := time.Unix(1000, 0)
	for i := range 2000 {
		now = now.Add(50 * time.Millisecond)
		l.Admit(now, ask("org", 100*time.Millisecond, uint64(i)))
	}
	var waits [2]time.Duration
	for i := range 200 {
		wait := l.Admit(now, ask("org", 2*time.Second, uint64(i)*6)).RetryAfter
		waits[i/100] += wait / 100
	}
	is.True(waits[1] > waits[0]) // Later ones are told to come later.
}
