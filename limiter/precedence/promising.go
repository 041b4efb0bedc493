package precedence

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// probeInterval is the minimum time between two requests by which an entry measures an idle group again.
// The step time of an idle group is that of its last requests.
const probeInterval = time.Second

// Promising returns the candidates on which an answer of the given number of events can end in the time left, or
// all if there is none. Once in probeInterval, if mayProbe is set, it returns those of an idle group
// instead whose last measured steps were too slow, and true, since nothing else tells whether the
// group has recovered.
func (g *Gaps) Promising(
	now time.Time,
	engine *carawaybeam.EngineProfile,
	candidates []carawaybeam.Candidate,
	events float64,
	timeLeft time.Duration,
	mayProbe bool,
) ([]carawaybeam.Candidate, bool) {
	hopeless := func(c *carawaybeam.Candidate) bool {
		gap := g.Sustained(now, engine, c)
		return c.ClosedFor == 0 && time.Duration(events*float64(gap)) > timeLeft
	}
	open, slow := 0, 0
	for i := range candidates {
		switch {
		case hopeless(&candidates[i]):
			slow++
		case candidates[i].ClosedFor == 0:
			open++
		}
	}
	if slow == 0 {
		return candidates, false
	}
	if mayProbe {
		if idle := idleOnes(candidates, hopeless); len(idle) > 0 && g.startProbe(now) {
			return idle, true
		}
	}
	if open > 0 {
		return without(candidates, hopeless), false
	}
	return candidates, false
}

// startProbe reports whether probeInterval has passed since it last returned true.
func (g *Gaps) startProbe(now time.Time) bool {
	last := g.probed.Load()
	return now.UnixNano()-last >= int64(probeInterval) && g.probed.CompareAndSwap(last, now.UnixNano())
}

// idleOnes returns the candidates of the kind in data centres in which no candidate has requests.
func idleOnes(
	candidates []carawaybeam.Candidate,
	kind func(*carawaybeam.Candidate) bool,
) []carawaybeam.Candidate {
	busy := make(map[carawaybeam.DataCentre]bool)
	for i := range candidates {
		if c := &candidates[i]; c.OwnRunning+c.Load.Running+c.Load.Waiting > 0 {
			busy[c.DataCentre] = true
		}
	}
	return without(candidates, func(c *carawaybeam.Candidate) bool { return busy[c.DataCentre] || !kind(c) })
}

// without returns the candidates that are not of the kind.
func without(
	candidates []carawaybeam.Candidate,
	kind func(*carawaybeam.Candidate) bool,
) []carawaybeam.Candidate {
	kept := make([]carawaybeam.Candidate, 0, len(candidates))
	for i := range candidates {
		if !kind(&candidates[i]) {
			kept = append(kept, candidates[i])
		}
	}
	return kept
}
