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
)

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
		s.agents[m.To].PeerIncarnation(m.From) == m.FromIncarnation {
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
