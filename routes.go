package carawaybeam

import "time"

// RouteKind determines whether the requests of a route may be retried.
type RouteKind string

const (
	// RouteSafe is for requests that may run any number of times.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe is for requests that may run at most once.
	RouteUnsafe RouteKind = "unsafe"
	// RouteStream is for requests that are answered by a stream of events. They
	// may run again only if the route is resumable.
	RouteStream RouteKind = "stream"
)

type (
	// RouteID names a route.
	RouteID string

	// APIKey is the secret that authenticates an organisation.
	APIKey string

	// EventID is the sequence number of an event in a stream, from 1.
	EventID uint64

	// PoolShare is the share of a route's requests that is sent to one pool.
	PoolShare struct {
		Pool PoolID
		// Weight is relative to the weights of the other pools of the route.
		Weight int
	}

	// Route configures how requests for one host and path prefix are served.
	Route struct {
		ID   RouteID
		Host string
		// Prefix is the path prefix. It begins and ends with a slash.
		Prefix string
		Kind   RouteKind
		// Shares lists the pools that serve the route.
		Shares []PoolShare
		// MaxAttempts is the maximum number of backend servers that one request is
		// sent to.
		MaxAttempts int
		// Timeout is the longest time that a caller may have to wait.
		Timeout time.Duration
		// Target is the longest time to the answer, or to the first event of a
		// stream, that meets the target.
		Target time.Duration
		// EventGap is the longest time between two events of a stream that
		// meets the target.
		EventGap time.Duration
		// Priority is lower for more urgent requests. 0 is the most urgent.
		Priority int
		// Public is set if requests need no API key.
		Public bool
		// Resumable is set if another backend server can continue a stream
		// after a given event.
		Resumable bool
		// Homes lists the regions in which the requests may be served. If it is empty and
		// HomesFault is too, they may be served anywhere.
		Homes []Region
		// HomesFault says which part of the homes is unreadable, or is empty. If it is set, the
		// requests may be served in Homes only, even if that is empty.
		HomesFault string
	}

	// EngineProfile describes the capacity and speed of the model engines of a
	// pool.
	EngineProfile struct {
		// Slots is how many requests one engine runs at once.
		Slots int
		// Memory is how many tokens the KV cache of one engine can hold.
		Memory Tokens
		// StepTime is the duration of a step without requests. SequenceTime is
		// how much each running request adds to it.
		StepTime     time.Duration
		SequenceTime time.Duration
		// StepsPerPass is the number of engine steps in one pass of a group
		// that has running requests.
		StepsPerPass int
		// PromptRate is the number of prompt tokens processed per second.
		PromptRate float64
		// MeanAnswer is the mean length of an answer.
		MeanAnswer Tokens
		// Experts limits the placement of experts. It is nil if the engines
		// have no expert map.
		Experts *ExpertLayout
	}

	// ExpertLayout holds the dimensions and limits of the expert maps of a
	// group.
	ExpertLayout struct {
		// Layers is the number of layers, or of sets of layers that share a
		// placement.
		Layers int
		// Experts is the number of experts in a layer.
		Experts int
		// Slots is the maximum number of experts of a layer that a rank can hold.
		Slots int
		// NewExperts is the most experts of a layer that a rank can copy while
		// it keeps those in use.
		NewExperts int
		// Share is the fraction of a step's work that is done by experts, from
		// 0 to 1.
		Share float64
		// CopyTime is how long a rank needs to copy one expert.
		CopyTime time.Duration
	}

	// Pool is a set of interchangeable backend servers.
	Pool struct {
		ID PoolID
		// MaxConnections is the most connections that one backend server
		// accepts from all its clients together.
		MaxConnections int
		// Engine is set for pools of model engines.
		Engine *EngineProfile
		// ColdRate is how many requests per second a cold backend server of the pool
		// sustains from all processes together, or 0 if the backend servers are never
		// cold. ColdStart is how long one stays cold after its start.
		ColdRate  RequestRate
		ColdStart time.Duration
		// ColdFault says which of the two is invalid in the configuration and was
		// replaced by a cautious value, or is empty.
		ColdFault string
	}

	// ColdReport is what the announcement of a backend server says of how long it stays
	// cold.
	ColdReport struct {
		// Left is how long it stays cold from the announcement on. It counts only if
		// Known is set, because a missing value does not mean that the backend server
		// is warm.
		Left  time.Duration
		Known bool
		// Fault says why the value is invalid or was bounded, or is empty.
		Fault string
	}

	// KeyHolder is an organisation with its API keys.
	KeyHolder struct {
		ID   OrganisationID
		Keys []APIKey
		// Priority overrides the priority of the route if it is not nil.
		Priority *int
		// Homes lists the regions in which the requests may be served. If it is empty and
		// HomesFault is too, they may be served anywhere.
		Homes []Region
		// HomesFault says which part of the homes is unreadable, or is empty. If it is set, the
		// requests may be served in Homes only, even if that is empty.
		HomesFault string
	}

	// ClientLimits holds the size limits and timeouts for client connections.
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

	// BackendIncarnation identifies one run of a backend server, from its start
	// to its end.
	BackendIncarnation struct {
		ID BackendID
		// Started is the start time in Unix milliseconds, or 0 if unknown.
		Started int64
	}

	// Instance is a backend server as announced in the store.
	Instance struct {
		BackendIncarnation
		Pool       PoolID
		Address    Address
		DataCentre DataCentre
		// Region is that of the data centre, or empty if it is unknown. The announcement does not
		// say it, but the settings of the process.
		Region Region
		// Slots is how many requests it runs at once.
		Slots int
		// Leaving is set once it accepts no further work.
		Leaving bool
	}
)
