package executor

import (
	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

// evacuation is what entries say of the agent's data centre. Its zero value is that
// of an agent that was told nothing.
type evacuation struct {
	// version is the highest store version that was stated.
	version   carawaybeam.StoreVersion
	evacuated bool
}

// ObserveEvacuation applies what an entry says of the agent's data centre, which may be
// nothing. A statement of an older store version than the newest one is ignored, so that
// an entry that is cut off from the store does not undo what the others say. While the
// data centre is evacuated, attempts that are not known yet are refused.
func (e *Executor) ObserveEvacuation(stated *framer.Evacuation) {
	if stated == nil {
		return
	}
	next := evacuation{version: carawaybeam.StoreVersion(stated.GetVersion()), evacuated: stated.GetEvacuated()}
	e.mu.Lock()
	before := e.evacuation
	if next.version < before.version {
		e.mu.Unlock()
		return
	}
	e.evacuation = next
	e.mu.Unlock()
	if next.evacuated == before.evacuated {
		return
	}
	e.options.Log.Warn().Bool("evacuated", next.evacuated).Uint64("version", uint64(next.version)).
		Msg("executor: evacuation of the data centre has begun or ended")
}

// isEvacuated reports whether the agent's data centre is evacuated.
func (e *Executor) isEvacuated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evacuation.evacuated
}

// evacuated returns the refusal of an attempt in an evacuated data centre. Its reason is
// that of an agent that leaves, so that entries turn to others in the same way.
func evacuated() carawaybeam.RequestError {
	return carawaybeam.RequestError{
		Outcome:    carawaybeam.OutcomeNotRun,
		Reason:     carawaybeam.ReasonLeaving,
		Detail:     "data centre is evacuated",
		RetryAfter: busyRetryAfter,
	}
}
