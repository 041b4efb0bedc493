package fair

import (
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// State is the state dump of a Limiter.
type State struct {
	Organisations int `json:"organisations"`
	// Pressure is the mean wait as a share of what the targets leave for it.
	Pressure float64 `json:"pressure"`
	// AdmittedTokens and CapacityTokens are a second's work, in tokens.
	AdmittedTokens float64 `json:"admittedTokens"`
	CapacityTokens float64 `json:"capacityTokens"`
	// FairTokens is what one organisation may get of it, and -1 while none is
	// held to a share.
	FairTokens float64 `json:"fairTokens"`
}

var _ carawaybeam.StateDumper = (*Limiter)(nil)

// State returns the state dump.
func (l *Limiter) State() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	state := State{
		Organisations:  len(l.shares.rows),
		Pressure:       l.shares.pressure,
		AdmittedTokens: l.shares.total.get(now) / memory.Seconds(),
		CapacityTokens: l.shares.capacity(now) / memory.Seconds(),
		FairTokens:     -1,
	}
	if level := l.shares.level(now); !math.IsInf(level, 1) {
		state.FairTokens = level / memory.Seconds()
	}
	return state
}
