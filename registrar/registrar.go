// Package registrar imports all plug-ins, so that a program that imports it can look
// them up by name.
package registrar

import (
	// Each package registers its plug-ins in an init function.
	_ "github.com/carawaybeam/carawaybeam/caller"
	_ "github.com/carawaybeam/carawaybeam/fetcher"
	_ "github.com/carawaybeam/carawaybeam/limiter/deadline"
	_ "github.com/carawaybeam/carawaybeam/limiter/fair"
	_ "github.com/carawaybeam/carawaybeam/limiter/precedence"
	_ "github.com/carawaybeam/carawaybeam/limiter/unlimited"
	_ "github.com/carawaybeam/carawaybeam/lister"
	_ "github.com/carawaybeam/carawaybeam/planner/drift"
	_ "github.com/carawaybeam/carawaybeam/planner/greedy"
	_ "github.com/carawaybeam/carawaybeam/planner/reactive"
	_ "github.com/carawaybeam/carawaybeam/planner/static"
	_ "github.com/carawaybeam/carawaybeam/platform"
	_ "github.com/carawaybeam/carawaybeam/rankcaller"
	_ "github.com/carawaybeam/carawaybeam/retrier/budget"
	_ "github.com/carawaybeam/carawaybeam/retrier/proof"
	_ "github.com/carawaybeam/carawaybeam/router/balanced"
	_ "github.com/carawaybeam/carawaybeam/router/expected"
	_ "github.com/carawaybeam/carawaybeam/router/leastinflight"
	_ "github.com/carawaybeam/carawaybeam/router/occupancy"
	_ "github.com/carawaybeam/carawaybeam/router/roundrobin"
	_ "github.com/carawaybeam/carawaybeam/storer"
)
