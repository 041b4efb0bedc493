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
		// Slow lists the backend servers that are only probed.
		Slow []SlowState `json:"slow"`
	}

	// PoolState is what was learnt of a pool.
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

// State returns the state dump.
func (r *Router) State() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	state := State{Pools: []PoolState{}, Slow: []SlowState{}}
	for id, model := range r.pools {
		state.Pools = append(state.Pools, PoolState{Pool: id, Model: model.Weights()})
		for backend, factor := range model.Slowdowns(now) {
			if factor >= slowFactor {
				state.Slow = append(state.Slow, SlowState{Backend: backend, Pool: id, Slowdown: factor})
			}
		}
	}
	slices.SortFunc(state.Pools, func(a, b PoolState) int { return cmp.Compare(a.Pool, b.Pool) })
	slices.SortFunc(state.Slow, func(a, b SlowState) int { return cmp.Compare(a.Backend, b.Backend) })
	return state
}
