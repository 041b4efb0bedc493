package carawaybeam

import "time"

// RouteKind tells what may be repeated of the requests on a route.
type RouteKind string

const (
	// RouteSafe marks requests that may run any number of times.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe marks requests that may run at most once.
	RouteUnsafe RouteKind = "unsafe"
	// RouteStream marks requests that are answered by a series of events. They
	// may be repeated only where the route is resumable.
	RouteStream RouteKind = "stream"
)

type (
	// RouteID names a route.
	RouteID string

	// APIKey is the secret by which an organisation is recognised.
	APIKey string

	// EventID is the position of an event in a stream, from 1.
	EventID uint64

	// PoolShare is the part of a route's requests that goes to one pool.
	PoolShare struct {
		Pool PoolID
		// Weight is relative to the weights of the route's other pools.
		Weight int
	}

	// Route tells how requests for one host and path prefix are served.
	Route struct {
		ID   RouteID
		Host string
		// Prefix begins the paths of the route. It begins and ends with a slash.
		Prefix string
		Kind   RouteKind
		// Shares lists the pools that serve the route.
		Shares []PoolShare
		// MaxAttempts bounds the backend servers that one request is sent to.
		MaxAttempts int
		// Timeout is the longest time for which a caller is kept waiting.
		Timeout time.Duration
		// Target bounds the time to the answer, or to the first event of a
		// stream.
		Target time.Duration
		// EventGap bounds the pause between two events of a stream.
		EventGap time.Duration
		// Priority is lower for work that must not wait. 0 comes first.
		Priority int
		// Public routes need no API key.
		Public bool
		// Resumable streams can go on behind an event at another backend server.
		Resumable bool
	}

	// EngineProfile describes how fast the model engines of a pool work.
	EngineProfile struct {
		// Slots is how many requests one engine runs at once.
		Slots int
		// Memory is how many tokens one engine holds at once.
		Memory Tokens
		// StepTime is the duration of a step that serves no request, and
		// SequenceTime what each running request adds to it.
		StepTime     time.Duration
		SequenceTime time.Duration
		// StepsPerPass is how many steps a pass with running requests takes.
		StepsPerPass int
		// PromptRate is how many prompt tokens are read in a second.
		PromptRate float64
		// MeanAnswer is the mean number of tokens of an answer.
		MeanAnswer Tokens
		// Experts describes the placement of experts, or is nil.
		Experts *ExpertLayout
	}

	// ExpertLayout bounds the expert maps of a group.
	ExpertLayout struct {
		// Layers counts the layers that are placed on their own.
		Layers int
		// Experts counts the experts of a layer.
		Experts int
		// Slots is how many experts of a layer a rank holds at most.
		Slots int
		// NewExperts is how many experts of a layer a rank can copy beside those
		// in use.
		NewExperts int
		// Share is the part of a step's work that the experts do, from 0 to 1.
		Share float64
		// CopyTime is how long a rank copies one expert.
		CopyTime time.Duration
	}

	// Pool is a set of interchangeable backend servers.
	Pool struct {
		ID PoolID
		// MaxConnections is how many connections one backend server takes from
		// all callers together.
		MaxConnections int
		// Engine is set for pools of model engines.
		Engine *EngineProfile
	}

	// KeyHolder is an organisation with its API keys.
	KeyHolder struct {
		ID   OrganisationID
		Keys []APIKey
		// Priority replaces that of the route where it is set.
		Priority *int
	}

	// ClientLimits bounds what clients send and how long they stay idle.
	ClientLimits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Routing is one version of the routing configuration. It is immutable.
	Routing struct {
		Version    ConfigVersion
		Routes     []Route
		Pools      []Pool
		KeyHolders []KeyHolder
		Limits     ClientLimits
	}

	// BackendIncarnation tells one life of a backend server from its other ones.
	BackendIncarnation struct {
		ID BackendID
		// Started is the start in Unix milliseconds, or 0 where it is not told.
		Started int64
	}

	// Instance is one backend server as it announces itself.
	Instance struct {
		BackendIncarnation
		Pool       PoolID
		Address    Address
		DataCentre DataCentre
		// Slots is how many requests it runs at once.
		Slots int
		// Leaving is set once it takes no further work.
		Leaving bool
	}
)
