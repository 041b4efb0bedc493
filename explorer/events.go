package explorer

import (
	"fmt"
	"slices"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/mapper"
)

type (
	// delivered is the delivery of a message, or its loss or delay if it is left
	// behind without having been received.
	delivered struct {
		mapper.Message
		Received, LeftBehind bool
	}

	// proposed, restarted, ticked and stepped are the events besides the
	// delivery of a message.
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

// path describes the events in order.
func (t *trail) path() []string {
	var events []string
	for ; t != nil; t = t.before {
		events = append(events, fmt.Sprintf("%T%+v", t.event, t.event))
	}
	slices.Reverse(events)
	return events
}

// successors calls yield with every state that one event leads to. A group whose
// ranks have all entered the last step can break nothing any more.
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
		if s.quiet() {
			next, _ := s.after(i, ticked{Agent: i}, (*mapper.Mapper).Tick)
			emit(next)
		}
	}
	for _, given := range s.grants {
		emit(s.step(given))
	}
}

// quiet tells whether nothing is under way that will arrive.
func (s *state) quiet() bool {
	return !slices.ContainsFunc(s.messages, func(m message) bool { return !m.stray })
}

// deliveries calls yield with the states behind each message that can arrive
// next: received, received and doubled, and delayed or lost.
func (s *state) deliveries(yield func(next *state)) {
	for i, m := range s.messages {
		if m.stray {
			yield(s.deliver(i, delivered{Message: m.Message, Received: true}))
			continue
		}
		if slices.ContainsFunc(s.messages[:i], func(o message) bool {
			return !o.stray && o.From == m.From && o.To == m.To
		}) {
			continue
		}
		yield(s.deliver(i, delivered{Message: m.Message, Received: true}))
		if s.faults < s.options.Faults {
			yield(s.deliver(i, delivered{Message: m.Message, Received: true, LeftBehind: true}))
			yield(s.deliver(i, delivered{Message: m.Message, LeftBehind: true}))
		}
	}
}

// deliver brings about one of the fates of message i.
func (s *state) deliver(i int, fate delivered) *state {
	next := s.withAgent(int(fate.To))
	next.trail = &trail{before: s.trail, event: fate}
	next.messages = slices.Clone(s.messages)
	if fate.LeftBehind {
		next.faults++
		stray := next.messages[i]
		stray.stray = true
		next.messages = append(slices.Delete(next.messages, i, i+1), stray)
	} else {
		next.messages = slices.Delete(next.messages, i, i+1)
	}
	if fate.Received {
		next.take(int(fate.To), next.agents[fate.To].Receive(fate.Message))
		next.rehash(int(fate.To))
		next.forget()
	}
	return next
}

// propose brings a proposal to an agent, once in each of its incarnations.
func (s *state) propose(i, p int) *state {
	if s.offered[i]&(1<<p) != 0 {
		return nil
	}
	proposal := s.options.Proposals[p]
	next := s.withAgent(i)
	next.trail = &trail{before: s.trail, event: proposed{To: i, Proposal: proposal}}
	next.offered = slices.Clone(s.offered)
	next.offered[i] |= 1 << p
	next.take(i, next.agents[i].Propose(proposal))
	next.rehash(i)
	return next
}

// restart replaces an agent by a new incarnation that knows nothing, unless it is
// the last one to hold the state of the group.
func (s *state) restart(i int) *state {
	if s.restarts[i] >= s.options.Restarts[i] || s.total >= s.options.TotalRestarts {
		return nil
	}
	if !slices.ContainsFunc(s.agents, func(a agent) bool { return a.HasRecord() && a != s.agents[i] }) {
		return nil
	}
	next := s.withAgent(i)
	next.trail = &trail{before: s.trail, event: restarted{Agent: i}}
	next.restarts = slices.Clone(s.restarts)
	next.restarts[i]++
	next.total++
	next.offered = slices.Clone(s.offered)
	next.offered[i] = 0
	next.agents[i].Mapper = next.newMapper(i)
	next.forget()
	for m := range next.messages {
		if int(next.messages[m].From) == i {
			next.messages[m].stray = true
		}
	}
	next.take(i, next.agents[i].Report(mapper.Report{Step: s.steps[i]}))
	next.take(i, next.agents[i].Tick())
	next.rehash(i)
	return next
}

// step lets a rank enter its next step by a grant, if the others have entered
// the one before, and compares the map with those of the other ranks.
func (s *state) step(given grant) *state {
	i := given.rank
	step := s.steps[i] + 1
	if step > s.options.Steps || step > given.grant.Through || slices.Min(s.steps) < s.steps[i] {
		return nil
	}
	next := s.withAgent(i)
	next.trail = &trail{before: s.trail, event: stepped{Rank: i, Step: step, Grant: given.grant}}
	next.steps = slices.Clone(s.steps)
	next.steps[i] = step
	next.last = slices.Clone(s.last)
	assignment := given.grant.Schedule.At(step)
	next.last[i] = assignment.ID
	if assignment.ID.Less(s.last[i]) {
		next.violation = fmt.Sprintf("rank %d goes back from %+v to %+v at step %d", i, s.last[i], assignment.ID, step)
	}
	if slices.Max(s.steps) < step {
		next.used = slices.Clone(s.used)
		next.used[step] = assignment
	} else if s.used[step] != assignment {
		next.violation = fmt.Sprintf("rank %d uses %+v and another %+v in step %d", i, assignment, s.used[step], step)
	}
	next.take(i, next.agents[i].Report(mapper.Report{Step: step}))
	next.rehash(i)
	next.forget()
	return next
}
