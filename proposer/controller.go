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

// maxCalls is the maximum number of concurrent calls to agents.
const maxCalls = 16

var errNotStable = errors.New("agent does not know the map schedule of its group yet")

// controller competes for the lease of one group and controls the group while it
// holds the lease.
type controller struct {
	options  Options
	group    string
	settings GroupSettings
	ranks    carawaybeam.RankClient
	planner  carawaybeam.Planner
	lease    *leaser.Leaser
	// known contains the plans that were last read or written.
	known plans
}

func (c *controller) run(ctx context.Context) {
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	replan := time.NewTicker(c.settings.period())
	defer replan.Stop()
	c.acquireOrRenewLease(ctx)
	for {
		select {
		case <-renew.C:
			c.acquireOrRenewLease(ctx)
		case <-replan.C:
			c.replanIfHeld(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (c *controller) acquireOrRenewLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.lease.AcquireOrRenew(ctx); err != nil {
		c.options.Log.Debug().Err(err).Str("group", c.group).Msg("proposer: cannot acquire or renew the lease")
	}
}

// replanIfHeld calls replan if this process holds the lease.
func (c *controller) replanIfHeld(ctx context.Context) {
	epoch, held := c.lease.Held()
	if !held {
		return
	}
	if err := c.replan(ctx, epoch); err != nil && ctx.Err() == nil {
		c.options.Log.Warn().Err(err).Str("group", c.group).Msg("proposer: cannot propose a map")
	}
}

// replan proposes the next map if the planner returns one that differs from the
// map in force.
func (c *controller) replan(ctx context.Context, epoch carawaybeam.Epoch) error {
	status, err := c.call(ctx, c.settings.Peers[0], &framer.Propose{Group: c.group})
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
	stored, version, err := c.readPlans(ctx)
	if err != nil {
		return err
	}
	inForce := carawaybeam.MapDigest(status.GetSchedule().GetCurrent().GetDigest())
	if stored, version, err = c.restorePlans(ctx, stored, version, inForce); err != nil {
		return err
	}
	if c.options.Evacuated != nil && c.options.Evacuated(c.settings.Peers) {
		return nil
	}
	current := c.currentMap(stored, inForce)
	next := c.planner.Plan(time.Now(), carawaybeam.PlanRequest{Current: current, Loads: loads})
	if next.Version == current.Version {
		return nil
	}
	next.Version = carawaybeam.MapVersion(max(status.GetFloorVersion(), uint64(current.Version)) + 1)
	proposed := plan{Map: next}
	if proposed.Digest, err = digest(next); err != nil {
		return err
	}
	// The map is stored before it can take effect, so that the next controller
	// always finds the map in force.
	stored = plans{InForce: plan{Digest: inForce, Map: current}, Proposed: proposed}
	if _, err := c.writePlans(ctx, stored, version); err != nil {
		return err
	}
	c.propose(ctx, epoch, proposed, carawaybeam.Step(status.GetStep())+c.settings.StepsAhead)
	return nil
}

// currentMap returns the map in force, which is the uniform map until the first
// proposal has been accepted.
func (c *controller) currentMap(stored plans, inForce carawaybeam.MapDigest) carawaybeam.ExpertMap {
	if current, ok := stored.find(inForce); ok && inForce != 0 {
		return current
	}
	return planner.UniformMap(len(c.settings.Peers), c.settings.Slots, c.settings.Experts, c.settings.Layers)
}

// readPlans returns the stored plans and the version of their object. They are
// empty and the version is 0 if the object does not exist.
func (c *controller) readPlans(ctx context.Context) (plans, carawaybeam.StoreVersion, error) {
	var stored plans
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := c.options.Store.Get(ctx, carawaybeam.KindMap, c.group)
	var failed *carawaybeam.StoreError
	if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreNotFound {
		return stored, 0, nil
	}
	if err != nil {
		return stored, 0, err
	}
	return stored, object.Version, json.Unmarshal(object.Value, &stored)
}

// restorePlans writes the plans that this process knows again if the store has come back
// from an older copy, which lacks the map in force. It returns the stored plans and their
// version.
func (c *controller) restorePlans(
	ctx context.Context,
	stored plans,
	version carawaybeam.StoreVersion,
	inForce carawaybeam.MapDigest,
) (plans, carawaybeam.StoreVersion, error) {
	_, ok := stored.find(inForce)
	_, known := c.known.find(inForce)
	if ok || !known || inForce == 0 {
		c.known = stored
		return stored, version, nil
	}
	version, err := c.writePlans(ctx, c.known, version)
	c.options.Log.Info().Err(err).Str("group", c.group).Uint64("version", uint64(version)).
		Msg("proposer: store lacked the map in force, which is written again")
	return c.known, version, err
}

// writePlans stores the plans if their object still has the given version. It returns the
// new version.
func (c *controller) writePlans(
	ctx context.Context,
	next plans,
	version carawaybeam.StoreVersion,
) (carawaybeam.StoreVersion, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := c.options.Store.Put(
		ctx,
		carawaybeam.Object{Kind: carawaybeam.KindMap, Name: c.group, Value: value},
		version,
	)
	if err == nil {
		c.known = next
	}
	return written, err
}

// propose sends the proposal to each agent, with the experts of its rank. Errors
// are only logged, since the agents decide whether the proposal is accepted.
func (c *controller) propose(ctx context.Context, epoch carawaybeam.Epoch, proposed plan, step carawaybeam.Step) {
	var wait sync.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, maxCalls)
	for rank, address := range c.settings.Peers {
		proposal := &framer.Propose{
			Group:      c.group,
			Epoch:      uint64(epoch),
			MapVersion: uint64(proposed.Map.Version),
			Step:       uint64(step),
			Digest:     uint64(proposed.Digest),
			Own:        expertsOf(proposed.Map, rank),
		}
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if _, err := c.call(ctx, address, proposal); err != nil && ctx.Err() == nil {
				c.options.Log.Debug().
					Err(err).
					Str("group", c.group).
					Msg("proposer: cannot send the proposal to an agent")
			}
		})
	}
}

// expertsOf returns the experts of one rank by layer.
func expertsOf(m carawaybeam.ExpertMap, rank int) []*framer.RankExperts {
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

// call sends a proposal to an agent and returns the status with which the agent
// answers.
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
