package carawaybeam

import "time"

// The units of expected work. Work in different units is not compared.
const (
	// WorkUnknown means that each request counts as much as others of its route.
	WorkUnknown WorkUnit = iota
	// WorkBytes is the length of the body.
	WorkBytes
	// WorkPrompt is the tokens of the prompt, if nothing is known of the response.
	WorkPrompt
	// WorkTokens is the tokens of the prompt and of the expected response.
	WorkTokens
)

// The reasons for which a Limiter refuses a request.
const (
	// RefusedClosed means that the groups of all backend servers refuse requests.
	RefusedClosed RefusalReason = "closed"
	// RefusedTooLate means that the answer is forecast to end after the deadline.
	RefusedTooLate RefusalReason = "tooLate"
	// RefusedCrowded means that another stream would make the streams of others late.
	RefusedCrowded RefusalReason = "crowded"
	// RefusedWait means that the answer is forecast to begin later than its target.
	RefusedWait RefusalReason = "wait"
	// RefusedPriority means that the free capacity is kept for more urgent requests.
	RefusedPriority RefusalReason = "priority"
	// RefusedReturns means that the free capacity is kept for refused requests that come
	// back.
	RefusedReturns RefusalReason = "returns"
	// RefusedShare means that the organisation has more than its share of the capacity.
	RefusedShare RefusalReason = "share"
)

type (
	// Contention is what a Limiter needs to weigh requests of a pool against each other. It
	// is empty in pools with one priority, unless MustComplete is set.
	Contention struct {
		// Several is set if requests of different priorities share the pool.
		Several bool
		// MustComplete is set if a request is to be refused that cannot end before its
		// deadline.
		MustComplete bool
		// Probe is set for a request that may be sent to an idle group whose forecast is
		// old, to measure it.
		Probe bool
		// Failed is set when the request is released if it was not answered.
		Failed bool
		// TimeLeft is the time until the deadline of the request, or 0 if unknown.
		TimeLeft time.Duration
		// Events is the expected number of events of the answer that are still to come, or
		// 0 if unknown.
		Events float64
		// Gap is the time between events on the chosen backend server that has lasted for some
		// passes, or 0 if unknown.
		Gap time.Duration
		// Route is the route of the request. Work is its expected work in Unit, or 0 if
		// unknown. Response times are compared between requests of a route and of similar
		// work only.
		Route RouteID
		Unit  WorkUnit
		Work  float64
		// Engine describes the model engines of the pool, or is nil.
		Engine *EngineProfile
		// Chosen is the backend server that the router chose among Candidates, which are
		// only read during the call.
		Chosen     BackendID
		Candidates []Candidate
	}

	// WorkUnit is the unit in which the work of a request is estimated.
	WorkUnit uint8

	// RefusalReason is why a Limiter refused a request.
	RefusalReason string

	// Refusal explains a decision of a Limiter to refuse a request. The zero value has no
	// explanation.
	Refusal struct {
		Reason RefusalReason
		// Forecast is the time in which the answer was forecast to end, or 0 if unknown.
		Forecast time.Duration
		// Free is the estimated number of requests that the pool can take beside those that
		// run, and Kept how many of these are kept for other requests.
		Free, Kept float64
		// Share is the admitted work of the organisation as a fraction of its fair share, or
		// 0 while no organisation is limited to it.
		Share float64
	}
)
