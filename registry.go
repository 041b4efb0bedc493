package carawaybeam

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// Registry maps names to plug-ins of one kind. The zero value is empty and ready
// to use. It is safe for concurrent use.
type Registry[T any] struct {
	mu      sync.RWMutex
	plugins map[string]T
}

var (
	// Backends holds the client protocols for backend servers.
	Backends Registry[func(BackendOptions) (Backend, error)]

	// Stores holds the client protocols for the platform's object store.
	Stores Registry[func(StoreOptions) (Store, error)]

	// Dialects holds the message formats of platforms.
	Dialects Registry[func() Dialect]

	// Listers holds the client protocols for the platform's list of VMs.
	Listers Registry[func(ListerOptions) (Lister, error)]

	// WeightStores holds the client protocols for the weight store.
	WeightStores Registry[func(WeightStoreOptions) (WeightStore, error)]

	// RankClients holds the client protocols for groups whose ranks take
	// grants.
	RankClients Registry[func(RankClientOptions) (RankClient, error)]

	// RankEngines holds the client protocols for ranks that take orders.
	RankEngines Registry[func(RankEngineOptions) (RankEngine, error)]

	// Routers holds the policies that choose a backend server.
	Routers Registry[func() Router]

	// Limiters holds the policies that admit requests.
	Limiters Registry[func() Limiter]

	// Retriers holds the policies that decide on retries.
	Retriers Registry[func() Retrier]

	// Planners holds the policies that place experts on ranks.
	Planners Registry[func(PlannerOptions) Planner]
)

// UnknownPluginError reports a lookup of a name that is not registered.
type UnknownPluginError struct {
	// Name is the name that was looked up.
	Name string
	// Known lists the registered names, sorted.
	Known []string
}

func (e *UnknownPluginError) Error() string {
	return fmt.Sprintf("no plug-in is registered as %q, known are %q", e.Name, e.Known)
}

// Register adds a plug-in under a name. It panics if the name is already
// registered, since that is a programming error: two packages use one name.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.plugins[name]; taken {
		panic("carawaybeam: plug-in " + name + " is registered twice")
	}
	if r.plugins == nil {
		r.plugins = make(map[string]T)
	}
	r.plugins[name] = plugin
}

// Lookup returns the plug-in registered under the name. If there is none, the
// error is an *UnknownPluginError.
func (r *Registry[T]) Lookup(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.plugins[name]
	if !ok {
		return plugin, &UnknownPluginError{Name: name, Known: slices.Sorted(maps.Keys(r.plugins))}
	}
	return plugin, nil
}
