package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
)

const (
	// planInterval is the minimum time between two plans. New picks arrive about
	// as often.
	planInterval = 60 * time.Millisecond

	// copySlowdown is the fraction by which steps are longer while experts are
	// copied, according to the platform.
	copySlowdown = 0.15

	// Copies time out after copyTimeoutFactor times their expected duration plus
	// copyMargin.
	copyTimeoutFactor = 2
	copyMargin        = 1500 * time.Millisecond

	// pollInterval is the time between two checks of the statuses while waiting
	// for a condition.
	pollInterval = 20 * time.Millisecond

	// leadTime is how far ahead the step of a change is, so that all ranks are
	// armed before the group reaches it. minLead is the minimum in steps.
	leadTime = 150 * time.Millisecond
	minLead  = 2

	// maxHoldAttempts is the maximum number of attempts to hold the group, each
	// before a later step.
	maxHoldAttempts = 6
)

// improve plans a map and changes the group to it, if the planner finds a better
// map than the current one.
func (c *Coordinator) improve(ranks rankStatuses) error {
	layout, ok := c.options.Layout()
	if !ok {
		return nil
	}
	if c.planner == nil || c.layout != layout {
		c.layout = layout
		c.planner = c.options.NewPlanner(plannerOptions(len(ranks), layout))
	}
	for _, s := range ranks {
		if s.Map != c.current.Version {
			// The group has not reached the step of the last change yet, as in a
			// group without requests, or has just reached it.
			c.inControl = s.Armed.Version == c.current.Version
			return nil
		}
	}
	loads, ok := c.loads.update(time.Now(), ranks, layout)
	if !ok {
		return nil
	}
	if c.options.Suspended != nil && c.options.Suspended() {
		c.sleep(planInterval)
		return nil
	}
	speeds := speedsOf(ranks)
	next := c.planner.Plan(time.Now(), carawaybeam.PlanRequest{Current: c.current, Loads: loads, Speeds: speeds})
	if next.Version == c.current.Version {
		c.sleep(planInterval)
		return nil
	}
	c.mapCount++
	next.Version = carawaybeam.MapVersion(c.fence())*versionsPerFence + c.mapCount
	return c.change(ranks, next, loads, speeds)
}

// speedsOf returns the speeds of the ranks, where 1 is normal.
func speedsOf(ranks rankStatuses) []float64 {
	speeds := make([]float64, len(ranks))
	for i, s := range ranks {
		speeds[i] = 1 / max(1, s.Pace)
	}
	return speeds
}

func plannerOptions(ranks int, layout carawaybeam.ExpertLayout) carawaybeam.PlannerOptions {
	return carawaybeam.PlannerOptions{
		Ranks:        ranks,
		Slots:        layout.Slots,
		InstallDelay: layout.CopyTime,
		// The smallest plan takes effect soonest.
		MaxNewExperts:         1,
		MaxNewExpertsPerLayer: layout.NewExperts,
		ExpertShare:           layout.Share,
		CopySlowdown:          copySlowdown,
	}
}

// change changes the group to the next map: it prepares the map on all ranks, holds
// the group, arms all ranks and releases the hold.
func (c *Coordinator) change(
	ranks rankStatuses,
	next carawaybeam.ExpertMap,
	loads []carawaybeam.LayerLoad,
	speeds []float64,
) error {
	began := time.Now()
	order := c.order(ranks)
	err := c.sendToAll(ranks, prepareTimeout, func(ctx context.Context, engine carawaybeam.RankEngine) error {
		return engine.Prepare(ctx, order, next)
	})
	if err != nil {
		return err
	}
	copies := 0
	for _, n := range planner.Moves(c.current, next) {
		copies = max(copies, n)
	}
	timeout := copyTimeoutFactor*time.Duration(copies)*c.layout.CopyTime + copyMargin
	if err := c.awaitPrepared(ranks, next.Version, timeout); err != nil {
		return err
	}
	prepared := time.Since(began)
	step, err := c.hold(ranks)
	if err != nil {
		return err
	}
	armed := carawaybeam.ArmedMap{Version: next.Version, Step: step}
	err = c.sendToAll(ranks, orderTimeout, func(ctx context.Context, engine carawaybeam.RankEngine) error {
		return engine.Arm(ctx, order, armed)
	})
	if err != nil {
		return err
	}
	if err := c.release(ranks, step); err != nil {
		return err
	}
	c.options.Log.Info().Str("group", string(c.options.Group)).Uint64("fence", uint64(order.FencingToken)).
		Uint64("map", uint64(next.Version)).Uint64("before", uint64(c.current.Version)).
		Uint64("step", uint64(step)).Int("copies", copies).Dur("prepared", prepared).Dur("took", time.Since(began)).
		Float64("skewBefore", planner.Skew(c.current, loads, speeds)).
		Float64("skewAfter", planner.Skew(next, loads, speeds)).
		Msg("coordinator: map armed on all ranks")
	c.current = next
	c.sleep(planInterval)
	return nil
}

// awaitPrepared waits until all ranks have copied the experts of a map. It returns
// context.DeadlineExceeded after the timeout.
func (c *Coordinator) awaitPrepared(
	ranks rankStatuses,
	version carawaybeam.MapVersion,
	timeout time.Duration,
) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); c.sleep(pollInterval) {
		if err := c.checkEpoch(ranks[0].Epoch); err != nil {
			return err
		}
		if _, held := c.options.Lease.HeldUntilSuperseded(); !held {
			return errFenced
		}
		ready := 0
		for _, s := range c.options.Statuses() {
			if s.Prepared == version {
				ready++
			}
		}
		if ready == len(ranks) {
			return nil
		}
	}
	return context.DeadlineExceeded
}

// hold holds the group before a step that is a little ahead, and returns the step.
// The order always goes to rank 0, so that two processes cannot hold the group at
// the same time.
func (c *Coordinator) hold(ranks rankStatuses) (carawaybeam.Step, error) {
	order := c.order(ranks)
	lead := carawaybeam.Step(minLead)
	if stepTime := ranks[0].StepTime; stepTime > 0 {
		lead = max(lead, carawaybeam.Step(leadTime/stepTime)+1)
	}
	for range maxHoldAttempts {
		var step carawaybeam.Step
		for _, s := range c.options.Statuses() {
			step = max(step, s.Step)
		}
		step += lead
		err := c.sendUntilAnswered(
			ranks[0].Address,
			ranks[0].Epoch,
			orderTimeout,
			func(ctx context.Context, engine carawaybeam.RankEngine) error {
				return engine.Hold(ctx, order, step)
			},
		)
		var refused *carawaybeam.RankOrderError
		if !errors.As(err, &refused) {
			return step, err
		}
		// The group has begun the step already.
		lead++
		c.sleep(pollInterval)
	}
	return 0, errMoved
}

// release releases the hold before a step. It succeeds too if the rank no longer
// knows of the hold.
func (c *Coordinator) release(ranks rankStatuses, step carawaybeam.Step) error {
	order := c.order(ranks)
	err := c.sendUntilAnswered(
		ranks[0].Address,
		ranks[0].Epoch,
		orderTimeout,
		func(ctx context.Context, engine carawaybeam.RankEngine) error {
			return engine.Release(ctx, order, step)
		},
	)
	var refused *carawaybeam.RankOrderError
	if errors.As(err, &refused) {
		c.options.Log.Info().Str("group", string(c.options.Group)).Uint64("step", uint64(step)).
			Msg("coordinator: group was no longer held")
		return nil
	}
	return err
}
