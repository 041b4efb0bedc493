package granter

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/fakes/stepper"
	"github.com/carawaybeam/carawaybeam/mapper"
)

const (
	testRanks     = 4
	testStep      = 20 * time.Millisecond
	testLookahead = carawaybeam.Step(8)
	switchAhead   = carawaybeam.Step(50)
)

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

// bench is a group with its agents on an in-memory network.
type bench struct {
	network *linker.Network
	group   *stepper.Stepper
	peers   []carawaybeam.Address
	agents  []*Granter
	lives   int
	weights WeightSource
}

// shelf gives weights, unless it is closed.
type shelf struct {
	closed atomic.Bool
	taken  atomic.Int64
}

func (s *shelf) Fetch(context.Context, string, int, carawaybeam.Expert) (carawaybeam.Bytes, error) {
	if s.closed.Load() {
		return 0, context.DeadlineExceeded
	}
	s.taken.Add(1)
	return 1, nil
}

// TestWeightsBeforeVote fetches only new experts within the budget, and votes no
// on a map whose weights cannot be had.
func TestWeightsBeforeVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		weights := &shelf{}
		b := newBench(WeightSource{Store: weights, RateLimiter: rate.NewLimiter(rate.Every(50*time.Millisecond), 1)})
		defer b.close(is)
		time.Sleep(2 * time.Second)
		b.propose(3)
		synctest.Wait()
		is.Equal(weights.taken.Load(), int64(1)) // the budget allows one at once
		time.Sleep(10 * time.Second)
		is.Equal(weights.taken.Load(), int64(3*testRanks))
		is.Equal(b.agents[1].State().Schedule.Current.ID.Version, carawaybeam.MapVersion(3))
		b.propose(4)
		time.Sleep(10 * time.Second)
		is.Equal(weights.taken.Load(), int64(4*testRanks)) // one new expert
		weights.closed.Store(true)
		b.propose(5)
		time.Sleep(10 * time.Second)
		is.Equal(b.agents[1].State().Schedule.Current.ID.Version, carawaybeam.MapVersion(4))
		is.Equal(b.agents[1].State().Floor.Version, carawaybeam.MapVersion(5))
	})
}

func newBench(weights WeightSource) *bench {
	b := &bench{
		network: &linker.Network{},
		group:   stepper.New(stepper.Options{Ranks: testRanks, StepTime: testStep}),
		agents:  make([]*Granter, testRanks),
		weights: weights,
	}
	for i := range testRanks {
		b.peers = append(b.peers, carawaybeam.Address(fmt.Sprintf("agent%d", i)))
	}
	for i := range testRanks {
		b.start(i)
	}
	return b
}

func (b *bench) start(i int) {
	b.lives++
	b.agents[i] = New(Options{
		Group:       "drafting",
		Rank:        carawaybeam.Rank(i),
		Incarnation: carawaybeam.Incarnation(fmt.Sprint(b.lives)),
		Lookahead:   testLookahead,
		Peers:       b.peers,
		Dialer:      b.network,
		Client:      direct{b.group},
		Weights:     b.weights,
		Log:         zerolog.Nop(),
	})
	b.network.Listen(b.peers[i], b.agents[i])
}

func (b *bench) restart(is *is.I, i int) {
	b.network.Unlisten(b.peers[i])
	is.NoErr(b.agents[i].Close())
	b.start(i)
}

func (b *bench) propose(version carawaybeam.MapVersion) {
	id := carawaybeam.ProposalID{Epoch: 1, Version: version}
	step := b.group.Figures().Steps + switchAhead
	for _, agent := range b.agents {
		assignment := carawaybeam.MapAssignment{ID: id, Step: step, Digest: carawaybeam.MapDigest(version)}
		agent.Propose(
			Proposal{MapAssignment: assignment, Experts: [][]carawaybeam.Expert{{1, 2}, {carawaybeam.Expert(version)}}},
		)
	}
}

func (b *bench) close(is *is.I) {
	for _, agent := range b.agents {
		is.NoErr(agent.Close())
	}
	is.NoErr(b.group.Close())
	is.NoErr(b.network.Close())
}

// TestSwitch switches maps while agents restart and links are cut or silent.
func TestSwitch(t *testing.T) {
	faults := map[string]func(is *is.I, b *bench){
		"none":            func(*is.I, *bench) {},
		"member restarts": func(is *is.I, b *bench) { b.restart(is, 2) },
		"leader restarts": func(is *is.I, b *bench) { b.restart(is, 0) },
		"links cut":       func(_ *is.I, b *bench) { b.network.Cut(b.peers[0]) },
		"links silent":    func(_ *is.I, b *bench) { b.network.Silence(b.peers[0]) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(WeightSource{})
				defer b.close(is)
				time.Sleep(2 * time.Second)
				for version := range carawaybeam.MapVersion(3) {
					b.propose(version + 1)
					fault(is, b)
					time.Sleep(10 * time.Second)
				}
				b.propose(4)
				time.Sleep(10 * time.Second)
				figures := b.group.Figures()
				is.Equal(figures.Splits, 0)
				is.Equal(figures.Reverts, 0)
				is.True(figures.Switches > 0)
				schedule := b.agents[0].State().Schedule
				is.Equal(schedule.Current.ID.Version, carawaybeam.MapVersion(4))
			})
		})
	}
}

// TestCodecKeepsMessages sends every kind of message through its frame.
func TestCodecKeepsMessages(t *testing.T) {
	a := mapper.Assignment{ID: mapper.ProposalID{Epoch: 1, Version: 2}, Step: 3, Digest: 1<<64 - 1}
	b := mapper.Assignment{ID: mapper.ProposalID{Epoch: 4, Version: 5}, Step: 6, Digest: 7}
	schedule := mapper.Schedule{Previous: a, Current: b}
	bodies := []mapper.Body{
		mapper.Hello{},
		mapper.Probe{Nonce: 1, Echo: 2},
		mapper.Challenge{Nonce: 3},
		mapper.State{Probe: 4, Schedule: schedule, Next: a},
		mapper.Vote{Proposal: a, Yes: true},
		mapper.Query{Proposal: b},
		mapper.Record{Sequence: 5, Schedule: schedule, Next: b, Resolved: a.ID, Stable: true},
		mapper.Ack{Sequence: 6},
	}
	for _, body := range bodies {
		t.Run(fmt.Sprintf("%T", body), func(t *testing.T) {
			is := is.New(t)
			message := mapper.Message{From: 1, To: 2, FromIncarnation: "x", ToIncarnation: "y", Body: body}
			decoded, ok := decode(encode("drafting", message).GetMapMessage())
			is.True(ok)
			is.Equal(decoded, message)
		})
	}
}
