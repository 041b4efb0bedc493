package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/collector"
	"github.com/carawaybeam/carawaybeam/planner"
)

const (
	// freshStatusTimeout is the timeout of the wait for a status of each rank that
	// was made after a given time.
	freshStatusTimeout = time.Second

	// callTimeout is the timeout of reading the list of experts of a rank.
	callTimeout = time.Second

	// maxStatusDelay is longer than the time that a status takes to arrive if it
	// was made before the rank answered an order.
	maxStatusDelay = 60 * time.Millisecond
)

// takeOver raises the fencing token on all ranks, so that they reject any further
// order of another holder or of a failed change. It then completes or rolls back
// the pending change, if there is one.
func (c *Coordinator) takeOver(ranks rankStatuses) error {
	order := c.order(ranks)
	err := c.sendToAll(ranks, orderTimeout, func(ctx context.Context, engine carawaybeam.RankEngine) error {
		return engine.Disarm(ctx, order, unusedVersion)
	})
	if err != nil {
		return err
	}
	fenced, err := c.awaitFresh(ranks[0].Epoch, time.Now())
	if err != nil {
		return err
	}
	if err := c.resolvePending(fenced); err != nil {
		return err
	}
	if err := c.readCurrentMap(fenced); err != nil {
		return err
	}
	c.inControl, c.epoch = true, fenced[0].Epoch
	c.options.Log.Info().Str("group", string(c.options.Group)).Uint64("fence", uint64(order.FencingToken)).
		Uint64("groupEpoch", c.epoch).Uint64("map", uint64(c.current.Version)).
		Msg("coordinator: control of the group taken over")
	return nil
}

// awaitFresh waits for statuses of all ranks that were made after the given time.
// It ignores statuses received within maxStatusDelay after that time, since they
// may have been made before it.
func (c *Coordinator) awaitFresh(epoch uint64, after time.Time) (rankStatuses, error) {
	after = after.Add(maxStatusDelay)
	for deadline := time.Now().Add(freshStatusTimeout); time.Now().Before(deadline); c.sleep(pollInterval) {
		if err := c.checkEpoch(epoch); err != nil {
			return nil, err
		}
		ranks, err := c.completeGroup()
		if err == nil && isFresh(ranks, after) {
			return ranks, nil
		}
	}
	return nil, errIncomplete
}

func isFresh(ranks rankStatuses, after time.Time) bool {
	for _, s := range ranks {
		if s.Received.Before(after) {
			return false
		}
	}
	return true
}

// resolvePending ends a change that was begun earlier, by this or another holder.
// It completes the change if some rank is armed and the others can be armed too,
// and rolls it back otherwise.
func (c *Coordinator) resolvePending(ranks rankStatuses) error {
	armed, count, held := findPendingChange(ranks)
	switch {
	case count == 0 || count == len(ranks):
		if held == 0 {
			return nil
		}
		c.logResolved(armed, count, held, "coordinator: hold released")
		return c.release(ranks, held)
	case held == 0:
		// Some ranks are armed for a step before which the group is not held.
		order := c.order(ranks)
		err := c.sendUntilAnswered(
			ranks[0].Address,
			ranks[0].Epoch,
			orderTimeout,
			func(ctx context.Context, engine carawaybeam.RankEngine) error {
				return engine.Hold(ctx, order, armed.Step)
			},
		)
		if err != nil {
			return err
		}
		held = armed.Step
	}
	if c.rollbackVersion == armed.Version {
		return c.rollBack(ranks, armed, held)
	}
	order := c.order(ranks)
	err := c.sendToAll(ranks, orderTimeout, func(ctx context.Context, engine carawaybeam.RankEngine) error {
		return engine.Arm(ctx, order, armed)
	})
	var refused *carawaybeam.RankOrderError
	if errors.As(err, &refused) {
		// An unanswered order to arm may still be executed. The change is
		// therefore rolled back under the next fencing token, not under this one.
		c.rollbackVersion = armed.Version
	}
	if err != nil {
		return err
	}
	c.logResolved(armed, count, held, "coordinator: pending change completed")
	return c.release(ranks, held)
}

// rollBack disarms all ranks while the group is held, and then releases the hold.
func (c *Coordinator) rollBack(ranks rankStatuses, armed carawaybeam.ArmedMap, held carawaybeam.Step) error {
	order := c.order(ranks)
	err := c.sendToAll(ranks, orderTimeout, func(ctx context.Context, engine carawaybeam.RankEngine) error {
		return engine.Disarm(ctx, order, armed.Version)
	})
	if err != nil {
		return err
	}
	c.logResolved(armed, 0, held, "coordinator: pending change rolled back")
	return c.release(ranks, held)
}

// findPendingChange returns the map and step for which ranks are armed, the number
// of armed ranks, and the step before which the group is held, or 0.
func findPendingChange(ranks rankStatuses) (carawaybeam.ArmedMap, int, carawaybeam.Step) {
	var (
		armed carawaybeam.ArmedMap
		count int
		held  carawaybeam.Step
	)
	for _, s := range ranks {
		if s.Armed.Version != 0 {
			armed = s.Armed
			count++
		}
		held = max(held, s.Held)
	}
	return armed, count, held
}

// logResolved logs how a pending change was ended.
func (c *Coordinator) logResolved(armed carawaybeam.ArmedMap, count int, held carawaybeam.Step, message string) {
	c.options.Log.Info().Str("group", string(c.options.Group)).Uint64("fence", uint64(c.fence())).
		Uint64("map", uint64(armed.Version)).Uint64("armedStep", uint64(armed.Step)).Int("armed", count).
		Uint64("held", uint64(held)).Msg(message)
}

// readCurrentMap sets the current map to the one that the ranks use.
func (c *Coordinator) readCurrentMap(ranks rankStatuses) error {
	version := ranks[0].Map
	for _, s := range ranks {
		if s.Map != version {
			return errMoved
		}
	}
	if version == c.current.Version && version != 0 {
		return nil
	}
	layout, ok := c.options.Layout()
	if !ok {
		return errIncomplete
	}
	if version == 0 {
		slots := (layout.Experts + len(ranks) - 1) / len(ranks)
		c.current = planner.UniformMap(len(ranks), slots, layout.Experts, layout.Layers)
		return nil
	}
	return c.readHeldExperts(ranks, version, layout)
}

// readHeldExperts reads the experts that each rank holds, and sets the current map
// to the map that they form.
func (c *Coordinator) readHeldExperts(
	ranks []collector.Status,
	version carawaybeam.MapVersion,
	layout carawaybeam.ExpertLayout,
) error {
	current := carawaybeam.ExpertMap{Version: version, Layers: make([][][]carawaybeam.Expert, layout.Layers)}
	for i := range current.Layers {
		current.Layers[i] = make([][]carawaybeam.Expert, len(ranks))
	}
	for rank, s := range ranks {
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		got, held, err := c.options.Engine(s.Address).HeldExperts(ctx)
		cancel()
		if err != nil {
			return err
		}
		if got != version || len(held) != layout.Layers {
			return errMoved
		}
		for i := range held {
			current.Layers[i][rank] = held[i]
		}
	}
	if err := planner.Validate(current, len(ranks), layout.Slots, layout.Experts); err != nil {
		return err
	}
	c.current = current
	return nil
}
