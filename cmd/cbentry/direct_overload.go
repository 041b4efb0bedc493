package main

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/overseer"
)

// startOverseer starts to refuse requests while the process is overloaded, if the settings ask for it.
// It returns nil otherwise.
func (e *directEntry) startOverseer() forwarder.Overload {
	maxDelay := time.Duration(e.settings.Direct.Overload.MaxDelay)
	if maxDelay <= 0 {
		return nil
	}
	e.overseer = overseer.New(overseer.Options{
		MaxDelay: maxDelay, Memory: memoryShare(e.settings.Direct.MemoryMB, 1), Log: e.log,
	})
	e.closers.Add(e.overseer)
	return e.overseer
}

// overloadState returns the state dump of the overseer, or nil if there is none.
func (e *directEntry) overloadState() *overseer.State {
	if e.overseer == nil {
		return nil
	}
	state := e.overseer.State()
	return &state
}

// setOverloadGauges sets the gauges of the overseer.
func (e *directEntry) setOverloadGauges(scope tally.Scope) {
	state := e.overloadState()
	if state == nil {
		return
	}
	scope.Gauge("overload_admitted_share").Update(state.Admitted)
	scope.Gauge("overload_timer_delay_seconds").Update(state.DelayMs / 1000)
	scope.Gauge("overload_memory_share").Update(state.Memory)
	for priority, refused := range state.Refused {
		tags := map[string]string{"priority": strconv.Itoa(priority)}
		scope.Tagged(tags).Gauge("requests_refused_by_overload").Update(float64(refused))
	}
}
