package granter

import (
	"context"
	"maps"

	"golang.org/x/time/rate"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/mapper"
)

type (
	// Proposal asks for a switch to a map.
	Proposal struct {
		carawaybeam.MapAssignment

		// Experts holds those that the own rank holds, by layer.
		Experts [][]carawaybeam.Expert
	}

	// WeightSource tells where the weights of experts come from. Without a store,
	// all of them are in place.
	WeightSource struct {
		Store carawaybeam.WeightStore
		Model string
		// RateLimiter bounds the calls to the store.
		RateLimiter *rate.Limiter
	}

	// placement is one expert of one layer.
	placement struct {
		layer  int
		expert carawaybeam.Expert
	}

	placements map[placement]struct{}
)

// Propose takes a proposal of a controller. It replaces an earlier one for which
// no weights are being fetched yet.
func (g *Granter) Propose(proposal Proposal) {
	for {
		select {
		case g.proposals <- proposal:
			return
		case <-g.proposals:
		case <-g.ctx.Done():
			return
		}
	}
}

// prepare fetches the weights for each proposal before it is voted on.
func (g *Granter) prepare() {
	held, last := make(placements), make(placements)
	for {
		select {
		case p := <-g.proposals:
			if err := g.fetch(g.ctx, p, held); err != nil {
				g.options.Log.Warn().Err(err).Msg("granter: weights not fetched")
				g.feed(func(m *mapper.Mapper) mapper.Output { return m.Refuse(p.MapAssignment) })
				continue
			}
			g.feed(func(m *mapper.Mapper) mapper.Output { return m.Propose(p.MapAssignment) })
			// The engine makes room for this map and the one before it.
			wanted := p.placements()
			held = make(placements)
			maps.Copy(held, last)
			maps.Copy(held, wanted)
			last = wanted
		case <-g.ctx.Done():
			return
		}
	}
}

// fetch loads the weights that are not held.
func (g *Granter) fetch(ctx context.Context, proposal Proposal, held placements) error {
	weights := g.options.Weights
	if weights.Store == nil {
		return nil
	}
	for key := range proposal.placements() {
		if _, ok := held[key]; ok {
			continue
		}
		if err := weights.RateLimiter.Wait(ctx); err != nil {
			return err
		}
		if _, err := weights.Store.Fetch(ctx, weights.Model, key.layer, key.expert); err != nil {
			return err
		}
		held[key] = struct{}{}
		g.countFetch()
	}
	return nil
}

func (p Proposal) placements() placements {
	all := make(placements)
	for layer, experts := range p.Experts {
		for _, expert := range experts {
			all[placement{layer: layer, expert: expert}] = struct{}{}
		}
	}
	return all
}

func (g *Granter) countFetch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Fetched++
}
