package mapper

import "github.com/carawaybeam/carawaybeam"

type (
	// ProposalID identifies a proposal and orders proposals.
	ProposalID = carawaybeam.ProposalID

	// Digest is a 64-bit hash of the content of a map.
	Digest = carawaybeam.MapDigest

	// Assignment assigns a map to all steps from a given one on.
	Assignment = carawaybeam.MapAssignment

	// Schedule holds the last two assignments.
	Schedule = carawaybeam.MapSchedule

	// Grant permits a rank to run its next steps.
	Grant = carawaybeam.StepGrant

	// Report is the state that a rank reports.
	Report = carawaybeam.RankReport

	// Decision is what an agent knows about the decision on a proposal.
	Decision int
)

const (
	// DecisionPending means that the agent knows no decision.
	DecisionPending Decision = iota
	// DecisionCommitted means that the group will switch or has switched.
	DecisionCommitted
	// DecisionAborted means that the group will not switch.
	DecisionAborted
)

type (
	// Message is a message between the agents of two ranks.
	Message struct {
		From carawaybeam.Rank
		To   carawaybeam.Rank
		// FromIncarnation is the incarnation of the sender.
		FromIncarnation carawaybeam.Incarnation
		// ToIncarnation is the incarnation of the recipient. It is empty if the
		// sender does not know it.
		ToIncarnation carawaybeam.Incarnation
		Body          Body
	}

	// Body is the content of a Message: Hello, Probe, Challenge, State, Vote,
	// Query, Record or Ack. All of them are comparable.
	Body interface{ isBody() }

	// Hello asks the leader to attach a restarted agent.
	Hello struct{}

	// Probe is sent by the leader. It asks an agent to accept the sender as its
	// leader and to answer with its State.
	Probe struct {
		// Nonce is different for every attachment.
		Nonce uint64
		// Echo proves that the sender is alive. It is the nonce of the last
		// Challenge, or 0 before the first one.
		Echo uint64
	}

	// Challenge answers a Probe of an unknown incarnation of the leader, which
	// must repeat Nonce in its next Probe.
	Challenge struct {
		Nonce uint64
	}

	// State answers a Probe with the state of the agent.
	State struct {
		// Probe is the nonce of the Probe.
		Probe    uint64
		Schedule Schedule
		// Next is the accepted assignment that is not known to be committed, if
		// any.
		Next Assignment
	}

	// Vote is the vote of one incarnation on a proposal. It is final.
	Vote struct {
		Proposal Assignment
		Yes      bool
	}

	// Query asks an agent for its vote.
	Query struct {
		Proposal Assignment
	}

	// Record is the complete replicated state of the group. A Record replaces
	// those of the same leader with a lower sequence.
	Record struct {
		Sequence uint64
		Schedule Schedule
		// Next is the assignment that is accepted, because all agents voted yes.
		// Once all agents have acknowledged a Record that contains it, it is
		// committed and moves to Schedule.
		Next Assignment
		// Resolved is the highest proposal that is accepted or aborted. Votes on
		// it and on lower ones are ignored.
		Resolved ProposalID
		// Stable is set once all agents have acknowledged the state that the
		// leader gathered when it started.
		Stable bool
	}

	// Ack acknowledges the Record with the same sequence.
	Ack struct {
		Sequence uint64
	}
)

func (Hello) isBody()     {}
func (Probe) isBody()     {}
func (Challenge) isBody() {}
func (State) isBody()     {}
func (Vote) isBody()      {}
func (Query) isBody()     {}
func (Record) isBody()    {}
func (Ack) isBody()       {}

// maxID returns the higher of two proposals.
func maxID(a, b ProposalID) ProposalID {
	if a.Less(b) {
		return b
	}
	return a
}
