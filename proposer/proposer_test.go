package proposer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

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

// TestTwoControllers checks that of two proposers that compete for a group, the
// second takes over when the first is closed, and that the ranks of the group never
// use different maps.
func TestTwoControllers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := stepper.New(stepper.Options{Ranks: ranks, StepTime: 20 * time.Millisecond, Layers: 2, Experts: 16})
		protocol := t.Name()
		carawaybeam.RankClients.Register(protocol, func(carawaybeam.RankClientOptions) (carawaybeam.RankClient, error) {
			return directClient{group}, nil
		})
		network, store, config := &linker.Network{}, storer.New(), configurer.New()
		settings := proposer.GroupSettings{
			Protocol: protocol, Layers: 2, Experts: 16, Slots: 6, SkewPreference: 0.9, PeriodMs: 2000, StepsAhead: 50,
		}
		for i := range ranks {
			settings.Peers = append(settings.Peers, carawaybeam.Address(fmt.Sprintf("agent%d", i)))
		}
		agents := make([]*granter.Granter, ranks)
		for i := range ranks {
			agents[i] = granter.New(granter.Options{
				Group: "drafting", Rank: carawaybeam.Rank(i), Incarnation: carawaybeam.Incarnation(settings.Peers[i]),
				Lookahead: 8, Peers: settings.Peers, Dialer: network, Client: directClient{group}, Log: zerolog.Nop(),
			})
			network.Listen(settings.Peers[i], agents[i])
		}
		value, err := json.Marshal(settings)
		is.NoErr(err)
		config.MergeWritten(carawaybeam.Object{Kind: carawaybeam.KindGroup, Name: "drafting", Version: 1, Value: value})
		proposers := make([]*proposer.Proposer, 2)
		for i := range proposers {
			proposers[i] = proposer.New(proposer.Options{
				Store: store, Config: config, Dialer: network, NewPlanner: drift.New,
				Holder: carawaybeam.Incarnation(fmt.Sprint(i)), Log: zerolog.Nop(),
			})
		}
		time.Sleep(time.Minute)
		before := group.Counts()
		is.True(before.Switches > 0)
		first := agents[1].State().Schedule.Current.ID.Epoch
		for i := range proposers {
			is.NoErr(proposers[i].Close())
			time.Sleep(time.Minute)
			if i == 0 {
				is.True(group.Counts().Switches > before.Switches) // the second proposer must take over
			}
		}
		is.True(agents[1].State().Schedule.Current.ID.Epoch >= first)
		figures := group.Counts()
		is.Equal(figures.MapMismatches, 0)
		is.Equal(figures.Reverts, 0)
		for _, agent := range agents {
			is.NoErr(agent.Close())
		}
		is.NoErr(group.Close())
		is.NoErr(network.Close())
	})
}
