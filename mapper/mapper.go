// Package mapper implements the protocol by which the agents of a lock-step group
// agree on the expert map of every step. It is a deterministic state machine: its
// inputs are messages, reports and ticks, its outputs are messages and grants, and
// it reads no clock.
//
// The protocol is a three-phase commit. The agent of rank 0 is its coordinator,
// called the leader. Since a lock-step group cannot run without all of its ranks, a
// fixed leader does not reduce availability. Agents store nothing on disk. A
// restarted agent gets the state from the leader, and a restarted leader gets it
// from all other agents.
//
//   - An agent votes yes only if none of its incarnations can have granted the
//     step of the switch. After that it grants only steps before the switch, until
//     the proposal is decided.
//   - The leader accepts a proposal when the current incarnations of all agents
//     have voted yes, and commits it when all of them have acknowledged that it
//     is accepted. Agents grant steps on the new map only after the commit, so
//     that a map that a rank may use is not lost when some agents restart.
//   - Incarnations are not ordered. Before an agent replaces the known
//     incarnation of another one, the new incarnation must prove that it is
//     alive by repeating a fresh nonce.
package mapper

import "github.com/carawaybeam/carawaybeam"

// leaderRank is the rank whose agent is the leader of the group.
const leaderRank carawaybeam.Rank = 0

type (
	// Options configures a Mapper.
	Options struct {
		// Ranks is the number of ranks in the group.
		Ranks int
		// Rank is the rank that this agent serves.
		Rank carawaybeam.Rank
		// Incarnation is the incarnation of this agent.
		Incarnation carawaybeam.Incarnation
		// Lookahead is by how many steps grants go beyond the last reported step
		// of the rank. It is the same for all agents and incarnations of a group.
		Lookahead carawaybeam.Step
		// Initial is the digest of the map before the first proposal.
		Initial Digest
	}

	// Output is the result of an input.
	Output struct {
		Messages []Message
		// Grant is to be sent to the rank if Granted is set.
		Grant   Grant
		Granted bool
	}

	// Mapper is the state machine of one agent. It is not safe for concurrent
	// use.
	Mapper struct {
		options Options
		replica replica
		// leader is nil except on the leader.
		leader *leader
		// inbox holds messages of the leader to its own agent.
		inbox  []Message
		output Output
	}

	// replica is the state of an agent as a member of the group. It is
	// comparable.
	replica struct {
		schedule Schedule
		next     Assignment
		// floor is the highest proposal that is resolved or on which this
		// incarnation has voted.
		floor ProposalID
		// vote is the unresolved proposal on which this incarnation voted yes.
		vote Assignment
		// offered is the proposal on which this incarnation has not voted yet.
		offered Assignment

		leader carawaybeam.Incarnation
		// nonce is the nonce that the next incarnation of the leader must repeat.
		nonce    uint64
		sequence uint64
		stable   bool
		// hasRecord is set once this incarnation has received a record.
		hasRecord bool

		reported bool
		step     carawaybeam.Step
		// lastGrant is the grant that the rank reported or was sent after that.
		lastGrant Grant
		// maxGranted is the highest step that this or an earlier incarnation may
		// have granted.
		maxGranted carawaybeam.Step
	}
)

// New returns the Mapper of an agent that has just started. It takes part in the
// protocol after the first report of its rank.
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

// Tick repeats messages that may have been lost. The first call starts the
// protocol. Tick should be called periodically.
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

// Receive handles a message from another agent.
func (m *Mapper) Receive(message Message) Output {
	m.handle(message)
	return m.finish()
}

// Report handles a report of the agent's own rank. The report must have been
// requested after the agent started.
func (m *Mapper) Report(report Report) Output {
	r := &m.replica
	r.step = max(r.step, report.Step)
	r.lastGrant = report.Grant
	if !r.reported {
		r.reported = true
		// Earlier incarnations have granted no later step.
		r.maxGranted = r.step + m.options.Lookahead
	}
	// The rank's grant has only committed maps and survives a restart of all agents.
	if r.sequence == 0 && r.schedule.Current.ID.Less(report.Grant.Schedule.Current.ID) {
		r.schedule = report.Grant.Schedule
	}
	return m.finish()
}

// Propose handles a proposal of a controller. The weights of its experts must
// already be loaded.
func (m *Mapper) Propose(proposal Assignment) Output {
	if m.replica.offered.ID.Less(proposal.ID) {
		m.replica.offered = proposal
	}
	return m.finish()
}

// Refuse votes no on a proposal, for example because its weights cannot be loaded.
// It does nothing if the proposal is resolved or voted on.
func (m *Mapper) Refuse(proposal Assignment) Output {
	if m.replica.floor.Less(proposal.ID) {
		m.voteNo(proposal)
	}
	return m.finish()
}

// Decision returns what this agent knows about the decision on a proposal.
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

// Schedule returns the committed maps. It reports false if they are not yet
// confirmed by the leader.
func (m *Mapper) Schedule() (Schedule, bool) { return m.replica.schedule, m.replica.stable }

// HasRecord reports whether this incarnation has received the state of its group.
// No decision is lost as long as one agent of the group has it.
func (m *Mapper) HasRecord() bool { return m.replica.hasRecord }

// Floor returns the highest proposal that is resolved or on which the agent has
// voted. The agent refuses lower proposals, so that the epoch of Floor is the
// highest that it knows.
func (m *Mapper) Floor() ProposalID { return m.replica.floor }

// Blocked reports whether the rank cannot enter its next step because a proposal
// is undecided.
func (m *Mapper) Blocked() bool {
	r := &m.replica
	return r.reported && r.stable && r.lastGrant.Through <= r.step && m.limit() <= r.step
}

// handle passes a message to the handler for its type. The handlers drop messages
// for and from outdated incarnations. Their parameter addressed is true if the
// message is for this incarnation.
func (m *Mapper) handle(message Message) {
	if message.To != m.options.Rank {
		return
	}
	addressed := message.ToIncarnation == m.options.Incarnation
	switch body := message.Body.(type) {
	case Hello:
		m.onHello(message)
	case Probe:
		m.onProbe(message, body, addressed)
	case Challenge:
		m.onChallenge(message, body, addressed)
	case State:
		m.onState(message, body, addressed)
	case Vote:
		m.onVote(message, body, addressed)
	case Ack:
		m.onAck(message, body, addressed)
	case Query:
		m.onQuery(message, body, addressed)
	case Record:
		m.onRecord(message, body, addressed)
	}
}

// onProbe answers the leader with the state of the agent. A new incarnation of the
// leader must first prove that it is alive.
func (m *Mapper) onProbe(message Message, probe Probe, addressed bool) {
	r := &m.replica
	if !r.reported || message.From != leaderRank {
		return
	}
	if message.FromIncarnation != r.leader {
		if !addressed || probe.Echo != r.nonce {
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

// onRecord replaces the state of the group and acknowledges it.
func (m *Mapper) onRecord(message Message, record Record, addressed bool) {
	r := &m.replica
	if !addressed || message.FromIncarnation != r.leader || record.Sequence < r.sequence {
		return
	}
	rejoined := record.Stable && !r.stable
	r.sequence = record.Sequence
	r.hasRecord = true
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

// onQuery repeats the vote on a proposal, or votes no if the agent can no longer
// vote yes. Otherwise the vote is still pending and no answer is sent.
func (m *Mapper) onQuery(message Message, query Query, addressed bool) {
	r := &m.replica
	if !addressed || message.FromIncarnation != r.leader || !r.stable {
		return
	}
	switch {
	case query.Proposal == r.vote:
		m.sendVote(query.Proposal, true)
	case !r.floor.Less(query.Proposal.ID) || query.Proposal.Step <= r.maxGranted:
		m.voteNo(query.Proposal)
	}
}

// voteNo votes no on a proposal. The raised floor ensures that this incarnation
// never votes yes on it.
func (m *Mapper) voteNo(proposal Assignment) {
	m.replica.floor = maxID(m.replica.floor, proposal.ID)
	m.sendVote(proposal, false)
}

func (m *Mapper) sendVote(proposal Assignment, yes bool) {
	if m.replica.leader != "" {
		m.send(leaderRank, m.replica.leader, Vote{Proposal: proposal, Yes: yes})
	}
}

// castVote votes on the offered proposal. It waits until the previous proposal is
// resolved and the rank has entered the first step of the current map, because a
// schedule holds only two maps.
func (m *Mapper) castVote() {
	r := &m.replica
	proposal := r.offered
	if !proposal.Exists() || !r.stable || r.vote.Exists() || r.next.Exists() {
		return
	}
	if proposal.Step > r.maxGranted && r.floor.Less(proposal.ID) && r.step < r.schedule.Current.Step {
		return
	}
	r.offered = Assignment{}
	if proposal.Step <= r.maxGranted || !r.floor.Less(proposal.ID) {
		m.voteNo(proposal)
		return
	}
	r.floor = proposal.ID
	r.vote = proposal
	m.sendVote(proposal, true)
}

// limit returns the last step that may currently be granted.
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

// grant outputs a grant for the next steps of the rank, unless the rank already has
// the same grant.
func (m *Mapper) grant() {
	r := &m.replica
	if !r.reported || !r.stable {
		return
	}
	grant := Grant{Schedule: r.schedule, Through: m.limit()}
	r.maxGranted = max(r.maxGranted, grant.Through)
	if grant == r.lastGrant || grant.Through < r.step {
		return
	}
	r.lastGrant = grant
	m.output.Grant = grant
	m.output.Granted = true
}

// send queues a message. Messages of the leader to its own agent go to the inbox.
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

// finish completes an input: it casts votes, advances the protocol, handles the
// messages in the inbox, and returns the output.
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
