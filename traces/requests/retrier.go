package main

import (
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/replayer/retries"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	budgetReason   = "issue 5: extra tries under a 10% budget in a total failure"
	deadlineReason = "issue 5: deadline respected"
	provenReason   = "issue 5: nothing non-idempotent retried without proof"
	savedReason    = "letter 1: 95 in 100, of those that another try may save"

	// requestRate is in requests per second.
	requestRate = 40
)

type (
	// failureScenario describes a trace of failing attempts to generate.
	failureScenario struct {
		name, about string
		length      time.Duration
		// minDeadline is the shortest time that a caller waits.
		minDeadline time.Duration
		// failing returns the probability that a request fails, and whether all
		// attempts of a failing request fail.
		failing func(at time.Duration) (probability float64, always bool)
		bounds  map[string]tracer.Bound
	}
)

func failureScenarios() []failureScenario {
	withCommonBounds := func(bounds map[string]tracer.Bound) map[string]tracer.Bound {
		bounds["lateTries"] = atMost(0, deadlineReason)
		bounds["unprovenRetries"] = atMost(0, provenReason)
		return bounds
	}
	return []failureScenario{
		{
			name:        "totalFailure",
			about:       "all tries fail for a minute",
			length:      90 * time.Second,
			minDeadline: 500 * time.Millisecond,
			failing: func(at time.Duration) (float64, bool) {
				if at > 15*time.Second && at < 75*time.Second {
					return 1, true
				}
				return 0, true
			},
			bounds: withCommonBounds(map[string]tracer.Bound{
				"extraTryShare":        atMost(0.10, budgetReason),
				"extraTryShareFailing": atMost(0.10, budgetReason),
			}),
		},
		{
			name:        "fewFailures",
			about:       "two in 100 first tries fail",
			length:      60 * time.Second,
			minDeadline: 3 * time.Second,
			failing:     func(time.Duration) (float64, bool) { return 0.02, false },
			bounds: withCommonBounds(map[string]tracer.Bound{
				"extraTryShare": atMost(0.10, budgetReason),
				"savedShare":    atLeast95Percent(savedReason),
			}),
		},
	}
}

// events generates the trace with a seed.
func (f failureScenario) events(seed uint64) []retries.Event {
	random := rand.New(rand.NewPCG(seed, 0))
	classes := []carawaybeam.ClassID{"inspectionSummary", "repairBooking"}
	events := []retries.Event{
		{Class: &retries.ClassEvent{ID: classes[0], Idempotent: true}},
		{Class: &retries.ClassEvent{ID: classes[1]}},
	}
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / requestRate * float64(time.Second))
		if at >= f.length {
			return events
		}
		request := &retries.RequestEvent{
			Class:    classes[0],
			Deadline: tracer.Duration(f.minDeadline + time.Duration(random.IntN(4500))*time.Millisecond),
		}
		if random.Float64() < 0.2 {
			request.Class = classes[1]
		}
		probability, always := f.failing(at)
		if random.Float64() < probability {
			request.AlwaysFails = always
			request.Failures = []retries.FailureEvent{drawFailure(random)}
		}
		events = append(events, retries.Event{At: tracer.Duration(at.Round(time.Millisecond)), Request: request})
	}
}

// drawFailure draws how an attempt fails: half of the failures prove that it did
// not run, the others leave it unknown.
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
