// Package queuer simulates how long recorded requests wait and run at each
// backend server that a policy sends them to. It models one queue for each
// backend server, and no networks, processes or protocols.
package queuer

import (
	"container/heap"
	"time"
)

type (
	// Clock is a simulated clock that calls functions in the order of their
	// times. The zero value is ready to use, at time 0.
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

// Now returns the simulated time since the start.
func (c *Clock) Now() time.Duration { return c.now }

// At schedules a call at a time since the start, or at the present time if that
// has passed. Calls for the same time run in the order of scheduling.
func (c *Clock) At(at time.Duration, call func()) {
	c.order++
	heap.Push(&c.events, event{at: max(at, c.now), order: c.order, call: call})
}

// After schedules a call after a delay.
func (c *Clock) After(delay time.Duration, call func()) { c.At(c.now+delay, call) }

// Run advances the clock and makes all calls up to and including the time end.
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

// Push appends an event, as heap.Interface requires.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event, as heap.Interface requires.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
