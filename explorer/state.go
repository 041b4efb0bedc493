package explorer

import (
	"fmt"
	"hash/maphash"
	"slices"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/mapper"
)

// maxRounds is the maximum number of rounds of the check for progress. A round
// delivers all messages.
const maxRounds = 200

type (
	// state is one state of the group. Its parts are shared with other states,
	// so they are replaced and never modified.
	state struct {
		options  *Options
		seed     maphash.Seed
		agents   []agent
		steps    []carawaybeam.Step
		lastUsed []mapper.ProposalID
		restarts []int
		total    int
		// faults is the number of messages duplicated, delayed or lost.
		faults int
		// offered marks, by agent, the proposals that its current incarnation
		// has received, as a bit set.
		offered []uint
		// used holds the map that the first rank to enter a step used, by step.
		used     []mapper.Assignment
		messages []message
		grants   []grant

		violation string
		history   *history
	}

	agent struct {
		*mapper.Mapper
		hash uint64
	}

	// message is a message in flight with its hash. Messages from one agent to
	// another arrive in order, except delayed ones, which arrive at any time or
	// never.
	message struct {
		mapper.Message
		hash    uint64
		delayed bool
	}

	grant struct {
		rank  int
		grant mapper.Grant
		hash  uint64
	}

	// history is the sequence of events that led to a state.
	history struct {
		previous *history
		event    any
	}
)

// newState returns a group that has just started and enters its first step.
func newState(options Options, seed maphash.Seed) *state {
	s := &state{
		options:  &options,
		seed:     seed,
		agents:   make([]agent, options.Ranks),
		steps:    make([]carawaybeam.Step, options.Ranks),
		lastUsed: make([]mapper.ProposalID, options.Ranks),
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
	s.prune()
	return s
}

// settle runs the agents without faults until they send nothing more.
func (s *state) settle() {
	for range s.agents {
		for i := range s.agents {
			s.addOutput(i, s.agents[i].Tick())
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
		s.addOutput(int(first.To), s.agents[first.To].Receive(first.Message))
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

// withAgent returns a copy in which agent i may be modified.
func (s *state) withAgent(i int) *state {
	c := s.clone()
	c.agents = slices.Clone(s.agents)
	c.agents[i].Mapper = s.agents[i].Clone()
	return c
}

// apply returns the state after an input to one agent, or nil if the input
// changed nothing.
func (s *state) apply(i int, event any, input func(*mapper.Mapper) mapper.Output) (*state, mapper.Output) {
	next := s.withAgent(i)
	output := input(next.agents[i].Mapper)
	next.rehash(i)
	next.addOutput(i, output)
	same := next.agents[i].hash == s.agents[i].hash
	if same && len(next.messages) == len(s.messages) && len(next.grants) == len(s.grants) {
		return nil, output
	}
	next.history = &history{previous: s.history, event: event}
	return next, output
}

// addOutput adds the messages and the grant that agent i sent.
func (s *state) addOutput(i int, output mapper.Output) {
	for _, sent := range output.Messages {
		if !slices.ContainsFunc(s.messages, func(m message) bool { return m.Message == sent && !m.delayed }) {
			s.messages = append(s.messages, message{Message: sent, hash: maphash.Comparable(s.seed, sent)})
		}
	}
	if !output.Granted {
		return
	}
	granted := output.Grant
	granted.Through = min(granted.Through, s.options.Steps)
	// A grant with the same maps that reaches at least as far makes this
	// one redundant.
	if slices.ContainsFunc(s.grants, func(g grant) bool {
		return g.rank == i && g.grant.Schedule == granted.Schedule && g.grant.Through >= granted.Through
	}) {
		return
	}
	s.grants = append(s.grants, grant{rank: i, grant: granted, hash: maphash.Comparable(s.seed, granted) + uint64(i)})
}

// prune removes what can have no effect any more: messages to ended
// incarnations, and grants for steps that the rank has entered.
func (s *state) prune() {
	s.messages = slices.DeleteFunc(slices.Clone(s.messages), func(m message) bool {
		gone := m.ToIncarnation != "" && m.ToIncarnation != s.incarnation(int(m.To))
		return gone || s.isIgnored(m)
	})
	s.grants = slices.DeleteFunc(slices.Clone(s.grants), func(g grant) bool {
		return g.grant.Through <= s.steps[g.rank]
	})
}

// isIgnored reports whether a message of an ended incarnation can have no
// effect, because the receiver is attached to another incarnation and no
// message in flight can attach it to this one.
func (s *state) isIgnored(m message) bool {
	if m.FromIncarnation == s.incarnation(int(m.From)) || attaches(m) ||
		s.agents[m.To].PeerIncarnation(m.From) == m.FromIncarnation {
		return false
	}
	return !slices.ContainsFunc(s.messages, func(o message) bool {
		return o.FromIncarnation == m.FromIncarnation && o.To == m.To && attaches(o)
	})
}

// attaches reports whether a message is part of an attachment.
func attaches(m message) bool {
	switch m.Body.(type) {
	case mapper.Hello, mapper.Probe, mapper.Challenge, mapper.State:
		return true
	default:
		return false
	}
}

// switched reports whether a rank uses a proposed map.
func (s *state) switched() bool {
	return slices.ContainsFunc(s.lastUsed, func(id mapper.ProposalID) bool { return id != mapper.ProposalID{} })
}

// checkProgress runs a copy of the state without further faults. It returns a
// description if the group does not reach the last step, otherwise "".
func (s *state) checkProgress() string {
	c := s.clone()
	c.agents = slices.Clone(s.agents)
	for i := range c.agents {
		c.agents[i].Mapper = c.agents[i].Clone()
	}
	for range maxRounds {
		for i := range c.agents {
			c.addOutput(i, c.agents[i].Report(mapper.Report{Step: c.steps[i]}))
			c.addOutput(i, c.agents[i].Tick())
		}
		c.deliverAll()
		for _, granted := range slices.Clone(c.grants) {
			if next := c.step(granted); next != nil {
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

// key returns a hash of the state. The hashes of set members are added, so that
// their order has no effect.
func (s *state) key() uint64 {
	var h maphash.Hash
	h.SetSeed(s.seed)
	for i, a := range s.agents {
		maphash.WriteComparable(&h, a.hash)
		maphash.WriteComparable(&h, s.steps[i])
		maphash.WriteComparable(&h, s.lastUsed[i])
		maphash.WriteComparable(&h, s.offered[i])
	}
	maphash.WriteComparable(&h, s.total)
	maphash.WriteComparable(&h, s.faults)
	maphash.WriteComparable(&h, s.used[slices.Max(s.steps)])
	sum := h.Sum64()
	position := make([]uint64, len(s.agents)*len(s.agents))
	for _, m := range s.messages {
		if m.delayed {
			sum += m.hash
			continue
		}
		channel := int(m.From)*len(s.agents) + int(m.To)
		position[channel]++
		sum += m.hash * (2*position[channel] + 1)
	}
	for _, granted := range s.grants {
		sum += granted.hash
	}
	return sum
}
