package mapper

import (
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// leader is the state of the coordinator.
	leader struct {
		members []member
		// record is what all members are to hold. Its sequence is 0 until every
		// member has told its state.
		record Record
		// tally is the proposal whose votes are counted.
		tally Assignment
	}

	// member is what the leader knows of one agent. It is comparable.
	member struct {
		incarnation carawaybeam.Incarnation
		// attached is set once the incarnation has told its state.
		attached bool
		// probe is the nonce of the present attachment, and probed is set while
		// its answer is awaited.
		probe  uint64
		probed bool
		// candidate is the incarnation that sent the last challenge.
		candidate carawaybeam.Incarnation
		echo      uint64

		acked uint64
		// voted is set when the incarnation voted yes on the tally.
		voted bool
	}
)

func newLeader(ranks int) *leader {
	l := &leader{members: make([]member, ranks)}
	for i := range l.members {
		l.members[i].probe = 1
		l.members[i].probed = true
	}
	return l
}

// tickLeader sends again what has not been answered.
func (m *Mapper) tickLeader() {
	l := m.leader
	for i := range l.members {
		rank := carawaybeam.Rank(i)
		mb := &l.members[i]
		if mb.probed {
			m.sendProbe(rank)
		}
		if !mb.attached || l.record.Sequence == 0 {
			continue
		}
		if mb.acked < l.record.Sequence {
			m.send(rank, mb.incarnation, l.record)
		}
		if l.tally.Exists() && !mb.voted {
			m.send(rank, mb.incarnation, Query{Proposal: l.tally})
		}
	}
}

func (m *Mapper) sendProbe(rank carawaybeam.Rank) {
	mb := &m.leader.members[rank]
	m.send(rank, mb.candidate, Probe{Nonce: mb.probe, Echo: mb.echo})
}

// onHello attaches an agent that the leader does not know.
func (m *Mapper) onHello(message Message) {
	if m.leader == nil {
		return
	}
	mb := &m.leader.members[message.From]
	if mb.attached && mb.incarnation == message.FromIncarnation {
		return
	}
	if !mb.probed {
		mb.probe++
		mb.probed = true
	}
	m.sendProbe(message.From)
}

// onChallenge proves to an agent that the leader is alive.
func (m *Mapper) onChallenge(message Message, challenge Challenge, own bool) {
	if m.leader == nil || !own {
		return
	}
	mb := &m.leader.members[message.From]
	if !mb.probed {
		return
	}
	mb.candidate = message.FromIncarnation
	mb.echo = challenge.Nonce
	m.sendProbe(message.From)
}

// onState attaches the incarnation that answers a probe first. What an earlier
// incarnation voted or acknowledged counts no more.
func (m *Mapper) onState(message Message, state State, own bool) {
	if m.leader == nil || !own {
		return
	}
	l := m.leader
	mb := &l.members[message.From]
	if !mb.probed || state.Probe != mb.probe {
		return
	}
	mb.probed = false
	if mb.incarnation != message.FromIncarnation {
		mb.incarnation = message.FromIncarnation
		mb.voted = false
	}
	mb.attached = true
	mb.acked = 0
	if l.learn(state) && l.record.Sequence > 0 {
		l.record.Stable = false
		m.broadcast()
		return
	}
	if l.record.Sequence > 0 {
		m.send(message.From, mb.incarnation, l.record)
	}
}

// learn merges the state of a member and tells whether it was news.
func (l *leader) learn(state State) bool {
	news := false
	if l.record.Schedule.Current.ID.Less(state.Schedule.Current.ID) {
		l.record.Schedule = state.Schedule
		news = true
	}
	if l.record.Sequence == 0 && l.record.Next.ID.Less(state.Next.ID) {
		l.record.Next = state.Next
	}
	if !l.record.Schedule.Current.ID.Less(l.record.Next.ID) {
		l.record.Next = Assignment{}
	}
	l.record.Resolved = maxID(l.record.Resolved, maxID(l.record.Schedule.Current.ID, l.record.Next.ID))
	return news
}

// onVote counts a vote. Proposals are decided one at a time, the lower first.
func (m *Mapper) onVote(message Message, vote Vote, own bool) {
	if m.leader == nil || !own {
		return
	}
	l := m.leader
	mb := &l.members[message.From]
	if !mb.attached || message.FromIncarnation != mb.incarnation || !l.open() {
		return
	}
	id := vote.Proposal.ID
	switch {
	case !l.record.Resolved.Less(id):
	case !l.tally.Exists():
		l.startTally(vote.Proposal)
		m.count(mb, vote)
	case id.Less(l.tally.ID):
		// The rest of the group votes on a higher proposal by now.
		m.abort(id)
	case l.tally.ID.Less(id):
		if vote.Yes {
			m.abort(l.tally.ID)
			l.startTally(vote.Proposal)
			m.count(mb, vote)
		}
	default:
		m.count(mb, vote)
	}
}

// open tells whether votes are counted.
func (l *leader) open() bool {
	return l.record.Sequence > 0 && l.record.Stable && !l.record.Next.Exists()
}

func (l *leader) startTally(proposal Assignment) {
	l.tally = proposal
	for i := range l.members {
		l.members[i].voted = false
	}
}

// count counts a vote on the tally. Two contents under one identifier abort it.
func (m *Mapper) count(mb *member, vote Vote) {
	if !vote.Yes || vote.Proposal != m.leader.tally {
		m.abort(m.leader.tally.ID)
		return
	}
	mb.voted = true
}

// abort resolves a proposal that can never be accepted.
func (m *Mapper) abort(id ProposalID) {
	l := m.leader
	if l.tally.Exists() && !id.Less(l.tally.ID) {
		l.tally = Assignment{}
	}
	l.record.Resolved = maxID(l.record.Resolved, id)
	m.broadcast()
}

// onAck notes what an agent holds.
func (m *Mapper) onAck(message Message, ack Ack, own bool) {
	if m.leader == nil || !own {
		return
	}
	mb := &m.leader.members[message.From]
	if mb.attached && message.FromIncarnation == mb.incarnation {
		mb.acked = max(mb.acked, ack.Sequence)
	}
}

// advance takes the steps that need all members.
func (m *Mapper) advance() {
	l := m.leader
	if l.record.Sequence == 0 {
		if l.all(func(mb member) bool { return mb.attached }) {
			m.broadcast()
		}
		return
	}
	if l.open() && l.tally.Exists() && l.all(func(mb member) bool { return mb.voted }) {
		l.record.Next = l.tally
		l.record.Resolved = l.tally.ID
		l.tally = Assignment{}
		m.broadcast()
		return
	}
	settled := l.record.Stable && !l.record.Next.Exists()
	if settled || !l.all(func(mb member) bool { return mb.acked == l.record.Sequence }) {
		return
	}
	if l.record.Next.Exists() {
		l.record.Schedule = Schedule{Previous: l.record.Schedule.Current, Current: l.record.Next}
		l.record.Next = Assignment{}
	}
	l.record.Stable = true
	m.broadcast()
}

func (l *leader) all(holds func(member) bool) bool {
	return !slices.ContainsFunc(l.members, func(mb member) bool { return !holds(mb) })
}

// broadcast sends a new record to all members.
func (m *Mapper) broadcast() {
	l := m.leader
	l.record.Sequence++
	for i := range l.members {
		if l.members[i].attached {
			m.send(carawaybeam.Rank(i), l.members[i].incarnation, l.record)
		}
	}
}
