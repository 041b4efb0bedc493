// Package granter runs the state machine of package mapper in an agent: it
// exchanges the messages between the agents of a group over links, reads the
// reports of the rank, and sends it the grants.
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
	// tickInterval is how often the protocol repeats messages that may be lost.
	tickInterval = 200 * time.Millisecond

	// reportInterval is how often the report of the rank is read.
	reportInterval = 20 * time.Millisecond

	// idleTimeout is the time after which a stream without messages is closed.
	idleTimeout = time.Minute
)

type (
	// Options configures a Granter.
	Options struct {
		Group carawaybeam.GroupID
		// Rank is the rank that this agent serves.
		Rank carawaybeam.Rank
		// Incarnation is the incarnation of this agent.
		Incarnation carawaybeam.Incarnation
		// Lookahead is by how many steps grants go beyond the last reported step
		// of the rank. It is the same for all agents of the group.
		Lookahead carawaybeam.Step
		// Peers holds the link addresses of all agents of the group, by rank.
		Peers   []carawaybeam.Address
		Dialer  carawaybeam.Dialer
		Client  carawaybeam.RankClient
		Weights WeightSource
		Log     zerolog.Logger
	}

	// Granter serves one rank until it is closed.
	Granter struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		inputs chan input
		// proposals holds the latest proposal that has not been prepared.
		proposals chan Proposal
		grants    chan carawaybeam.StepGrant
		// senders is used only by the goroutine that owns the Mapper.
		senders map[carawaybeam.Rank]*sender

		mu    sync.Mutex
		state State
	}

	// State is the state dump of a Granter.
	State struct {
		Group    carawaybeam.GroupID     `json:"group"`
		Rank     carawaybeam.Rank        `json:"rank"`
		Schedule carawaybeam.MapSchedule `json:"schedule"`
		// Stable is set if Schedule is confirmed by the leader of the group.
		Stable bool `json:"stable"`
		// Blocked is set if the rank waits for the decision on a proposal.
		Blocked bool                   `json:"holding"`
		Floor   carawaybeam.ProposalID `json:"floor"`
		// Step is the step that the rank last reported.
		Step carawaybeam.Step `json:"step"`
		// Refused is the number of grants that could not be delivered or that the
		// rank refused.
		Refused uint64 `json:"refused"`
		// Fetched is the number of experts whose weights were fetched.
		Fetched uint64 `json:"fetched"`
	}

	// input passes one input to the Mapper and returns its output.
	input func(m *mapper.Mapper) mapper.Output
)

var _ carawaybeam.StreamHandler = (*Granter)(nil)

// New starts a Granter. It takes part in the protocol after the first report of its
// rank. The caller must close it.
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
	g.wait.Go(g.sendGrants)
	g.wait.Go(g.prepare)
	return g
}

// Close stops the Granter and waits until its goroutines have ended. It returns
// nil.
func (g *Granter) Close() error {
	g.cancel()
	g.wait.Wait()
	return nil
}

// State returns the current state for the state dump.
func (g *Granter) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// ServeStream handles the messages of a peer or the proposals of a controller, and
// acknowledges each of them.
func (g *Granter) ServeStream(ctx context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	release := context.AfterFunc(g.ctx, func() { _ = stream.Close() })
	defer release()
	for frame := first; ctx.Err() == nil; {
		if stream.Send(&framer.Frame{Body: &framer.Frame_MapStatus{MapStatus: g.handle(frame)}}) != nil {
			return
		}
		var err error
		if frame, err = stream.Receive(idleTimeout); err != nil {
			return
		}
	}
}

// handle handles one frame and returns its acknowledgement.
func (g *Granter) handle(frame *framer.Frame) *framer.MapStatus {
	switch body := frame.GetBody().(type) {
	case *framer.Frame_MapMessage:
		g.receive(body.MapMessage)
	case *framer.Frame_Propose:
		g.receiveProposal(body.Propose)
		return encodeStatus(g.State())
	}
	return &framer.MapStatus{}
}

// receiveProposal handles a proposal. A proposal without a version only requests
// the status, and a proposal for another group is ignored.
func (g *Granter) receiveProposal(encoded *framer.Propose) {
	if carawaybeam.GroupID(encoded.GetGroup()) != g.options.Group || encoded.GetMapVersion() == 0 {
		return
	}
	g.Propose(decodeProposal(encoded))
}

// receive handles a message from another agent of the group.
func (g *Granter) receive(encoded *framer.MapMessage) {
	if carawaybeam.GroupID(encoded.GetGroup()) != g.options.Group || int(encoded.GetFrom()) >= len(g.options.Peers) {
		g.options.Log.Warn().
			Str("group", encoded.GetGroup()).
			Msg("granter: dropped message for another group or from an unknown rank")
		return
	}
	if message, ok := decode(encoded); ok {
		g.enqueue(func(m *mapper.Mapper) mapper.Output { return m.Receive(message) })
	}
}

// enqueue passes an input to the goroutine that owns the Mapper.
func (g *Granter) enqueue(in input) {
	select {
	case g.inputs <- in:
	case <-g.ctx.Done():
	}
}

// run owns the Mapper. It applies all inputs and calls Tick periodically.
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
			g.process(in(m))
		case <-ticker.C:
			g.process(m.Tick())
		case <-g.ctx.Done():
			return
		}
		g.publish(m)
	}
}

// process queues the messages and the grant of an output.
func (g *Granter) process(output mapper.Output) {
	for _, message := range output.Messages {
		g.sender(message.To).enqueue(encode(g.options.Group, message))
	}
	if !output.Granted {
		return
	}
	// A newer grant replaces a grant that has not been sent.
	select {
	case <-g.grants:
	default:
	}
	g.grants <- output.Grant
}

// sender returns the sender to a peer. It starts the sender on the first call.
func (g *Granter) sender(rank carawaybeam.Rank) *sender {
	s, ok := g.senders[rank]
	if !ok {
		s = newSender(g.options.Peers[rank], g.options.Dialer)
		g.senders[rank] = s
		g.wait.Go(func() { s.run(g.ctx) })
	}
	return s
}

// publish updates the state from the Mapper.
func (g *Granter) publish(m *mapper.Mapper) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Schedule, g.state.Stable = m.Schedule()
	g.state.Blocked = m.Blocked()
	g.state.Floor = m.Floor()
}

// pollRank periodically passes the report of the rank to the Mapper.
func (g *Granter) pollRank() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if report, err := g.options.Client.Report(g.ctx, g.options.Rank); err == nil {
			g.enqueue(func(m *mapper.Mapper) mapper.Output { return m.Report(report) })
			g.setStep(report.Step)
		}
		select {
		case <-ticker.C:
		case <-g.ctx.Done():
			return
		}
	}
}

func (g *Granter) setStep(step carawaybeam.Step) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Step = step
}

// sendGrants sends grants to the rank. A lost grant is sent again after the next
// report.
func (g *Granter) sendGrants() {
	for {
		select {
		case grant := <-g.grants:
			if err := g.options.Client.Grant(g.ctx, g.options.Rank, grant); err != nil && g.ctx.Err() == nil {
				g.countRefused(err)
			}
		case <-g.ctx.Done():
			return
		}
	}
}

// countRefused counts and logs a grant that the rank did not accept.
func (g *Granter) countRefused(err error) {
	g.mu.Lock()
	g.state.Refused++
	g.mu.Unlock()
	g.options.Log.Debug().Err(err).Msg("granter: cannot send grant")
}
