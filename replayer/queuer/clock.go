// Package queuer works out how long recorded requests queue and take at each
// backend server, given where a policy sends them. It knows one queue for each
// backend server and nothing of networks, processes or protocols.
package queuer

import (
	"container/heap"
	"time"
)

type (
	// Clock calls functions in the order of their times. The zero value stands
	// at 0.
	Clock struct {
		now    time.Duration
		order  int
		events events
	}

	event struct {
		at    time.Duration
		order int
		call  func()
	}

	events []event
)

// Now returns the present time since the start.
func (c *Clock) Now() time.Duration { return c.now }

// At calls a function at a time. Calls for the same time keep their order.
func (c *Clock) At(at time.Duration, call func()) {
	c.order++
	heap.Push(&c.events, event{at: max(at, c.now), order: c.order, call: call})
}

// After calls a function after a while.
func (c *Clock) After(wait time.Duration, call func()) { c.At(c.now+wait, call) }

// Run calls everything up to the end.
func (c *Clock) Run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.call()
	}
}

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event for heap.Push.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event for heap.Pop.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
