package mapper_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/mapper"
	"github.com/carawaybeam/carawaybeam/prover"
)

// agents delivers messages in order, as if nothing failed.
type agents struct {
	all      []*mapper.Mapper
	grants   []mapper.Grant
	queue    []mapper.Message
	sent     []mapper.Message
	messages int
	// cut drops messages to and from a rank, if it is not negative.
	cut carawaybeam.Rank
}

func newAgents(ranks int) *agents {
	a := &agents{all: make([]*mapper.Mapper, ranks), grants: make([]mapper.Grant, ranks), cut: -1}
	for i := range a.all {
		a.restart(i, "a")
	}
	a.settle()
	return a
}

func (a *agents) restart(i int, life carawaybeam.Incarnation) {
	a.all[i] = mapper.New(mapper.Options{
		Ranks: len(a.all), Rank: carawaybeam.Rank(i), Lookahead: lookahead,
		Incarnation: life + carawaybeam.Incarnation(fmt.Sprint(i)),
	})
	a.take(i, a.all[i].Report(mapper.Report{}))
}

func (a *agents) take(i int, output mapper.Output) {
	a.queue = append(a.queue, output.Messages...)
	a.sent = append(a.sent, output.Messages...)
	if output.Granted {
		a.grants[i] = output.Grant
	}
}

func (a *agents) deliver() {
	for len(a.queue) > 0 {
		a.deliverOne()
	}
}

func (a *agents) deliverOne() {
	message := a.queue[0]
	a.queue = a.queue[1:]
	if message.From != a.cut && message.To != a.cut {
		a.messages++
		a.take(int(message.To), a.all[message.To].Receive(message))
	}
}

func (a *agents) settle() {
	for range 4 {
		for i, agent := range a.all {
			a.take(i, agent.Tick())
		}
		a.deliver()
	}
}

func (a *agents) propose(proposal mapper.Assignment) {
	for i, agent := range a.all {
		a.take(i, agent.Propose(proposal))
	}
	a.deliver()
}

func assignment(version carawaybeam.MapVersion, step carawaybeam.Step) mapper.Assignment {
	return mapper.Assignment{ID: mapper.ProposalID{Epoch: 1, Version: version}, Step: step}
}

// TestPromiseOneMapLeaderHearsAll restarts the leader and a member once the
// leader has committed, and before any other agent learns more than that the
// proposal is accepted. The one agent that holds it is cut off, and must be
// waited for.
func TestPromiseOneMapLeaderHearsAll(t *testing.T) {
	violations := 0
	for known := 1; known <= 2; known++ {
		a := newAgents(3)
		proposal := assignment(1, lookahead+1)
		for i, agent := range a.all {
			a.take(i, agent.Propose(proposal))
		}
		for a.grants[0].Schedule.Current != proposal {
			a.deliverOne()
		}
		a.queue = nil
		a.grants = make([]mapper.Grant, 3)
		a.restart(3-known, "b")
		a.restart(0, "b")
		a.cut = carawaybeam.Rank(known)
		a.settle()
		if a.grants[0] != (mapper.Grant{}) || a.grants[3-known] != (mapper.Grant{}) {
			violations++
		}
		a.cut = -1
		a.settle()
		// The ranks ask for their grants anew.
		for i, agent := range a.all {
			a.take(i, agent.Report(mapper.Report{}))
		}
		for _, grant := range a.grants {
			if grant.Schedule.Current != proposal {
				violations++
			}
		}
	}
	prover.Report(t, prover.OneMap, 2, violations)
}

// TestPromiseOneMapRanksRemember restarts all agents at once. One rank holds a
// grant on the committed map, which all must go on with.
func TestPromiseOneMapRanksRemember(t *testing.T) {
	violations := 0
	for holder := range 3 {
		a := newAgents(3)
		first := slices.Clone(a.grants)
		proposal := assignment(1, lookahead+1)
		a.propose(proposal)
		held := first
		held[holder] = a.grants[holder]
		for i := range a.all {
			a.restart(i, "b")
			a.take(i, a.all[i].Report(mapper.Report{Grant: held[i]}))
		}
		a.grants = make([]mapper.Grant, 3)
		a.settle()
		for i, agent := range a.all {
			schedule, known := agent.Schedule()
			if !known || schedule.Current != proposal || i != holder && a.grants[i].Schedule.Current != proposal {
				violations++
			}
		}
	}
	prover.Report(t, prover.OneMap, 3, violations)
}

// TestPromiseOneMapLateState repeats what an earlier incarnation answered to a
// probe. The leader must not take it for the present one.
func TestPromiseOneMapLateState(t *testing.T) {
	a := newAgents(3)
	var late []mapper.Message
	for _, message := range a.sent {
		if _, ok := message.Body.(mapper.State); ok && message.From == 1 {
			late = append(late, message)
		}
	}
	a.restart(1, "b")
	a.settle()
	a.queue = append(a.queue, late...)
	a.settle()
	proposal := assignment(1, lookahead+1)
	a.propose(proposal)
	violations := 0
	for _, agent := range a.all {
		if agent.Decision(proposal.ID) != mapper.DecisionCommitted {
			violations++
		}
	}
	prover.Report(t, prover.OneMap, len(late), violations)
}

func TestVerdicts(t *testing.T) {
	is := is.New(t)
	a := newAgents(3)
	first, late, third := assignment(1, 20), assignment(2, lookahead), assignment(3, 30)
	is.Equal(a.all[1].Decision(first.ID), mapper.DecisionPending)
	a.propose(first)
	is.Equal(a.all[1].Decision(first.ID), mapper.DecisionCommitted)
	// The rank has not left the map before the first one, so it cannot switch.
	a.propose(third)
	is.Equal(a.all[1].Decision(third.ID), mapper.DecisionPending)
	is.Equal(a.all[2].Floor(), first.ID)
	for i, agent := range a.all {
		a.take(i, agent.Refuse(third))
	}
	a.deliver()
	is.Equal(a.all[1].Decision(third.ID), mapper.DecisionAborted)
	a.propose(late)
	is.Equal(a.all[1].Decision(late.ID), mapper.DecisionAborted)
	schedule, known := a.all[2].Schedule()
	is.True(known)
	is.Equal(schedule.At(19).ID, mapper.ProposalID{})
	is.Equal(schedule.At(20), first)
	is.True(!a.all[2].Blocked())
}

// switchBytes estimates the bytes of the agents' messages of one switch by the
// nearest frames: a record is three decisions and a query, which carries the
// incarnation and the sequence, and an acknowledgement is a query.
func switchBytes(ranks int) int {
	incarnation, group := string(carawaybeam.NewIncarnation()), "drafting-kitami-1"
	size := func(body *framer.Frame) int { return proto.Size(body) }
	vote := size(&framer.Frame{Body: &framer.Frame_Vote{Vote: &framer.Vote{
		Group: group, Epoch: 1000, MapVersion: 1000, Rank: 100, Incarnation: incarnation, Yes: true,
	}}})
	decision := size(&framer.Frame{Body: &framer.Frame_Decision{Decision: &framer.Decision{
		Group: group, Epoch: 1000, MapVersion: 1000, Step: 1 << 30, Commit: true,
	}}})
	query := size(&framer.Frame{Body: &framer.Frame_Query{Query: &framer.Query{
		Group: group, Epoch: 1000, MapVersion: 1000, FromRank: 100, FromIncarnation: incarnation,
	}}})
	return (ranks - 1) * (vote + 2*(3*decision+query) + 2*query)
}

// BenchmarkSwitch measures a switch without faults: the messages between agents,
// the bytes of the proposal for one layer of 256 experts, and the memory of the
// state machines.
func BenchmarkSwitch(b *testing.B) {
	for _, ranks := range []int{8, 128} {
		b.Run(fmt.Sprint(ranks), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			a := newAgents(ranks)
			a.queue, a.sent = nil, nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			a.messages = 0
			step := carawaybeam.Step(0)
			b.ResetTimer()
			for n := range b.N {
				step += 2 * lookahead
				a.sent = a.sent[:0]
				a.propose(assignment(carawaybeam.MapVersion(n+1), step))
				for i, agent := range a.all {
					a.take(i, agent.Report(mapper.Report{Step: step}))
				}
				a.deliver()
			}
			b.StopTimer()
			schedule, _ := a.all[0].Schedule()
			if schedule.Current.ID.Version != carawaybeam.MapVersion(b.N) {
				b.Fatal("a switch was not committed")
			}
			layer := &framer.Layer{}
			for rank := range ranks {
				experts := &framer.RankExperts{}
				for slot := range 2 * 256 / ranks {
					experts.Experts = append(experts.Experts, uint32((rank*2+slot)%256))
				}
				layer.Ranks = append(layer.Ranks, experts)
			}
			b.ReportMetric(float64(a.messages)/float64(b.N), "messages/switch")
			b.ReportMetric(float64(switchBytes(ranks)), "estimated-bytes/switch")
			b.ReportMetric(float64(proto.Size(layer)), "bytes/layer")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(ranks), "bytes/agent")
			runtime.KeepAlive(a)
		})
	}
}
