package recorder

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// Explanation holds the events that are still recorded about one request. Events of
// one kind may be dropped earlier than those of another, so each part may be absent.
// The times of the events are relative to Start.
type Explanation struct {
	Request carawaybeam.RequestID `json:"request"`
	Process string                `json:"process"`
	Start   time.Time             `json:"start"`
	// Admission is the decision of the limiter, or nil.
	Admission *LimiterEvent `json:"admission,omitempty"`
	// Routes holds the decisions of the router. The first one is used both for
	// admission and for the first attempt.
	Routes   []RouterEvent  `json:"routes"`
	Attempts []AttemptEvent `json:"attempts"`
	Retries  []RetrierEvent `json:"retries"`
	// Outcome is nil while the request is in flight.
	Outcome *OutcomeEvent `json:"outcome,omitempty"`
}

// Attempted records an attempt that has ended. Attempts of a request are numbered from
// 1. The failure is nil if the attempt returned the whole answer.
func (r *Recorder) Attempted(
	request carawaybeam.RequestID,
	number int,
	backend carawaybeam.BackendID,
	failure *carawaybeam.RequestError,
) {
	r.record(AttemptKind, func(at tracer.Duration) any {
		return AttemptEvent{At: at, Request: request, Attempt: number, Backend: backend, Failure: newFailure(failure)}
	})
}

// Ended records the end of a request. The failure is nil if the whole answer was
// delivered.
func (r *Recorder) Ended(
	request carawaybeam.RequestID,
	class carawaybeam.ClassID,
	organisation carawaybeam.OrganisationID,
	failure *carawaybeam.RequestError,
) {
	r.record(OutcomeKind, func(at tracer.Duration) any {
		return OutcomeEvent{
			At: at, Request: request, Class: class, Organisation: organisation, Failure: newFailure(failure),
		}
	})
}

// Explain returns the events recorded about a request, or false if there are none.
func (r *Recorder) Explain(request carawaybeam.RequestID) (Explanation, bool) {
	admissions := eventsOf[LimiterEvent](r, LimiterKind, request)
	outcomes := eventsOf[OutcomeEvent](r, OutcomeKind, request)
	e := Explanation{
		Request:  request,
		Process:  r.options.Process,
		Start:    r.start.UTC(),
		Routes:   eventsOf[RouterEvent](r, RouterKind, request),
		Attempts: eventsOf[AttemptEvent](r, AttemptKind, request),
		Retries:  eventsOf[RetrierEvent](r, RetrierKind, request),
	}
	if len(admissions) > 0 {
		e.Admission = &admissions[0]
	}
	if len(outcomes) > 0 {
		e.Outcome = &outcomes[0]
	}
	recorded := len(admissions) + len(outcomes) + len(e.Routes) + len(e.Attempts) + len(e.Retries)
	return e, recorded > 0
}

// eventsOf returns the events of one kind about a request. To save time, it decodes
// only lines that contain the request's identifier.
func eventsOf[E any](r *Recorder, kind tracer.Kind, request carawaybeam.RequestID) []E {
	events := []E{}
	quoted, err := json.Marshal(request)
	if err != nil || request == "" {
		return events
	}
	field := append([]byte(`"request":`), quoted...)
	lines, _ := r.snapshot(kind)
	for _, line := range lines {
		var event E
		if bytes.Contains(line, field) && json.Unmarshal(line, &event) == nil {
			events = append(events, event)
		}
	}
	return events
}
