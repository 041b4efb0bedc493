package mapper

import (
	"hash/maphash"
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

// Clone returns an independent copy of the state machine.
func (m *Mapper) Clone() *Mapper {
	c := *m
	if m.leader != nil {
		l := *m.leader
		l.members = slices.Clone(m.leader.members)
		c.leader = &l
	}
	return &c
}

// WriteHash adds the complete state between two inputs to a hash. Equal states
// add the same bytes.
func (m *Mapper) WriteHash(h *maphash.Hash) {
	maphash.WriteComparable(h, m.options.Incarnation)
	maphash.WriteComparable(h, m.replica)
	if m.leader == nil {
		return
	}
	maphash.WriteComparable(h, m.leader.record)
	maphash.WriteComparable(h, m.leader.tally)
	for _, mb := range m.leader.members {
		maphash.WriteComparable(h, mb)
	}
}

// PeerIncarnation returns the incarnation of another agent to which this agent is
// attached, or "" if there is none. Votes, queries, records and acknowledgements
// of other incarnations are dropped.
func (m *Mapper) PeerIncarnation(rank carawaybeam.Rank) carawaybeam.Incarnation {
	switch {
	case m.leader != nil:
		return m.leader.members[rank].incarnation
	case rank == leaderRank:
		return m.replica.leader
	default:
		return ""
	}
}
