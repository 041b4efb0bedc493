package expected

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/estimator"
)

type (
	// State is the state dump of a Router.
	State struct {
		Pools []PoolState `json:"pools"`
		// Slow lists the backend servers that receive only probes.
		Slow []SlowState `json:"slow"`
	}

	// PoolState is the latency model of a pool.
	PoolState struct {
		Pool  carawaybeam.PoolID `json:"pool"`
		Model estimator.Weights  `json:"model"`
	}

	// SlowState is a slow backend server.
	SlowState struct {
		Backend  carawaybeam.BackendID `json:"backend"`
		Pool     carawaybeam.PoolID    `json:"pool"`
		Slowdown float64               `json:"factor"`
	}
)

var _ carawaybeam.StateDumper = (*Router)(nil)

// State returns the state dump as a State.
func (r *Router) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	state := State{Pools: []PoolState{}, Slow: []SlowState{}}
	for id, model := range r.pools {
		state.Pools = append(state.Pools, PoolState{Pool: id, Model: model.Weights()})
		for backend, slowdown := range model.Slowdowns(now) {
			if slowdown >= slowFactor {
				state.Slow = append(state.Slow, SlowState{Backend: backend, Pool: id, Slowdown: slowdown})
			}
		}
	}
	slices.SortFunc(state.Pools, func(a, b PoolState) int { return cmp.Compare(a.Pool, b.Pool) })
	slices.SortFunc(state.Slow, func(a, b SlowState) int { return cmp.Compare(a.Backend, b.Backend) })
	return state
}
