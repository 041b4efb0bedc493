// Package retries replays traces of the kind "retrier": it passes the recorded
// failures of attempts to a retrier, which decides whether to retry.
package retries

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracer"
)

type (
	// Event is one line of a trace. Either Class or Request is set.
	Event struct {
		At      tracer.Duration `json:"at"`
		Class   *ClassEvent     `json:"class,omitempty"`
		Request *RequestEvent   `json:"request,omitempty"`
	}

	// ClassEvent declares a class and whether its requests are idempotent.
	ClassEvent struct {
		ID         carawaybeam.ClassID `json:"id"`
		Idempotent bool                `json:"idempotent,omitempty"`
	}

	// RequestEvent describes a request and how its attempts fail. The attempt
	// after the last failure succeeds, unless AlwaysFails is set: then all
	// further attempts fail like the last one in Failures.
	RequestEvent struct {
		Class carawaybeam.ClassID `json:"class"`
		// Deadline is how long the caller waits after the request's arrival.
		Deadline    tracer.Duration `json:"deadline"`
		Failures    []FailureEvent  `json:"failures,omitempty"`
		AlwaysFails bool            `json:"always,omitempty"`
	}

	// FailureEvent describes the failure of one attempt and the attempt's
	// duration.
	FailureEvent struct {
		Outcome  carawaybeam.Outcome `json:"outcome"`
		Reason   carawaybeam.Reason  `json:"reason"`
		Duration tracer.Duration     `json:"took"`
	}
)

// When returns the time of the event since the start of the trace.
func (e Event) When() time.Duration { return time.Duration(e.At) }

// failure returns the failure of an attempt, counted from 1, or false when the
// attempt succeeds.
func (r RequestEvent) failure(attempt int) (FailureEvent, bool) {
	switch {
	case attempt <= len(r.Failures):
		return r.Failures[attempt-1], true
	case r.AlwaysFails && len(r.Failures) > 0:
		return r.Failures[len(r.Failures)-1], true
	}
	return FailureEvent{}, false
}
