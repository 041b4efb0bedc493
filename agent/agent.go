// Package agent is the process beside a backend server: it serves the streams
// that entries open and tells them how the backend server fares.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/replicator"
)

const (
	// heartbeatInterval is how often the agent reads the load, and speaks on a
	// control stream unless the entry asks for less.
	heartbeatInterval = time.Second

	// heartbeatSilence is how long an entry may be silent on a control stream.
	heartbeatSilence = 10 * time.Second

	// silentBeats is how many of its beats an entry may miss that speaks less
	// often.
	silentBeats = 3

	// loadTimeout bounds the question for the load of the backend server.
	loadTimeout = 500 * time.Millisecond
)

type (
	// Options is what an Agent is made from.
	Options struct {
		BackendID   carawaybeam.BackendID
		Incarnation carawaybeam.Incarnation
		Backend     carawaybeam.Backend
		Executor    *executor.Executor
		// Configurer holds the configuration that entries gave. Nil stands for
		// a new one.
		Configurer *configurer.Configurer
		// Answerer answers operators' questions that entries pass on.
		Answerer replicator.Answerer
		// Group serves the streams of other agents of the group. Nil means that
		// the backend server is of no group.
		Group carawaybeam.StreamHandler
		Log   zerolog.Logger
	}

	// Agent serves the streams of entries.
	Agent struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu        sync.Mutex
		load      carawaybeam.Load
		reachable bool
		changed   chan struct{}
	}
)

var _ carawaybeam.StreamHandler = (*Agent)(nil)

// New returns an Agent that asks its backend server for its load until Close.
func New(options Options) *Agent {
	if options.Configurer == nil {
		options.Configurer = configurer.New()
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{options: options, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
	a.wait.Go(a.pollLoad)
	a.wait.Go(a.followConfig)
	return a
}

// Close ends the control streams and waits for their goroutines.
func (a *Agent) Close() error {
	a.cancel()
	a.wait.Wait()
	return nil
}

// Drain tells all entries that the backend server leaves and waits until
// nothing runs any more, or ctx ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.options.Executor.Leave()
	a.notify()
	return a.options.Executor.Drain(ctx)
}

// Ready tells whether the backend server answers.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reachable
}

// ServeStream handles one stream of an entry or of another agent.
func (a *Agent) ServeStream(ctx context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	a.options.Configurer.Observe(carawaybeam.ConfigVersion(first.GetConfigVersion()))
	if a.options.Answerer.Answer(a.options.Configurer, first, stream) {
		return
	}
	switch first.GetBody().(type) {
	case *framer.Frame_Hello:
		a.serveControl(ctx, first, stream)
	case *framer.Frame_Dispatch:
		a.options.Executor.ServeDispatch(ctx, first, &reportingStream{Stream: stream, agent: a})
	case *framer.Frame_Resolve:
		a.options.Executor.ServeResolve(ctx, first, &reportingStream{Stream: stream, agent: a})
	case *framer.Frame_TicketRequest:
		a.options.Executor.ServeTicket(first, stream)
	case *framer.Frame_MapMessage, *framer.Frame_Propose:
		if a.options.Group != nil {
			a.options.Group.ServeStream(ctx, first, stream)
		}
	default:
		a.options.Log.Warn().Msg("agent: stream begins with an unexpected frame")
	}
}

// serveControl sends heartbeats as often as the entry asks, and at once when the
// agent begins to leave. It exchanges changes of the configuration.
func (a *Agent) serveControl(ctx context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	exchange := replicator.NewExchange(a.options.Configurer, a.options.Log)
	exchange.Receive(first)
	interval := make(chan time.Duration, 1)
	var listener sync.WaitGroup
	defer listener.Wait()
	defer func() { _ = stream.Close() }()
	listener.Go(func() { a.listen(exchange, stream, wantedInterval(first), interval, cancel) })
	ticker := time.NewTicker(max(heartbeatInterval, wantedInterval(first)))
	defer ticker.Stop()
	suspects := quarantiner.NewSubscription(a.options.Executor.Quarantiner())
	for {
		heartbeat, changed := a.heartbeat()
		if stream.Send(exchange.Stamp(heartbeat)) != nil {
			return
		}
		if frame := suspects.Next(); frame != nil && stream.Send(exchange.Stamp(frame)) != nil {
			return
		}
		if !a.converse(ctx, exchange, stream, ticker, interval, changed, suspects.Changed()) {
			return
		}
	}
}

// listen takes the frames of an entry until it goes silent. It was told how often
// the entry wants to hear, which is how often the entry speaks.
func (a *Agent) listen(
	exchange *replicator.Exchange,
	stream carawaybeam.Stream,
	told time.Duration,
	interval chan<- time.Duration,
	cancel context.CancelFunc,
) {
	defer cancel()
	for {
		frame, err := stream.Receive(max(heartbeatSilence, silentBeats*told))
		if err != nil {
			return
		}
		exchange.Receive(frame)
		a.options.Executor.Quarantiner().Merge(frame.GetSuspects().GetSuspects())
		wanted := wantedInterval(frame)
		if wanted == 0 || wanted == told {
			continue
		}
		told = wanted
		select {
		case interval <- wanted:
		default:
		}
	}
}

func (a *Agent) heartbeat() (*framer.Frame, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	heartbeat := &framer.Heartbeat{
		Running:       uint32(a.load.Running),
		Waiting:       uint32(a.load.Waiting),
		WaitingTokens: uint64(a.load.WaitingTokens),
		Leaving:       a.options.Executor.Leaving(),
		Incarnation:   string(a.options.Incarnation),
		Backend:       string(a.options.BackendID),
	}
	return &framer.Frame{Body: &framer.Frame_Heartbeat{Heartbeat: heartbeat}}, a.changed
}

func (a *Agent) notify() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) pollLoad() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		a.readLoad()
		select {
		case <-ticker.C:
		case <-a.ctx.Done():
			return
		}
	}
}

func (a *Agent) readLoad() {
	ctx, cancel := context.WithTimeout(a.ctx, loadTimeout)
	defer cancel()
	load, err := a.options.Backend.Load(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil && a.reachable && a.ctx.Err() == nil {
		a.options.Log.Warn().Err(err).Msg("agent: backend server does not answer")
	}
	a.reachable = err == nil
	if err == nil {
		a.load = load
	}
}
