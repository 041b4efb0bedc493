package precedence

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/forecaster"
)

const (
	// slowFactor is how many times longer than the passes of a full engine gaps must be to
	// count only when they last. Prompts, slow ranks and uneven experts make them up to twice
	// as long.
	slowFactor = 4

	// sustainTime is how long such gaps must last. A pass that waits for a rank which has
	// stopped raises the reported mean for the 600 ms over which it is taken.
	sustainTime = 900 * time.Millisecond

	// maxPause is the time without a report of long gaps after which they have ended.
	maxPause = 2 * time.Second

	// maxGaps is the maximum number of backend servers whose gaps are remembered. If there are
	// more, all must last for sustainTime anew.
	maxGaps = 8192
)

type (
	// Gaps tells the times between events that a forecast may extrapolate over a whole answer
	// from those of single passes. It is safe for concurrent use.
	Gaps struct {
		// slowAt is when a long gap was last seen, in Unix nanoseconds. No run goes on if that is longer
		// than maxPause ago, which is so most of the time.
		slowAt atomic.Int64
		// probed is when a request was last sent to measure an idle group, in Unix nanoseconds.
		probed atomic.Int64
		mu     sync.Mutex
		runs   map[carawaybeam.BackendID]slowRun
	}

	// slowRun is a time in which the gaps of a backend server were long.
	slowRun struct{ began, last time.Time }
)

// NewGaps returns Gaps that have seen no reports.
func NewGaps() *Gaps { return &Gaps{runs: make(map[carawaybeam.BackendID]slowRun)} }

// Sustained returns the time between events on a candidate, or 0 if it is unknown or has not lasted
// long enough.
func (g *Gaps) Sustained(
	now time.Time,
	engine *carawaybeam.EngineProfile,
	candidate *carawaybeam.Candidate,
) time.Duration {
	isSlow := engine != nil &&
		candidate.StepTime.Seconds() > slowFactor*forecaster.PassTime(engine, engine.Slots)
	if !isSlow && now.UnixNano()-g.slowAt.Load() > int64(maxPause) {
		return candidate.StepTime
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isSlow {
		delete(g.runs, candidate.Backend)
		return candidate.StepTime
	}
	g.slowAt.Store(now.UnixNano())
	run, ok := g.runs[candidate.Backend]
	if !ok && len(g.runs) >= maxGaps {
		clear(g.runs)
	}
	if !ok || now.Sub(run.last) > maxPause {
		run.began = now
	}
	run.last = now
	g.runs[candidate.Backend] = run
	if now.Sub(run.began) < sustainTime {
		return 0
	}
	return candidate.StepTime
}
