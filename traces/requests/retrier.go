package main

import (
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/replayer/retries"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	budgetWhy   = "issue 5: extra tries under a 10% budget in a total failure"
	deadlineWhy = "issue 5: deadline respected"
	provenWhy   = "issue 5: nothing non-idempotent retried without proof"
	savedWhy    = "letter 1: 95 in 100, of those that another try may save"

	// failureRate is requests a second.
	failureRate = 40
)

type (
	// failureScenario is a trace of failing tries to be generated.
	failureScenario struct {
		name, about string
		length      time.Duration
		// patience is the least time that a caller waits.
		patience time.Duration
		// failing returns the chance that a request fails, and whether all its
		// tries do.
		failing func(at time.Duration) (chance float64, always bool)
		bounds  map[string]tracer.Bound
	}
)

func failureScenarios() []failureScenario {
	strict := func(more map[string]tracer.Bound) map[string]tracer.Bound {
		more["lateTries"] = atMost(0, deadlineWhy)
		more["unprovenRetries"] = atMost(0, provenWhy)
		return more
	}
	return []failureScenario{
		{
			name:     "totalFailure",
			about:    "all tries fail for a minute",
			length:   90 * time.Second,
			patience: 500 * time.Millisecond,
			failing: func(at time.Duration) (float64, bool) {
				if at > 15*time.Second && at < 75*time.Second {
					return 1, true
				}
				return 0, true
			},
			bounds: strict(map[string]tracer.Bound{
				"extraTryShare":        atMost(0.10, budgetWhy),
				"extraTryShareFailing": atMost(0.10, budgetWhy),
			}),
		},
		{
			name:     "fewFailures",
			about:    "two in 100 first tries fail",
			length:   60 * time.Second,
			patience: 3 * time.Second,
			failing:  func(time.Duration) (float64, bool) { return 0.02, false },
			bounds: strict(map[string]tracer.Bound{
				"extraTryShare": atMost(0.10, budgetWhy),
				"savedShare":    mostOf(savedWhy),
			}),
		},
	}
}

func (f failureScenario) events(seed uint64) []retries.Event {
	random := rand.New(rand.NewPCG(seed, 0))
	classes := []carawaybeam.ClassID{"inspectionSummary", "repairBooking"}
	events := []retries.Event{
		{Class: &retries.ClassEvent{ID: classes[0], Idempotent: true}},
		{Class: &retries.ClassEvent{ID: classes[1]}},
	}
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / failureRate * float64(time.Second))
		if at >= f.length {
			return events
		}
		request := &retries.RequestEvent{
			Class:    classes[0],
			Deadline: tracer.Duration(f.patience + time.Duration(random.IntN(4500))*time.Millisecond),
		}
		if random.Float64() < 0.2 {
			request.Class = classes[1]
		}
		chance, always := f.failing(at)
		if random.Float64() < chance {
			request.AlwaysFails = always
			request.Failures = []retries.FailureEvent{drawFailure(random)}
		}
		events = append(events, retries.Event{At: tracer.Duration(at.Round(time.Millisecond)), Request: request})
	}
}

// drawFailure draws how a try fails: half of them provably did not run.
func drawFailure(random *rand.Rand) retries.FailureEvent {
	failure := retries.FailureEvent{
		Outcome:  carawaybeam.OutcomeNotRun,
		Reason:   carawaybeam.ReasonBusy,
		Duration: tracer.Duration(time.Duration(1+random.IntN(20)) * time.Millisecond),
	}
	if random.Float64() < 0.5 {
		failure.Outcome = carawaybeam.OutcomeUnknown
		failure.Reason = carawaybeam.ReasonBackendFailed
		failure.Duration = tracer.Duration(time.Duration(10+random.IntN(2000)) * time.Millisecond)
	}
	return failure
}
