package recorder

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	// RouterKind is the kind of traces of RouterEvents.
	RouterKind tracer.Kind = "routerDecisions"
	// LimiterKind is the kind of traces of LimiterEvents.
	LimiterKind tracer.Kind = "limiterDecisions"
	// RetrierKind is the kind of traces of RetrierEvents.
	RetrierKind tracer.Kind = "retrierDecisions"
	// AttemptKind is the kind of traces of AttemptEvents.
	AttemptKind tracer.Kind = "requestAttempts"
	// OutcomeKind is the kind of traces of OutcomeEvents.
	OutcomeKind tracer.Kind = "requestOutcomes"
)

type (
	// RouterEvent is a decision of a router with its input. Fields without a
	// comment are those of carawaybeam.RouteRequest.
	RouterEvent struct {
		At           tracer.Duration            `json:"at"`
		Request      carawaybeam.RequestID      `json:"request"`
		Class        carawaybeam.ClassID        `json:"class"`
		Organisation carawaybeam.OrganisationID `json:"organisation"`
		DataCentre   carawaybeam.DataCentre     `json:"dataCentre"`
		Prompt       carawaybeam.Tokens         `json:"prompt"`
		Tried        []carawaybeam.BackendID    `json:"tried,omitempty"`
		Candidates   []Candidate                `json:"candidates"`
		// Chosen is empty if the router chose no candidate.
		Chosen carawaybeam.BackendID `json:"chosen,omitempty"`
		// Expected is the expected time to the first token.
		Expected tracer.Duration `json:"expected"`
	}

	// Candidate is the recorded part of a carawaybeam.Candidate.
	Candidate struct {
		Backend          carawaybeam.BackendID  `json:"backend"`
		DataCentre       carawaybeam.DataCentre `json:"dataCentre"`
		Running          int                    `json:"running"`
		Waiting          int                    `json:"waiting"`
		WaitingTokens    carawaybeam.Tokens     `json:"waitingTokens"`
		ReportAge        tracer.Duration        `json:"reportAge"`
		OwnRunning       int                    `json:"ownRunning"`
		OwnReported      int                    `json:"ownReported"`
		OwnWaiting       int                    `json:"ownWaiting"`
		OwnWaitingTokens carawaybeam.Tokens     `json:"ownWaitingTokens"`
		OwnOldest        tracer.Duration        `json:"ownOldest"`
		CachedPrompt     carawaybeam.Tokens     `json:"cachedPrompt"`
	}

	// LimiterEvent is a decision of a limiter with its input. The fields are those
	// of carawaybeam.AdmitRequest and carawaybeam.AdmitDecision.
	LimiterEvent struct {
		At           tracer.Duration            `json:"at"`
		Request      carawaybeam.RequestID      `json:"request,omitempty"`
		Class        carawaybeam.ClassID        `json:"class"`
		Organisation carawaybeam.OrganisationID `json:"organisation"`
		Prompt       carawaybeam.Tokens         `json:"prompt"`
		Expected     tracer.Duration            `json:"expected"`
		Unloaded     tracer.Duration            `json:"unloaded"`
		Idle         bool                       `json:"idle,omitempty"`
		Admitted     bool                       `json:"admitted"`
		RetryAfter   tracer.Duration            `json:"retryAfter"`
	}

	// RetrierEvent is a decision of a retrier with its input.
	RetrierEvent struct {
		At         tracer.Duration       `json:"at"`
		Request    carawaybeam.RequestID `json:"request,omitempty"`
		Class      carawaybeam.ClassID   `json:"class"`
		Idempotent bool                  `json:"idempotent"`
		// Attempts is the number of attempts made so far.
		Attempts int `json:"try"`
		// Outcome and Reason are those of the last attempt's failure.
		Outcome carawaybeam.Outcome `json:"outcome"`
		Reason  carawaybeam.Reason  `json:"reason"`
		// Left is the time left until the deadline of the request.
		Left tracer.Duration `json:"left"`
		// Retry is set if the retrier decided to make another attempt.
		Retry bool `json:"retry"`
		// Wait is the time to wait before the next attempt.
		Wait tracer.Duration `json:"wait"`
	}

	// AttemptEvent is an attempt of a request that has ended.
	AttemptEvent struct {
		At      tracer.Duration       `json:"at"`
		Request carawaybeam.RequestID `json:"request"`
		Attempt int                   `json:"try"`
		// Backend is empty if no backend server was chosen.
		Backend carawaybeam.BackendID `json:"backend,omitempty"`
		// Failure is nil if the attempt returned the whole answer.
		Failure *Failure `json:"failure,omitempty"`
	}

	// OutcomeEvent is the end of a request, after its last attempt.
	OutcomeEvent struct {
		At           tracer.Duration            `json:"at"`
		Request      carawaybeam.RequestID      `json:"request"`
		Class        carawaybeam.ClassID        `json:"class"`
		Organisation carawaybeam.OrganisationID `json:"organisation"`
		// Failure is nil if the whole answer was delivered.
		Failure *Failure `json:"failure,omitempty"`
	}

	// Failure is the recorded part of a carawaybeam.RequestError.
	Failure struct {
		Outcome    carawaybeam.Outcome `json:"outcome"`
		Reason     carawaybeam.Reason  `json:"reason"`
		Detail     string              `json:"detail,omitempty"`
		RetryAfter tracer.Duration     `json:"retryAfter"`
	}
)

// When returns the time of the event since the start of the trace.
func (e RouterEvent) When() time.Duration { return time.Duration(e.At) }

// When returns the time of the event since the start of the trace.
func (e LimiterEvent) When() time.Duration { return time.Duration(e.At) }

// When returns the time of the event since the start of the trace.
func (e RetrierEvent) When() time.Duration { return time.Duration(e.At) }

// When returns the time of the event since the start of the trace.
func (e AttemptEvent) When() time.Duration { return time.Duration(e.At) }

// When returns the time of the event since the start of the trace.
func (e OutcomeEvent) When() time.Duration { return time.Duration(e.At) }

func newFailure(failure *carawaybeam.RequestError) *Failure {
	if failure == nil {
		return nil
	}
	return &Failure{
		Outcome:    failure.Outcome,
		Reason:     failure.Reason,
		Detail:     failure.Detail,
		RetryAfter: tracer.Duration(failure.RetryAfter),
	}
}

func newCandidate(c carawaybeam.Candidate) Candidate {
	return Candidate{
		Backend:          c.Backend,
		DataCentre:       c.DataCentre,
		Running:          c.Load.Running,
		Waiting:          c.Load.Waiting,
		WaitingTokens:    c.Load.WaitingTokens,
		ReportAge:        tracer.Duration(c.ReportAge),
		OwnRunning:       c.OwnRunning,
		OwnReported:      c.OwnReported,
		OwnWaiting:       c.OwnWaiting,
		OwnWaitingTokens: c.OwnWaitingTokens,
		OwnOldest:        tracer.Duration(c.OwnOldest),
		CachedPrompt:     c.CachedPrompt,
	}
}
