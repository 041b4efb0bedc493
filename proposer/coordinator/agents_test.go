package coordinator_test

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/orderer"
	"github.com/carawaybeam/carawaybeam/relayer"
)

const (
	// lostDatagrams, lateDatagrams and copiedDatagrams are fractions of all
	// datagrams between processes and agents.
	lostDatagrams   = 0.03
	lateDatagrams   = 0.03
	copiedDatagrams = 0.05

	datagramTime    = time.Millisecond
	maxDatagramTime = 3 * time.Second
)

// fakeAgents is the agents of all ranks and the network between them and the
// processes. The nil value stands for a group without agents.
type fakeAgents struct {
	group    *fakeGroup
	relayers []*relayer.Relayer
	// processes holds the process of each agent, which can be paused.
	processes []*fakeProcess

	mu     sync.Mutex
	random *rand.Rand
}

// newAgents returns the agents of a group, or nil if its orders are not relayed.
func newAgents(g *fakeGroup, seed uint64) *fakeAgents {
	if !g.faults.relayed {
		return nil
	}
	a := &fakeAgents{group: g, random: rand.New(rand.NewPCG(seed, 17))}
	for i := range g.ranks {
		p := &fakeProcess{}
		a.processes = append(a.processes, p)
		a.relayers = append(a.relayers, relayer.New(relayer.Options{
			Address: address(i), Rank: &fakeEngine{group: g, rank: i, process: p}, Log: zerolog.Nop(),
		}))
	}
	return a
}

// orderer returns an orderer that a process uses, or nil if there are no agents.
func (a *fakeAgents) orderer(p *fakeProcess, holder carawaybeam.Incarnation) *orderer.Orderer {
	if a == nil {
		return nil
	}
	var o *orderer.Orderer
	o = orderer.New(orderer.Options{Sender: string(holder), Log: zerolog.Nop(), Send: func(
		to carawaybeam.Address, frame *framer.Frame,
	) error {
		p.awaitRunning()
		order, rank := frame.GetRankOrder(), rankAt(to)
		a.group.mu.Lock()
		a.group.useFence(carawaybeam.Epoch(order.GetFencingToken()), holder)
		a.group.mu.Unlock()
		a.transmit(func() {
			a.processes[rank].awaitRunning()
			a.relayers[rank].Take(order, func(result *framer.Frame) {
				a.transmit(func() { o.Deliver(result.GetRankOrderResult()) })
			})
		})
		return nil
	}})
	return o
}

// transmit delivers a datagram any number of times.
func (a *fakeAgents) transmit(deliver func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.random.Float64() < lostDatagrams {
		return
	}
	copies := 1
	if a.random.Float64() < copiedDatagrams {
		copies = 2
	}
	for range copies {
		delay := datagramTime
		if a.random.Float64() < lateDatagrams {
			delay = time.Duration(a.random.Int64N(int64(maxDatagramTime)))
		}
		time.AfterFunc(delay, deliver)
	}
}

// pauseOne pauses the agent of a rank.
func (a *fakeAgents) pauseOne(d time.Duration) {
	if a == nil {
		return
	}
	a.mu.Lock()
	i := a.random.IntN(len(a.processes))
	a.mu.Unlock()
	a.processes[i].pause(d)
}

func (a *fakeAgents) close(t *testing.T) {
	t.Helper()
	if a == nil {
		return
	}
	for _, r := range a.relayers {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	}
}

// rankAt returns the rank at an address.
func rankAt(a carawaybeam.Address) int {
	rank, err := strconv.Atoi(strings.TrimPrefix(string(a), "rank"))
	if err != nil {
		panic(err)
	}
	return rank
}
