package mapper

import "github.com/carawaybeam/carawaybeam"

type (
	// ProposalID orders proposals.
	ProposalID = carawaybeam.ProposalID

	// Digest is the 64-bit hash of the content of a map.
	Digest = carawaybeam.MapDigest

	// Assignment is a map and the first step that uses it.
	Assignment = carawaybeam.MapAssignment

	// Schedule holds the last two assignments.
	Schedule = carawaybeam.MapSchedule

	// Grant lets a rank run its next steps.
	Grant = carawaybeam.StepGrant

	// Report is what a rank tells of itself.
	Report = carawaybeam.RankReport

	// Decision tells what an agent knows of a proposal.
	Decision int
)

const (
	// DecisionPending means that the proposal is not decided, as far as is known.
	DecisionPending Decision = iota
	// DecisionCommitted means that the group switches or has switched.
	DecisionCommitted
	// DecisionAborted means that the group will not switch.
	DecisionAborted
)

type (
	// Message goes from the agent of one rank to the agent of another.
	Message struct {
		From carawaybeam.Rank
		To   carawaybeam.Rank
		// FromIncarnation is the incarnation of the sender.
		FromIncarnation carawaybeam.Incarnation
		// ToIncarnation is the incarnation that the message is for. It is empty
		// when the sender does not know it.
		ToIncarnation carawaybeam.Incarnation
		Body          Body
	}

	// Body is the content of a Message: Hello, Probe, Challenge, State, Vote,
	// Query, Record or Ack. All are comparable.
	Body interface{ isBody() }

	// Hello asks the leader to attach a restarted agent.
	Hello struct{}

	// Probe asks an agent to follow the sender and to tell its state.
	Probe struct {
		// Nonce is new for every attachment.
		Nonce uint64
		// Echo proves that the sender is alive: it repeats the nonce of the
		// last Challenge, or is 0.
		Echo uint64
	}

	// Challenge answers a Probe whose sender has not proved to be alive.
	Challenge struct {
		Nonce uint64
	}

	// State answers a Probe with what the agent knows.
	State struct {
		Probe    uint64
		Schedule Schedule
		// Next is an accepted assignment that may not be committed yet.
		Next Assignment
	}

	// Vote is the final word of one incarnation on a proposal.
	Vote struct {
		Proposal Assignment
		Yes      bool
	}

	// Query asks for a vote.
	Query struct {
		Proposal Assignment
	}

	// Record is the whole replicated state of the group. A higher sequence of
	// the same leader replaces a lower one.
	Record struct {
		Sequence uint64
		Schedule Schedule
		// Next is accepted: every rank voted yes. It is committed, and moves to
		// Schedule, once every agent has acknowledged a Record that holds it.
		Next Assignment
		// Resolved is the highest proposal that is decided. Votes on it and on
		// lower ones have ended.
		Resolved ProposalID
		// Stable means that every agent holds what the leader knew when it
		// started.
		Stable bool
	}

	// Ack acknowledges a Record.
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

func maxID(a, b ProposalID) ProposalID {
	if a.Less(b) {
		return b
	}
	return a
}
