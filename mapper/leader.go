package mapper

import (
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// leader is the state of the coordinator of the commit protocol.
	leader struct {
		members []member
		// record is the state that all members must acknowledge. Its sequence
		// is 0 until every member has sent its state.
		record Record
		// tally is the proposal whose votes are being counted.
		tally Assignment
	}

	// member is the state that the leader keeps for one agent. It is comparable.
	member struct {
		incarnation carawaybeam.Incarnation
		// attached is set once the incarnation has sent its state.
		attached bool
		// probeNonce is the nonce of the last attachment. probing is set while
		// the answer to its Probe is outstanding.
		probeNonce uint64
		probing    bool
		// challenger is the incarnation that sent the last Challenge, and echo
		// the nonce of that Challenge.
		challenger carawaybeam.Incarnation
		echo       uint64

		// acked is the highest sequence that the incarnation acknowledged since
		// it was attached.
		acked uint64
		// voted is set if the incarnation voted yes on the tally.
		voted bool
	}
)

func newLeader(ranks int) *leader {
	l := &leader{members: make([]member, ranks)}
	for i := range l.members {
		l.members[i].probeNonce = 1
		l.members[i].probing = true
	}
	return l
}

// tickLeader repeats all messages of the leader that have not been answered.
func (m *Mapper) tickLeader() {
	l := m.leader
	for i := range l.members {
		rank := carawaybeam.Rank(i)
		mb := &l.members[i]
		if mb.probing {
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
	m.send(rank, mb.challenger, Probe{Nonce: mb.probeNonce, Echo: mb.echo})
}

// onHello starts the attachment of an agent whose incarnation is not attached.
func (m *Mapper) onHello(message Message) {
	if m.leader == nil {
		return
	}
	mb := &m.leader.members[message.From]
	if mb.attached && mb.incarnation == message.FromIncarnation {
		return
	}
	if !mb.probing {
		mb.probeNonce++
		mb.probing = true
	}
	m.sendProbe(message.From)
}

// onChallenge proves to an agent that the leader is alive, by repeating the nonce
// of the challenge in a Probe.
func (m *Mapper) onChallenge(message Message, challenge Challenge, addressed bool) {
	if m.leader == nil || !addressed {
		return
	}
	mb := &m.leader.members[message.From]
	if !mb.probing {
		return
	}
	mb.challenger = message.FromIncarnation
	mb.echo = challenge.Nonce
	m.sendProbe(message.From)
}

// onState attaches the incarnation that answers a probe first. Votes and
// acknowledgements of earlier incarnations become invalid.
func (m *Mapper) onState(message Message, state State, addressed bool) {
	if m.leader == nil || !addressed {
		return
	}
	l := m.leader
	mb := &l.members[message.From]
	if !mb.probing || state.Probe != mb.probeNonce {
		return
	}
	mb.probing = false
	if mb.incarnation != message.FromIncarnation {
		mb.incarnation = message.FromIncarnation
		mb.voted = false
	}
	mb.attached = true
	mb.acked = 0
	if l.merge(state) && l.record.Sequence > 0 {
		l.record.Stable = false
		m.broadcast()
		return
	}
	if l.record.Sequence > 0 {
		m.send(message.From, mb.incarnation, l.record)
	}
}

// merge includes the state of a member in the record. It reports whether the
// member knew a committed map that the leader did not know.
func (l *leader) merge(state State) bool {
	changed := false
	if l.record.Schedule.Current.ID.Less(state.Schedule.Current.ID) {
		l.record.Schedule = state.Schedule
		changed = true
	}
	if l.record.Sequence == 0 && l.record.Next.ID.Less(state.Next.ID) {
		l.record.Next = state.Next
	}
	if !l.record.Schedule.Current.ID.Less(l.record.Next.ID) {
		l.record.Next = Assignment{}
	}
	l.record.Resolved = maxID(l.record.Resolved, maxID(l.record.Schedule.Current.ID, l.record.Next.ID))
	return changed
}

// onVote counts a vote. Only one proposal is decided at a time: a vote on a lower
// proposal aborts that proposal, a vote of yes on a higher one aborts the tally.
func (m *Mapper) onVote(message Message, vote Vote, addressed bool) {
	if m.leader == nil || !addressed {
		return
	}
	l := m.leader
	mb := &l.members[message.From]
	if !mb.attached || message.FromIncarnation != mb.incarnation || !l.acceptsVotes() {
		return
	}
	id := vote.Proposal.ID
	switch {
	case !l.record.Resolved.Less(id):
	case !l.tally.Exists():
		l.startTally(vote.Proposal)
		m.count(mb, vote)
	case id.Less(l.tally.ID):
		// Votes on a higher proposal have already arrived.
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

// acceptsVotes reports whether votes are counted.
func (l *leader) acceptsVotes() bool {
	return l.record.Sequence > 0 && l.record.Stable && !l.record.Next.Exists()
}

func (l *leader) startTally(proposal Assignment) {
	l.tally = proposal
	for i := range l.members {
		l.members[i].voted = false
	}
}

// count counts a vote on the tally. A vote of no, or for different content under
// the same ID, aborts the proposal.
func (m *Mapper) count(mb *member, vote Vote) {
	if !vote.Yes || vote.Proposal != m.leader.tally {
		m.abort(m.leader.tally.ID)
		return
	}
	mb.voted = true
}

// abort resolves a proposal that can no longer be accepted, and with it all lower
// ones.
func (m *Mapper) abort(id ProposalID) {
	l := m.leader
	if l.tally.Exists() && !id.Less(l.tally.ID) {
		l.tally = Assignment{}
	}
	l.record.Resolved = maxID(l.record.Resolved, id)
	m.broadcast()
}

// onAck records which sequence an agent has acknowledged.
func (m *Mapper) onAck(message Message, ack Ack, addressed bool) {
	if m.leader == nil || !addressed {
		return
	}
	mb := &m.leader.members[message.From]
	if mb.attached && message.FromIncarnation == mb.incarnation {
		mb.acked = max(mb.acked, ack.Sequence)
	}
}

// advance takes the next step of the protocol once all members have taken part in
// the previous one: it starts the group, accepts the tally, or commits the
// accepted proposal.
func (m *Mapper) advance() {
	l := m.leader
	if l.record.Sequence == 0 {
		if l.all(func(mb member) bool { return mb.attached }) {
			m.broadcast()
		}
		return
	}
	if l.acceptsVotes() && l.tally.Exists() && l.all(func(mb member) bool { return mb.voted }) {
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

// all reports whether the condition is true for all members.
func (l *leader) all(condition func(member) bool) bool {
	return !slices.ContainsFunc(l.members, func(mb member) bool { return !condition(mb) })
}

// broadcast sends the record to all attached members under a new sequence.
func (m *Mapper) broadcast() {
	l := m.leader
	l.record.Sequence++
	for i := range l.members {
		if l.members[i].attached {
			m.send(carawaybeam.Rank(i), l.members[i].incarnation, l.record)
		}
	}
}
