// Package conductor changes the expert map of a group whose ranks take orders,
// so that all ranks begin each step with one map.
//
// The holder of the group's lease copies a new map to all ranks, holds the group
// before a step that is a little ahead, arms all ranks for that step, and releases
// the hold once each rank has said that it is armed. An order without an answer
// may be carried out late. Late orders of this change do no harm, since they say
// what holds anyway or come after the step; those of other changes are refused by
// their fencing number.
//
// The lease has no duration: the holder shows by its requests for picks that it
// works, and another process takes the lease once the ranks have not heard one for
// a while. A holder that wakes later finds its orders refused.
//
// Whoever takes the lease, or fails in the middle of a change, first raises the
// fencing number on all ranks and then completes the change that it finds, or
// takes it back. A change is taken back only while the hold stands.
package conductor

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/collector"
	"github.com/carawaybeam/carawaybeam/leaser"
)

const (
	// leaseTimeout bounds one try to take the lease.
	leaseTimeout = 800 * time.Millisecond

	// silentHolder is for how long no rank must have been asked for picks before
	// another process takes the lease. The holder asks with each status, several
	// times a second.
	silentHolder = 300 * time.Millisecond

	// tick is how often the group is looked at.
	tick = 25 * time.Millisecond

	// freshStatus is the age up to which a status counts. Several come in this
	// time.
	freshStatus = 700 * time.Millisecond

	// maxJitter bounds how long a process waits before it tries the lease.
	maxJitter = 150 * time.Millisecond

	// contendPause is the least time between two tries. In it the statuses show
	// that another process got the lease.
	contendPause = 500 * time.Millisecond

	// stuckHold is how long a hold may stand before another process takes the
	// lease from a holder that still asks for picks. It is longer than a change
	// takes whose orders have to be sent several times.
	stuckHold = 1500 * time.Millisecond

	// maxFenceBumps is how many fencing numbers a holder has for one epoch.
	maxFenceBumps = 1 << 10

	// versionsPerFence is how many maps a holder can make with one fencing
	// number.
	versionsPerFence = 1 << 16
)

type (
	// Options is what a Conductor is made from.
	Options struct {
		Group carawaybeam.GroupID
		// Statuses returns the newest status of each rank, by rank.
		Statuses func() []collector.Status
		// WantPicks asks for picks or no longer does so.
		WantPicks func(wanted bool)
		// Engine returns the client of the rank at an address.
		Engine func(address carawaybeam.Address) carawaybeam.RankEngine
		// Layout returns the bounds of the group's maps. It reports false while
		// they are not known.
		Layout func() (carawaybeam.ExpertLayout, bool)
		// NewPlanner makes the planner of the group.
		NewPlanner func(carawaybeam.PlannerOptions) carawaybeam.Planner
		Lease      *leaser.Leaser
		Log        zerolog.Logger
	}

	// Coordinator conducts one group until Close.
	Coordinator struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		// What follows is used by the goroutine of conduct only.

		leaseEpoch carawaybeam.Epoch
		bumps      carawaybeam.Epoch
		// taken is set once this fencing number is known to all ranks and no
		// earlier change is under way.
		taken bool
		// epoch is that of the group in which taken holds.
		epoch uint64
		maps  carawaybeam.MapVersion
		// present is the map in use.
		present carawaybeam.ExpertMap
		// undo is a map whose change cannot be completed.
		undo    carawaybeam.MapVersion
		loads   *loads
		planner carawaybeam.Planner
		layout  carawaybeam.ExpertLayout
		// heldSince is when a hold of the given step was first seen.
		heldSince time.Time
		heldStep  carawaybeam.Step
		// abandonedSince is since when nobody seems to control the group, and
		// jitter how long this process waits then.
		abandonedSince time.Time
		jitter         time.Duration
		// contendAfter is when this process tries the lease again.
		contendAfter time.Time
	}

	// crew is the ranks of a complete group, by rank.
	crew []collector.Status
)

var (
	errReformed   = errors.New("group has formed anew")
	errIncomplete = errors.New("group is not complete")
	errFenced     = errors.New("another process controls the group")
	errMoved      = errors.New("map in use is another than expected")
)

// New returns a Conductor that works until Close.
func New(options Options) *Coordinator {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordinator{options: options, ctx: ctx, cancel: cancel, loads: newLoads()}
	c.wait.Go(c.conduct)
	return c
}

// Close gives up control and waits. A change that is under way is left to the
// next holder.
func (c *Coordinator) Close() error {
	c.cancel()
	c.wait.Wait()
	return nil
}

func (c *Coordinator) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

func (c *Coordinator) conduct() {
	defer c.options.WantPicks(false)
	for c.ctx.Err() == nil {
		c.sleep(tick)
		epoch, held := c.options.Lease.HeldUntilSuperseded()
		c.options.WantPicks(held)
		if !held {
			c.taken = false
			c.contend()
			continue
		}
		if epoch != c.leaseEpoch {
			c.leaseEpoch, c.bumps, c.taken = epoch, 0, false
			c.options.Log.Info().Str("group", string(c.options.Group)).Uint64("epoch", uint64(epoch)).
				Msg("conductor: lease is held")
		}
		if err := c.once(); err != nil && c.ctx.Err() == nil {
			c.fail(err)
		}
	}
}

// once takes the group over, or makes one change if one pays.
func (c *Coordinator) once() error {
	ranks, err := c.crew()
	if err != nil {
		c.taken = false
		return nil //nolint:nilerr // A group that is not complete is waited for.
	}
	if !c.taken || c.epoch != ranks[0].Epoch {
		if err := c.takeOver(ranks); err != nil {
			return err
		}
	}
	if _, _, held := findChange(ranks); held != 0 {
		// An order to hold that got no answer was carried out behind the release.
		// No change is under way, and no other process can begin one.
		return c.release(ranks, held)
	}
	return c.improve(ranks)
}

// fail notes that a step of the work has failed. The next one begins by taking
// the group over under a new fencing number.
func (c *Coordinator) fail(err error) {
	c.options.Log.Warn().Err(err).Str("group", string(c.options.Group)).
		Uint64("fence", uint64(c.fence())).Msg("conductor: work on the group has failed")
	c.taken = false
	if errors.Is(err, errFenced) {
		c.options.Lease.MarkLost()
		return
	}
	if c.bumps++; c.bumps >= maxFenceBumps {
		c.bumps = 0
	}
}

// fence returns the fencing number of orders. It grows with the epoch of the
// lease and, within it, with each new start of the work.
func (c *Coordinator) fence() carawaybeam.Epoch { return c.leaseEpoch*maxFenceBumps + c.bumps }

// order returns what orders to the group carry.
func (c *Coordinator) order(ranks crew) carawaybeam.RankOrder {
	return carawaybeam.RankOrder{FencingToken: c.fence(), Epoch: ranks[0].Epoch}
}

// crew returns the ranks if all of them tell of one open group.
func (c *Coordinator) crew() (crew, error) {
	statuses := c.options.Statuses()
	if len(statuses) == 0 || len(statuses) != statuses[0].Size {
		return nil, errIncomplete
	}
	for i, s := range statuses {
		if int(s.Rank) != i || !s.Open || s.Epoch != statuses[0].Epoch || time.Since(s.Received) > freshStatus {
			return nil, errIncomplete
		}
	}
	return statuses, nil
}

// check tells whether the group is still the one in which work began.
func (c *Coordinator) check(epoch uint64) error {
	for _, s := range c.options.Statuses() {
		if s.Epoch > epoch {
			return errReformed
		}
	}
	return c.ctx.Err()
}

// contend takes the lease when no process controls the group, or when its holder
// has left the group held.
func (c *Coordinator) contend() {
	now := time.Now()
	if !c.isAbandoned(now) || now.Before(c.contendAfter) {
		c.abandonedSince = time.Time{}
		return
	}
	if c.abandonedSince.IsZero() {
		c.abandonedSince, c.jitter = now, rand.N(maxJitter)
		c.lease("observed", c.options.Lease.Observe)
		return
	}
	// Processes that see the same do not all act at once, and of those that do
	// only the first gets the lease.
	if now.Sub(c.abandonedSince) < c.jitter {
		return
	}
	c.abandonedSince, c.heldSince, c.contendAfter = time.Time{}, now, now.Add(contendPause)
	c.lease("seized", c.options.Lease.Seize)
}

// lease puts one call on the lease.
func (c *Coordinator) lease(what string, call func(context.Context) error) {
	ctx, cancel := context.WithTimeout(c.ctx, leaseTimeout)
	defer cancel()
	line := c.options.Log.Info()
	if err := call(ctx); err != nil {
		line = c.options.Log.Warn().Err(err)
	}
	line.Str("group", string(c.options.Group)).Uint64("held", uint64(c.heldStep)).
		Msg("conductor: nobody controls the group, lease is " + what)
}

// isAbandoned tells whether the ranks have not heard of a holder for a while, or
// one that they hear leaves the group held.
func (c *Coordinator) isAbandoned(now time.Time) bool {
	var held carawaybeam.Step
	var asked time.Time
	fresh := 0
	for _, s := range c.options.Statuses() {
		if now.Sub(s.Received) > freshStatus {
			continue
		}
		fresh++
		held = max(held, s.Held)
		if s.PicksRequested.After(asked) {
			asked = s.PicksRequested
		}
	}
	if held == 0 || held != c.heldStep {
		c.heldStep, c.heldSince = held, now
	}
	stuck := held != 0 && now.Sub(c.heldSince) > stuckHold
	return fresh > 0 && (stuck || now.Sub(asked) > silentHolder)
}
