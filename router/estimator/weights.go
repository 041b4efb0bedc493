package estimator

import (
	"iter"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// Weights are the coefficients of a model, in seconds.
type Weights struct {
	Base         float64 `json:"base"`
	PerKiloToken float64 `json:"perKiloToken"`
	// MaybeCachedPerKiloToken is taken off for tokens that may be cached where
	// prompts with the same head gather.
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

// Slowdowns returns the factors of all backend servers that were observed.
func (e *Estimator) Slowdowns(now time.Time) iter.Seq2[carawaybeam.BackendID, float64] {
	return func(yield func(carawaybeam.BackendID, float64) bool) {
		for backend := range e.factors {
			if !yield(backend, e.Slowdown(now, backend)) {
				return
			}
		}
	}
}
