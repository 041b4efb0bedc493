// Package retries replays traces of the kind "retrier": recorded failures of
// tries are put to a retrier, which decides whether there is another.
package retries

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracer"
)

type (
	// Event is one line of a trace. Exactly one of its parts is set.
	Event struct {
		At      tracer.Duration `json:"at"`
		Class   *ClassEvent     `json:"class,omitempty"`
		Request *RequestEvent   `json:"request,omitempty"`
	}

	// ClassEvent tells of a class.
	ClassEvent struct {
		ID         carawaybeam.ClassID `json:"id"`
		Idempotent bool                `json:"idempotent,omitempty"`
	}

	// RequestEvent tells of a request and how its tries fail. The try behind
	// the last failure is answered, unless Always is set: then it and all
	// further ones fail like the last.
	RequestEvent struct {
		Class carawaybeam.ClassID `json:"class"`
		// Deadline is how long the caller waits.
		Deadline    tracer.Duration `json:"deadline"`
		Failures    []FailureEvent  `json:"failures,omitempty"`
		AlwaysFails bool            `json:"always,omitempty"`
	}

	// FailureEvent is how a try failed and how long it took.
	FailureEvent struct {
		Outcome  carawaybeam.Outcome `json:"outcome"`
		Reason   carawaybeam.Reason  `json:"reason"`
		Duration tracer.Duration     `json:"took"`
	}
)

// When returns the time of the event.
func (e Event) When() time.Duration { return time.Duration(e.At) }

// failure returns how a try of the request fails, counted from 1, and false
// when it is answered.
func (r RequestEvent) failure(try int) (FailureEvent, bool) {
	switch {
	case try <= len(r.Failures):
		return r.Failures[try-1], true
	case r.AlwaysFails && len(r.Failures) > 0:
		return r.Failures[len(r.Failures)-1], true
	}
	return FailureEvent{}, false
}
