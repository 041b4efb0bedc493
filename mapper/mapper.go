// Package mapper is the protocol by which the agents of a lock-step group agree
// on the expert map of every step. It is pure: messages, reports and ticks go
// in, messages and grants come out, and it reads no clock.
//
// The protocol is a three-phase commit with the agent of rank 0 as its
// coordinator, called the leader. A lock-step group cannot run without every
// rank, so a fixed leader costs no availability. Agents keep nothing on disk; an
// agent that restarts learns the state from the leader, and a leader that
// restarts from all others.
//
//   - An agent votes yes only on a switch at a step that none of its
//     incarnations can have granted, and then grants no step from there on.
//   - The leader accepts a proposal once all present incarnations voted yes,
//     and commits it once all have acknowledged that it is accepted. Only then
//     does any agent grant a step on the new map, so that no restart of some
//     agents can forget a map that a rank may use.
//   - Incarnations are not ordered. Each side makes the other prove, by
//     repeating a fresh nonce, that it is alive before it replaces an earlier
//     incarnation.
package mapper

import "github.com/carawaybeam/carawaybeam"

// leaderRank is the rank whose agent leads the group.
const leaderRank carawaybeam.Rank = 0

type (
	// Options is what a Mapper is made from.
	Options struct {
		// Ranks is the number of ranks in the group.
		Ranks int
		// Rank is the rank that this agent serves.
		Rank carawaybeam.Rank
		// Incarnation is this life of the agent.
		Incarnation carawaybeam.Incarnation
		// Lookahead is how many steps ahead of its rank an agent grants. It is
		// the same for all agents and incarnations of a group.
		Lookahead carawaybeam.Step
		// Initial is the digest of the map before the first proposal.
		Initial Digest
	}

	// Output is what an input brings about.
	Output struct {
		Messages []Message
		// Grant is for the rank if Granted is set.
		Grant   Grant
		Granted bool
	}

	// Mapper is the state machine of one agent. It is used by one goroutine at
	// a time.
	Mapper struct {
		options Options
		replica replica
		// leader is nil except on the leader.
		leader *leader
		// inbox holds messages of the leader to itself.
		inbox  []Message
		output Output
	}

	// replica is the state of an agent as a member of the group. It is
	// comparable.
	replica struct {
		schedule Schedule
		next     Assignment
		// floor is the highest proposal that is resolved or voted on.
		floor ProposalID
		// vote is an unresolved proposal on which the vote was yes.
		vote Assignment
		// offered is a proposal on which no vote is cast yet.
		offered Assignment

		leader carawaybeam.Incarnation
		// nonce is what the next leader must repeat.
		nonce    uint64
		sequence uint64
		stable   bool
		// informed is set once a record has been taken over.
		informed bool

		reported bool
		step     carawaybeam.Step
		// held is the grant that the rank holds, or was sent since.
		held Grant
		// promised is the highest step that this or an earlier incarnation may
		// have granted.
		promised carawaybeam.Step
	}
)

// New returns the Mapper of an agent that has just started. It takes part once
// its rank has reported.
func New(options Options) *Mapper {
	m := &Mapper{options: options}
	m.replica.schedule.Current.Digest = options.Initial
	m.replica.nonce = 1
	if options.Rank == leaderRank {
		m.leader = newLeader(options.Ranks)
		m.leader.record.Schedule = m.replica.schedule
	}
	return m
}

// Tick sends again what may have been lost. The first one starts the agent.
func (m *Mapper) Tick() Output {
	r := &m.replica
	if m.leader != nil {
		m.tickLeader()
	} else if !r.stable {
		m.send(leaderRank, "", Hello{})
	}
	if r.vote.Exists() {
		m.sendVote(r.vote, true)
	}
	return m.finish()
}

// Receive handles a message of another agent.
func (m *Mapper) Receive(message Message) Output {
	m.handle(message)
	return m.finish()
}

// Report handles a report of the agent's own rank. It must be read from the rank
// after the agent started.
func (m *Mapper) Report(report Report) Output {
	r := &m.replica
	r.step = max(r.step, report.Step)
	r.held = report.Grant
	if !r.reported {
		r.reported = true
		// Earlier incarnations granted at most this far.
		r.promised = r.step + m.options.Lookahead
	}
	// A rank knows only committed maps, also when all agents have restarted.
	if r.sequence == 0 && r.schedule.Current.ID.Less(report.Grant.Schedule.Current.ID) {
		r.schedule = report.Grant.Schedule
	}
	return m.finish()
}

// Propose handles a proposal of a controller, once the experts' weights for it
// are in place.
func (m *Mapper) Propose(proposal Assignment) Output {
	if m.replica.offered.ID.Less(proposal.ID) {
		m.replica.offered = proposal
	}
	return m.finish()
}

// Refuse votes no on a proposal, such as one whose weights cannot be loaded.
func (m *Mapper) Refuse(proposal Assignment) Output {
	if m.replica.floor.Less(proposal.ID) {
		m.voteNo(proposal)
	}
	return m.finish()
}

// Decision tells what is known of a proposal.
func (m *Mapper) Decision(id ProposalID) Decision {
	r := &m.replica
	switch {
	case id == r.schedule.Current.ID, id == r.schedule.Previous.ID:
		return DecisionCommitted
	case id == r.vote.ID, id == r.next.ID, r.floor.Less(id):
		return DecisionPending
	default:
		return DecisionAborted
	}
}

// Schedule returns the committed maps, and whether the agent has learnt them
// from its group.
func (m *Mapper) Schedule() (Schedule, bool) { return m.replica.schedule, m.replica.stable }

// HasRecord tells whether this incarnation holds the state of its group. As long
// as one agent of the group does, nothing decided is forgotten.
func (m *Mapper) HasRecord() bool { return m.replica.informed }

// Floor returns the highest proposal that is resolved or voted on. Lower ones
// are refused, so its epoch is the highest that the agent knows.
func (m *Mapper) Floor() ProposalID { return m.replica.floor }

// Blocked tells whether the rank cannot enter its next step because a proposal
// is undecided.
func (m *Mapper) Blocked() bool {
	r := &m.replica
	return r.reported && r.stable && r.held.Through <= r.step && m.limit() <= r.step
}

// handle takes one message, dropping those for or of other incarnations.
func (m *Mapper) handle(message Message) {
	if message.To != m.options.Rank {
		return
	}
	own := message.ToIncarnation == m.options.Incarnation
	switch body := message.Body.(type) {
	case Hello:
		m.onHello(message)
	case Probe:
		m.onProbe(message, body, own)
	case Challenge:
		m.onChallenge(message, body, own)
	case State:
		m.onState(message, body, own)
	case Vote:
		m.onVote(message, body, own)
	case Ack:
		m.onAck(message, body, own)
	case Query:
		m.onQuery(message, body, own)
	case Record:
		m.onRecord(message, body, own)
	}
}

// onProbe follows a leader that has proved to be alive.
func (m *Mapper) onProbe(message Message, probe Probe, own bool) {
	r := &m.replica
	if !r.reported || message.From != leaderRank {
		return
	}
	if message.FromIncarnation != r.leader {
		if !own || probe.Echo != r.nonce {
			m.send(leaderRank, message.FromIncarnation, Challenge{Nonce: r.nonce})
			return
		}
		r.leader = message.FromIncarnation
		r.nonce++
		r.sequence = 0
		r.stable = false
	}
	m.send(leaderRank, r.leader, State{Probe: probe.Nonce, Schedule: r.schedule, Next: r.next})
}

// onRecord takes over the state of the group.
func (m *Mapper) onRecord(message Message, record Record, own bool) {
	r := &m.replica
	if !own || message.FromIncarnation != r.leader || record.Sequence < r.sequence {
		return
	}
	rejoined := record.Stable && !r.stable
	r.sequence = record.Sequence
	r.informed = true
	r.schedule = record.Schedule
	r.next = record.Next
	r.stable = record.Stable
	r.floor = maxID(r.floor, record.Resolved)
	if !record.Resolved.Less(r.vote.ID) {
		r.vote = Assignment{}
	}
	if rejoined && r.vote.Exists() {
		m.sendVote(r.vote, true)
	}
	m.send(leaderRank, r.leader, Ack{Sequence: record.Sequence})
}

// onQuery answers with the vote, unless it is still open.
func (m *Mapper) onQuery(message Message, query Query, own bool) {
	r := &m.replica
	if !own || message.FromIncarnation != r.leader || !r.stable {
		return
	}
	switch {
	case query.Proposal == r.vote:
		m.sendVote(query.Proposal, true)
	case !r.floor.Less(query.Proposal.ID) || query.Proposal.Step <= r.promised:
		m.voteNo(query.Proposal)
	}
}

// voteNo never lets this incarnation vote yes on the proposal.
func (m *Mapper) voteNo(proposal Assignment) {
	m.replica.floor = maxID(m.replica.floor, proposal.ID)
	m.sendVote(proposal, false)
}

func (m *Mapper) sendVote(proposal Assignment, yes bool) {
	if m.replica.leader != "" {
		m.send(leaderRank, m.replica.leader, Vote{Proposal: proposal, Yes: yes})
	}
}

// castVote votes on the offered proposal as soon as the last one is settled and
// the rank has left the map before the present one.
func (m *Mapper) castVote() {
	r := &m.replica
	proposal := r.offered
	if !proposal.Exists() || !r.stable || r.vote.Exists() || r.next.Exists() {
		return
	}
	if proposal.Step > r.promised && r.floor.Less(proposal.ID) && r.step < r.schedule.Current.Step {
		return
	}
	r.offered = Assignment{}
	if proposal.Step <= r.promised || !r.floor.Less(proposal.ID) {
		m.voteNo(proposal)
		return
	}
	r.floor = proposal.ID
	r.vote = proposal
	m.sendVote(proposal, true)
}

// limit returns the last step that may be granted now.
func (m *Mapper) limit() carawaybeam.Step {
	r := &m.replica
	limit := r.step + m.options.Lookahead
	if r.vote.Exists() {
		limit = min(limit, r.vote.Step-1)
	}
	if r.next.Exists() {
		limit = min(limit, r.next.Step-1)
	}
	return limit
}

// grant gives the rank its next steps, unless it holds the same grant.
func (m *Mapper) grant() {
	r := &m.replica
	if !r.reported || !r.stable {
		return
	}
	grant := Grant{Schedule: r.schedule, Through: m.limit()}
	r.promised = max(r.promised, grant.Through)
	if grant == r.held || grant.Through < r.step {
		return
	}
	r.held = grant
	m.output.Grant = grant
	m.output.Granted = true
}

// send queues a message. Those of the leader to itself are handled at once.
func (m *Mapper) send(to carawaybeam.Rank, incarnation carawaybeam.Incarnation, body Body) {
	message := Message{
		From:            m.options.Rank,
		To:              to,
		FromIncarnation: m.options.Incarnation,
		ToIncarnation:   incarnation,
		Body:            body,
	}
	if to == m.options.Rank {
		m.inbox = append(m.inbox, message)
		return
	}
	m.output.Messages = append(m.output.Messages, message)
}

// finish handles what the input left open and returns its output.
func (m *Mapper) finish() Output {
	for {
		m.castVote()
		if m.leader != nil {
			m.advance()
		}
		if len(m.inbox) == 0 {
			break
		}
		message := m.inbox[0]
		m.inbox = m.inbox[1:]
		m.handle(message)
	}
	m.grant()
	output := m.output
	m.output = Output{}
	return output
}
