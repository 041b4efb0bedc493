package retries

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/replayer"
	"github.com/carawaybeam/carawaybeam/replayer/queuer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	// KindName is the kind that headers of traces for retriers name.
	KindName tracer.Kind = "retrier"

	// drainTime is how long the replay goes on after the last event, so that
	// running requests and retries complete.
	drainTime = 10 * time.Minute
)

type (
	// Kind replays traces of the kind "retrier".
	Kind struct{}

	// replay is the state of one replay.
	replay struct {
		clock   queuer.Clock
		retrier carawaybeam.Retrier
		random  *rand.Rand
		classes map[carawaybeam.ClassID]carawaybeam.Class

		requests, failing, recoverable, recovered       float64
		retries, retriesFailing, lateAttempts, unproven float64
	}
)

var _ replayer.Kind = Kind{}

func init() { replayer.Kinds.Register(string(KindName), Kind{}) }

// Replay passes the failures of a trace to the retrier named policy and returns
// these figures:
//   - requests is the number of requests.
//   - extraTryShare is the number of retries divided by that of requests.
//   - extraTryShareFailing is the same for requests whose attempts all fail.
//   - savedShare is the number of requests that a retry answered, divided by
//     that of failed requests that a retry may answer.
//   - lateTries is the number of attempts begun after the deadline.
//   - unprovenRetries is the number of retries of non-idempotent requests that
//     may have run.
//
// It returns an error for an invalid trace or an unknown retrier.
func (Kind) Replay(header tracer.Header, body io.Reader, policy string) (map[string]float64, error) {
	line, err := json.Marshal(header)
	if err != nil {
		return nil, err
	}
	trace := io.MultiReader(bytes.NewReader(append(line, '\n')), body)
	_, events, err := tracer.Read[Event](trace, KindName)
	if err != nil {
		return nil, err
	}
	return ReplayEvents(header, events, policy)
}

// ReplayEvents passes events to the retrier named policy and returns the figures
// that Kind.Replay lists. It returns an error for an unknown retrier.
func ReplayEvents(header tracer.Header, events []Event, policy string) (map[string]float64, error) {
	newRetrier, err := carawaybeam.Retriers.Lookup(policy)
	if err != nil {
		return nil, err
	}
	r := &replay{
		retrier: newRetrier(),
		random:  rand.New(rand.NewPCG(header.Seed, 0)),
		classes: make(map[carawaybeam.ClassID]carawaybeam.Class),
	}
	var last time.Duration
	for _, e := range events {
		last = e.When()
		r.clock.At(last, func() { r.handle(e) })
	}
	r.clock.Run(last + drainTime)
	return r.figures(), nil
}

func (r *replay) now() time.Time { return time.Unix(0, 0).Add(r.clock.Now()) }

func (r *replay) handle(e Event) {
	switch {
	case e.Class != nil:
		r.classes[e.Class.ID] = carawaybeam.Class{ID: e.Class.ID, Idempotent: e.Class.Idempotent}
	case e.Request != nil:
		r.requests++
		r.failing += count(e.Request.AlwaysFails)
		r.recoverable += count(r.isRecoverable(*e.Request))
		r.retrier.CountFirstAttempt(r.now(), e.Request.Class)
		r.attempt(*e.Request, 1, r.now().Add(time.Duration(e.Request.Deadline)))
	}
}

// isRecoverable reports whether the first attempt of a request failed and a
// retry may answer it: the deadline hasn't passed, and the request either is
// known not to have run or is idempotent.
func (r *replay) isRecoverable(request RequestEvent) bool {
	if request.AlwaysFails || len(request.Failures) == 0 || request.Failures[0].Duration >= request.Deadline {
		return false
	}
	return r.classes[request.Class].Idempotent || request.Failures[0].Outcome == carawaybeam.OutcomeNotRun
}

// attempt replays the n-th attempt of a request, and passes its failure, if any,
// to the retrier.
func (r *replay) attempt(request RequestEvent, n int, deadline time.Time) {
	if r.now().After(deadline) {
		r.lateAttempts++
	}
	failure, failed := request.failure(n)
	if !failed {
		r.recovered += count(n > 1)
		return
	}
	r.clock.After(time.Duration(failure.Duration), func() { r.fail(request, n, deadline, failure) })
}

func (r *replay) fail(request RequestEvent, n int, deadline time.Time, failure FailureEvent) {
	class := r.classes[request.Class]
	decision := r.retrier.Retry(r.now(), carawaybeam.RetryRequest{
		Class:    class,
		Attempts: n,
		Failure:  &carawaybeam.RequestError{Outcome: failure.Outcome, Reason: failure.Reason},
		Deadline: deadline,
	}, r.random)
	if !decision.Retry {
		return
	}
	r.retries++
	if request.AlwaysFails {
		r.retriesFailing++
	}
	if !class.Idempotent && failure.Outcome != carawaybeam.OutcomeNotRun {
		r.unproven++
	}
	r.clock.After(decision.Wait, func() { r.attempt(request, n+1, deadline) })
}

func (r *replay) figures() map[string]float64 {
	return map[string]float64{
		"requests":             r.requests,
		"extraTryShare":        share(r.retries, r.requests),
		"extraTryShareFailing": share(r.retriesFailing, r.failing),
		"savedShare":           share(r.recovered, r.recoverable),
		"lateTries":            r.lateAttempts,
		"unprovenRetries":      r.unproven,
	}
}

func count(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
