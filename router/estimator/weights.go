package estimator

import (
	"iter"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// Weights holds the coefficients of a model, in seconds.
type Weights struct {
	Base         float64 `json:"base"`
	PerKiloToken float64 `json:"perKiloToken"`
	// MaybeCachedPerKiloToken is subtracted for tokens that may be cached,
	// because prompts with the same prefix are routed to the same backend
	// server.
	MaybeCachedPerKiloToken float64 `json:"gatheredPerKiloToken"`
	PerWaiting              float64 `json:"perWaiting"`
	PerRunning              float64 `json:"perRunning"`
	PerOverflow             float64 `json:"perOverflow"`
}

// Weights returns the coefficients of the model.
func (e *Estimator) Weights() Weights {
	return Weights{
		Base:                    e.weights[0],
		PerKiloToken:            e.weights[1],
		MaybeCachedPerKiloToken: e.weights[2],
		PerWaiting:              e.weights[3] / waitingUnit,
		PerRunning:              e.weights[4] / runningUnit,
		PerOverflow:             e.weights[5] / overflowUnit,
	}
}

// Slowdowns returns the slowdown of each backend server that was observed.
func (e *Estimator) Slowdowns(now time.Time) iter.Seq2[carawaybeam.BackendID, float64] {
	return func(yield func(carawaybeam.BackendID, float64) bool) {
		for backend := range e.slowdowns {
			if !yield(backend, e.Slowdown(now, backend)) {
				return
			}
		}
	}
}
