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

// agents is a group of agents whose messages are delivered in order, without
// faults unless a rank is isolated.
type agents struct {
	all      []*mapper.Mapper
	grants   []mapper.Grant
	queue    []mapper.Message
	sent     []mapper.Message
	messages int
	// isolated is the rank whose messages in both directions are dropped, or
	// negative if there is none.
	isolated carawaybeam.Rank
}

func newAgents(ranks int) *agents {
	a := &agents{all: make([]*mapper.Mapper, ranks), grants: make([]mapper.Grant, ranks), isolated: -1}
	for i := range a.all {
		a.restart(i, "a")
	}
	a.settle()
	return a
}

func (a *agents) restart(i int, incarnation carawaybeam.Incarnation) {
	a.all[i] = mapper.New(mapper.Options{
		Ranks: len(a.all), Rank: carawaybeam.Rank(i), Lookahead: lookahead,
		Incarnation: incarnation + carawaybeam.Incarnation(fmt.Sprint(i)),
	})
	a.collect(i, a.all[i].Report(mapper.Report{}))
}

func (a *agents) collect(i int, output mapper.Output) {
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
	if message.From != a.isolated && message.To != a.isolated {
		a.messages++
		a.collect(int(message.To), a.all[message.To].Receive(message))
	}
}

func (a *agents) settle() {
	for range 4 {
		for i, agent := range a.all {
			a.collect(i, agent.Tick())
		}
		a.deliver()
	}
}

func (a *agents) propose(proposal mapper.Assignment) {
	for i, agent := range a.all {
		a.collect(i, agent.Propose(proposal))
	}
	a.deliver()
}

func assignment(version carawaybeam.MapVersion, step carawaybeam.Step) mapper.Assignment {
	return mapper.Assignment{ID: mapper.ProposalID{Epoch: 1, Version: version}, Step: step}
}

// TestPromiseOneMapLeaderHearsAll guards against a restarted leader that starts the
// group without the states of all agents. The leader and one member restart right
// after the leader has committed a proposal. The only other agent that knows the
// accepted proposal is isolated at first, so that the leader must wait for it
// instead of continuing with the old map.
func TestPromiseOneMapLeaderHearsAll(t *testing.T) {
	violations := 0
	for known := 1; known <= 2; known++ {
		a := newAgents(3)
		proposal := assignment(1, lookahead+1)
		for i, agent := range a.all {
			a.collect(i, agent.Propose(proposal))
		}
		for a.grants[0].Schedule.Current != proposal {
			a.deliverOne()
		}
		a.queue = nil
		a.grants = make([]mapper.Grant, 3)
		a.restart(3-known, "b")
		a.restart(0, "b")
		a.isolated = carawaybeam.Rank(known)
		a.settle()
		if a.grants[0] != (mapper.Grant{}) || a.grants[3-known] != (mapper.Grant{}) {
			violations++
		}
		a.isolated = -1
		a.settle()
		// The ranks report again and get new grants.
		for i, agent := range a.all {
			a.collect(i, agent.Report(mapper.Report{}))
		}
		for _, grant := range a.grants {
			if grant.Schedule.Current != proposal {
				violations++
			}
		}
	}
	prover.Report(t, prover.OneMap, 2, violations)
}

// TestPromiseOneMapRanksRemember guards against the loss of a committed map when
// all agents restart at once. Only one rank still has a grant on that map, and all
// agents must continue with it.
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
			a.collect(i, a.all[i].Report(mapper.Report{Grant: held[i]}))
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

// TestPromiseOneMapLateState delivers an answer to a probe again after the agent
// that sent it has restarted. The leader must not attach the earlier incarnation,
// because the current one could then no longer vote.
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

// TestDecisions checks the decisions that agents report for proposals that are
// pending, committed, refused, or too late for their step.
func TestDecisions(t *testing.T) {
	is := is.New(t)
	a := newAgents(3)
	first, late, third := assignment(1, 20), assignment(2, lookahead), assignment(3, 30)
	is.Equal(a.all[1].Decision(first.ID), mapper.DecisionPending)
	a.propose(first)
	is.Equal(a.all[1].Decision(first.ID), mapper.DecisionCommitted)
	// The rank has not yet entered the first step of the map of the first
	// proposal, so that no agent votes on the third one.
	a.propose(third)
	is.Equal(a.all[1].Decision(third.ID), mapper.DecisionPending)
	is.Equal(a.all[2].Floor(), first.ID)
	for i, agent := range a.all {
		a.collect(i, agent.Refuse(third))
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

// switchBytes estimates the size of all messages between agents for one switch
// from similar frames: a record is counted as three decisions and a query, which
// stands for the incarnation and the sequence, and an acknowledgement as a query.
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

// BenchmarkSwitch measures a switch without faults: the number of messages between
// agents, their estimated size, the size of one layer of 256 experts in a
// proposal, and the memory per state machine.
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
					a.collect(i, agent.Report(mapper.Report{Step: step}))
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
