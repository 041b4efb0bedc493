// Package estimator estimates how long the pending work of a backend server
// takes, from the times to the first token that the process observes.
//
// One linear model serves all backend servers of a pool. The slowdown of a
// backend server is its deviation from the model, as a factor. The model is
// adapted by normalised least mean squares (Widrow and Hoff), with coefficients
// that stay above lower bounds.
package estimator

import (
	"maps"
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// modelGain is the fraction of an error by which the model is corrected.
	modelGain = 0.05

	// slowdownGain is the fraction by which the logarithm of a slowdown is
	// corrected.
	slowdownGain = 0.2

	// recoveryGain is the same for a slow backend server that has become fast
	// again. It is higher because a slow backend server receives few requests.
	recoveryGain = 0.5

	// recoverySlowdown is the slowdown from which recoveryGain applies.
	recoverySlowdown = 4

	// slowdownDecay is the time constant with which a slowdown below
	// recoverySlowdown decays to 1 without observations. A greater slowdown
	// stays until an observation shows otherwise.
	slowdownDecay = 10 * time.Second

	// maxSlowdown is the upper bound of a slowdown, its inverse the lower
	// bound.
	maxSlowdown = 64

	// failureSlowdown is the least slowdown of a backend server that has just
	// failed.
	failureSlowdown = 8

	// minRatioTime is the lower bound of the times whose ratio gives a
	// slowdown. Shorter times are not distinguished.
	minRatioTime = 200 * time.Millisecond

	// maxModelRatio is the greatest ratio of observed to expected time from
	// which the model is corrected. Observations beyond it are outliers.
	maxModelRatio = 4

	// The units scale the features so that the coefficients are of similar
	// size.
	tokenUnit   = 1000
	waitingUnit = 4
	runningUnit = 16

	overflowUnit = 1

	featureCount = 6
)

type (
	// Estimator is the latency model of one pool. It is not safe for concurrent
	// use.
	Estimator struct {
		// weights are in seconds per unit of a feature.
		weights   [featureCount]float64
		slowdowns map[carawaybeam.BackendID]slowdown
		// maxRunning is the most requests that a backend server was seen to run
		// at once.
		maxRunning map[carawaybeam.BackendID]int
	}

	// slowdown is how many times slower than typical a backend server is.
	slowdown struct {
		value float64
		at    time.Time
	}
)

// New returns an Estimator with the coefficients of a moderately fast engine.
func New() *Estimator {
	return &Estimator{
		weights:    [featureCount]float64{0.02, 0.1, 0.02, 0.1, 0.1, 0.02},
		slowdowns:  make(map[carawaybeam.BackendID]slowdown),
		maxRunning: make(map[carawaybeam.BackendID]int),
	}
}

func features(work carawaybeam.PendingWork) [featureCount]float64 {
	return [featureCount]float64{
		1,
		work.Tokens / tokenUnit,
		-work.MaybeCached / tokenUnit,
		work.Waiting / waitingUnit,
		work.Running / runningUnit,
		work.Overflow / overflowUnit,
	}
}

func (e *Estimator) predict(x [featureCount]float64) float64 {
	sum := 0.0
	for i, w := range e.weights {
		sum += w * x[i]
	}
	return sum
}

// Estimate returns the time that the work takes on a typical backend server.
func (e *Estimator) Estimate(work carawaybeam.PendingWork) time.Duration {
	return time.Duration(e.predict(features(work)) * float64(time.Second))
}

// Slowdown returns how many times slower than typical a backend server is. It
// is 1 for an unknown backend server.
func (e *Estimator) Slowdown(now time.Time, backend carawaybeam.BackendID) float64 {
	f, ok := e.slowdowns[backend]
	switch {
	case !ok:
		return 1
	case f.value >= recoverySlowdown:
		return f.value
	}
	return math.Pow(f.value, math.Exp(-now.Sub(f.at).Seconds()/slowdownDecay.Seconds()))
}

// ObserveSlots returns the most requests that a backend server was seen to run
// at once, including the given load report.
func (e *Estimator) ObserveSlots(backend carawaybeam.BackendID, load carawaybeam.Load) int {
	if load.Running > e.maxRunning[backend] {
		e.maxRunning[backend] = load.Running
	}
	return e.maxRunning[backend]
}

// Observe corrects the model and the slowdown of the backend server by the time
// that the work took.
func (e *Estimator) Observe(
	now time.Time,
	backend carawaybeam.BackendID,
	work carawaybeam.PendingWork,
	took time.Duration,
) {
	x := features(work)
	typical := e.predict(x)
	floor := minRatioTime.Seconds()
	ratio := max(took.Seconds(), floor) / max(typical, floor)
	current := e.Slowdown(now, backend)
	gain := slowdownGain
	if current >= recoverySlowdown && ratio < recoverySlowdown {
		gain = recoveryGain
	}
	e.setSlowdown(now, backend, current*math.Pow(ratio/current, gain))
	if ratio > maxModelRatio {
		return
	}
	norm := 0.0
	for _, v := range x {
		norm += v * v
	}
	deviation := took.Seconds() - typical
	for i := range e.weights {
		e.weights[i] = max(minWeights[i], e.weights[i]+modelGain*deviation*x[i]/norm)
	}
	// A token that may be cached saves less than processing it costs.
	e.weights[2] = min(e.weights[2], 0.9*e.weights[1])
}

// minWeights are the lower bounds of the coefficients. They keep the model from
// attributing all time to one feature.
var minWeights = [featureCount]float64{0.001, 0.01, 0, 0.02, 0.05, 0}

// ObserveFailure records that a backend server failed, which at least doubles
// its slowdown up to the upper bound.
func (e *Estimator) ObserveFailure(now time.Time, backend carawaybeam.BackendID) {
	e.setSlowdown(now, backend, max(failureSlowdown, 2*e.Slowdown(now, backend)))
}

// Len returns the number of backend servers that the Estimator knows.
func (e *Estimator) Len() int { return max(len(e.slowdowns), len(e.maxRunning)) }

// Retain removes all backend servers for which keep returns false.
func (e *Estimator) Retain(keep func(carawaybeam.BackendID) bool) {
	maps.DeleteFunc(e.slowdowns, func(id carawaybeam.BackendID, _ slowdown) bool { return !keep(id) })
	maps.DeleteFunc(e.maxRunning, func(id carawaybeam.BackendID, _ int) bool { return !keep(id) })
}

func (e *Estimator) setSlowdown(now time.Time, backend carawaybeam.BackendID, value float64) {
	e.slowdowns[backend] = slowdown{value: min(maxSlowdown, max(1.0/maxSlowdown, value)), at: now}
}
