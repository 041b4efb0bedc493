package proposer

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/leaser"
	"github.com/carawaybeam/carawaybeam/planner"
)

// maxCalls bounds the agents that are spoken to at once.
const maxCalls = 16

var errNotStable = errors.New("agent has not learnt the schedule of its group")

// controller competes for the control of one group.
type controller struct {
	options  Options
	group    string
	document GroupSettings
	ranks    carawaybeam.RankClient
	planner  carawaybeam.Planner
	lease    *leaser.Leaser
}

func (c *controller) run(ctx context.Context) {
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	replan := time.NewTicker(c.document.period())
	defer replan.Stop()
	c.tryLease(ctx)
	for {
		select {
		case <-renew.C:
			c.tryLease(ctx)
		case <-replan.C:
			c.control(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (c *controller) tryLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.lease.AcquireOrRenew(ctx); err != nil {
		c.options.Log.Debug().Err(err).Str("group", c.group).Msg("proposer: lease not renewed")
	}
}

// control plans and proposes while the lease is held.
func (c *controller) control(ctx context.Context) {
	epoch, held := c.lease.Held()
	if !held {
		return
	}
	if err := c.replan(ctx, epoch); err != nil && ctx.Err() == nil {
		c.options.Log.Warn().Err(err).Str("group", c.group).Msg("proposer: nothing proposed")
	}
}

// replan proposes the next map, if the planner has another one.
func (c *controller) replan(ctx context.Context, epoch carawaybeam.Epoch) error {
	status, err := c.call(ctx, c.document.Peers[0], &framer.Propose{Group: c.group})
	if err != nil {
		return err
	}
	if !status.GetStable() {
		return errNotStable
	}
	loads, err := c.ranks.Loads(ctx)
	if err != nil {
		return err
	}
	kept, version, err := c.readPlans(ctx)
	if err != nil {
		return err
	}
	inForce := carawaybeam.MapDigest(status.GetSchedule().GetCurrent().GetDigest())
	present := c.present(kept, inForce)
	next := c.planner.Plan(time.Now(), carawaybeam.PlanRequest{Current: present, Loads: loads})
	if next.Version == present.Version {
		return nil
	}
	next.Version = carawaybeam.MapVersion(max(status.GetFloorVersion(), uint64(present.Version)) + 1)
	proposed := plan{Map: next}
	if proposed.Digest, err = digest(next); err != nil {
		return err
	}
	// The map is kept before it can be in force, for the next controller.
	kept = plans{InForce: plan{Digest: inForce, Map: present}, Proposed: proposed}
	if err := c.writePlans(ctx, kept, version); err != nil {
		return err
	}
	c.propose(ctx, epoch, proposed, carawaybeam.Step(status.GetStep())+c.document.StepsAhead)
	return nil
}

// present returns the map in force, which is the uniform one before the first.
func (c *controller) present(kept plans, inForce carawaybeam.MapDigest) carawaybeam.ExpertMap {
	if present, ok := kept.find(inForce); ok && inForce != 0 {
		return present
	}
	return planner.UniformMap(len(c.document.Peers), c.document.Slots, c.document.Experts, c.document.Layers)
}

func (c *controller) readPlans(ctx context.Context) (plans, carawaybeam.StoreVersion, error) {
	var kept plans
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := c.options.Store.Get(ctx, carawaybeam.KindMap, c.group)
	var failed *carawaybeam.StoreError
	if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreNotFound {
		return kept, 0, nil
	}
	if err != nil {
		return kept, 0, err
	}
	return kept, object.Version, json.Unmarshal(object.Value, &kept)
}

func (c *controller) writePlans(ctx context.Context, kept plans, version carawaybeam.StoreVersion) error {
	value, err := json.Marshal(kept)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = c.options.Store.Put(
		ctx,
		carawaybeam.Object{Kind: carawaybeam.KindMap, Name: c.group, Value: value},
		version,
	)
	return err
}

// propose tells each agent the experts of its rank.
func (c *controller) propose(ctx context.Context, epoch carawaybeam.Epoch, proposed plan, step carawaybeam.Step) {
	var wait sync.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, maxCalls)
	for rank, address := range c.document.Peers {
		proposal := &framer.Propose{
			Group:      c.group,
			Epoch:      uint64(epoch),
			MapVersion: uint64(proposed.Map.Version),
			Step:       uint64(step),
			Digest:     uint64(proposed.Digest),
			Own:        own(proposed.Map, rank),
		}
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if _, err := c.call(ctx, address, proposal); err != nil && ctx.Err() == nil {
				c.options.Log.Debug().Err(err).Str("group", c.group).Msg("proposer: agent not reached")
			}
		})
	}
}

// own returns the experts of one rank by layer.
func own(m carawaybeam.ExpertMap, rank int) []*framer.RankExperts {
	layers := make([]*framer.RankExperts, 0, len(m.Layers))
	for _, layer := range m.Layers {
		held := &framer.RankExperts{}
		for _, expert := range layer[rank] {
			held.Experts = append(held.Experts, uint32(expert))
		}
		layers = append(layers, held)
	}
	return layers
}

// call puts a proposal to an agent and returns its status.
func (c *controller) call(
	ctx context.Context,
	address carawaybeam.Address,
	proposal *framer.Propose,
) (*framer.MapStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	link, err := c.options.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = link.Close() }()
	stream, err := link.Open(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(&framer.Frame{Body: &framer.Frame_Propose{Propose: proposal}}); err != nil {
		return nil, err
	}
	frame, err := stream.Receive(callTimeout)
	return frame.GetMapStatus(), err
}
