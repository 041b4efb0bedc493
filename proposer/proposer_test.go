package proposer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/fakes/stepper"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/granter"
	"github.com/carawaybeam/carawaybeam/planner/drift"
	"github.com/carawaybeam/carawaybeam/proposer"
)

const ranks = 4

// directClient is a RankClient that calls the fake ranks without HTTP.
type directClient struct{ group *stepper.Stepper }

func (d directClient) Report(_ context.Context, rank carawaybeam.Rank) (carawaybeam.RankReport, error) {
	return d.group.Report(rank), nil
}

func (d directClient) Grant(_ context.Context, rank carawaybeam.Rank, grant carawaybeam.StepGrant) error {
	d.group.SetGrant(rank, grant)
	return nil
}

func (d directClient) Loads(context.Context) ([]carawaybeam.LayerLoad, error) {
	return d.group.Loads(), nil
}

// group is a group of fake ranks with its agents.
type group struct {
	*stepper.Stepper

	agents  []*granter.Granter
	network *linker.Network
	config  *configurer.Configurer
}

func newGroup(t *testing.T) *group {
	t.Helper()
	is := is.New(t)
	g := &group{
		Stepper: stepper.New(stepper.Options{Ranks: ranks, StepTime: 20 * time.Millisecond, Layers: 2, Experts: 16}),
		network: &linker.Network{}, config: configurer.New(), agents: make([]*granter.Granter, ranks),
	}
	protocol := t.Name()
	carawaybeam.RankClients.Register(protocol, func(carawaybeam.RankClientOptions) (carawaybeam.RankClient, error) {
		return directClient{g.Stepper}, nil
	})
	settings := proposer.GroupSettings{
		Protocol: protocol, Layers: 2, Experts: 16, Slots: 6, SkewPreference: 0.9, PeriodMs: 2000, StepsAhead: 50,
	}
	for i := range ranks {
		settings.Peers = append(settings.Peers, carawaybeam.Address(fmt.Sprintf("agent%d", i)))
	}
	for i := range ranks {
		g.agents[i] = granter.New(granter.Options{
			Group: "drafting", Rank: carawaybeam.Rank(i), Incarnation: carawaybeam.Incarnation(settings.Peers[i]),
			Lookahead: 8, Peers: settings.Peers, Dialer: g.network, Client: directClient{g.Stepper}, Log: zerolog.Nop(),
		})
		g.network.Listen(settings.Peers[i], g.agents[i])
	}
	value, err := json.Marshal(settings)
	is.NoErr(err)
	g.config.MergeWritten(
		carawaybeam.Object{Kind: carawaybeam.KindGroup, Name: "drafting", Version: 1, Value: value},
	)
	return g
}

func (g *group) newProposer(store carawaybeam.Store, holder carawaybeam.Incarnation) *proposer.Proposer {
	return proposer.New(proposer.Options{
		Store: store, Config: g.config, Dialer: g.network, NewPlanner: drift.New, Holder: holder, Log: zerolog.Nop(),
	})
}

func (g *group) close(is *is.I) {
	is.Helper()
	for _, agent := range g.agents {
		is.NoErr(agent.Close())
	}
	is.NoErr(g.Close())
	is.NoErr(g.network.Close())
}

// TestTwoControllers checks that of two proposers that compete for a group, the
// second takes over when the first is closed, and that the ranks of the group never
// use different maps.
func TestTwoControllers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group, store := newGroup(t), storer.New()
		proposers := make([]*proposer.Proposer, 2)
		for i := range proposers {
			proposers[i] = group.newProposer(store, carawaybeam.Incarnation(fmt.Sprint(i)))
		}
		time.Sleep(time.Minute)
		before := group.Counts()
		is.True(before.Switches > 0)
		first := group.agents[1].State().Schedule.Current.ID.Epoch
		for i := range proposers {
			is.NoErr(proposers[i].Close())
			time.Sleep(time.Minute)
			if i == 0 {
				is.True(group.Counts().Switches > before.Switches) // the second proposer must take over
			}
		}
		is.True(group.agents[1].State().Schedule.Current.ID.Epoch >= first)
		figures := group.Counts()
		is.Equal(figures.MapMismatches, 0)
		is.Equal(figures.Reverts, 0)
		group.close(is)
	})
}

// TestEvacuatedGroup guards against map changes that begin while all ranks of the group are in evacuated
// data centres.
func TestEvacuatedGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group, store := newGroup(t), storer.New()
		evacuated := time.Now().Add(30 * time.Second)
		p := proposer.New(proposer.Options{
			Store: store, Config: group.config, Dialer: group.network, NewPlanner: drift.New, Holder: "a",
			Evacuated: func(agents []carawaybeam.Address) bool {
				is.Equal(len(agents), ranks)
				return time.Now().Before(evacuated)
			},
			Log: zerolog.Nop(),
		})
		time.Sleep(29 * time.Second)
		is.Equal(group.Counts().Switches, 0)
		time.Sleep(time.Minute)
		is.True(group.Counts().Switches > 0)
		is.NoErr(p.Close())
		group.close(is)
	})
}

// checkPlans fails if a stored map does not have the digest with which it is stored.
func checkPlans(is *is.I, value []byte) {
	is.Helper()
	var stored map[string]struct {
		Digest carawaybeam.MapDigest `json:"digest,string"`
		Map    carawaybeam.ExpertMap `json:"map"`
	}
	is.NoErr(json.Unmarshal(value, &stored))
	for _, m := range stored {
		layers, err := json.Marshal(m.Map.Layers)
		is.NoErr(err)
		is.True(m.Digest == 0 || m.Digest == carawaybeam.MapDigest(xxhash.Sum64(layers)))
	}
}

// TestMapOverOlderCopy guards against a controller that takes another map for the one in
// force, since an older copy of the store lacks that, or that leaves it out of the store.
func TestMapOverOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, group, store := is.New(t), newGroup(t), storer.New()
		store.SetEra(1)
		copied := store.Snapshot()
		p := group.newProposer(store.NewClient(zerolog.Nop()), "a")
		for range 5 {
			time.Sleep(20 * time.Second)
			store.Restore(copied)
			for range 600 {
				time.Sleep(10 * time.Millisecond)
				if object, err := store.Get(t.Context(), carawaybeam.KindMap, "drafting"); err == nil {
					checkPlans(is, object.Value)
				}
			}
			object, err := store.Get(t.Context(), carawaybeam.KindMap, "drafting")
			is.NoErr(err)
			inForce := group.agents[0].State().Schedule.Current.Digest
			is.True(strings.Contains(string(object.Value), fmt.Sprintf("\"digest\":\"%d\"", inForce)))
		}
		is.NoErr(p.Close())
		group.close(is)
	})
}
