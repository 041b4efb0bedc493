package carawaybeam

import (
	"context"
	"fmt"
	"time"
)

type (
	// ArmedMap is a map that a rank switches to as a step begins.
	ArmedMap struct {
		Version MapVersion `json:"version"`
		Step    Step       `json:"step"`
	}

	// RankState is what a rank of a group that takes orders tells of itself.
	RankState struct {
		Group GroupID
		Rank  Rank
		// Size is the number of ranks of the group.
		Size int
		// Epoch changes when the group forms anew, which clears maps and orders.
		Epoch uint64
		// Open is set while the group takes requests.
		Open bool
		// Step is the last step that was begun.
		Step Step
		// Map is the version in use, and Prepared that of the map that is ready
		// beside it, or 0.
		Map      MapVersion
		Prepared MapVersion
		// Armed is the map to switch to. Its version is 0 for none.
		Armed ArmedMap
		// Held is the step that the group does not begin, or 0.
		Held Step
		// Running and Waiting count requests.
		Running int
		Waiting int
		// MemoryUsed is the memory of requests that cannot yield.
		MemoryUsed Tokens
		// Pace is how many times slower than usual the rank is.
		Pace float64
		// Started is the start of the rank in Unix milliseconds.
		Started int64
	}

	// RankPicks counts how often the requests of a rank chose each expert since
	// the rank started, by layer.
	RankPicks struct {
		Epoch  uint64
		Counts [][]uint64
	}

	// RankOrder is what all orders to a rank carry.
	RankOrder struct {
		// FencingToken is the fencing number of the sender. A rank refuses orders with
		// a lower one than it has seen.
		FencingToken Epoch
		// Epoch is that of the group. A rank refuses orders for another one.
		Epoch uint64
	}

	// RankEngine is a client of one rank that takes orders. An order that fails
	// with another error than *RankOrderError may have been carried out, or may
	// be later.
	RankEngine interface {
		// State reads what the rank tells of itself. From another VM it is some
		// hundred milliseconds old.
		State(ctx context.Context) (RankState, error)
		// Picks counts chosen experts in a number of layers.
		Picks(ctx context.Context, layers int) (RankPicks, error)
		// HeldExperts returns the experts that the rank holds by the map in use, by
		// layer.
		HeldExperts(ctx context.Context) (MapVersion, [][]Expert, error)
		// Prepare copies what the map needs on the rank beside the map in use.
		Prepare(ctx context.Context, order RankOrder, m ExpertMap) error
		// Arm lets the rank switch to a prepared map as a step begins.
		Arm(ctx context.Context, order RankOrder, armed ArmedMap) error
		// Disarm takes an armed map back. It does nothing where another one or
		// none is armed.
		Disarm(ctx context.Context, order RankOrder, version MapVersion) error
		// Hold keeps the group from a step until Release.
		Hold(ctx context.Context, order RankOrder, step Step) error
		// Release ends a hold of the step.
		Release(ctx context.Context, order RankOrder, step Step) error
	}

	// RankEngineOptions is what a plug-in for ranks that take orders is made
	// from.
	RankEngineOptions struct {
		Address Address
		// Timeout bounds one call.
		Timeout time.Duration
	}

	// RankOrderError reports an order that a rank has refused and will not carry
	// out.
	RankOrderError struct {
		// Fenced is set when the rank has seen a higher fencing number.
		Fenced bool
		// Detail is a sentence for a person.
		Detail string
	}
)

func (e *RankOrderError) Error() string {
	return fmt.Sprintf("rank refused the order: %s", e.Detail)
}
