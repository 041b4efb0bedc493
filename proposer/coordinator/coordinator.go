// Package coordinator changes the expert map of a group whose ranks take orders,
// so that all ranks begin each step with the same map.
//
// The holder of the group's lease copies a new map to all ranks, holds the group
// before a step that is a little ahead, arms all ranks for that step, and releases
// the hold once each rank has confirmed that it is armed. An order that is not
// answered may be executed late. Late orders of the same change are harmless,
// since they repeat the current state or arrive after the step; those of other
// changes are rejected because of their fencing token.
//
// The lease has no duration. The holder shows that it is alive by requesting
// picks, and another process seizes the lease once the ranks have not received
// such a request for a while. If the former holder resumes, its orders are
// rejected.
//
// A process that has acquired the lease, or has failed during a change, first
// raises the fencing token on all ranks. It then completes the pending change that
// it finds, or rolls it back. A change is rolled back only while the group is
// held.
package coordinator

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
	// leaseTimeout is the timeout of one attempt to seize the lease.
	leaseTimeout = 800 * time.Millisecond

	// holderTimeout is the time without a request for picks after which the
	// holder is presumed dead and another process seizes the lease. A live holder
	// requests picks with each status, several times a second.
	holderTimeout = 300 * time.Millisecond

	// checkInterval is the time between two checks of the group.
	checkInterval = 25 * time.Millisecond

	// maxStatusAge is the age above which a status is ignored. Several statuses
	// arrive within this time.
	maxStatusAge = 700 * time.Millisecond

	// maxJitter is the maximum random delay before a process seizes the lease.
	maxJitter = 150 * time.Millisecond

	// seizeInterval is the minimum time between two attempts to seize the lease.
	// It is long enough for the statuses to show that another process has got it.
	seizeInterval = 500 * time.Millisecond

	// maxHoldTime is how long the group may be held before another process seizes
	// the lease from a holder that still requests picks. It is longer than a
	// change takes whose orders have to be sent several times.
	maxHoldTime = 1500 * time.Millisecond

	// fencesPerEpoch is the number of fencing tokens available for one epoch of
	// the lease.
	fencesPerEpoch = 1 << 10

	// versionsPerFence is the number of map versions available for one fencing
	// token.
	versionsPerFence = 1 << 16
)

type (
	// Options configures a Coordinator.
	Options struct {
		Group carawaybeam.GroupID
		// Statuses returns the newest status of each rank, by rank.
		Statuses func() []collector.Status
		// WantPicks starts or stops requesting picks from the ranks.
		WantPicks func(wanted bool)
		// Engine returns the client of the rank at an address.
		Engine func(address carawaybeam.Address) carawaybeam.RankEngine
		// Layout returns the limits that the maps of the group must respect. It
		// returns false while they are unknown.
		Layout func() (carawaybeam.ExpertLayout, bool)
		// NewPlanner returns a planner for the group.
		NewPlanner func(carawaybeam.PlannerOptions) carawaybeam.Planner
		Lease      *leaser.Leaser
		// Suspended reports whether no change may be begun. A pending one is completed. If
		// nil, changes may always begin.
		Suspended func() bool
		Log       zerolog.Logger
	}

	// Coordinator coordinates the map changes of one group until Close, while
	// this process holds the lease.
	Coordinator struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		// The fields below are used only by the goroutine that runs the method
		// run.

		leaseEpoch carawaybeam.Epoch
		// fenceOffset distinguishes the fencing tokens of one lease epoch. It
		// grows with each failure.
		fenceOffset carawaybeam.Epoch
		// inControl is set once all ranks know the current fencing token and no
		// earlier change is pending.
		inControl bool
		// epoch is the epoch of the group for which inControl is set.
		epoch uint64
		// mapCount is the number of maps made so far.
		mapCount carawaybeam.MapVersion
		// current is the map in use.
		current carawaybeam.ExpertMap
		// rollbackVersion is the version of a map whose change cannot be
		// completed.
		rollbackVersion carawaybeam.MapVersion
		loads           *loads
		planner         carawaybeam.Planner
		layout          carawaybeam.ExpertLayout
		// heldSince is when the hold before heldStep was first seen.
		heldSince time.Time
		heldStep  carawaybeam.Step
		// abandonedSince is when the group was first seen without a working
		// holder, and jitter the delay after it before this process seizes the
		// lease.
		abandonedSince time.Time
		jitter         time.Duration
		// nextSeizeAt is the earliest time of the next attempt to seize the lease.
		nextSeizeAt time.Time
	}

	// rankStatuses contains the statuses of all ranks of a complete group, by
	// rank.
	rankStatuses []collector.Status
)

var (
	errReformed   = errors.New("group has re-formed in a newer epoch")
	errIncomplete = errors.New("group is not complete")
	errFenced     = errors.New("another process controls the group")
	errMoved      = errors.New("group is at another map or step than expected")
)

// New returns a Coordinator, which runs until Close.
func New(options Options) *Coordinator {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coordinator{options: options, ctx: ctx, cancel: cancel, loads: newLoads()}
	c.wait.Go(c.run)
	return c
}

// Close stops the coordinator and waits for it. A pending change is left to the
// next holder of the lease.
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

// run coordinates the group while the lease is held, and otherwise watches for
// a missing holder.
func (c *Coordinator) run() {
	defer c.options.WantPicks(false)
	for c.ctx.Err() == nil {
		c.sleep(checkInterval)
		epoch, held := c.options.Lease.HeldUntilSuperseded()
		c.options.WantPicks(held)
		if !held {
			c.inControl = false
			c.trySeize()
			continue
		}
		if epoch != c.leaseEpoch {
			c.leaseEpoch, c.fenceOffset, c.inControl = epoch, 0, false
			c.options.Log.Info().Str("group", string(c.options.Group)).Uint64("epoch", uint64(epoch)).
				Msg("coordinator: lease acquired")
		}
		if err := c.runOnce(); err != nil && c.ctx.Err() == nil {
			c.recordFailure(err)
		}
	}
}

// runOnce takes control of the group if necessary, and then makes at most one
// change.
func (c *Coordinator) runOnce() error {
	ranks, err := c.completeGroup()
	if err != nil {
		c.inControl = false
		return nil //nolint:nilerr // The next call checks again whether the group is complete.
	}
	if !c.inControl || c.epoch != ranks[0].Epoch {
		if err := c.takeOver(ranks); err != nil {
			return err
		}
	}
	if _, _, held := findPendingChange(ranks); held != 0 {
		// An unanswered order to hold was executed after the release. No change is
		// pending, and no other process can begin one.
		return c.release(ranks, held)
	}
	return c.improve(ranks)
}

// recordFailure logs an error of runOnce. The next runOnce takes control of the
// group again under a new fencing token, unless another process has the lease.
func (c *Coordinator) recordFailure(err error) {
	c.options.Log.Warn().Err(err).Str("group", string(c.options.Group)).
		Uint64("fence", uint64(c.fence())).Msg("coordinator: takeover or map change failed")
	c.inControl = false
	if errors.Is(err, errFenced) {
		c.options.Lease.MarkLost()
		return
	}
	if c.fenceOffset++; c.fenceOffset >= fencesPerEpoch {
		// The next fencing token would be one of the next epoch.
		c.options.Lease.MarkLost()
	}
}

// fence returns the fencing token of orders. It grows with the epoch of the lease
// and, within an epoch, with each failure.
func (c *Coordinator) fence() carawaybeam.Epoch { return c.leaseEpoch*fencesPerEpoch + c.fenceOffset }

// order returns the fields that are common to all orders to the group.
func (c *Coordinator) order(ranks rankStatuses) carawaybeam.RankOrder {
	return carawaybeam.RankOrder{FencingToken: c.fence(), Epoch: ranks[0].Epoch}
}

// completeGroup returns the statuses of all ranks. It returns errIncomplete unless
// all of them are recent and report the same epoch of one open group.
func (c *Coordinator) completeGroup() (rankStatuses, error) {
	statuses := c.options.Statuses()
	if len(statuses) == 0 || len(statuses) != statuses[0].Size {
		return nil, errIncomplete
	}
	for i, s := range statuses {
		if int(s.Rank) != i || !s.Open || s.Epoch != statuses[0].Epoch || time.Since(s.Received) > maxStatusAge {
			return nil, errIncomplete
		}
	}
	return statuses, nil
}

// checkEpoch returns errReformed if the group has formed again since the epoch, or
// the error of the context after Close.
func (c *Coordinator) checkEpoch(epoch uint64) error {
	for _, s := range c.options.Statuses() {
		if s.Epoch > epoch {
			return errReformed
		}
	}
	return c.ctx.Err()
}

// trySeize seizes the lease if no process controls the group, or if its holder has
// left the group held.
func (c *Coordinator) trySeize() {
	now := time.Now()
	if !c.isAbandoned(now) || now.Before(c.nextSeizeAt) {
		c.abandonedSince = time.Time{}
		return
	}
	if c.abandonedSince.IsZero() {
		c.abandonedSince, c.jitter = now, rand.N(maxJitter)
		c.callLease("observed", c.options.Lease.Observe)
		return
	}
	// The jitter keeps processes that observe the same statuses from acting all
	// at once. Of those that do, only the first gets the lease.
	if now.Sub(c.abandonedSince) < c.jitter {
		return
	}
	c.abandonedSince, c.heldSince, c.nextSeizeAt = time.Time{}, now, now.Add(seizeInterval)
	c.callLease("seized", c.options.Lease.Seize)
}

// callLease makes one call on the lease and logs it.
func (c *Coordinator) callLease(what string, call func(context.Context) error) {
	ctx, cancel := context.WithTimeout(c.ctx, leaseTimeout)
	defer cancel()
	line := c.options.Log.Info()
	if err := call(ctx); err != nil {
		line = c.options.Log.Warn().Err(err)
	}
	line.Str("group", string(c.options.Group)).Uint64("held", uint64(c.heldStep)).
		Msg("coordinator: no process controls the group, lease is being " + what)
}

// isAbandoned reports whether the ranks have not received a request for picks for
// holderTimeout, or the group has been held for longer than maxHoldTime.
func (c *Coordinator) isAbandoned(now time.Time) bool {
	var held carawaybeam.Step
	var requested time.Time
	fresh := 0
	for _, s := range c.options.Statuses() {
		if now.Sub(s.Received) > maxStatusAge {
			continue
		}
		fresh++
		held = max(held, s.Held)
		if s.PicksRequested.After(requested) {
			requested = s.PicksRequested
		}
	}
	if held == 0 || held != c.heldStep {
		c.heldStep, c.heldSince = held, now
	}
	stuck := held != 0 && now.Sub(c.heldSince) > maxHoldTime
	return fresh > 0 && (stuck || now.Sub(requested) > holderTimeout)
}
