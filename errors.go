package carawaybeam

import (
	"fmt"
	"time"
)

// Outcome tells a caller whether its request ran.
type Outcome string

const (
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun Outcome = "notRun"

	// OutcomeRan means that the request ran, but its answer is lost.
	OutcomeRan Outcome = "ran"

	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason tells why a request got no answer.
type Reason string

const (
	// ReasonBadRequest means that the request itself is malformed.
	ReasonBadRequest Reason = "badRequest"
	// ReasonUnauthorized means that no organisation has the given token.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonForbidden means that the organisation may not use the class.
	ReasonForbidden Reason = "forbidden"
	// ReasonUnknownClass means that there is no such class.
	ReasonUnknownClass Reason = "unknownClass"
	// ReasonTooLarge means that the body exceeds the limit.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonKeyReused means that the key came with another body before.
	ReasonKeyReused Reason = "keyReused"
	// ReasonBusy means that the request would miss its target.
	ReasonBusy Reason = "busy"
	// ReasonLeaving means that the process is shutting down.
	ReasonLeaving Reason = "leaving"
	// ReasonStaleConfig means that the choice rested on an old configuration.
	ReasonStaleConfig Reason = "staleConfig"
	// ReasonTombstoned means that the attempt was resolved before it arrived.
	ReasonTombstoned Reason = "tombstoned"
	// ReasonQuarantined means that the request crashed backend servers.
	ReasonQuarantined Reason = "quarantined"
	// ReasonWrongIncarnation means that the agent has restarted since.
	ReasonWrongIncarnation Reason = "wrongIncarnation"
	// ReasonNoBackend means that no backend server can take the request.
	ReasonNoBackend Reason = "noBackend"
	// ReasonStoreUnavailable means that the platform's store does not answer.
	ReasonStoreUnavailable Reason = "storeUnavailable"
	// ReasonBackendFailed means that the backend server failed while it ran.
	ReasonBackendFailed Reason = "backendFailed"
	// ReasonAnswerGone means that the answer is no longer held.
	ReasonAnswerGone Reason = "answerGone"
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonBadTicket means that no such ticket is open for the class and the
	// organisation.
	ReasonBadTicket Reason = "badTicket"
	// ReasonCorrupt means that the answer failed its checksum.
	ReasonCorrupt Reason = "corrupt"
)

// RequestError is the final word on a request that got no whole answer.
type RequestError struct {
	// Outcome tells whether the request ran.
	Outcome Outcome
	// Reason tells why there is no answer.
	Reason Reason
	// Detail is a sentence for a person. It may be empty.
	Detail string
	// RetryAfter is when to come back, or 0 when coming back is of no use.
	RetryAfter time.Duration
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Detail)
}

// NotRun returns the error of a request that did not run and never will. It may come
// back after retryAfter, unless that is 0.
func NotRun(reason Reason, detail string, retryAfter time.Duration) *RequestError {
	return &RequestError{Outcome: OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}
