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
	// groupInterval is how often new groups are looked for.
	groupInterval = 500 * time.Millisecond

	// engineTimeout bounds one call to a rank. Orders have a closer bound.
	engineTimeout = time.Second
)

type (
	newEngine  = func(carawaybeam.RankEngineOptions) (carawaybeam.RankEngine, error)
	newPlanner = func(carawaybeam.PlannerOptions) carawaybeam.Planner
)

// conductors runs a conductor for each group that reports.
type conductors struct {
	entry      *directEntry
	newEngine  newEngine
	newPlanner newPlanner
	holder     carawaybeam.Incarnation
	ticker     starter.Closers

	mu      sync.Mutex
	engines map[carawaybeam.Address]carawaybeam.RankEngine
	groups  map[carawaybeam.GroupID]*coordinator.Coordinator
	closers starter.Closers
}

func newConductors(entry *directEntry, engine newEngine, planner newPlanner) *conductors {
	c := &conductors{
		entry:      entry,
		newEngine:  engine,
		newPlanner: planner,
		holder:     carawaybeam.NewIncarnation(),
		engines:    make(map[carawaybeam.Address]carawaybeam.RankEngine),
		groups:     make(map[carawaybeam.GroupID]*coordinator.Coordinator),
	}
	c.ticker.Add(starter.Repeat(groupInterval, c.follow))
	return c
}

// Close ends all conductors and waits.
func (c *conductors) Close() error {
	if err := c.ticker.Close(); err != nil {
		return err
	}
	return c.closers.Close()
}

// follow starts a conductor for each new group.
func (c *conductors) follow() {
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
			Log: c.entry.log,
		})
		c.closers.Add(c.groups[group])
	}
}

// engine returns the client of the rank at an address.
func (c *conductors) engine(address carawaybeam.Address) carawaybeam.RankEngine {
	c.mu.Lock()
	defer c.mu.Unlock()
	engine, ok := c.engines[address]
	if !ok {
		var err error
		engine, err = c.newEngine(carawaybeam.RankEngineOptions{Address: address, Timeout: engineTimeout})
		if err != nil {
			c.entry.log.Error().Err(err).Str("rank", string(address)).Msg("entry: rank has no client")
			return nil
		}
		c.engines[address] = engine
	}
	return engine
}

// layout returns the bounds of the maps of a group, which are those of the pool
// of its ranks.
func (c *conductors) layout(group carawaybeam.GroupID) (carawaybeam.ExpertLayout, bool) {
	config := c.entry.adopter.Current()
	statuses := c.entry.collector.Statuses(group)
	if config == nil || len(statuses) == 0 {
		return carawaybeam.ExpertLayout{}, false
	}
	id, ok := c.entry.curator.PoolAt(statuses[0].Address)
	if !ok {
		return carawaybeam.ExpertLayout{}, false
	}
	pool := config.Pool(id)
	if pool == nil || pool.Engine == nil || pool.Engine.Experts == nil {
		return carawaybeam.ExpertLayout{}, false
	}
	return *pool.Engine.Experts, true
}
