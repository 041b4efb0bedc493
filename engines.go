package carawaybeam

import (
	"context"
	"fmt"
	"time"
)

type (
	// ArmedMap is a prepared map that a rank switches to when Step begins.
	ArmedMap struct {
		Version MapVersion `json:"version"`
		Step    Step       `json:"step"`
	}

	// RankState is the state that a rank which takes orders reports.
	RankState struct {
		Group GroupID
		Rank  Rank
		// Size is the number of ranks of the group.
		Size int
		// Epoch changes whenever the group is formed again, which discards all
		// maps and orders.
		Epoch uint64
		// Open is set while the group accepts requests.
		Open bool
		// Step is the last step that has begun.
		Step Step
		// Map is the version of the map in use. Prepared is the version of the
		// map that is loaded in addition and ready to be armed, or 0.
		Map      MapVersion
		Prepared MapVersion
		// Armed is the map to switch to. Its version is 0 if there is none.
		Armed ArmedMap
		// Held is the step that the group may not begin because of
		// RankEngine.Hold, or 0.
		Held Step
		// Running and Waiting are numbers of requests.
		Running int
		Waiting int
		// MemoryUsed is the memory taken by requests that cannot be preempted,
		// in tokens of the KV cache.
		MemoryUsed Tokens
		// MemoryTotal is the size of the KV cache, or 0 if the rank does not tell it.
		MemoryTotal Tokens
		// Pace is the duration of the rank's steps relative to the usual
		// duration: 1 is normal, 2 is half as fast.
		Pace float64
		// Started is the start time of the rank in Unix milliseconds.
		Started int64
	}

	// RankPicks counts how often each expert was selected by the requests of a
	// rank since the rank started. Counts is indexed by layer, then expert.
	RankPicks struct {
		Epoch  uint64
		Counts [][]uint64
	}

	// RankOrder holds the fields common to all orders to a rank.
	RankOrder struct {
		// FencingToken is that of the sender. A rank refuses orders with a
		// lower token than the highest it has received.
		FencingToken Epoch
		// Epoch is the epoch of the group, as in RankState. A rank refuses
		// orders for any other epoch.
		Epoch uint64
	}

	// RankEngine is a client of one rank that takes orders, such as to prepare
	// an expert map and to switch to it. If an order fails with an error other
	// than *RankOrderError, the rank may have carried it out or may still do so
	// later.
	RankEngine interface {
		// State returns the state that the rank reports. Read from another VM
		// it is a few hundred milliseconds old.
		State(ctx context.Context) (RankState, error)
		// Picks returns how often each expert was selected, in the given number
		// of layers.
		Picks(ctx context.Context, layers int) (RankPicks, error)
		// HeldExperts returns the version of the map in use and the experts
		// that the rank holds according to it, by layer.
		HeldExperts(ctx context.Context) (MapVersion, [][]Expert, error)
		// Prepare makes the rank load the experts that the map needs, while it
		// keeps using its current map.
		Prepare(ctx context.Context, order RankOrder, m ExpertMap) error
		// Arm makes the rank switch to a prepared map when armed.Step begins.
		Arm(ctx context.Context, order RankOrder, armed ArmedMap) error
		// Disarm cancels an armed switch to the map. It does nothing if no map
		// or another one is armed.
		Disarm(ctx context.Context, order RankOrder, version MapVersion) error
		// Hold prevents the group from beginning the step until Release.
		Hold(ctx context.Context, order RankOrder, step Step) error
		// Release ends a Hold of the step.
		Release(ctx context.Context, order RankOrder, step Step) error
	}

	// RankEngineOptions configures a RankEngine plug-in.
	RankEngineOptions struct {
		Address Address
		// Timeout is the timeout of one call.
		Timeout time.Duration
	}

	// RankOrderError reports that a rank refused an order and will not carry it
	// out.
	RankOrderError struct {
		// Fenced is set if the rank has received a higher fencing token.
		Fenced bool
		// Detail is a human-readable sentence.
		Detail string
	}
)

func (e *RankOrderError) Error() string {
	return fmt.Sprintf("rank refused the order: %s", e.Detail)
}
