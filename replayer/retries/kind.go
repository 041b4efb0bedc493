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
	// KindName is the kind of traces for retriers.
	KindName tracer.Kind = "retrier"

	// drainTime is how long requests may go on behind the last event.
	drainTime = 10 * time.Minute
)

type (
	// Kind replays traces for retriers.
	Kind struct{}

	player struct {
		clock   queuer.Clock
		retrier carawaybeam.Retrier
		random  *rand.Rand
		classes map[carawaybeam.ClassID]carawaybeam.Class

		requests, failing, curable, saved        float64
		extra, extraFailing, lateTries, unproven float64
	}
)

var _ replayer.Kind = Kind{}

func init() { replayer.Kinds.Register(string(KindName), Kind{}) }

// Replay puts the failures of a trace to a retrier.
//
// Figures: extraTryShare, further tries by requests; extraTryShareFailing, the
// same over the requests that no try could save; savedShare, those answered of
// the requests that failed and that another try may save; lateTries, begun behind the
// deadline; unprovenRetries, further tries of non-idempotent requests that may
// have run.
func (Kind) Replay(header tracer.Header, body io.Reader, policy string) (map[string]float64, error) {
	line, err := json.Marshal(header)
	if err != nil {
		return nil, err
	}
	whole := io.MultiReader(bytes.NewReader(append(line, '\n')), body)
	_, events, err := tracer.Read[Event](whole, KindName)
	if err != nil {
		return nil, err
	}
	return ReplayEvents(header, events, policy)
}

// ReplayEvents puts events to a retrier and returns the figures of Replay.
func ReplayEvents(header tracer.Header, events []Event, policy string) (map[string]float64, error) {
	newRetrier, err := carawaybeam.Retriers.Lookup(policy)
	if err != nil {
		return nil, err
	}
	p := &player{
		retrier: newRetrier(),
		random:  rand.New(rand.NewPCG(header.Seed, 0)),
		classes: make(map[carawaybeam.ClassID]carawaybeam.Class),
	}
	var last time.Duration
	for _, e := range events {
		last = e.When()
		p.clock.At(last, func() { p.play(e) })
	}
	p.clock.Run(last + drainTime)
	return p.figures(), nil
}

func (p *player) now() time.Time { return time.Unix(0, 0).Add(p.clock.Now()) }

func (p *player) play(e Event) {
	switch {
	case e.Class != nil:
		p.classes[e.Class.ID] = carawaybeam.Class{ID: e.Class.ID, Idempotent: e.Class.Idempotent}
	case e.Request != nil:
		p.requests++
		p.failing += count(e.Request.AlwaysFails)
		p.curable += count(p.isCurable(*e.Request))
		p.retrier.CountFirstAttempt(p.now(), e.Request.Class)
		p.try(*e.Request, 1, p.now().Add(time.Duration(e.Request.Deadline)))
	}
}

// isCurable tells whether a request failed and another try may save it: its
// caller still waits, and it is known not to have run or may run twice.
func (p *player) isCurable(request RequestEvent) bool {
	if request.AlwaysFails || len(request.Failures) == 0 || request.Failures[0].Duration >= request.Deadline {
		return false
	}
	return p.classes[request.Class].Idempotent || request.Failures[0].Outcome == carawaybeam.OutcomeNotRun
}

// try plays one try and what the retrier makes of its failure.
func (p *player) try(request RequestEvent, n int, deadline time.Time) {
	if p.now().After(deadline) {
		p.lateTries++
	}
	failure, failed := request.failure(n)
	if !failed {
		p.saved += count(n > 1)
		return
	}
	p.clock.After(time.Duration(failure.Duration), func() { p.fail(request, n, deadline, failure) })
}

func (p *player) fail(request RequestEvent, n int, deadline time.Time, failure FailureEvent) {
	class := p.classes[request.Class]
	decision := p.retrier.Retry(p.now(), carawaybeam.RetryRequest{
		Class:    class,
		Attempts: n,
		Failure:  &carawaybeam.RequestError{Outcome: failure.Outcome, Reason: failure.Reason},
		Deadline: deadline,
	}, p.random)
	if !decision.Retry {
		return
	}
	p.extra++
	if request.AlwaysFails {
		p.extraFailing++
	}
	if !class.Idempotent && failure.Outcome != carawaybeam.OutcomeNotRun {
		p.unproven++
	}
	p.clock.After(decision.Wait, func() { p.try(request, n+1, deadline) })
}

func (p *player) figures() map[string]float64 {
	return map[string]float64{
		"requests":             p.requests,
		"extraTryShare":        share(p.extra, p.requests),
		"extraTryShareFailing": share(p.extraFailing, p.failing),
		"savedShare":           share(p.saved, p.curable),
		"lateTries":            p.lateTries,
		"unprovenRetries":      p.unproven,
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
