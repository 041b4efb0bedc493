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

	// batchShare is the largest part of the connections that is closed for one new connection, so that
	// the others need not be looked at for each.
	batchShare = 64
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

	// victim is a connection that may be closed.
	victim struct {
		index int
		class int
		// score is the progress, or for idle connections the negative time that they are idle.
		score float64
	}
)

// Room returns how many more connections than now may be opened before others are closed for them. It is
// negative if that many are to be closed.
func (b Bound) Room(connections int) int { return int(b) - int(b)/reserveShare - connections }

// Full reports whether a further connection is to be refused. The number of connections includes those that are being
// closed, which may exceed the bound by the part that is kept free.
func (b Bound) Full(connections, ending int) bool {
	return connections-ending >= int(b) || connections >= int(b)+int(b)/reserveShare
}

// Choose returns the indices of the connections that are to be closed now, those with the least progress
// first. It returns none while there is room.
func (b Bound) Choose(now time.Time, connections []Connection) []int {
	ending := 0
	for _, c := range connections {
		if c.Stage == Ending {
			ending++
		}
	}
	excess := 1 - b.Room(len(connections)-ending)
	if excess <= 0 {
		return nil
	}
	weights := b.weights(connections)
	victims := make([]victim, 0, len(connections))
	for i, c := range connections {
		if v, ok := assess(now, c, weights(c)); ok {
			v.index = i
			victims = append(victims, v)
		}
	}
	slices.SortFunc(victims, func(x, y victim) int {
		return cmp.Or(cmp.Compare(x.class, y.class), cmp.Compare(x.score, y.score))
	})
	most := max(excess, int(b)/batchShare)
	chosen := make([]int, 0, min(most, len(victims)))
	full := 1 + len(connections) - ending - int(b)
	for _, v := range victims[:min(most, len(victims))] {
		if v.class == greedyClass && len(chosen) >= excess || v.class == newClass && len(chosen) >= full {
			break
		}
		chosen = append(chosen, v.index)
	}
	return chosen
}

const (
	// greedyClass is the class of connections that are closed only because their client has more than its share.
	greedyClass = 3
	// newClass is the class of connections that have not had time to make progress. They are closed only if
	// there is no other room for a new one.
	newClass = 4
)

// assess returns the class and score of a connection, or false if it is not to be closed. A connection with
// less progress has a lower one.
func assess(now time.Time, c Connection, weight float64) (victim, bool) {
	age := now.Sub(c.Since)
	rate := float64(c.Bytes) / max(age, newTime).Seconds()
	switch {
	case c.Stage == Serving || c.Stage == Ending:
		return victim{}, false
	case c.Stage == Idle && age >= newTime:
		return victim{class: int(Idle), score: -age.Seconds() * weight}, true
	case c.Stage != Idle && rate/weight < SoundRate && age >= newTime:
		return victim{class: int(c.Stage), score: rate / weight}, true
	case age < sendTime:
		// The request of a new connection may not have arrived yet, whatever its client has beside it.
		return victim{}, false
	case weight > 1 && (rate >= SoundRate || age >= newTime):
		return victim{class: greedyClass, score: rate / weight}, true
	case rate < SoundRate:
		return victim{class: newClass, score: -age.Seconds() * weight}, true
	}
	return victim{}, false
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
