// Package shedder decides which connections a process closes once it has nearly as many as it can hold.
// It only decides, and does no I/O.
//
// Connections that make the least progress are closed first, whichever came last: those that have been idle,
// then those whose requests arrive slowly, then those whose clients are slow to take an answer. Clients and
// organisations with more than their share of the connections count as slower by as much. A connection whose
// request is being served is not closed.
package shedder

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// Idle is the stage of a connection without a request.
	Idle Stage = iota
	// Reading is the stage of a connection on which a part of a request has arrived.
	Reading
	// Writing is the stage of a connection whose client has not taken what was written to it.
	Writing
	// Serving is the stage of a connection that is not to be closed.
	Serving
	// Ending is the stage of a connection that is being closed.
	Ending
)

const (
	// newTime is how long a connection may be idle, and the least time over which progress is
	// measured. A client sends its request as soon as it is connected, and a lost packet again
	// within 400 ms.
	newTime = 500 * time.Millisecond

	// sendTime is how long a connection is kept in any case, so that a burst of connections does not close one
	// whose request has arrived, but has not been read yet.
	sendTime = 100 * time.Millisecond

	// SoundRate is the progress in bytes per second from which a connection is not closed unless its
	// client has more than its share. It is a fraction of what the slowest usual client sends.
	SoundRate = 4 << 10

	// reserveShare is the part of the connections that is kept free for new ones.
	reserveShare = 8
)

type (
	// Stage is what a connection is waiting for.
	Stage int

	// Connection describes a connection.
	Connection struct {
		Stage Stage
		// Client is the address of the client, and Organisation the one whose request was read last,
		// or empty if none is known.
		Client       netip.Addr
		Organisation carawaybeam.OrganisationID
		// Since is when the stage began, and Bytes how many were received or taken since.
		Since time.Time
		Bytes carawaybeam.Bytes
	}

	// Bound is the bound on the number of connections.
	Bound int

	// Victim is a connection that may be closed.
	Victim struct {
		// Index is its index in the connections that were ranked.
		Index int
		class int
		// weight is by how much its client exceeds its share.
		weight float64
		// score is the progress, or for idle connections the negative time that they are idle.
		score float64
	}
)

// Room returns how many more connections than now may be opened before others are closed for them. It is
// negative if that many are to be closed.
func (b Bound) Room(connections int) int { return int(b) - int(b)/reserveShare - connections }

// Full reports whether a further connection is to be refused. The number of connections includes those that are being
// closed, of which no more than spare may exceed the bound.
func (b Bound) Full(connections, ending, spare int) bool {
	return connections-ending >= int(b) || connections >= int(b)+spare
}

// Spare returns by how many connections that are being closed the bound may usually be exceeded.
func (b Bound) Spare() int { return int(b) / reserveShare }

// Rank returns the connections that may be closed, those with the least progress first.
func (b Bound) Rank(now time.Time, connections []Connection) []Victim {
	weights := b.weights(connections)
	victims := make([]Victim, 0, len(connections))
	for i, c := range connections {
		v := Victim{Index: i, weight: weights(c)}
		if v.assess(now, c) {
			victims = append(victims, v)
		}
	}
	slices.SortFunc(victims, func(x, y Victim) int {
		return cmp.Or(cmp.Compare(x.class, y.class), cmp.Compare(x.score, y.score))
	})
	return victims
}

// Needed reports whether a victim is to be closed before a further connection is opened. The number of connections
// is without those that are being closed.
func (b Bound) Needed(v Victim, connections int) bool {
	if v.class == newClass {
		return connections >= int(b)
	}
	return b.Room(connections) <= 0
}

// Holds reports whether the connection of a victim is still to be closed for the reason for which it was chosen. It may
// have made progress or have begun something else.
func (v Victim) Holds(now time.Time, c Connection) bool {
	current := v
	return current.assess(now, c) && current.class == v.class
}

const (
	// greedyClass is the class of connections that are closed only because their client has more than its share.
	greedyClass = 3
	// newClass is the class of connections that have not had time to make progress. They are closed only if
	// there is no other room for a new one.
	newClass = 4
)

// assess sets the class and score of a connection, or returns false if it is not to be closed. A connection with
// less progress has a lower one.
func (v *Victim) assess(now time.Time, c Connection) bool {
	age := now.Sub(c.Since)
	rate := float64(c.Bytes) / max(age, newTime).Seconds()
	switch {
	case c.Stage == Serving || c.Stage == Ending:
		return false
	case c.Stage == Idle && age >= newTime:
		v.class, v.score = int(Idle), -age.Seconds()*v.weight
	case c.Stage != Idle && rate/v.weight < SoundRate && age >= newTime:
		v.class, v.score = int(c.Stage), rate/v.weight
	case age < sendTime:
		// The request of a new connection may not have arrived yet, whatever its client has beside it.
		return false
	case v.weight > 1 && (rate >= SoundRate || age >= newTime):
		v.class, v.score = greedyClass, rate/v.weight
	case rate < SoundRate:
		v.class, v.score = newClass, -age.Seconds()*v.weight
	default:
		return false
	}
	return true
}

// weights returns a function that returns by how much the client or the organisation of a connection exceeds
// its share, or 1 if they don't. The share of each is the same part of the bound.
func (b Bound) weights(connections []Connection) func(Connection) float64 {
	clients := make(map[netip.Addr]int)
	organisations := make(map[carawaybeam.OrganisationID]int)
	for _, c := range connections {
		clients[c.Client]++
		if c.Organisation != "" {
			organisations[c.Organisation]++
		}
	}
	ratio := func(held, parties int) float64 { return float64(held*parties) / float64(max(1, int(b))) }
	return func(c Connection) float64 {
		weight := max(1, ratio(clients[c.Client], len(clients)))
		if c.Organisation != "" {
			weight = max(weight, ratio(organisations[c.Organisation], len(organisations)))
		}
		return weight
	}
}
