package granter

import (
	"context"
	"maps"

	"golang.org/x/time/rate"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/mapper"
)

type (
	// Proposal proposes to switch the group to a map.
	Proposal struct {
		carawaybeam.MapAssignment

		// Experts lists the experts that the agent's own rank holds, by layer.
		Experts [][]carawaybeam.Expert
	}

	// WeightSource determines where the weights of experts are fetched from. If
	// Store is nil, the rank is assumed to have all weights.
	WeightSource struct {
		Store carawaybeam.WeightStore
		Model string
		// RateLimiter limits the calls to the store.
		RateLimiter *rate.Limiter
	}

	// layerExpert is one expert of one layer.
	layerExpert struct {
		layer  int
		expert carawaybeam.Expert
	}

	layerExperts map[layerExpert]struct{}
)

// Propose passes on a proposal of a controller. It replaces an earlier proposal for
// which the fetching of weights has not begun.
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

// prepare fetches the weights for each proposal before the Mapper votes on it. If
// that fails, the Mapper refuses the proposal.
func (g *Granter) prepare() {
	held, previous := make(layerExperts), make(layerExperts)
	for {
		select {
		case p := <-g.proposals:
			if err := g.fetch(g.ctx, p, held); err != nil {
				g.options.Log.Warn().Err(err).Msg("granter: cannot fetch weights, refusing the proposal")
				g.enqueue(func(m *mapper.Mapper) mapper.Output { return m.Refuse(p.MapAssignment) })
				continue
			}
			g.enqueue(func(m *mapper.Mapper) mapper.Output { return m.Propose(p.MapAssignment) })
			// The engine keeps the weights of this map and the previous one.
			wanted := p.layerExperts()
			held = make(layerExperts)
			maps.Copy(held, previous)
			maps.Copy(held, wanted)
			previous = wanted
		case <-g.ctx.Done():
			return
		}
	}
}

// fetch fetches the weights of the proposal that are not in held and adds them to
// it. The error is that of the rate limiter or the weight store.
func (g *Granter) fetch(ctx context.Context, proposal Proposal, held layerExperts) error {
	weights := g.options.Weights
	if weights.Store == nil {
		return nil
	}
	for key := range proposal.layerExperts() {
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

// layerExperts returns the experts of all layers as a set.
func (p Proposal) layerExperts() layerExperts {
	all := make(layerExperts)
	for layer, experts := range p.Experts {
		for _, expert := range experts {
			all[layerExpert{layer: layer, expert: expert}] = struct{}{}
		}
	}
	return all
}

func (g *Granter) countFetch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Fetched++
}
