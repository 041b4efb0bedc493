package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/planner"
)

const (
	// planInterval is the least time between two plans. New picks come about as
	// often.
	planInterval = 60 * time.Millisecond

	// copySlowdown is by which part steps are longer while experts are copied,
	// as the platform says.
	copySlowdown = 0.15

	// copyPatience is how much longer than planned copies may take, with
	// copyMargin beside it.
	copyPatience = 2
	copyMargin   = 1500 * time.Millisecond

	// pollInterval is how often statuses are looked at while something is waited
	// for.
	pollInterval = 20 * time.Millisecond

	// leadTime is how far ahead the step of a change is, so that all ranks are
	// armed before the group reaches it, and minLead the least number of steps.
	leadTime = 150 * time.Millisecond
	minLead  = 2

	// maxHoldTries is how often a hold is tried at a later step.
	maxHoldTries = 6
)

// improve plans and makes one change, if one pays.
func (c *Coordinator) improve(ranks crew) error {
	layout, ok := c.options.Layout()
	if !ok {
		return nil
	}
	if c.planner == nil || c.layout != layout {
		c.layout = layout
		c.planner = c.options.NewPlanner(plannerOptions(len(ranks), layout))
	}
	for _, s := range ranks {
		if s.Map != c.present.Version {
			// The step of a change is still ahead, as in a group without requests,
			// or has just come.
			c.taken = s.Armed.Version == c.present.Version
			return nil
		}
	}
	loads, ok := c.loads.observe(time.Now(), ranks, layout)
	if !ok {
		return nil
	}
	speeds := speedsOf(ranks)
	next := c.planner.Plan(time.Now(), carawaybeam.PlanRequest{Current: c.present, Loads: loads, Speeds: speeds})
	if next.Version == c.present.Version {
		c.sleep(planInterval)
		return nil
	}
	c.maps++
	next.Version = carawaybeam.MapVersion(c.fence())*versionsPerFence + c.maps
	return c.change(ranks, next, loads, speeds)
}

// speedsOf returns the speeds of the ranks, where 1 is usual.
func speedsOf(ranks crew) []float64 {
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
		// The smallest plan is in force soonest.
		MaxNewExperts:         1,
		MaxNewExpertsPerLayer: layout.NewExperts,
		ExpertShare:           layout.Share,
		CopySlowdown:          copySlowdown,
	}
}

// change brings a map in force on all ranks.
func (c *Coordinator) change(
	ranks crew,
	next carawaybeam.ExpertMap,
	loads []carawaybeam.LayerLoad,
	speeds []float64,
) error {
	began := time.Now()
	order := c.order(ranks)
	err := c.all(ranks, func(ctx context.Context, engine carawaybeam.RankEngine) error {
		return engine.Prepare(ctx, order, next)
	})
	if err != nil {
		return err
	}
	copies := 0
	for _, n := range planner.Moves(c.present, next) {
		copies = max(copies, n)
	}
	patience := copyPatience*time.Duration(copies)*c.layout.CopyTime + copyMargin
	if err := c.awaitPrepared(ranks, next.Version, patience); err != nil {
		return err
	}
	prepared := time.Since(began)
	step, err := c.hold(ranks)
	if err != nil {
		return err
	}
	armed := carawaybeam.ArmedMap{Version: next.Version, Step: step}
	err = c.all(ranks, func(ctx context.Context, engine carawaybeam.RankEngine) error {
		return engine.Arm(ctx, order, armed)
	})
	if err != nil {
		return err
	}
	if err := c.release(ranks, step); err != nil {
		return err
	}
	c.options.Log.Info().Str("group", string(c.options.Group)).Uint64("fence", uint64(order.FencingToken)).
		Uint64("map", uint64(next.Version)).Uint64("before", uint64(c.present.Version)).
		Uint64("step", uint64(step)).Int("copies", copies).Dur("prepared", prepared).Dur("took", time.Since(began)).
		Float64("skewBefore", planner.Skew(c.present, loads, speeds)).
		Float64("skewAfter", planner.Skew(next, loads, speeds)).
		Msg("conductor: map is armed")
	c.present = next
	c.sleep(planInterval)
	return nil
}

// awaitPrepared waits until all ranks have copied a map.
func (c *Coordinator) awaitPrepared(ranks crew, version carawaybeam.MapVersion, patience time.Duration) error {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); c.sleep(pollInterval) {
		if err := c.check(ranks[0].Epoch); err != nil {
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

// hold keeps the group from a step that is a little ahead, and returns the step.
// Holds are made on rank 0, so that two processes cannot hold at once.
func (c *Coordinator) hold(ranks crew) (carawaybeam.Step, error) {
	order := c.order(ranks)
	lead := carawaybeam.Step(minLead)
	if stepTime := ranks[0].StepTime; stepTime > 0 {
		lead = max(lead, carawaybeam.Step(leadTime/stepTime)+1)
	}
	for range maxHoldTries {
		var step carawaybeam.Step
		for _, s := range c.options.Statuses() {
			step = max(step, s.Step)
		}
		step += lead
		err := c.insist(
			ranks[0].Address,
			ranks[0].Epoch,
			func(ctx context.Context, engine carawaybeam.RankEngine) error {
				return engine.Hold(ctx, order, step)
			},
		)
		var refused *carawaybeam.RankOrderError
		if !errors.As(err, &refused) {
			return step, err
		}
		// The step has begun meanwhile.
		lead++
		c.sleep(pollInterval)
	}
	return 0, errMoved
}

// release ends the hold of a step. One that the rank does not know any more needs
// no release.
func (c *Coordinator) release(ranks crew, step carawaybeam.Step) error {
	order := c.order(ranks)
	err := c.insist(ranks[0].Address, ranks[0].Epoch, func(ctx context.Context, engine carawaybeam.RankEngine) error {
		return engine.Release(ctx, order, step)
	})
	var refused *carawaybeam.RankOrderError
	if errors.As(err, &refused) {
		c.options.Log.Info().Str("group", string(c.options.Group)).Uint64("step", uint64(step)).
			Msg("conductor: step was not held any more")
		return nil
	}
	return err
}
