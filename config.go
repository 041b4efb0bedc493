package carawaybeam

import "time"

// WorkKind is the kind of backend server that serves a class of work.
type WorkKind string

const (
	// WorkModel is work served by model engines.
	WorkModel WorkKind = "model"
	// WorkService is work served by plain services, without tokens.
	WorkService WorkKind = "service"
)

type (
	// Targets holds the service-level targets that an operator sets for a class.
	Targets struct {
		// FirstToken is the longest time to the first token. It is 0 for
		// WorkService.
		FirstToken time.Duration
		// BetweenTokens is the longest time between two tokens. It is 0 for
		// WorkService.
		BetweenTokens time.Duration
		// Completed is the longest time to the whole answer.
		Completed time.Duration
		// Completion is the share of requests that must be answered, from 0
		// to 1.
		Completion float64
	}

	// Class is the configuration of one class of work.
	Class struct {
		ID   ClassID
		Kind WorkKind
		Pool PoolID
		// Idempotent is set when a request may safely run more than once.
		Idempotent bool
		Targets    Targets
		// Homes lists the regions in which the requests may be served. If it is empty, they may
		// be served anywhere.
		Homes []Region
	}

	// Organisation is one organisation that may send requests.
	Organisation struct {
		ID OrganisationID
		// TokenHash is the hexadecimal SHA-256 of the bearer token.
		TokenHash string
		// Classes lists the classes that the organisation may use. If empty,
		// it may use all.
		Classes []ClassID
		// Homes lists the regions in which the organisation's requests may be served. If it is
		// empty, they may be served anywhere.
		Homes []Region
	}
)
