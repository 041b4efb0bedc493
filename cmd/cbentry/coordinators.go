package main

import (
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/collector"
	"github.com/carawaybeam/carawaybeam/leaser"
	"github.com/carawaybeam/carawaybeam/proposer/coordinator"
	"github.com/carawaybeam/carawaybeam/starter"
)

const (
	// groupInterval is the time between two checks for new groups.
	groupInterval = 500 * time.Millisecond

	// engineTimeout is the timeout of one call to a rank. Orders have a shorter
	// timeout.
	engineTimeout = time.Second
)

type (
	newEngine  = func(carawaybeam.RankEngineOptions) (carawaybeam.RankEngine, error)
	newPlanner = func(carawaybeam.PlannerOptions) carawaybeam.Planner
)

// coordinators runs a coordinator for each group whose ranks send statuses.
type coordinators struct {
	entry      *directEntry
	newEngine  newEngine
	newPlanner newPlanner
	holder     carawaybeam.Incarnation
	repeater   starter.Closers

	mu      sync.Mutex
	engines map[carawaybeam.Address]carawaybeam.RankEngine
	groups  map[carawaybeam.GroupID]*coordinator.Coordinator
	closers starter.Closers
}

func newCoordinators(entry *directEntry, engine newEngine, planner newPlanner) *coordinators {
	c := &coordinators{
		entry:      entry,
		newEngine:  engine,
		newPlanner: planner,
		holder:     carawaybeam.NewIncarnation(),
		engines:    make(map[carawaybeam.Address]carawaybeam.RankEngine),
		groups:     make(map[carawaybeam.GroupID]*coordinator.Coordinator),
	}
	c.repeater.Add(starter.Repeat(groupInterval, c.startNew))
	return c
}

// Close closes all coordinators and waits for them.
func (c *coordinators) Close() error {
	if err := c.repeater.Close(); err != nil {
		return err
	}
	return c.closers.Close()
}

// startNew starts a coordinator for each new group.
func (c *coordinators) startNew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, group := range c.entry.collector.Groups() {
		if _, ok := c.groups[group]; ok {
			continue
		}
		c.groups[group] = coordinator.New(coordinator.Options{
			Group:      group,
			Statuses:   func() []collector.Status { return c.entry.collector.Statuses(group) },
			WantPicks:  func(wanted bool) { c.entry.collector.SetPicksWanted(group, wanted) },
			Engine:     c.engine,
			Layout:     func() (carawaybeam.ExpertLayout, bool) { return c.layout(group) },
			NewPlanner: c.newPlanner,
			Lease: leaser.New(leaser.Options{
				Store:  c.entry.store,
				Name:   string(group),
				Holder: c.holder,
			}),
			Suspended: func() bool { return c.entry.groupEvacuated(group) },
			Log:       c.entry.log,
		})
		c.closers.Add(c.groups[group])
	}
}

// engine returns the client of the rank at an address, or nil if it cannot be
// created.
func (c *coordinators) engine(address carawaybeam.Address) carawaybeam.RankEngine {
	c.mu.Lock()
	defer c.mu.Unlock()
	engine, ok := c.engines[address]
	if !ok {
		direct, err := c.newEngine(carawaybeam.RankEngineOptions{Address: address, Timeout: engineTimeout})
		if err != nil {
			c.entry.log.Error().Err(err).Str("rank", string(address)).Msg("entry: cannot create the client of a rank")
			return nil
		}
		engine = c.entry.orderer.Engine(address, direct)
		c.engines[address] = engine
	}
	return engine
}

// layout returns the limits that the maps of a group must respect, which are those of
// the pool of its ranks. It returns false while they are unknown.
func (c *coordinators) layout(group carawaybeam.GroupID) (carawaybeam.ExpertLayout, bool) {
	config := c.entry.adopter.Current()
	statuses := c.entry.collector.Statuses(group)
	if config == nil || len(statuses) == 0 {
		return carawaybeam.ExpertLayout{}, false
	}
	id, ok := c.entry.discoverer.PoolAt(statuses[0].Address)
	if !ok {
		return carawaybeam.ExpertLayout{}, false
	}
	pool := config.Pool(id)
	if pool == nil || pool.Engine == nil || pool.Engine.Experts == nil {
		return carawaybeam.ExpertLayout{}, false
	}
	return *pool.Engine.Experts, true
}
