package assembler

import (
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// TraceKind is the kind of traces that Replay reads.
const TraceKind tracer.Kind = "promise"

// Action is what an event does.
type Action string

const (
	// ActionRequest sends a request through an entry.
	ActionRequest Action = "request"
	// ActionCutLinks cuts the links to an agent.
	ActionCutLinks Action = "cutLinks"
	// ActionSilenceLinks makes the present links to an agent silent for good.
	ActionSilenceLinks Action = "silenceLinks"
	// ActionPauseAgent holds back all frames from and to an agent.
	ActionPauseAgent Action = "pauseAgent"
	// ActionKillAgent kills an agent and its links.
	ActionKillAgent Action = "killAgent"
	// ActionStartAgent starts a new incarnation of a killed agent.
	ActionStartAgent Action = "startAgent"
	// ActionRemoveVM kills an agent for good and takes its VM off the list.
	ActionRemoveVM Action = "removeVM"
	// ActionDrainAgent stops an agent gracefully.
	ActionDrainAgent Action = "drainAgent"
	// ActionKillEntry kills an entry and its links.
	ActionKillEntry Action = "killEntry"
	// ActionDrainEntry stops an entry gracefully.
	ActionDrainEntry Action = "drainEntry"
	// ActionLoseFrames loses a share of frames for a time.
	ActionLoseFrames Action = "loseFrames"
	// ActionDelayFrames holds back a share of frames for a time.
	ActionDelayFrames Action = "delayFrames"
	// ActionCopyFrames doubles a share of frames for a time.
	ActionCopyFrames Action = "copyFrames"
	// ActionCrossFrames delivers a share of frames on a wrong stream as well.
	ActionCrossFrames Action = "crossFrames"
	// ActionCutStreams cuts streams at a share of their frames.
	ActionCutStreams Action = "cutStreams"
	// ActionCrashBackend crashes a backend server.
	ActionCrashBackend Action = "crashBackend"
	// ActionRecoverBackend starts a crashed backend server again.
	ActionRecoverBackend Action = "recoverBackend"
	// ActionPoison makes a body crash the backend servers that run it.
	ActionPoison Action = "poison"
	// ActionStoreFault orders the store to fail.
	ActionStoreFault Action = "storeFault"
)

const (
	// ClassBookings is not idempotent and run by a plain service.
	ClassBookings carawaybeam.ClassID = "bookings"
	// ClassLookups is idempotent and run by a plain service.
	ClassLookups carawaybeam.ClassID = "lookups"
	// ClassDrafting is idempotent and run by a model engine, which resumes.
	ClassDrafting carawaybeam.ClassID = "drafting"
)

// Event is one line of a promise trace.
type Event struct {
	At tracer.Duration `json:"at"`
	Do Action          `json:"do"`
	// Entry and Slot are positions among the entries and the VMs with agents.
	Entry int `json:"entry,omitempty"`
	Slot  int `json:"slot,omitempty"`
	// Class, Body, Key and Ticket belong to requests. Requests with one ticket
	// name share a ticket, which the first of them gets.
	Class  carawaybeam.ClassID `json:"class,omitempty"`
	Body   string              `json:"body,omitempty"`
	Key    string              `json:"key,omitempty"`
	Ticket string              `json:"ticket,omitempty"`
	// For is how long a fault lasts. It is also the delay of delayed frames
	// when Delay is 0.
	For   tracer.Duration `json:"for,omitempty"`
	Delay tracer.Duration `json:"delay,omitempty"`
	// Share is the share of frames hit, from 0 to 1, and Frame limits the fault
	// to frames of one name, such as dispatch or chunk.
	Share float64 `json:"share,omitempty"`
	Frame string  `json:"frame,omitempty"`
	// Mode and Calls belong to faults of the store.
	Mode  storer.FaultMode `json:"mode,omitempty"`
	Calls int              `json:"calls,omitempty"`
}

// When returns the time of the event since the start of the trace.
func (e Event) When() time.Duration { return time.Duration(e.At) }
