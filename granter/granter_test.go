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

// directClient is a RankClient that calls a Stepper without HTTP.
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

// testGroup is a group of ranks and their agents on an in-memory network.
type testGroup struct {
	network      *linker.Network
	group        *stepper.Stepper
	peers        []carawaybeam.Address
	agents       []*Granter
	incarnations int
	weights      WeightSource
}

// weightStore is a weight store that fails while unavailable is set.
type weightStore struct {
	unavailable atomic.Bool
	fetched     atomic.Int64
}

func (s *weightStore) Fetch(context.Context, string, int, carawaybeam.Expert) (carawaybeam.Bytes, error) {
	if s.unavailable.Load() {
		return 0, context.DeadlineExceeded
	}
	s.fetched.Add(1)
	return 1, nil
}

// TestWeightsBeforeVote checks that an agent fetches only new experts, respects the
// rate limit, and votes no on a map whose weights cannot be fetched.
func TestWeightsBeforeVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		weights := &weightStore{}
		g := newTestGroup(
			WeightSource{Store: weights, RateLimiter: rate.NewLimiter(rate.Every(50*time.Millisecond), 1)},
		)
		defer g.close(is)
		time.Sleep(2 * time.Second)
		g.propose(3)
		synctest.Wait()
		is.Equal(weights.fetched.Load(), int64(1)) // the rate limiter allows one without a wait
		time.Sleep(10 * time.Second)
		is.Equal(weights.fetched.Load(), int64(3*testRanks))
		is.Equal(g.agents[1].State().Schedule.Current.ID.Version, carawaybeam.MapVersion(3))
		g.propose(4)
		time.Sleep(10 * time.Second)
		is.Equal(weights.fetched.Load(), int64(4*testRanks)) // one new expert
		weights.unavailable.Store(true)
		g.propose(5)
		time.Sleep(10 * time.Second)
		is.Equal(g.agents[1].State().Schedule.Current.ID.Version, carawaybeam.MapVersion(4))
		is.Equal(g.agents[1].State().Floor.Version, carawaybeam.MapVersion(5))
	})
}

func newTestGroup(weights WeightSource) *testGroup {
	g := &testGroup{
		network: &linker.Network{},
		group:   stepper.New(stepper.Options{Ranks: testRanks, StepTime: testStep}),
		agents:  make([]*Granter, testRanks),
		weights: weights,
	}
	for i := range testRanks {
		g.peers = append(g.peers, carawaybeam.Address(fmt.Sprintf("agent%d", i)))
	}
	for i := range testRanks {
		g.start(i)
	}
	return g
}

func (g *testGroup) start(i int) {
	g.incarnations++
	g.agents[i] = New(Options{
		Group:       "drafting",
		Rank:        carawaybeam.Rank(i),
		Incarnation: carawaybeam.Incarnation(fmt.Sprint(g.incarnations)),
		Lookahead:   testLookahead,
		Peers:       g.peers,
		Dialer:      g.network,
		Client:      directClient{g.group},
		Weights:     g.weights,
		Log:         zerolog.Nop(),
	})
	g.network.Listen(g.peers[i], g.agents[i])
}

func (g *testGroup) restart(is *is.I, i int) {
	g.network.Unlisten(g.peers[i])
	is.NoErr(g.agents[i].Close())
	g.start(i)
}

func (g *testGroup) propose(version carawaybeam.MapVersion) {
	id := carawaybeam.ProposalID{Epoch: 1, Version: version}
	step := g.group.Counts().Steps + switchAhead
	for _, agent := range g.agents {
		assignment := carawaybeam.MapAssignment{ID: id, Step: step, Digest: carawaybeam.MapDigest(version)}
		agent.Propose(
			Proposal{MapAssignment: assignment, Experts: [][]carawaybeam.Expert{{1, 2}, {carawaybeam.Expert(version)}}},
		)
	}
}

func (g *testGroup) close(is *is.I) {
	for _, agent := range g.agents {
		is.NoErr(agent.Close())
	}
	is.NoErr(g.group.Close())
	is.NoErr(g.network.Close())
}

// TestSwitch checks that maps are switched without a rank on another map, even if
// agents restart and links are cut or silent during the switch.
func TestSwitch(t *testing.T) {
	faults := map[string]func(is *is.I, g *testGroup){
		"none":            func(*is.I, *testGroup) {},
		"member restarts": func(is *is.I, g *testGroup) { g.restart(is, 2) },
		"leader restarts": func(is *is.I, g *testGroup) { g.restart(is, 0) },
		"links cut":       func(_ *is.I, g *testGroup) { g.network.Cut(g.peers[0]) },
		"links silent":    func(_ *is.I, g *testGroup) { g.network.Silence(g.peers[0]) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGroup(WeightSource{})
				defer g.close(is)
				time.Sleep(2 * time.Second)
				for version := range carawaybeam.MapVersion(3) {
					g.propose(version + 1)
					fault(is, g)
					time.Sleep(10 * time.Second)
				}
				g.propose(4)
				time.Sleep(10 * time.Second)
				figures := g.group.Counts()
				is.Equal(figures.MapMismatches, 0)
				is.Equal(figures.Reverts, 0)
				is.True(figures.Switches > 0)
				schedule := g.agents[0].State().Schedule
				is.Equal(schedule.Current.ID.Version, carawaybeam.MapVersion(4))
			})
		})
	}
}

// TestCodecKeepsMessages checks that encoding and decoding preserves every type of
// message.
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
