package assembler

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// TraceKind is the kind of the traces whose events Replay runs.
const TraceKind tracer.Kind = "promise"

// Action is the kind of an event.
type Action string

const (
	// ActionRequest sends a request to an entry.
	ActionRequest Action = "request"
	// ActionCutLinks closes all links to an agent.
	ActionCutLinks Action = "cutLinks"
	// ActionSilenceLinks drops all further frames of the current links to an
	// agent, which stay open. New links work.
	ActionSilenceLinks Action = "silenceLinks"
	// ActionPauseAgent delays all frames to and from an agent until the fault
	// ends.
	ActionPauseAgent Action = "pauseAgent"
	// ActionKillAgent kills an agent and closes its links.
	ActionKillAgent Action = "killAgent"
	// ActionStartAgent starts a new incarnation of an agent that is not
	// running.
	ActionStartAgent Action = "startAgent"
	// ActionRemoveVM kills an agent and removes its VM from the platform's
	// list.
	ActionRemoveVM Action = "removeVM"
	// ActionDrainAgent drains an agent and then ends it.
	ActionDrainAgent Action = "drainAgent"
	// ActionKillEntry kills an entry and closes its links.
	ActionKillEntry Action = "killEntry"
	// ActionDrainEntry stops an entry gracefully.
	ActionDrainEntry Action = "drainEntry"
	// ActionLoseFrames drops a share of the frames for a time.
	ActionLoseFrames Action = "loseFrames"
	// ActionDelayFrames delays a share of the frames for a time.
	ActionDelayFrames Action = "delayFrames"
	// ActionCopyFrames duplicates a share of the frames for a time.
	ActionCopyFrames Action = "copyFrames"
	// ActionCrossFrames delivers a share of the frames to another stream as
	// well for a time.
	ActionCrossFrames Action = "crossFrames"
	// ActionCutStreams closes streams at a share of their frames for a time.
	ActionCutStreams Action = "cutStreams"
	// ActionCrashBackend crashes a backend server.
	ActionCrashBackend Action = "crashBackend"
	// ActionRecoverBackend makes a crashed backend server accept requests
	// again.
	ActionRecoverBackend Action = "recoverBackend"
	// ActionPoison makes requests with a body crash every backend server that
	// runs them.
	ActionPoison Action = "poison"
	// ActionStoreFault sets a fault of the store.
	ActionStoreFault Action = "storeFault"
)

const (
	// ClassBookings is served by a plain service and is not idempotent.
	ClassBookings carawaybeam.ClassID = "bookings"
	// ClassLookups is served by a plain service and is idempotent.
	ClassLookups carawaybeam.ClassID = "lookups"
	// ClassDrafting is served by a model engine, which resumes answers, and is
	// idempotent.
	ClassDrafting carawaybeam.ClassID = "drafting"
)

// Event is one event of a trace of kind promise.
type Event struct {
	At tracer.Duration `json:"at"`
	Do Action          `json:"do"`
	// Entry and Slot are indexes into Assembler.Entries and Assembler.Slots.
	Entry int `json:"entry,omitempty"`
	Slot  int `json:"slot,omitempty"`
	// Class, Body, Key and Ticket describe a request. Ticket is a name within
	// the trace: the first request with a name gets a ticket, and later
	// requests with that name reuse it.
	Class  carawaybeam.ClassID `json:"class,omitempty"`
	Body   string              `json:"body,omitempty"`
	Key    string              `json:"key,omitempty"`
	Ticket string              `json:"ticket,omitempty"`
	// For is how long a fault lasts.
	For   tracer.Duration `json:"for,omitempty"`
	Delay tracer.Duration `json:"delay,omitempty"`
	// Share is the share of frames affected, from 0 to 1. Frame limits the
	// fault to frames whose body field has this name, such as dispatch or
	// chunk.
	Share float64 `json:"share,omitempty"`
	Frame string  `json:"frame,omitempty"`
	// Mode and Calls describe a fault of the store.
	Mode  storer.FaultMode `json:"mode,omitempty"`
	Calls int              `json:"calls,omitempty"`
}

// When returns the time of the event since the start of the trace.
func (e Event) When() time.Duration { return time.Duration(e.At) }
