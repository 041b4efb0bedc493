package conductor

import (
	"context"
	"errors"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/collector"
	"github.com/carawaybeam/carawaybeam/planner"
)

const (
	// freshTimeout bounds the wait for a status of each rank that was made behind
	// a given moment.
	freshTimeout = time.Second

	// callTimeout bounds the reading of lists from a rank.
	callTimeout = time.Second
)

// takeOver raises the fencing number on all ranks, so that no order of another
// holder or of a failed change is carried out any more, and then ends the change
// that it finds.
func (c *Coordinator) takeOver(ranks crew) error {
	order := c.order(ranks)
	err := c.all(ranks, func(ctx context.Context, engine carawaybeam.RankEngine) error {
		return engine.Disarm(ctx, order, unusedVersion)
	})
	if err != nil {
		return err
	}
	fenced, err := c.awaitFresh(ranks[0].Epoch, time.Now())
	if err != nil {
		return err
	}
	if err := c.settle(fenced); err != nil {
		return err
	}
	if err := c.learnPresent(fenced); err != nil {
		return err
	}
	c.taken, c.epoch = true, fenced[0].Epoch
	c.options.Log.Info().Str("group", string(c.options.Group)).Uint64("fence", uint64(order.FencingToken)).
		Uint64("groupEpoch", c.epoch).Uint64("map", uint64(c.present.Version)).
		Msg("conductor: group is taken over")
	return nil
}

// awaitFresh waits for statuses that were made behind the given moment. The time
// of a status's way counts to its sender.
func (c *Coordinator) awaitFresh(epoch uint64, after time.Time) (crew, error) {
	after = after.Add(statusWay)
	for deadline := time.Now().Add(freshTimeout); time.Now().Before(deadline); c.sleep(pollInterval) {
		if err := c.check(epoch); err != nil {
			return nil, err
		}
		ranks, err := c.crew()
		if err == nil && isFresh(ranks, after) {
			return ranks, nil
		}
	}
	return nil, errIncomplete
}

// statusWay is longer than a status that was made before an order was answered
// takes to arrive.
const statusWay = 60 * time.Millisecond

func isFresh(ranks crew, after time.Time) bool {
	for _, s := range ranks {
		if s.Received.Before(after) {
			return false
		}
	}
	return true
}

// settle ends a change that an earlier holder has begun: it is completed if a
// rank is armed and the others can be, and taken back otherwise.
func (c *Coordinator) settle(ranks crew) error {
	armed, count, held := findChange(ranks)
	switch {
	case count == 0 || count == len(ranks):
		if held == 0 {
			return nil
		}
		c.logSettled(armed, count, held, "conductor: hold is released")
		return c.release(ranks, held)
	case held == 0:
		// Some ranks are armed for a step that nothing keeps the group from.
		order := c.order(ranks)
		err := c.insist(
			ranks[0].Address,
			ranks[0].Epoch,
			func(ctx context.Context, engine carawaybeam.RankEngine) error {
				return engine.Hold(ctx, order, armed.Step)
			},
		)
		if err != nil {
			return err
		}
		held = armed.Step
	}
	if c.undo == armed.Version {
		return c.takeBack(ranks, armed, held)
	}
	order := c.order(ranks)
	err := c.all(ranks, func(ctx context.Context, engine carawaybeam.RankEngine) error {
		return engine.Arm(ctx, order, armed)
	})
	var refused *carawaybeam.RankOrderError
	if errors.As(err, &refused) {
		// An order to arm that got no answer may still be carried out, so that
		// the change is taken back under the next fencing number.
		c.undo = armed.Version
	}
	if err != nil {
		return err
	}
	c.logSettled(armed, count, held, "conductor: change is completed")
	return c.release(ranks, held)
}

// takeBack disarms all ranks while the hold stands.
func (c *Coordinator) takeBack(ranks crew, armed carawaybeam.ArmedMap, held carawaybeam.Step) error {
	order := c.order(ranks)
	err := c.all(ranks, func(ctx context.Context, engine carawaybeam.RankEngine) error {
		return engine.Disarm(ctx, order, armed.Version)
	})
	if err != nil {
		return err
	}
	c.logSettled(armed, 0, held, "conductor: change is taken back")
	return c.release(ranks, held)
}

// findChange returns what ranks are armed for, how many are, and the step that
// is held, or 0.
func findChange(ranks crew) (carawaybeam.ArmedMap, int, carawaybeam.Step) {
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

func (c *Coordinator) logSettled(armed carawaybeam.ArmedMap, count int, held carawaybeam.Step, message string) {
	c.options.Log.Info().Str("group", string(c.options.Group)).Uint64("fence", uint64(c.fence())).
		Uint64("map", uint64(armed.Version)).Uint64("armedStep", uint64(armed.Step)).Int("armed", count).
		Uint64("held", uint64(held)).Msg(message)
}

// learnPresent finds out which experts the ranks hold by the map in use.
func (c *Coordinator) learnPresent(ranks crew) error {
	version := ranks[0].Map
	for _, s := range ranks {
		if s.Map != version {
			return errMoved
		}
	}
	if version == c.present.Version && version != 0 {
		return nil
	}
	layout, ok := c.options.Layout()
	if !ok {
		return errIncomplete
	}
	if version == 0 {
		slots := (layout.Experts + len(ranks) - 1) / len(ranks)
		c.present = planner.UniformMap(len(ranks), slots, layout.Experts, layout.Layers)
		return nil
	}
	return c.readPresent(ranks, version, layout)
}

// readPresent reads the experts of each rank.
func (c *Coordinator) readPresent(
	ranks []collector.Status,
	version carawaybeam.MapVersion,
	layout carawaybeam.ExpertLayout,
) error {
	present := carawaybeam.ExpertMap{Version: version, Layers: make([][][]carawaybeam.Expert, layout.Layers)}
	for i := range present.Layers {
		present.Layers[i] = make([][]carawaybeam.Expert, len(ranks))
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
			present.Layers[i][rank] = held[i]
		}
	}
	if err := planner.Validate(present, len(ranks), layout.Slots, layout.Experts); err != nil {
		return err
	}
	c.present = present
	return nil
}
