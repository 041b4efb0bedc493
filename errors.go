package carawaybeam

import (
	"fmt"
	"time"
)

// Outcome states whether a failed request ran.
type Outcome string

const (
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun Outcome = "notRun"

	// OutcomeRan means that the request ran, but its answer was lost.
	OutcomeRan Outcome = "ran"

	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the reason code of a failed request.
type Reason string

const (
	// ReasonBadRequest means that the request is malformed.
	ReasonBadRequest Reason = "badRequest"
	// ReasonUnauthorized means that the token belongs to no organisation.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonForbidden means that the organisation may not use the class.
	ReasonForbidden Reason = "forbidden"
	// ReasonUnknownClass means that the requested class does not exist.
	ReasonUnknownClass Reason = "unknownClass"
	// ReasonTooLarge means that the request body exceeds the size limit.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonKeyReused means that the idempotency key was used before with a
	// different body.
	ReasonKeyReused Reason = "keyReused"
	// ReasonBusy means that the request was refused because of overload, such
	// as when it would miss its target.
	ReasonBusy Reason = "busy"
	// ReasonLeaving means that the process is shutting down.
	ReasonLeaving Reason = "leaving"
	// ReasonStaleConfig means that the backend server was chosen by an outdated
	// configuration.
	ReasonStaleConfig Reason = "staleConfig"
	// ReasonTombstoned means that the attempt arrived after it had been resolved
	// as not run.
	ReasonTombstoned Reason = "tombstoned"
	// ReasonQuarantined means that earlier attempts of the request crashed
	// backend servers.
	ReasonQuarantined Reason = "quarantined"
	// ReasonWrongIncarnation means that the agent has restarted since the
	// attempt was addressed to it.
	ReasonWrongIncarnation Reason = "wrongIncarnation"
	// ReasonNoBackend means that no backend server can take the request.
	ReasonNoBackend Reason = "noBackend"
	// ReasonStoreUnavailable means that the platform's store does not respond.
	ReasonStoreUnavailable Reason = "storeUnavailable"
	// ReasonBackendFailed means that the backend server failed while running
	// the request.
	ReasonBackendFailed Reason = "backendFailed"
	// ReasonAnswerGone means that the answer is no longer stored.
	ReasonAnswerGone Reason = "answerGone"
	// ReasonInternal means that a fault in the entry ended the request.
	ReasonInternal Reason = "internal"
	// ReasonDeadline means that the deadline of the request passed.
	ReasonDeadline Reason = "deadline"
	// ReasonUnread means that the client left too much of its answer unread.
	ReasonUnread Reason = "unread"
	// ReasonBadTicket means that the ticket is not open for the class and
	// organisation of the request.
	ReasonBadTicket Reason = "badTicket"
	// ReasonCorrupt means that the answer is not valid, or that its checksum does not match.
	ReasonCorrupt Reason = "corrupt"
)

// RequestError reports that a request failed, that is, got no whole answer.
type RequestError struct {
	// Outcome states whether the request ran.
	Outcome Outcome
	// Reason is the reason code of the failure.
	Reason Reason
	// Detail is a human-readable sentence. It may be empty.
	Detail string
	// RetryAfter is how long the caller should wait before it retries, or 0
	// when a retry is of no use.
	RetryAfter time.Duration
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Detail)
}

// NotRun returns the error of a request that did not run and never will. The
// caller may retry after retryAfter, unless that is 0.
func NotRun(reason Reason, detail string, retryAfter time.Duration) *RequestError {
	return &RequestError{Outcome: OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}
