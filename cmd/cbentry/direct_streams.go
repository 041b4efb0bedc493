package main

import (
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/loader"
	"github.com/carawaybeam/carawaybeam/reserver"
)

// streamMemoryShare is the share of the memory of the process that clients may leave unread of their
// streams.
const streamMemoryShare = 0.1

// streamState is the state dump of what clients leave unread of their streams. Memory does not
// include the first block of each stream.
type streamState struct {
	Memory reserver.State        `json:"memory"`
	Ended  forwarder.UnreadState `json:"ended"`
}

func newStreamOptions(settings loader.Direct) forwarder.StreamOptions {
	return forwarder.StreamOptions{
		Buffer: carawaybeam.Bytes(settings.StreamBuffer),
		Memory: reserver.New(memoryShare(settings.MemoryMB, streamMemoryShare), 0),
		Counts: new(forwarder.UnreadCounts),
	}
}

func (e *directEntry) streamState() streamState {
	return streamState{Memory: e.streams.Memory.State(), Ended: e.streams.Counts.State()}
}

// setStreamGauges sets the gauges of what clients leave unread of their streams.
func (e *directEntry) setStreamGauges(scope tally.Scope) {
	state := e.streamState()
	scope.Gauge("unread_stream_bytes").Update(float64(state.Memory.Held))
	scope.Gauge("streams_ended_unread_at_their_bound").Update(float64(state.Ended.AtOne))
	scope.Gauge("streams_ended_unread_at_the_bound_of_all").Update(float64(state.Ended.AtAll))
}
