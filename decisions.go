package carawaybeam

import (
	"math/rand/v2"
	"time"
)

type (
	// RouteRequest is what a router knows of a request.
	RouteRequest struct {
		Request      RequestID
		Class        ClassID
		Pool         PoolID
		Organisation OrganisationID
		DataCentre   DataCentre
		// Affinity is equal for requests that share the head of their prompt.
		// It is 0 where the prompt has none worth caching.
		Affinity uint64
		// Prompt is the estimated length of the prompt.
		Prompt Tokens
		// Target bounds the time to the first token. It is 0 where there is no
		// such target.
		Target time.Duration
		// Tried lists backend servers that earlier tries of the request used.
		Tried []BackendID
		// Engine describes the model engines of the pool. It is nil where it is
		// not known or the pool has none.
		Engine *EngineProfile
	}

	// Candidate is what a router knows of one backend server.
	Candidate struct {
		Backend    BackendID
		DataCentre DataCentre
		// Slots is how many requests it runs at once, or 0 where it is not known.
		Slots int
		// StepTime is the mean duration of a step of its group lately, or 0 where
		// it is not known.
		StepTime time.Duration
		// ClosedFor is how long its group is expected to take no requests, or 0
		// while it takes some.
		ClosedFor time.Duration
		// Distance is the time that a message takes one way.
		Distance time.Duration
		// Load is the last report, ReportAge old.
		Load      Load
		ReportAge time.Duration
		// OwnRunning counts the requests this process has there now, and
		// OwnReported those it had there when the report was made.
		OwnRunning  int
		OwnReported int
		// OwnWaiting counts the own requests that wait for their first token,
		// and OwnWaitingTokens sums their prompt tokens that were not expected
		// in its cache.
		OwnWaiting       int
		OwnWaitingTokens Tokens
		// OwnOldest is how long the oldest of the own requests has waited for
		// its first token, and 0 when none waits.
		OwnOldest time.Duration
		// CachedPrompt is how much of the prompt is expected in its cache.
		CachedPrompt Tokens
	}

	// PendingWork is what stands between a request and its first token.
	PendingWork struct {
		// Tokens counts prompt tokens to be read, those of the request
		// included.
		Tokens float64
		// MaybeCached counts those of Tokens that may be in the prefix cache, as
		// prompts with the same head gather on the backend server.
		MaybeCached float64
		// Waiting counts requests that wait for their first token.
		Waiting float64
		// Running counts requests that have it and run on.
		Running float64
		// Overflow counts those of both that are beyond the most that the
		// backend server was seen to run at once, this one included.
		Overflow float64
	}

	// RouteDecision is the choice of a router.
	RouteDecision struct {
		Backend BackendID
		Pool    PoolID
		// Expected is the expected time to the first token.
		Expected time.Duration
		// Unloaded is what it would be without other requests.
		Unloaded time.Duration
		// Idle is set when some candidate is known to have nothing to do.
		Idle bool
		// ClosedFor is how long the groups of all candidates are expected to take
		// no requests, or 0 while one takes some.
		ClosedFor time.Duration
		// EventGap is the expected pause between two events, or 0 where it is not
		// known.
		EventGap time.Duration
		// Work is what Expected rests on.
		Work PendingWork
	}

	// RouteOutcome tells how a routed request fared.
	RouteOutcome struct {
		// FirstToken is the time from the decision to the first token, or to
		// the failure.
		FirstToken time.Duration
		// Failed is set when no answer came and the backend server is to
		// blame.
		Failed bool
	}

	// Router chooses a backend server. It does no I/O and may be used by
	// several goroutines at once.
	Router interface {
		// Route chooses one of the candidates. It reports false when none may
		// take the request.
		Route(now time.Time, request RouteRequest, candidates []Candidate, random *rand.Rand) (RouteDecision, bool)
		// Observe tells how a decision turned out.
		Observe(now time.Time, decision RouteDecision, outcome RouteOutcome)
	}

	// AdmitRequest is what a limiter knows of a request.
	AdmitRequest struct {
		Request      RequestID
		Class        Class
		Organisation OrganisationID
		// Fingerprint is equal for a request and its resends.
		Fingerprint uint64
		Prompt      Tokens
		// Expected is the expected time to the first token if admitted now,
		// and 0 when it is not known.
		Expected time.Duration
		// Unloaded is what it would be without other requests.
		Unloaded time.Duration
		// Idle is set when a backend server is known to have nothing to do.
		Idle bool
		// ClosedFor is how long the groups of all backend servers are expected to
		// take no requests, or 0 while one takes some.
		ClosedFor time.Duration
		// EventGap is the expected pause between two events of a stream, and GapTarget
		// the one that makes it late. They are 0 where they are not known.
		EventGap       time.Duration
		EventGapTarget time.Duration
	}

	// AdmitDecision is the choice of a limiter.
	AdmitDecision struct {
		Admitted bool
		// RetryAfter is when a refused caller should come back.
		RetryAfter time.Duration
	}

	// Limiter admits requests. It does no I/O and may be used by several
	// goroutines at once.
	Limiter interface {
		// Admit decides on one request. An admitted one is ended by Release.
		Admit(now time.Time, request AdmitRequest) AdmitDecision
		// Release ends an admitted request after it took the given time.
		Release(now time.Time, request AdmitRequest, took time.Duration)
	}

	// RetryRequest is what a retrier knows of a failed try.
	RetryRequest struct {
		Request RequestID
		Class   Class
		// Attempts counts the tries made so far.
		Attempts int
		// Failure is the error of the last one.
		Failure *RequestError
		// Resumes is set when the last try delivered part of the answer and the
		// next one goes on behind it.
		Resumes bool
		// Unreachable is set when the backend server of the last try can't be
		// reached, so that nobody gives it further work.
		Unreachable bool
		// Deadline is when the caller stops waiting.
		Deadline time.Time
	}

	// RetryDecision is the choice of a retrier.
	RetryDecision struct {
		Retry bool
		// Wait is how long to wait before the next try.
		Wait time.Duration
	}

	// Retrier decides on further tries. It does no I/O and may be used by
	// several goroutines at once.
	Retrier interface {
		// CountFirstAttempt counts a first try, which earns part of a further one.
		CountFirstAttempt(now time.Time, class ClassID)
		// Retry decides on one more try.
		Retry(now time.Time, request RetryRequest, random *rand.Rand) RetryDecision
	}
)

// StateDumper is a policy that shows its state to operators.
type StateDumper interface {
	// State returns the state as a value for encoding/json.
	State() any
}

type (
	// LayerLoad is the load of each expert of one layer, as shares or counts.
	LayerLoad []float64

	// ExpertMap tells for each layer which experts each rank holds: index by
	// layer, then rank.
	ExpertMap struct {
		Version MapVersion   `json:"version"`
		Layers  [][][]Expert `json:"layers"`
	}

	// PlannerOptions is what a planner is made from.
	PlannerOptions struct {
		Ranks int
		// Slots is how many experts a rank can hold in one layer.
		Slots int
		// SkewPreference is from 0 (only the cost of rebalancing counts) to 1
		// (only step-time skew counts).
		SkewPreference float64
		// Period is the time between two plans.
		Period time.Duration
		// InstallDelay is how long one new expert holds up its rank, and with
		// it the group.
		InstallDelay time.Duration
		// MaxNewExperts bounds the new experts of a rank in all layers of one plan, and
		// LayerArrivals those in one layer. 0 stands for no bound.
		MaxNewExperts         int
		MaxNewExpertsPerLayer int
		// ExpertShare is the part of a step's time that experts take, from 0 to
		// 1. 0 stands for all of it.
		ExpertShare float64
		// CopySlowdown is by which part steps are longer while experts are
		// copied.
		CopySlowdown float64
	}

	// PlanRequest is what a planner knows of a group.
	PlanRequest struct {
		// Current is the map in force. Its version is 0 before the first plan.
		Current ExpertMap
		// Loads holds the observed load of each layer in the last period.
		Loads []LayerLoad
		// Speeds holds the observed speed of each rank, where 1 is usual. Nil
		// means that all are equal.
		Speeds []float64
	}

	// Planner places experts on ranks. It does no I/O and may keep what it saw
	// in earlier requests. It is used by one goroutine at a time.
	Planner interface {
		// Plan returns the next map, with a higher version, in which each rank
		// holds at most Slots experts of a layer, each at most once, and each
		// expert is held by a rank. It returns the present one when no move
		// pays, and never changes the request.
		Plan(now time.Time, request PlanRequest) ExpertMap
	}
)
