package shedder_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/shedder"
)

const second = time.Second

// client returns the address of a client.
func client(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}) }

// choose returns the indices of the connections that are to be closed before a further one is opened.
func choose(bound shedder.Bound, now time.Time, connections []shedder.Connection) []int {
	open := len(connections)
	for _, c := range connections {
		if c.Stage == shedder.Ending {
			open--
		}
	}
	var chosen []int
	for _, v := range bound.Rank(now, connections) {
		if !bound.Needed(v, open) {
			break
		}
		chosen = append(chosen, v.Index)
		open--
	}
	return chosen
}

// TestChoose guards against closing connections that make progress, or that came last, in place of those which
// make none. Each case fills the bound of 64 up to the reserve with sound uploads of 50 KB/s by clients of their
// own, and names the connections that take the place of some of them.
func TestChoose(t *testing.T) {
	const bound = shedder.Bound(64)
	now := time.Now()
	sound := func(n int) shedder.Connection {
		return shedder.Connection{
			Stage: shedder.Reading, Client: client(n), Since: now.Add(-2 * second), Bytes: 100 << 10,
		}
	}
	at := func(stage shedder.Stage, age time.Duration, bytes carawaybeam.Bytes) shedder.Connection {
		return shedder.Connection{Stage: stage, Client: client(1000), Since: now.Add(-age), Bytes: bytes}
	}
	tests := map[string]struct {
		others []shedder.Connection
		// spare is how many connections fewer than the reserve there are.
		spare int
		// want are the indices in others of those that are closed.
		want []int
	}{
		"room":               {others: []shedder.Connection{at(shedder.Idle, second, 0)}, spare: 1},
		"sound uploads only": {},
		"idle connection":    {others: []shedder.Connection{at(shedder.Idle, second, 0)}, want: []int{0}},
		"new connection":     {others: []shedder.Connection{at(shedder.Idle, second/10, 0)}},
		"one that is served": {others: []shedder.Connection{at(shedder.Serving, 60*second, 0)}},
		"idle for longest": {
			[]shedder.Connection{at(shedder.Idle, second, 0), at(shedder.Idle, 2*second, 0)},
			0,
			[]int{1},
		},
		"idle before slow reader": {
			[]shedder.Connection{at(shedder.Reading, 9*second, 1), at(shedder.Idle, second, 0)},
			0,
			[]int{1},
		},
		"slow upload": {[]shedder.Connection{at(shedder.Reading, 4*second, 4<<10)}, 0, []int{0}},
		"slowest upload": {
			[]shedder.Connection{at(shedder.Reading, 4*second, 4<<10), at(shedder.Reading, 2*second, 1<<10)},
			0,
			[]int{1},
		},
		"upload before reader": {
			[]shedder.Connection{at(shedder.Writing, 4*second, 0), at(shedder.Reading, 4*second, 4<<10)},
			0,
			[]int{1},
		},
		"reader that takes nothing":    {[]shedder.Connection{at(shedder.Writing, 4*second, 0)}, 0, []int{0}},
		"reader that takes its answer": {[]shedder.Connection{at(shedder.Writing, 4*second, 1<<20)}, 0, nil},
		"upload that has just begun":   {[]shedder.Connection{at(shedder.Reading, second/10, 1)}, 0, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connections := slices.Clone(test.others)
			for len(connections) < 64-64/8-test.spare {
				connections = append(connections, sound(len(connections)))
			}
			is.Equal(len(connections)+bound.Room(len(connections)), 56)
			got := choose(bound, now, connections)
			is.True(slices.Equal(got, test.want)) // got
		})
	}
}

// TestShares guards against one client, or one organisation with many addresses, that holds the connections by
// sound uploads while others wait.
func TestShares(t *testing.T) {
	const bound = shedder.Bound(64)
	now := time.Now()
	for name, large := range map[string]func(n int) shedder.Connection{
		"client": func(int) shedder.Connection { return shedder.Connection{Client: client(1000)} },
		"organisation": func(n int) shedder.Connection {
			return shedder.Connection{Client: client(1000 + n), Organisation: "large"}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connections := make([]shedder.Connection, 0, 56)
			for n := range 56 {
				c := shedder.Connection{Client: client(n), Organisation: carawaybeam.OrganisationID(client(n).String())}
				if n >= 6 {
					c = large(n)
				}
				c.Stage, c.Since, c.Bytes = shedder.Reading, now.Add(-2*second), 100<<10
				connections = append(connections, c)
			}
			chosen := choose(bound, now, connections)
			is.True(len(chosen) > 0)
			for _, i := range chosen {
				is.True(i >= 6) // a connection of the large one
			}
		})
	}
}

// TestYoungOfLargeClient guards against closing a connection that has just been accepted, or a write that has just
// begun, because its client has more than its share. Behind a load balancer all clients may have the same address.
func TestYoungOfLargeClient(t *testing.T) {
	const bound = shedder.Bound(64)
	now := time.Now()
	tests := map[string]struct {
		stage shedder.Stage
		age   time.Duration
		bytes carawaybeam.Bytes
		want  bool
	}{
		"new":                   {shedder.Idle, second / 20, 0, false},
		"new with room needed":  {shedder.Idle, second / 5, 0, true},
		"head that has begun":   {shedder.Reading, second / 20, 100, false},
		"write that has begun":  {shedder.Writing, second / 20, 0, false},
		"sound upload":          {shedder.Reading, second, 100 << 10, true},
		"sound upload of late":  {shedder.Reading, second / 5, 100 << 10, true},
		"write that is stopped": {shedder.Writing, second, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connections := make([]shedder.Connection, 0, 65)
			for len(connections) < 64 {
				connections = append(connections, shedder.Connection{Stage: shedder.Serving, Client: client(1)})
			}
			connections = append(connections, shedder.Connection{
				Stage: test.stage, Client: client(1), Since: now.Add(-test.age), Bytes: test.bytes,
			})
			is.Equal(len(choose(bound, now, connections)) > 0, test.want)
		})
	}
}

// TestHolds guards against closing a connection that has made progress or has begun something else since it was
// ranked.
func TestHolds(t *testing.T) {
	const bound = shedder.Bound(64)
	now := time.Now()
	at := func(stage shedder.Stage, age time.Duration, bytes carawaybeam.Bytes) shedder.Connection {
		return shedder.Connection{Stage: stage, Client: client(1), Since: now.Add(-age), Bytes: bytes}
	}
	tests := map[string]struct {
		ranked, current shedder.Connection
		want            bool
	}{
		"same":               {at(shedder.Writing, second, 0), at(shedder.Writing, second, 0), true},
		"little progress":    {at(shedder.Reading, second, 0), at(shedder.Reading, second, 1), true},
		"next write":         {at(shedder.Writing, second, 0), at(shedder.Writing, 0, 0), false},
		"write was taken":    {at(shedder.Writing, second, 0), at(shedder.Writing, second, 16<<10), false},
		"answer has begun":   {at(shedder.Reading, second, 0), at(shedder.Writing, second, 0), false},
		"is served":          {at(shedder.Idle, second, 0), at(shedder.Serving, second, 0), false},
		"idle again":         {at(shedder.Idle, second, 0), at(shedder.Idle, second/5, 0), false},
		"is being closed":    {at(shedder.Idle, second, 0), at(shedder.Ending, second, 0), false},
		"waits for the peer": {at(shedder.Writing, second, 0), at(shedder.Reading, 0, 0), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			victims := bound.Rank(now, []shedder.Connection{test.ranked})
			is.Equal(len(victims), 1)
			is.Equal(victims[0].Holds(now, test.current), test.want)
		})
	}
}

// TestFloodOfNewConnections guards against closing the connection of an ordinary client because it has just been
// accepted, while a crowd sends its requests byte by byte. It simulates 200 connections a second that send 2
// bytes a second each, and 20 ordinary clients a second that send 2 KB after 50 ms and are served for 300 ms.
func TestFloodOfNewConnections(t *testing.T) {
	is := is.New(t)
	const bound = shedder.Bound(100)
	type connection struct {
		shedder.Connection
		born     time.Time
		ordinary bool
	}
	var open []connection
	served, refused := 0, 0
	now := time.Now()
	for step := range 4000 { // 20 s in steps of 5 ms.
		now = now.Add(5 * time.Millisecond)
		kept := open[:0]
		for _, c := range open {
			age := now.Sub(c.born)
			switch {
			case c.ordinary && age >= 350*time.Millisecond:
				served++
				continue
			case c.ordinary && age >= 50*time.Millisecond:
				c.Stage = shedder.Serving
			case !c.ordinary:
				c.Stage, c.Since, c.Bytes = shedder.Reading, c.born, carawaybeam.Bytes(2*age.Seconds())
			}
			kept = append(kept, c)
		}
		open = kept
		described := make([]shedder.Connection, 0, len(open))
		for _, c := range open {
			described = append(described, c.Connection)
		}
		chosen := choose(bound, now, described)
		slices.Sort(chosen)
		for _, i := range slices.Backward(chosen) {
			is.True(open[i].Stage != shedder.Serving)
			open = slices.Delete(open, i, i+1)
		}
		ordinary := step%10 == 0
		if bound.Full(len(open), 0, bound.Spare()) {
			if ordinary {
				refused++
			}
			continue
		}
		open = append(open, connection{
			Connection: shedder.Connection{Stage: shedder.Idle, Client: client(step), Since: now},
			born:       now, ordinary: ordinary,
		})
	}
	is.Equal(refused, 0)
	is.True(served >= 390) // of 400, the last of which still run
}

// TestBound checks that the bound follows from memory and descriptors, and that there is none without
// descriptors.
func TestBound(t *testing.T) {
	is := is.New(t)
	is.Equal(shedder.NewBound(136<<20, 0), shedder.Bound(0))
	smallest := shedder.NewBound(136<<20, 2870)
	is.True(smallest > 500)
	is.True(2*int(smallest)+200 < 2870)
	is.True(shedder.NewBound(0, 2870) >= smallest)
	is.Equal(shedder.NewBound(1<<20, 2870), shedder.Bound(64))
}
