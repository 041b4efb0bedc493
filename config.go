package carawaybeam

import "time"

// WorkKind tells what kind of backend server does the work of a class.
type WorkKind string

const (
	// WorkModel is work for a model engine.
	WorkModel WorkKind = "model"
	// WorkService is work for a plain service.
	WorkService WorkKind = "service"
)

type (
	// Targets is all that an operator asks of a class.
	Targets struct {
		// FirstToken bounds the time to the first token. It is 0 for a plain
		// service.
		FirstToken time.Duration
		// BetweenTokens bounds the time between two tokens. It is 0 for a
		// plain service.
		BetweenTokens time.Duration
		// Completed bounds the time to the whole answer.
		Completed time.Duration
		// Completion is the share of requests to be answered, from 0 to 1.
		Completion float64
	}

	// Class is one class of work.
	Class struct {
		ID   ClassID
		Kind WorkKind
		Pool PoolID
		// Idempotent tells that running a request twice does no harm.
		Idempotent bool
		Targets    Targets
	}

	// Organisation is one organisation that may send requests.
	Organisation struct {
		ID OrganisationID
		// TokenHash is the hexadecimal SHA-256 of the bearer token.
		TokenHash string
		// Classes lists what the organisation may use. None means all.
		Classes []ClassID
	}
)
