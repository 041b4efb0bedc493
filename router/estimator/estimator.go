// Package estimator learns how long the work ahead of a request takes, from the
// times to first tokens that a process observes.
//
// One linear model serves all backend servers of a pool; the departure of a
// backend server from it is a factor of its own. The model is adapted by
// normalised least mean squares (Widrow and Hoff), with coefficients held above
// zero.
package estimator

import (
	"maps"
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// modelGain is the share of an error by which the model is corrected.
	modelGain = 0.05

	// factorGain is the same for the factor of a backend server, in the
	// logarithm.
	factorGain = 0.2

	// recoveryGain is the same for a slow backend server that is fast again,
	// which few requests tell of.
	recoveryGain = 0.5

	// recoveryFactor is the factor above which that applies.
	recoveryFactor = 4

	// factorMemory is the time constant with which a moderate factor is
	// forgotten while no request tells of it. A slow backend server stays slow
	// until a probe finds otherwise.
	factorMemory = 10 * time.Second

	// maxFactor bounds the factor of a backend server from above, and its
	// inverse from below.
	maxFactor = 64

	// failureFactor is the least factor of a backend server that has just
	// failed.
	failureFactor = 8

	// minFactorTime is the least time that is told apart from others.
	minFactorTime = 200 * time.Millisecond

	// outlier is how many times the expected time still teaches the model.
	outlier = 4

	// tokenUnit and requestUnit bring the coefficients to a common scale.
	tokenUnit   = 1000
	waitingUnit = 4
	runningUnit = 16

	overflowUnit = 1

	features = 6
)

type (
	// Estimator holds the model of one pool. It is not safe for use by several
	// goroutines at once.
	Estimator struct {
		// weights are in seconds for each unit of a feature.
		weights [features]float64
		factors map[carawaybeam.BackendID]factor
		// slots is the most requests that a backend server was seen to run.
		slots map[carawaybeam.BackendID]int
	}

	// factor tells how many times slower than typical a backend server is.
	factor struct {
		value float64
		at    time.Time
	}
)

// New returns an Estimator that starts from a moderate engine.
func New() *Estimator {
	return &Estimator{
		weights: [features]float64{0.02, 0.1, 0.02, 0.1, 0.1, 0.02},
		factors: make(map[carawaybeam.BackendID]factor),
		slots:   make(map[carawaybeam.BackendID]int),
	}
}

func vector(work carawaybeam.PendingWork) [features]float64 {
	return [features]float64{
		1,
		work.Tokens / tokenUnit,
		-work.MaybeCached / tokenUnit,
		work.Waiting / waitingUnit,
		work.Running / runningUnit,
		work.Overflow / overflowUnit,
	}
}

func (e *Estimator) seconds(x [features]float64) float64 {
	sum := 0.0
	for i, w := range e.weights {
		sum += w * x[i]
	}
	return sum
}

// Estimate returns the time that the work takes on a typical backend server.
func (e *Estimator) Estimate(work carawaybeam.PendingWork) time.Duration {
	return time.Duration(e.seconds(vector(work)) * float64(time.Second))
}

// Slowdown returns how many times slower than typical a backend server is.
func (e *Estimator) Slowdown(now time.Time, backend carawaybeam.BackendID) float64 {
	f, ok := e.factors[backend]
	switch {
	case !ok:
		return 1
	case f.value >= recoveryFactor:
		return f.value
	}
	return math.Pow(f.value, math.Exp(-now.Sub(f.at).Seconds()/factorMemory.Seconds()))
}

// ObserveSlots returns the most requests that a backend server was seen to run at
// once, the present report included.
func (e *Estimator) ObserveSlots(backend carawaybeam.BackendID, load carawaybeam.Load) int {
	if load.Running > e.slots[backend] {
		e.slots[backend] = load.Running
	}
	return e.slots[backend]
}

// Observe learns from the time that the work took.
func (e *Estimator) Observe(
	now time.Time,
	backend carawaybeam.BackendID,
	work carawaybeam.PendingWork,
	took time.Duration,
) {
	x := vector(work)
	typical := e.seconds(x)
	floor := minFactorTime.Seconds()
	ratio := max(took.Seconds(), floor) / max(typical, floor)
	present := e.Slowdown(now, backend)
	gain := factorGain
	if present >= recoveryFactor && ratio < recoveryFactor {
		gain = recoveryGain
	}
	e.setFactor(now, backend, present*math.Pow(ratio/present, gain))
	if ratio > outlier {
		return
	}
	norm := 0.0
	for _, v := range x {
		norm += v * v
	}
	miss := took.Seconds() - typical
	for i := range e.weights {
		e.weights[i] = max(minWeights[i], e.weights[i]+modelGain*miss*x[i]/norm)
	}
	// What may be cached saves no more than reading it would cost.
	e.weights[2] = min(e.weights[2], 0.9*e.weights[1])
}

// minWeights keeps the model from explaining everything by one feature.
var minWeights = [features]float64{0.001, 0.01, 0, 0.02, 0.05, 0}

// ObserveFailure learns that a backend server failed.
func (e *Estimator) ObserveFailure(now time.Time, backend carawaybeam.BackendID) {
	e.setFactor(now, backend, max(failureFactor, 2*e.Slowdown(now, backend)))
}

// Len returns the number of backend servers that something is known of.
func (e *Estimator) Len() int { return max(len(e.factors), len(e.slots)) }

// Retain forgets all backend servers but those to be kept.
func (e *Estimator) Retain(keep func(carawaybeam.BackendID) bool) {
	maps.DeleteFunc(e.factors, func(id carawaybeam.BackendID, _ factor) bool { return !keep(id) })
	maps.DeleteFunc(e.slots, func(id carawaybeam.BackendID, _ int) bool { return !keep(id) })
}

func (e *Estimator) setFactor(now time.Time, backend carawaybeam.BackendID, value float64) {
	e.factors[backend] = factor{value: min(maxFactor, max(1.0/maxFactor, value)), at: now}
}
