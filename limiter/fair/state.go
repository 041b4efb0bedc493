package fair

import (
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// State is the state dump of a Limiter.
type State struct {
	Organisations int `json:"organisations"`
	// Pressure is the mean expected wait as a fraction of the time that targets
	// leave for waiting.
	Pressure float64 `json:"pressure"`
	// AdmittedTokens is the admitted work and CapacityTokens the estimated
	// capacity, in tokens per second.
	AdmittedTokens float64 `json:"admittedTokens"`
	CapacityTokens float64 `json:"capacityTokens"`
	// FairTokens is the fair share of one organisation, in tokens per second, or
	// -1 while no organisation is limited to it.
	FairTokens float64 `json:"fairTokens"`
}

var _ carawaybeam.StateDumper = (*Limiter)(nil)

// State returns the state dump.
func (l *Limiter) State() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	state := State{
		Organisations:  len(l.shares.usages),
		Pressure:       l.shares.pressure,
		AdmittedTokens: l.shares.total.get(now) / workDecay.Seconds(),
		CapacityTokens: l.shares.capacity(now) / workDecay.Seconds(),
		FairTokens:     -1,
	}
	if level := l.shares.level(now); !math.IsInf(level, 1) {
		state.FairTokens = level / workDecay.Seconds()
	}
	return state
}
