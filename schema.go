package carawaybeam

// Fields of a routing configuration, independent of the platform's names for them.
const (
	FieldVersion       RoutingField = "version"
	FieldRoutes        RoutingField = "routes"
	FieldPools         RoutingField = "pools"
	FieldOrganisations RoutingField = "organisations"
	FieldLimits        RoutingField = "limits"

	FieldRouteName     RoutingField = "route.name"
	FieldRouteHost     RoutingField = "route.host"
	FieldRoutePrefix   RoutingField = "route.prefix"
	FieldRouteKind     RoutingField = "route.kind"
	FieldRouteTimeout  RoutingField = "route.timeout"
	FieldRouteTarget   RoutingField = "route.target"
	FieldRouteGap      RoutingField = "route.gap"
	FieldRoutePriority RoutingField = "route.priority"
	FieldRouteAttempts RoutingField = "route.attempts"
	FieldRouteHomes    RoutingField = "route.homes"
	// FieldRoutePool is the only pool of a route. FieldRouteShares lists the pools of a route that
	// has several.
	FieldRoutePool   RoutingField = "route.pool"
	FieldRouteShares RoutingField = "route.shares"
	FieldSharePool   RoutingField = "share.pool"
	FieldShareWeight RoutingField = "share.weight"

	FieldPoolName        RoutingField = "pool.name"
	FieldPoolConnections RoutingField = "pool.connections"

	FieldOrganisationName     RoutingField = "organisation.name"
	FieldOrganisationKeys     RoutingField = "organisation.keys"
	FieldOrganisationPriority RoutingField = "organisation.priority"
	FieldOrganisationHomes    RoutingField = "organisation.homes"

	FieldHeaderBytes   RoutingField = "limits.headerBytes"
	FieldBodyBytes     RoutingField = "limits.bodyBytes"
	FieldHeaderTimeout RoutingField = "limits.headerTimeout"
	FieldIdleTimeout   RoutingField = "limits.idleTimeout"
)

// Kinds of values in a JSON document. Signed and unsigned integers have up to 64 bits.
const (
	SchemaObject   SchemaKind = "object"
	SchemaArray    SchemaKind = "array"
	SchemaString   SchemaKind = "string"
	SchemaBool     SchemaKind = "true or false"
	SchemaNumber   SchemaKind = "number"
	SchemaInteger  SchemaKind = "integer"
	SchemaUnsigned SchemaKind = "integer of 0 or more"
)

type (
	// RoutingField identifies a field of a routing configuration.
	RoutingField string

	// SchemaKind is the kind of a value in a JSON document.
	SchemaKind string

	// SchemaNode describes a value in a JSON document.
	SchemaNode struct {
		Kind SchemaKind
		// Fields describes the fields of an object by their names.
		Fields map[string]*SchemaNode
		// Element describes the elements of an array.
		Element *SchemaNode
	}

	// RoutingSchema describes the JSON document in which a platform writes routing configurations.
	RoutingSchema struct {
		Document *SchemaNode
		// Names holds the platform's name of each field within its object.
		Names map[RoutingField]string
	}

	// RoutingDescriber is implemented by dialects that describe their routing configurations, so that
	// these can be checked with the position of each fault.
	RoutingDescriber interface {
		RoutingSchema() RoutingSchema
	}
)
