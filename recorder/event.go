package recorder

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	// RouterKind is the kind of traces with the decisions of a router.
	RouterKind tracer.Kind = "routerDecisions"
	// LimiterKind is the kind of traces with the decisions of a limiter.
	LimiterKind tracer.Kind = "limiterDecisions"
	// RetrierKind is the kind of traces with the decisions of a retrier.
	RetrierKind tracer.Kind = "retrierDecisions"
	// AttemptKind is the kind of traces with the tries of requests.
	AttemptKind tracer.Kind = "requestAttempts"
	// OutcomeKind is the kind of traces with the ends of requests.
	OutcomeKind tracer.Kind = "requestOutcomes"
)

type (
	// RouterEvent is what a router saw and chose.
	RouterEvent struct {
		At           tracer.Duration            `json:"at"`
		Request      carawaybeam.RequestID      `json:"request"`
		Class        carawaybeam.ClassID        `json:"class"`
		Organisation carawaybeam.OrganisationID `json:"organisation"`
		DataCentre   carawaybeam.DataCentre     `json:"dataCentre"`
		Prompt       carawaybeam.Tokens         `json:"prompt"`
		Tried        []carawaybeam.BackendID    `json:"tried,omitempty"`
		Candidates   []Candidate                `json:"candidates"`
		// Chosen is empty when no candidate may take the request.
		Chosen   carawaybeam.BackendID `json:"chosen,omitempty"`
		Expected tracer.Duration       `json:"expected"`
	}

	// Candidate is what a router saw of one backend server.
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

	// LimiterEvent is what a limiter saw and chose.
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

	// RetrierEvent is what a retrier saw and chose.
	RetrierEvent struct {
		At         tracer.Duration       `json:"at"`
		Request    carawaybeam.RequestID `json:"request,omitempty"`
		Class      carawaybeam.ClassID   `json:"class"`
		Idempotent bool                  `json:"idempotent"`
		Attempts   int                   `json:"try"`
		Outcome    carawaybeam.Outcome   `json:"outcome"`
		Reason     carawaybeam.Reason    `json:"reason"`
		// Left is the time left until the deadline.
		Left  tracer.Duration `json:"left"`
		Retry bool            `json:"retry"`
		Wait  tracer.Duration `json:"wait"`
	}

	// AttemptEvent is one try of a request.
	AttemptEvent struct {
		At      tracer.Duration       `json:"at"`
		Request carawaybeam.RequestID `json:"request"`
		Attempt int                   `json:"try"`
		// Backend is empty when no backend server was chosen.
		Backend carawaybeam.BackendID `json:"backend,omitempty"`
		Failure *Failure              `json:"failure,omitempty"`
	}

	// OutcomeEvent is the end of a request.
	OutcomeEvent struct {
		At           tracer.Duration            `json:"at"`
		Request      carawaybeam.RequestID      `json:"request"`
		Class        carawaybeam.ClassID        `json:"class"`
		Organisation carawaybeam.OrganisationID `json:"organisation"`
		// Failure is absent when the whole answer was delivered.
		Failure *Failure `json:"failure,omitempty"`
	}

	// Failure is why a try or a request got no whole answer.
	Failure struct {
		Outcome    carawaybeam.Outcome `json:"outcome"`
		Reason     carawaybeam.Reason  `json:"reason"`
		Detail     string              `json:"detail,omitempty"`
		RetryAfter tracer.Duration     `json:"retryAfter"`
	}
)

// When returns the time since the start of the trace.
func (e RouterEvent) When() time.Duration { return time.Duration(e.At) }

// When returns the time since the start of the trace.
func (e LimiterEvent) When() time.Duration { return time.Duration(e.At) }

// When returns the time since the start of the trace.
func (e RetrierEvent) When() time.Duration { return time.Duration(e.At) }

// When returns the time since the start of the trace.
func (e AttemptEvent) When() time.Duration { return time.Duration(e.At) }

// When returns the time since the start of the trace.
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
