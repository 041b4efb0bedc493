package carawaybeam

import (
	"math/rand/v2"
	"time"
)

type (
	// RouteRequest is a request as a Router sees it.
	RouteRequest struct {
		Request      RequestID
		Class        ClassID
		Pool         PoolID
		Organisation OrganisationID
		DataCentre   DataCentre
		// Affinity is equal for requests whose prompts share a prefix. It is 0
		// if the prompt has no prefix worth caching.
		Affinity uint64
		// Prompt is the estimated length of the prompt.
		Prompt Tokens
		// Answer is the expected length of the whole answer, and Remaining that of the part
		// which the client does not have yet. Each is 0 if unknown.
		Answer    Tokens
		Remaining Tokens
		// Target is the longest time to the first token, or 0 if there is no
		// such target.
		Target time.Duration
		// EventGap is the longest time between two events of the answer, or 0 if
		// there is no such target.
		EventGap time.Duration
		// Tried lists the backend servers of earlier attempts of the request.
		Tried []BackendID
		// Engine describes the model engines of the pool. It is nil if it is
		// unknown or the pool has none.
		Engine *EngineProfile
	}

	// Candidate is a backend server as a Router sees it. The fields whose names
	// begin with Own refer to requests sent by this process.
	Candidate struct {
		Backend    BackendID
		DataCentre DataCentre
		// Group is the group with which it makes its steps, or empty if unknown.
		Group GroupID
		// Slots is how many requests it runs at once, or 0 if unknown.
		Slots int
		// StepTime is the recent mean duration of a step of its group, or 0 if
		// unknown.
		StepTime time.Duration
		// ClosedFor is how long its group is expected to refuse requests, or 0
		// while it accepts them.
		ClosedFor time.Duration
		// Cold is set while the backend server sustains only few requests per second. One
		// that may not get a request now is no candidate.
		Cold bool
		// Distance is the one-way network latency.
		Distance time.Duration
		// Load is the last reported load, and ReportAge its age.
		Load      Load
		ReportAge time.Duration
		// OwnRunning is the number of own requests in flight now, OwnReported
		// their number when the report was made.
		OwnRunning  int
		OwnReported int
		// OwnWaiting is the number of own requests that wait for their first
		// token. OwnWaitingTokens is the sum of their prompt tokens that were
		// not expected in the prefix cache of the backend server.
		OwnWaiting       int
		OwnWaitingTokens Tokens
		// OwnOldest is the longest time that one of OwnWaiting has waited, or 0
		// if there is none.
		OwnOldest time.Duration
		// OwnRemaining is how much own requests in flight are expected to generate yet.
		OwnRemaining Tokens
		// MemoryUsed and MemoryTotal are the reported use and size of its KV cache.
		// MemoryTotal is 0 if unknown. OwnMemory is the memory that own requests sent
		// since the report are expected to take.
		MemoryUsed  Tokens
		MemoryTotal Tokens
		OwnMemory   Tokens
		// CachedPrompt is how much of the prompt is expected in the prefix
		// cache of the backend server.
		CachedPrompt Tokens
	}

	// PendingWork is the work that a backend server has when a request arrives,
	// which determines the time to the first token of that request.
	PendingWork struct {
		// Tokens is the number of prompt tokens to be processed, including
		// those of the request.
		Tokens float64
		// MaybeCached is how many of Tokens may be in the prefix cache, because
		// requests with the same prompt prefix are routed to the same backend
		// server.
		MaybeCached float64
		// Waiting is the number of requests that wait for their first token.
		Waiting float64
		// Running is the number of requests that have received their first
		// token and are still running.
		Running float64
		// Overflow is by how many requests Waiting, Running and this request
		// together exceed the most that the backend server was seen to run at
		// once.
		Overflow float64
	}

	// RouteDecision is the decision of a Router.
	RouteDecision struct {
		Backend BackendID
		Pool    PoolID
		// Expected is the expected time to the first token.
		Expected time.Duration
		// Unloaded is the value that Expected would have without other
		// requests.
		Unloaded time.Duration
		// Idle is set when at least one candidate is known to be idle.
		Idle bool
		// ClosedFor is how long the groups of all candidates are expected to
		// refuse requests, or 0 while one of them accepts requests.
		ClosedFor time.Duration
		// EventGap is the expected time between two events of the answer, or 0
		// if unknown.
		EventGap time.Duration
		// Crowded is set if another request would bring the event gap above its
		// target, or keep it there, and fewer running requests would not.
		Crowded bool
		// Work is the work from which Expected was estimated.
		Work PendingWork
		// Oversized is set together with the result false if no candidate could hold the
		// request even without other requests.
		Oversized bool
	}

	// RouteOutcome is the result of a request that was sent to the backend
	// server chosen by a Router.
	RouteOutcome struct {
		// FirstToken is the time from the decision to the first token or to
		// the failure.
		FirstToken time.Duration
		// Failed is set when no answer arrived because of a fault of the
		// backend server.
		Failed bool
	}

	// Router chooses the backend server for a request. Implementations do no
	// I/O and are safe for concurrent use.
	Router interface {
		// Route chooses one of the candidates. It returns false if none can
		// take the request.
		Route(now time.Time, request RouteRequest, candidates []Candidate, random *rand.Rand) (RouteDecision, bool)
		// Observe reports the outcome of an earlier decision to the router.
		Observe(now time.Time, decision RouteDecision, outcome RouteOutcome)
	}

	// AdmitRequest is a request as a Limiter sees it.
	AdmitRequest struct {
		Request      RequestID
		Class        Class
		Organisation OrganisationID
		// Fingerprint is equal for a request and its retries by the caller.
		Fingerprint uint64
		Prompt      Tokens
		// Expected is the expected time to the first token if the request is
		// admitted now, or 0 if unknown.
		Expected time.Duration
		// Unloaded is the value that Expected would have without other
		// requests.
		Unloaded time.Duration
		// Idle is set when at least one backend server is known to be idle.
		Idle bool
		// ClosedFor is how long the groups of all backend servers are expected
		// to refuse requests, or 0 while one of them accepts requests.
		ClosedFor time.Duration
		// EventGap is the expected time between two events of a stream. A
		// stream with longer gaps than EventGapTarget is late. Each is 0 if
		// unknown.
		EventGap       time.Duration
		EventGapTarget time.Duration
		// Crowded is that of the RouteDecision.
		Crowded bool
		// Priority is lower for more urgent requests.
		Priority   int
		Contention Contention
	}

	// AdmitDecision is the decision of a Limiter.
	AdmitDecision struct {
		Admitted bool
		// RetryAfter is how long the caller of a refused request should wait
		// before it retries, or 0 if it will find no room in time.
		RetryAfter time.Duration
		// Refusal explains why a request was refused.
		Refusal Refusal
	}

	// Limiter performs admission control. Implementations do no I/O and are safe
	// for concurrent use.
	Limiter interface {
		// Admit decides whether to admit a request. For each admitted request
		// Release must be called once.
		Admit(now time.Time, request AdmitRequest) AdmitDecision
		// Release reports the end of an admitted request and how long it took.
		Release(now time.Time, request AdmitRequest, took time.Duration)
	}

	// RetryRequest is a failed attempt as a Retrier sees it.
	RetryRequest struct {
		Request RequestID
		Class   Class
		// Attempts is the number of attempts made so far.
		Attempts int
		// Failure is the error of the last attempt.
		Failure *RequestError
		// Resumes is set when the last attempt delivered part of the answer and
		// the next one would continue after that part.
		Resumes bool
		// Unreachable is set when the backend server of the last attempt cannot
		// be reached, so that no process sends it further work.
		Unreachable bool
		// Deadline is when the caller stops waiting.
		Deadline time.Time
	}

	// RetryDecision is the decision of a Retrier.
	RetryDecision struct {
		Retry bool
		// Wait is the backoff before the next attempt.
		Wait time.Duration
	}

	// Retrier decides on retries. Implementations do no I/O and are safe for
	// concurrent use.
	Retrier interface {
		// CountFirstAttempt counts the first attempt of a request, which adds
		// a fraction of a retry to the retry budget of the class.
		CountFirstAttempt(now time.Time, class ClassID)
		// Retry decides whether to make another attempt.
		Retry(now time.Time, request RetryRequest, random *rand.Rand) RetryDecision
	}
)

// StateDumper is implemented by policies whose state is included in the state
// dump for operators.
type StateDumper interface {
	// State returns the state as a value that encoding/json can encode.
	State() any
}

type (
	// LayerLoad is the load of each expert of one layer, as shares or counts,
	// indexed by expert.
	LayerLoad []float64

	// ExpertMap is the placement of experts on the ranks of a group. Layers
	// lists the experts that a rank holds, indexed by layer, then rank.
	ExpertMap struct {
		Version MapVersion   `json:"version"`
		Layers  [][][]Expert `json:"layers"`
	}

	// PlannerOptions configures a Planner.
	PlannerOptions struct {
		Ranks int
		// Slots is how many experts a rank can hold in one layer.
		Slots int
		// SkewPreference weights the two costs against each other, from 0 (only
		// the cost of rebalancing counts) to 1 (only step-time skew counts).
		SkewPreference float64
		// Period is the time between two plans.
		Period time.Duration
		// InstallDelay is how long the installation of one new expert delays
		// its rank, and with it the group.
		InstallDelay time.Duration
		// MaxNewExperts is the most new experts of a rank in all layers of one
		// plan together, MaxNewExpertsPerLayer the most in one layer. 0 means
		// no limit.
		MaxNewExperts         int
		MaxNewExpertsPerLayer int
		// ExpertShare is the fraction of a step's duration that is spent in
		// experts, from 0 to 1. 0 stands for 1.
		ExpertShare float64
		// CopySlowdown is the fraction by which steps take longer while experts
		// are copied.
		CopySlowdown float64
	}

	// PlanRequest is the state of a group from which a Planner makes a plan.
	PlanRequest struct {
		// Current is the map in use. Its version is 0 before the first plan.
		Current ExpertMap
		// Loads holds the observed load in the last period, by layer.
		Loads []LayerLoad
		// Speeds holds the observed speed of each rank, where 1 is normal. If
		// nil, all ranks are equally fast.
		Speeds []float64
	}

	// Planner places experts on ranks. Implementations do no I/O, may keep state
	// from earlier requests and are not safe for concurrent use.
	Planner interface {
		// Plan returns the next map, with a higher version than the current
		// one. In it each rank holds at most Slots experts of a layer, each at
		// most once, and each expert is held by at least one rank. If no move
		// is worth its cost, Plan returns the current map. It never modifies
		// the request.
		Plan(now time.Time, request PlanRequest) ExpertMap
	}
)
