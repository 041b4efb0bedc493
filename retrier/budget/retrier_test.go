package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/retrier/budget"
)

var (
	now    = time.Unix(1000, 0)
	notRun = carawaybeam.RequestError{Outcome: carawaybeam.OutcomeNotRun, Reason: carawaybeam.ReasonBusy}
)

func failed(failure carawaybeam.RequestError, idempotent bool, attempts int) carawaybeam.RetryRequest {
	return carawaybeam.RetryRequest{
		Class:    carawaybeam.Class{ID: "class", Idempotent: idempotent},
		Attempts: attempts,
		Failure:  &failure,
		Deadline: now.Add(time.Minute),
	}
}

func TestRetryNeedsProofOrIdempotence(t *testing.T) {
	tests := []struct {
		outcome    carawaybeam.Outcome
		idempotent bool
		want       bool
	}{
		{carawaybeam.OutcomeNotRun, false, true},
		{carawaybeam.OutcomeNotRun, true, true},
		{carawaybeam.OutcomeUnknown, false, false},
		{carawaybeam.OutcomeUnknown, true, true},
		{carawaybeam.OutcomeRan, false, false},
		{carawaybeam.OutcomeRan, true, true},
	}
	for _, test := range tests {
		is := is.New(t)
		failure := carawaybeam.RequestError{Outcome: test.outcome, Reason: carawaybeam.ReasonBackendFailed}
		decision := budget.New().Retry(now, failed(failure, test.idempotent, 1), rand.New(rand.NewPCG(1, 0)))
		is.Equal(decision.Retry, test.want)
	}
}

func TestPermanentFailuresAreNotRetried(t *testing.T) {
	is := is.New(t)
	for _, reason := range []carawaybeam.Reason{
		carawaybeam.ReasonBadRequest, carawaybeam.ReasonKeyReused, carawaybeam.ReasonQuarantined,
	} {
		failure := carawaybeam.RequestError{Outcome: carawaybeam.OutcomeNotRun, Reason: reason}
		decision := budget.New().Retry(now, failed(failure, true, 1), rand.New(rand.NewPCG(1, 0)))
		is.Equal(decision.Retry, false)
	}
}

func TestDeadlineIsRespected(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	for range 1000 {
		r := budget.New()
		request := failed(notRun, true, 1+random.IntN(3))
		request.Deadline = now.Add(time.Duration(random.Int64N(int64(200 * time.Millisecond))))
		decision := r.Retry(now, request, random)
		is.True(!decision.Retry || now.Add(decision.Wait).Before(request.Deadline))
	}
}

func TestBackoffGrowsAndVaries(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	seen := make(map[time.Duration]bool)
	for range 100 {
		first := budget.New().Retry(now, failed(notRun, true, 1), random).Wait
		third := budget.New().Retry(now, failed(notRun, true, 3), random).Wait
		is.True(first >= 20*time.Millisecond && first <= 40*time.Millisecond)
		is.True(third >= 80*time.Millisecond && third <= 160*time.Millisecond)
		seen[first] = true
	}
	is.True(len(seen) > 50)
}

func TestBudgetLimitsRetriesInTotalFailure(t *testing.T) {
	is := is.New(t)
	r := budget.New()
	random := rand.New(rand.NewPCG(1, 0))
	retries := 0
	for range 10_000 {
		r.CountFirstAttempt(now, "class")
		for attempts := 1; r.Retry(now, failed(notRun, true, attempts), random).Retry; attempts++ {
			retries++
		}
	}
	is.True(retries <= 1000)
	is.True(retries >= 500)
}

func TestBudgetsOfClassesAreSeparate(t *testing.T) {
	is := is.New(t)
	r := budget.New()
	random := rand.New(rand.NewPCG(1, 0))
	for r.Retry(now, failed(notRun, true, 1), random).Retry {
	}
	other := failed(notRun, true, 1)
	other.Class.ID = "other"
	is.True(r.Retry(now, other, random).Retry)
}
