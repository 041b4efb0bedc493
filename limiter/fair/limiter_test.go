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

func newRequest(org string, expected time.Duration, fingerprint uint64) carawaybeam.AdmitRequest {
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
		request := newRequest("only", 100*time.Millisecond, uint64(i))
		is.True(l.Admit(now, request).Admitted)
	}
	idle := newRequest("only", 10*time.Second, 1)
	idle.Idle = true
	is.True(l.Admit(now, idle).Admitted)
}

func TestUnknownExpectedTimeIsAdmitted(t *testing.T) {
	is := is.New(t)
	is.True(fair.New().Admit(time.Unix(1000, 0), newRequest("org", 0, 1)).Admitted)
}

func TestRequestThatWouldMissTargetIsRefused(t *testing.T) {
	is := is.New(t)
	decision := fair.New().Admit(time.Unix(1000, 0), newRequest("org", 2*time.Second, 1))
	is.Equal(decision.Admitted, false)
	is.True(decision.RetryAfter >= time.Second)
	is.True(decision.RetryAfter <= time.Minute)
}

func TestPromptTooLongForTargetIsAdmittedWithoutWait(t *testing.T) {
	is := is.New(t)
	request := newRequest("org", 2*time.Second, 1)
	request.Unloaded = 2 * time.Second
	is.True(fair.New().Admit(time.Unix(1000, 0), request).Admitted)
}

// flood sends nine tenths of the requests for one organisation and the rest for
// five others. The pressure is above the one at which all requests are admitted and
// below the one at which an organisation within its fair share is refused. flood
// returns the numbers of admitted and of sent requests by organisation.
func flood(l *fair.Limiter, now time.Time) (admitted, sent map[string]int) {
	admitted, sent = make(map[string]int), make(map[string]int)
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		org := "flooding"
		if i%10 == 0 {
			org = fmt.Sprintf("small-%d", i/10%5)
		}
		sent[org]++
		if l.Admit(now, newRequest(org, 300*time.Millisecond, uint64(i)*7+3)).Admitted {
			admitted[org]++
		}
	}
	return admitted, sent
}

func TestFloodingOrganisationIsLimitedToItsShare(t *testing.T) {
	is := is.New(t)
	l := fair.New()
	now := time.Unix(1000, 0)
	// The limiter estimates the capacity while no request waits.
	for i := range 5000 {
		now = now.Add(2 * time.Millisecond)
		l.Admit(now, newRequest(fmt.Sprintf("small-%d", i%5), 100*time.Millisecond, 0))
	}
	admitted, sent := flood(l, now)
	is.True(admitted["flooding"] < sent["flooding"]/2)
	for i := range 5 {
		org := fmt.Sprintf("small-%d", i)
		is.True(admitted[org] > sent[org]*95/100)
	}
}

// A wait that is not caused by the admitted work must not make the limiter refuse
// requests permanently. It would if the estimated capacity followed the admitted
// work down to zero.
func TestLastingWaitDoesNotBlockAllRequests(t *testing.T) {
	is := is.New(t)
	l := fair.New()
	now := time.Unix(1000, 0)
	for i := range 5000 {
		now = now.Add(2 * time.Millisecond)
		l.Admit(now, newRequest("org", 100*time.Millisecond, uint64(i)))
	}
	admitted := 0
	for i := range 20_000 {
		now = now.Add(2 * time.Millisecond)
		if l.Admit(now, newRequest("org", 500*time.Millisecond, uint64(i))).Admitted {
			admitted++
		}
	}
	is.True(admitted > 20_000/4)
}

func TestRefusedRequestIsAdmittedByAnotherProcess(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 123456789)
	for fingerprint := range uint64(50) {
		refused := fair.New().Admit(now, newRequest("org", 2*time.Second, fingerprint))
		retried := now.Add(refused.RetryAfter)
		// At this pressure, an organisation above its fair share would be
		// refused outside of the window.
		other := fair.New()
		request := newRequest("org", 500*time.Millisecond, fingerprint)
		is.True(other.Admit(retried, request).Admitted)
	}
}

func TestRetriesOfBacklogAreSpreadOverTime(t *testing.T) {
	is := is.New(t)
	l := fair.New()
	now := time.Unix(1000, 0)
	for i := range 2000 {
		now = now.Add(50 * time.Millisecond)
		l.Admit(now, newRequest("org", 100*time.Millisecond, uint64(i)))
	}
	var waits [2]time.Duration
	for i := range 200 {
		wait := l.Admit(now, newRequest("org", 2*time.Second, uint64(i)*6)).RetryAfter
		waits[i/100] += wait / 100
	}
	is.True(waits[1] > waits[0]) // Requests refused later have a longer RetryAfter.
}
