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
	// LeaseDuration is how long the lease of a group holds after its renewal.
	LeaseDuration = 3 * time.Second

	// leaseInterval is how often the lease is tried, and leaseTimeout bounds one
	// try.
	leaseInterval = time.Second
	leaseTimeout  = 800 * time.Millisecond

	// tick is how often the group is looked at.
	tick = 25 * time.Millisecond

	// freshStatus is the age up to which a status counts. Several come in this
	// time.
	freshStatus = 700 * time.Millisecond

	// stuckHold is how long a hold may stand that this process has not made,
	// before the process takes the lease from a holder that has stopped. Clients
	// leave a stream after 2 s of silence.
	stuckHold = 500 * time.Millisecond

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
		// Want asks for picks or no longer does so.
		Want func(wanted bool)
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

	// Conductor conducts one group until Close.
	Conductor struct {
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
func New(options Options) *Conductor {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conductor{options: options, ctx: ctx, cancel: cancel, loads: newLoads()}
	c.wait.Go(c.keepLease)
	c.wait.Go(c.conduct)
	return c
}

// Close gives up control and waits. A change that is under way is left to the
// next holder.
func (c *Conductor) Close() error {
	c.cancel()
	c.wait.Wait()
	return nil
}

// keepLease competes for the lease.
func (c *Conductor) keepLease() {
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(c.ctx, leaseTimeout)
		if err := c.options.Lease.Try(ctx); err != nil && c.ctx.Err() == nil {
			c.options.Log.Debug().Err(err).Str("group", string(c.options.Group)).
				Msg("conductor: lease is not renewed")
		}
		cancel()
		c.sleep(leaseInterval)
	}
}

func (c *Conductor) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

func (c *Conductor) conduct() {
	defer c.options.Want(false)
	for c.ctx.Err() == nil {
		c.sleep(tick)
		epoch, held := c.options.Lease.Held()
		c.options.Want(held)
		if !held {
			c.taken = false
			c.seizeIfStuck()
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
func (c *Conductor) once() error {
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
	return c.improve(ranks)
}

// fail notes that a step of the work has failed. The next one begins by taking
// the group over under a new fencing number.
func (c *Conductor) fail(err error) {
	c.options.Log.Warn().Err(err).Str("group", string(c.options.Group)).
		Uint64("fence", uint64(c.fence())).Msg("conductor: work on the group has failed")
	c.taken = false
	if c.bumps++; c.bumps >= maxFenceBumps {
		c.bumps = 0
	}
}

// fence returns the fencing number of orders. It grows with the epoch of the
// lease and, within it, with each new start of the work.
func (c *Conductor) fence() carawaybeam.Epoch { return c.leaseEpoch*maxFenceBumps + c.bumps }

// order returns what orders to the group carry.
func (c *Conductor) order(ranks crew) carawaybeam.RankOrder {
	return carawaybeam.RankOrder{Fence: c.fence(), Epoch: ranks[0].Epoch}
}

// crew returns the ranks if all of them tell of one open group.
func (c *Conductor) crew() (crew, error) {
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
func (c *Conductor) check(epoch uint64) error {
	for _, s := range c.options.Statuses() {
		if s.Epoch > epoch {
			return errReformed
		}
	}
	return c.ctx.Err()
}

// seizeIfStuck takes the lease from a holder that has left the group held.
func (c *Conductor) seizeIfStuck() {
	statuses := c.options.Statuses()
	var held carawaybeam.Step
	for _, s := range statuses {
		if s.Held != 0 && time.Since(s.Received) <= freshStatus {
			held = s.Held
		}
	}
	if held == 0 || held != c.heldStep {
		c.heldStep, c.heldSince = held, time.Now()
		return
	}
	// Processes that see the same do not all act at once.
	if time.Since(c.heldSince) < stuckHold+rand.N(stuckHold) {
		return
	}
	c.options.Log.Warn().Str("group", string(c.options.Group)).Uint64("step", uint64(held)).
		Dur("for", time.Since(c.heldSince)).Msg("conductor: group is held without progress, lease is seized")
	c.heldSince = time.Now()
	ctx, cancel := context.WithTimeout(c.ctx, leaseTimeout)
	defer cancel()
	if err := c.options.Lease.Seize(ctx); err != nil {
		c.options.Log.Warn().Err(err).Str("group", string(c.options.Group)).Msg("conductor: lease is not seized")
	}
}
