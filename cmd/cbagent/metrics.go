package main

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam/executor"
)

// gaugeInterval is the time between two updates of the metrics.
const gaugeInterval = time.Second

// gauges publishes the state of the executor as metrics.
type gauges struct {
	executor *executor.Executor
	scope    tally.Scope
	last     executor.State
}

func (g *gauges) publish() {
	state := g.executor.State()
	g.scope.Gauge("config_version").Update(float64(state.ConfigVersion))
	g.scope.Gauge("attempts_running").Update(float64(state.Running))
	g.scope.Gauge("attempts_remembered").Update(float64(state.Remembered))
	g.scope.Gauge("answer_bytes_held").Update(float64(state.HeldBytes))
	evacuated := 0.0
	if state.Evacuated {
		evacuated = 1
	}
	g.scope.Gauge("evacuated").Update(evacuated)
	g.count("started", state.Started, g.last.Started)
	g.count("done", state.Done, g.last.Done)
	g.count("failed", state.Failed, g.last.Failed)
	g.count("broken", state.Broken, g.last.Broken)
	g.count("refused", state.Refused, g.last.Refused)
	g.count("tombstoned", state.Tombstones, g.last.Tombstones)
	g.count("resolved", state.Resumed, g.last.Resumed)
	g.last = state
}

// count adds the increase since the last update to the counter of an event.
func (g *gauges) count(event string, now, before uint64) {
	g.scope.Tagged(map[string]string{"event": event}).Counter("attempts").Inc(int64(now - before))
}
