package explorer

import (
	"fmt"
	"slices"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/mapper"
)

type (
	// delivered is what happens to a message. A message that is retained stays
	// in flight as a delayed one: it is duplicated if it was also received,
	// otherwise delayed or lost.
	delivered struct {
		mapper.Message
		Received, Retained bool
	}

	// proposed, restarted, ticked and stepped are the other events.
	proposed struct {
		To       int
		Proposal mapper.Assignment
	}
	restarted struct{ Agent int }
	ticked    struct{ Agent int }
	stepped   struct {
		Rank  int
		Step  carawaybeam.Step
		Grant mapper.Grant
	}
)

// path returns a description of each event, in order.
func (h *history) path() []string {
	var events []string
	for ; h != nil; h = h.previous {
		events = append(events, fmt.Sprintf("%T%+v", h.event, h.event))
	}
	slices.Reverse(events)
	return events
}

// successors calls yield with every state that follows by one event. There are
// none once all ranks have entered the last step, since no violation can
// follow.
func (s *state) successors(yield func(next *state)) {
	if slices.Min(s.steps) == s.options.Steps {
		return
	}
	emit := func(next *state) {
		if next != nil {
			yield(next)
		}
	}
	s.deliveries(yield)
	for i := range s.agents {
		for p := range s.options.Proposals {
			emit(s.propose(i, p))
		}
		emit(s.restart(i))
		if s.isQuiet() {
			next, _ := s.apply(i, ticked{Agent: i}, (*mapper.Mapper).Tick)
			emit(next)
		}
	}
	for _, granted := range s.grants {
		emit(s.step(granted))
	}
}

// isQuiet reports whether no message is in flight but delayed ones.
func (s *state) isQuiet() bool {
	return !slices.ContainsFunc(s.messages, func(m message) bool { return !m.delayed })
}

// deliveries calls yield with the states that follow from each message that can
// arrive next: it is received, received and duplicated, or delayed or lost.
func (s *state) deliveries(yield func(next *state)) {
	for i, m := range s.messages {
		if m.delayed {
			yield(s.deliver(i, delivered{Message: m.Message, Received: true}))
			continue
		}
		if slices.ContainsFunc(s.messages[:i], func(o message) bool {
			return !o.delayed && o.From == m.From && o.To == m.To
		}) {
			continue
		}
		yield(s.deliver(i, delivered{Message: m.Message, Received: true}))
		if s.faults < s.options.Faults {
			yield(s.deliver(i, delivered{Message: m.Message, Received: true, Retained: true}))
			yield(s.deliver(i, delivered{Message: m.Message, Retained: true}))
		}
	}
}

// deliver returns the state that follows from an outcome of message i.
func (s *state) deliver(i int, outcome delivered) *state {
	next := s.withAgent(int(outcome.To))
	next.history = &history{previous: s.history, event: outcome}
	next.messages = slices.Clone(s.messages)
	if outcome.Retained {
		next.faults++
		delayed := next.messages[i]
		delayed.delayed = true
		next.messages = append(slices.Delete(next.messages, i, i+1), delayed)
	} else {
		next.messages = slices.Delete(next.messages, i, i+1)
	}
	if outcome.Received {
		next.addOutput(int(outcome.To), next.agents[outcome.To].Receive(outcome.Message))
		next.rehash(int(outcome.To))
		next.prune()
	}
	return next
}

// propose sends a proposal to an agent, once in each of its incarnations. It
// returns nil if the incarnation has received it.
func (s *state) propose(i, p int) *state {
	if s.offered[i]&(1<<p) != 0 {
		return nil
	}
	proposal := s.options.Proposals[p]
	next := s.withAgent(i)
	next.history = &history{previous: s.history, event: proposed{To: i, Proposal: proposal}}
	next.offered = slices.Clone(s.offered)
	next.offered[i] |= 1 << p
	next.addOutput(i, next.agents[i].Propose(proposal))
	next.rehash(i)
	return next
}

// restart replaces an agent by a new incarnation without state. It returns nil
// if a bound is reached or no other agent holds the state of the group.
func (s *state) restart(i int) *state {
	if s.restarts[i] >= s.options.Restarts[i] || s.total >= s.options.TotalRestarts {
		return nil
	}
	if !slices.ContainsFunc(s.agents, func(a agent) bool { return a.HasRecord() && a != s.agents[i] }) {
		return nil
	}
	next := s.withAgent(i)
	next.history = &history{previous: s.history, event: restarted{Agent: i}}
	next.restarts = slices.Clone(s.restarts)
	next.restarts[i]++
	next.total++
	next.offered = slices.Clone(s.offered)
	next.offered[i] = 0
	next.agents[i].Mapper = next.newMapper(i)
	next.prune()
	for m := range next.messages {
		if int(next.messages[m].From) == i {
			next.messages[m].delayed = true
		}
	}
	next.addOutput(i, next.agents[i].Report(mapper.Report{Step: s.steps[i]}))
	next.addOutput(i, next.agents[i].Tick())
	next.rehash(i)
	return next
}

// step lets a rank enter its next step by a grant and compares its map with
// those of the other ranks. It returns nil if the grant does not permit the
// step or another rank has not entered the step before it.
func (s *state) step(granted grant) *state {
	i := granted.rank
	step := s.steps[i] + 1
	if step > s.options.Steps || step > granted.grant.Through || slices.Min(s.steps) < s.steps[i] {
		return nil
	}
	next := s.withAgent(i)
	next.history = &history{previous: s.history, event: stepped{Rank: i, Step: step, Grant: granted.grant}}
	next.steps = slices.Clone(s.steps)
	next.steps[i] = step
	next.lastUsed = slices.Clone(s.lastUsed)
	assignment := granted.grant.Schedule.At(step)
	next.lastUsed[i] = assignment.ID
	if assignment.ID.Less(s.lastUsed[i]) {
		next.violation = fmt.Sprintf(
			"rank %d goes back from %+v to %+v at step %d",
			i,
			s.lastUsed[i],
			assignment.ID,
			step,
		)
	}
	if slices.Max(s.steps) < step {
		next.used = slices.Clone(s.used)
		next.used[step] = assignment
	} else if s.used[step] != assignment {
		next.violation = fmt.Sprintf("rank %d uses %+v and another %+v in step %d", i, assignment, s.used[step], step)
	}
	next.addOutput(i, next.agents[i].Report(mapper.Report{Step: step}))
	next.rehash(i)
	next.prune()
	return next
}
