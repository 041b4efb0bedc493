// Package granter runs the protocol of package mapper in an agent: it carries
// the messages between the agents of a group and gives the rank its grants.
package granter

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/mapper"
)

const (
	// tickInterval is how often the protocol sends again what may be lost.
	tickInterval = 200 * time.Millisecond

	// reportInterval is how often the rank is asked for its step.
	reportInterval = 20 * time.Millisecond

	// peerSilence is how long a stream of a peer may carry nothing.
	peerSilence = time.Minute
)

type (
	// Options is what a Granter is made from.
	Options struct {
		Group carawaybeam.GroupID
		// Rank is the rank that this agent serves.
		Rank carawaybeam.Rank
		// Incarnation is this life of the agent.
		Incarnation carawaybeam.Incarnation
		// Lookahead is how many steps ahead of its rank the agent grants. It is
		// the same in all agents of the group.
		Lookahead carawaybeam.Step
		// Peers holds the link addresses of all agents of the group, by rank.
		Peers   []carawaybeam.Address
		Dialer  carawaybeam.Dialer
		Client  carawaybeam.RankClient
		Weights WeightSource
		Log     zerolog.Logger
	}

	// Granter serves one rank until Close.
	Granter struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		inputs chan input
		// proposals holds the newest proposal whose weights are not fetched.
		proposals chan Proposal
		grants    chan carawaybeam.StepGrant
		// senders is used by the goroutine of the Mapper only.
		senders map[carawaybeam.Rank]*sender

		mu    sync.Mutex
		state State
	}

	// State is the state dump of a Granter.
	State struct {
		Group    carawaybeam.GroupID     `json:"group"`
		Rank     carawaybeam.Rank        `json:"rank"`
		Schedule carawaybeam.MapSchedule `json:"schedule"`
		// Stable tells whether the agent has learnt Schedule from its group.
		Stable bool `json:"stable"`
		// Blocked tells whether the rank waits for a decision.
		Blocked bool                   `json:"holding"`
		Floor   carawaybeam.ProposalID `json:"floor"`
		// Step is the one that the rank reported.
		Step carawaybeam.Step `json:"step"`
		// Refused counts grants that the rank did not take.
		Refused uint64 `json:"refused"`
		// Fetched counts experts whose weights were fetched.
		Fetched uint64 `json:"fetched"`
	}

	// input is one event for the Mapper.
	input func(m *mapper.Mapper) mapper.Output
)

var _ carawaybeam.StreamHandler = (*Granter)(nil)

// New returns a Granter that takes part once its rank has reported.
func New(options Options) *Granter {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Granter{
		options:   options,
		ctx:       ctx,
		cancel:    cancel,
		inputs:    make(chan input),
		proposals: make(chan Proposal, 1),
		grants:    make(chan carawaybeam.StepGrant, 1),
		senders:   make(map[carawaybeam.Rank]*sender),
		state:     State{Group: options.Group, Rank: options.Rank},
	}
	g.wait.Go(g.run)
	g.wait.Go(g.pollRank)
	g.wait.Go(g.orderRank)
	g.wait.Go(g.prepare)
	return g
}

// Close gives no more grants and waits.
func (g *Granter) Close() error {
	g.cancel()
	g.wait.Wait()
	return nil
}

// State returns the state for a dump.
func (g *Granter) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// ServeStream takes the messages of a peer, or the proposals of a controller, and
// acknowledges each.
func (g *Granter) ServeStream(ctx context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	release := context.AfterFunc(g.ctx, func() { _ = stream.Close() })
	defer release()
	for frame := first; ctx.Err() == nil; {
		if stream.Send(&framer.Frame{Body: &framer.Frame_MapStatus{MapStatus: g.take(frame)}}) != nil {
			return
		}
		var err error
		if frame, err = stream.Receive(peerSilence); err != nil {
			return
		}
	}
}

// take handles one frame and returns what acknowledges it.
func (g *Granter) take(frame *framer.Frame) *framer.MapStatus {
	switch body := frame.GetBody().(type) {
	case *framer.Frame_MapMessage:
		g.receive(body.MapMessage)
	case *framer.Frame_Propose:
		g.receiveProposal(body.Propose)
		return encodeStatus(g.State())
	}
	return &framer.MapStatus{}
}

// receiveProposal takes a proposal. One without a version only asks for the
// status.
func (g *Granter) receiveProposal(encoded *framer.Propose) {
	if carawaybeam.GroupID(encoded.GetGroup()) != g.options.Group || encoded.GetMapVersion() == 0 {
		return
	}
	g.Propose(decodeProposal(encoded))
}

// receive takes a message of an agent of the group.
func (g *Granter) receive(encoded *framer.MapMessage) {
	if carawaybeam.GroupID(encoded.GetGroup()) != g.options.Group || int(encoded.GetFrom()) >= len(g.options.Peers) {
		g.options.Log.Warn().Str("group", encoded.GetGroup()).Msg("granter: message of another group dropped")
		return
	}
	if message, ok := decode(encoded); ok {
		g.feed(func(m *mapper.Mapper) mapper.Output { return m.Receive(message) })
	}
}

func (g *Granter) feed(in input) {
	select {
	case g.inputs <- in:
	case <-g.ctx.Done():
	}
}

// run owns the Mapper.
func (g *Granter) run() {
	m := mapper.New(mapper.Options{
		Ranks:       len(g.options.Peers),
		Rank:        g.options.Rank,
		Incarnation: g.options.Incarnation,
		Lookahead:   g.options.Lookahead,
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case in := <-g.inputs:
			g.carryOut(in(m))
		case <-ticker.C:
			g.carryOut(m.Tick())
		case <-g.ctx.Done():
			return
		}
		g.publish(m)
	}
}

func (g *Granter) carryOut(output mapper.Output) {
	for _, message := range output.Messages {
		g.sender(message.To).put(encode(g.options.Group, message))
	}
	if !output.Granted {
		return
	}
	// A newer grant replaces one that has not been sent.
	select {
	case <-g.grants:
	default:
	}
	g.grants <- output.Grant
}

// sender returns the sender to a peer, which starts with the first message.
func (g *Granter) sender(rank carawaybeam.Rank) *sender {
	s, ok := g.senders[rank]
	if !ok {
		s = newSender(g.options.Peers[rank], g.options.Dialer)
		g.senders[rank] = s
		g.wait.Go(func() { s.run(g.ctx) })
	}
	return s
}

func (g *Granter) publish(m *mapper.Mapper) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Schedule, g.state.Stable = m.Schedule()
	g.state.Blocked = m.Blocked()
	g.state.Floor = m.Floor()
}

// pollRank reads the step of the rank.
func (g *Granter) pollRank() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if report, err := g.options.Client.Report(g.ctx, g.options.Rank); err == nil {
			g.feed(func(m *mapper.Mapper) mapper.Output { return m.Report(report) })
			g.noteStep(report.Step)
		}
		select {
		case <-ticker.C:
		case <-g.ctx.Done():
			return
		}
	}
}

func (g *Granter) noteStep(step carawaybeam.Step) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Step = step
}

// orderRank gives the rank its grants. One that is lost is given again after
// the next report.
func (g *Granter) orderRank() {
	for {
		select {
		case grant := <-g.grants:
			if err := g.options.Client.Grant(g.ctx, g.options.Rank, grant); err != nil && g.ctx.Err() == nil {
				g.refuse(err)
			}
		case <-g.ctx.Done():
			return
		}
	}
}

func (g *Granter) refuse(err error) {
	g.mu.Lock()
	g.state.Refused++
	g.mu.Unlock()
	g.options.Log.Debug().Err(err).Msg("granter: grant not taken")
}
