package explorer

import (
	"fmt"
	"hash/maphash"
	"slices"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/mapper"
)

// maxRounds bounds the check for progress. A round delivers every message.
const maxRounds = 200

type (
	// state is one state of the whole group. Its parts are shared with other
	// states and replaced, not changed.
	state struct {
		options  *Options
		seed     maphash.Seed
		agents   []agent
		steps    []carawaybeam.Step
		last     []mapper.ProposalID
		restarts []int
		total    int
		// faults counts messages doubled, delayed or lost.
		faults int
		// offered marks the proposals that have reached the incarnation.
		offered []uint
		// used holds the map that the first rank used, by step.
		used     []mapper.Assignment
		messages []message
		grants   []grant

		violation string
		trail     *trail
	}

	agent struct {
		*mapper.Mapper
		hash uint64
	}

	// message and grant are what is under way, with their hashes. Messages from
	// one agent to another arrive in order, but for strays, which arrive at any
	// time or never.
	message struct {
		mapper.Message
		hash  uint64
		stray bool
	}

	grant struct {
		rank  int
		grant mapper.Grant
		hash  uint64
	}

	// trail is the sequence of events that led to a state.
	trail struct {
		before *trail
		event  any
	}

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

// newState returns a group that has just come up and takes its first step.
func newState(options Options, seed maphash.Seed) *state {
	s := &state{
		options:  &options,
		seed:     seed,
		agents:   make([]agent, options.Ranks),
		steps:    make([]carawaybeam.Step, options.Ranks),
		last:     make([]mapper.ProposalID, options.Ranks),
		restarts: make([]int, options.Ranks),
		offered:  make([]uint, options.Ranks),
		used:     make([]mapper.Assignment, options.Steps+1),
	}
	for i := range s.agents {
		s.agents[i].Mapper = s.newMapper(i)
		s.agents[i].Report(mapper.Report{})
	}
	s.settle()
	s.messages = nil
	s.forget()
	return s
}

// settle delivers all messages until the agents have no more to say.
func (s *state) settle() {
	for range s.agents {
		for i := range s.agents {
			s.take(i, s.agents[i].Tick())
			s.deliverAll()
		}
	}
	for i := range s.agents {
		s.rehash(i)
	}
}

// deliverAll delivers messages once each, in order, until none is left.
func (s *state) deliverAll() {
	for len(s.messages) > 0 {
		first := s.messages[0]
		s.messages = s.messages[1:]
		s.take(int(first.To), s.agents[first.To].Receive(first.Message))
	}
}

func (s *state) newMapper(i int) *mapper.Mapper {
	return mapper.New(mapper.Options{
		Ranks:       s.options.Ranks,
		Rank:        carawaybeam.Rank(i),
		Incarnation: s.incarnation(i),
		Lookahead:   s.options.Lookahead,
	})
}

func (s *state) incarnation(i int) carawaybeam.Incarnation {
	return carawaybeam.Incarnation(fmt.Sprintf("%d.%d", i, s.restarts[i]))
}

func (s *state) rehash(i int) {
	var h maphash.Hash
	h.SetSeed(s.seed)
	s.agents[i].WriteHash(&h)
	s.agents[i].hash = h.Sum64()
}

// clone returns a copy that shares all parts.
func (s *state) clone() *state {
	c := *s
	c.messages = slices.Clip(s.messages)
	c.grants = slices.Clip(s.grants)
	return &c
}

// withAgent returns a copy in which agent i may change.
func (s *state) withAgent(i int) *state {
	c := s.clone()
	c.agents = slices.Clone(s.agents)
	c.agents[i].Mapper = s.agents[i].Clone()
	return c
}

// after returns the state behind an input to one agent, or nil if nothing
// changed.
func (s *state) after(i int, event any, input func(*mapper.Mapper) mapper.Output) (*state, mapper.Output) {
	next := s.withAgent(i)
	output := input(next.agents[i].Mapper)
	next.rehash(i)
	next.take(i, output)
	same := next.agents[i].hash == s.agents[i].hash
	if same && len(next.messages) == len(s.messages) && len(next.grants) == len(s.grants) {
		return nil, output
	}
	next.trail = &trail{before: s.trail, event: event}
	return next, output
}

// take adds what an agent sends.
func (s *state) take(i int, output mapper.Output) {
	for _, sent := range output.Messages {
		if !slices.ContainsFunc(s.messages, func(m message) bool { return m.Message == sent && !m.stray }) {
			s.messages = append(s.messages, message{Message: sent, hash: maphash.Comparable(s.seed, sent)})
		}
	}
	if !output.Granted {
		return
	}
	given := output.Grant
	given.Through = min(given.Through, s.options.Steps)
	// A grant on the same maps that reaches further makes others superfluous.
	if slices.ContainsFunc(s.grants, func(g grant) bool {
		return g.rank == i && g.grant.Schedule == given.Schedule && g.grant.Through >= given.Through
	}) {
		return
	}
	s.grants = append(s.grants, grant{rank: i, grant: given, hash: maphash.Comparable(s.seed, given) + uint64(i)})
}

// forget drops what can have no effect any more: messages to incarnations that
// are gone, and grants for steps that the rank has entered.
func (s *state) forget() {
	s.messages = slices.DeleteFunc(slices.Clone(s.messages), func(m message) bool {
		gone := m.ToIncarnation != "" && m.ToIncarnation != s.incarnation(int(m.To))
		return gone || s.ignored(m)
	})
	s.grants = slices.DeleteFunc(slices.Clone(s.grants), func(g grant) bool {
		return g.grant.Through <= s.steps[g.rank]
	})
}

// ignored tells whether a message of an incarnation that is gone can have no
// effect, since the receiver has another one attached and nothing under way can
// attach it again.
func (s *state) ignored(m message) bool {
	if m.FromIncarnation == s.incarnation(int(m.From)) || attaches(m) ||
		s.agents[m.To].Peer(m.From) == m.FromIncarnation {
		return false
	}
	return !slices.ContainsFunc(s.messages, func(o message) bool {
		return o.FromIncarnation == m.FromIncarnation && o.To == m.To && attaches(o)
	})
}

// attaches tells whether a message is part of an attachment.
func attaches(m message) bool {
	switch m.Body.(type) {
	case mapper.Hello, mapper.Probe, mapper.Challenge, mapper.State:
		return true
	default:
		return false
	}
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
	if !slices.ContainsFunc(s.agents, func(a agent) bool { return a.Informed() && a != s.agents[i] }) {
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

// switched tells whether a rank uses a proposed map.
func (s *state) switched() bool {
	return slices.ContainsFunc(s.last, func(id mapper.ProposalID) bool { return id != mapper.ProposalID{} })
}

// progress runs a copy on without faults, and describes a group that gets stuck.
func (s *state) progress() string {
	c := s.clone()
	c.agents = slices.Clone(s.agents)
	for i := range c.agents {
		c.agents[i].Mapper = c.agents[i].Clone()
	}
	for range maxRounds {
		for i := range c.agents {
			c.take(i, c.agents[i].Report(mapper.Report{Step: c.steps[i]}))
			c.take(i, c.agents[i].Tick())
		}
		c.deliverAll()
		for _, given := range slices.Clone(c.grants) {
			if next := c.step(given); next != nil {
				c = next
			}
		}
		if c.violation != "" {
			return c.violation
		}
		if slices.Min(c.steps) == c.options.Steps {
			return ""
		}
	}
	return fmt.Sprintf("group is stuck in steps %v", c.steps)
}

// key hashes the state. Sets are summed, so that their order is irrelevant.
func (s *state) key() uint64 {
	var h maphash.Hash
	h.SetSeed(s.seed)
	for i, a := range s.agents {
		maphash.WriteComparable(&h, a.hash)
		maphash.WriteComparable(&h, s.steps[i])
		maphash.WriteComparable(&h, s.last[i])
		maphash.WriteComparable(&h, s.offered[i])
	}
	maphash.WriteComparable(&h, s.total)
	maphash.WriteComparable(&h, s.faults)
	maphash.WriteComparable(&h, s.used[slices.Max(s.steps)])
	sum := h.Sum64()
	position := make([]uint64, len(s.agents)*len(s.agents))
	for _, m := range s.messages {
		if m.stray {
			sum += m.hash
			continue
		}
		channel := int(m.From)*len(s.agents) + int(m.To)
		position[channel]++
		sum += m.hash * (2*position[channel] + 1)
	}
	for _, given := range s.grants {
		sum += given.hash
	}
	return sum
}
