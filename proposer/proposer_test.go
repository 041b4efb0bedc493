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

// direct calls the ranks of a stepper without HTTP.
type direct struct{ group *stepper.Stepper }

func (d direct) Report(_ context.Context, rank carawaybeam.Rank) (carawaybeam.RankReport, error) {
	return d.group.Report(rank), nil
}

func (d direct) Grant(_ context.Context, rank carawaybeam.Rank, grant carawaybeam.StepGrant) error {
	d.group.Order(rank, grant)
	return nil
}

func (d direct) Loads(context.Context) ([]carawaybeam.LayerLoad, error) { return d.group.Loads(), nil }

// TestTwoControllers lets two controllers compete, the first of which ends.
func TestTwoControllers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := stepper.New(stepper.Options{Ranks: ranks, StepTime: 20 * time.Millisecond, Layers: 2, Experts: 16})
		protocol := t.Name()
		carawaybeam.RankClients.Register(protocol, func(carawaybeam.RankClientOptions) (carawaybeam.RankClient, error) {
			return direct{group}, nil
		})
		network, store, config := &linker.Network{}, storer.New(), configurer.New()
		document := proposer.GroupSettings{
			Protocol: protocol, Layers: 2, Experts: 16, Slots: 6, SkewPreference: 0.9, PeriodMs: 2000, StepsAhead: 50,
		}
		for i := range ranks {
			document.Peers = append(document.Peers, carawaybeam.Address(fmt.Sprintf("agent%d", i)))
		}
		agents := make([]*granter.Granter, ranks)
		for i := range ranks {
			agents[i] = granter.New(granter.Options{
				Group: "drafting", Rank: carawaybeam.Rank(i), Incarnation: carawaybeam.Incarnation(document.Peers[i]),
				Lookahead: 8, Peers: document.Peers, Dialer: network, Client: direct{group}, Log: zerolog.Nop(),
			})
			network.Listen(document.Peers[i], agents[i])
		}
		value, err := json.Marshal(document)
		is.NoErr(err)
		config.TakeWritten(carawaybeam.Object{Kind: carawaybeam.KindGroup, Name: "drafting", Version: 1, Value: value})
		controllers := make([]*proposer.Proposer, 2)
		for i := range controllers {
			controllers[i] = proposer.New(proposer.Options{
				Store: store, Config: config, Dialer: network, NewPlanner: drift.New,
				Holder: carawaybeam.Incarnation(fmt.Sprint(i)), Log: zerolog.Nop(),
			})
		}
		time.Sleep(time.Minute)
		before := group.Figures()
		is.True(before.Switches > 0)
		first := agents[1].State().Schedule.Current.ID.Epoch
		for i := range controllers {
			is.NoErr(controllers[i].Close())
			time.Sleep(time.Minute)
			if i == 0 {
				is.True(group.Figures().Switches > before.Switches) // the other one goes on
			}
		}
		is.True(agents[1].State().Schedule.Current.ID.Epoch >= first)
		figures := group.Figures()
		is.Equal(figures.Splits, 0)
		is.Equal(figures.Reverts, 0)
		for _, agent := range agents {
			is.NoErr(agent.Close())
		}
		is.NoErr(group.Close())
		is.NoErr(network.Close())
	})
}
