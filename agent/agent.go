// Package agent implements the process that runs next to a backend server. It serves
// the streams that entries open, and reports the load of the backend server to them.
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
	// heartbeatInterval is the time between two reads of the load. It is also the
	// minimum report interval with which a control stream begins.
	heartbeatInterval = time.Second

	// minReceiveTimeout is the least time without a frame from the entry after which
	// a control stream is closed. An entry with a longer report interval may miss
	// maxMissedFrames frames.
	minReceiveTimeout = 10 * time.Second
	maxMissedFrames   = 3

	// leaveDelay is how long an agent that leaves still refuses requests at least.
	// In this time the entries learn that it is leaving, and what they had sent
	// before arrives.
	leaveDelay = 2 * time.Second

	// loadTimeout is the timeout for reading the load of the backend server.
	loadTimeout = 500 * time.Millisecond
)

type (
	// Options configures an Agent.
	Options struct {
		BackendID   carawaybeam.BackendID
		Incarnation carawaybeam.Incarnation
		Backend     carawaybeam.Backend
		Executor    *executor.Executor
		// Configurer holds the configuration received from entries. If it is
		// nil, New makes an empty one.
		Configurer *configurer.Configurer
		// Answerer answers requests of operators that entries forward.
		Answerer replicator.Answerer
		// Group serves the streams of the other agents of the group. It is nil
		// if the backend server does not belong to a group.
		Group carawaybeam.StreamHandler
		Log   zerolog.Logger
	}

	// Agent serves the streams of entries until Close.
	Agent struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu        sync.Mutex
		load      carawaybeam.Load
		reachable bool
		// changed is closed and replaced when the agent begins to leave.
		changed chan struct{}
	}
)

var _ carawaybeam.StreamHandler = (*Agent)(nil)

// New returns an Agent. It reads the load of its backend server regularly until
// Close.
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

// Close ends the control streams, stops reading the load and waits for the
// goroutines that do so.
func (a *Agent) Close() error {
	a.cancel()
	a.wait.Wait()
	return nil
}

// Drain tells all entries that the backend server is leaving, waits until no more
// requests are on their way to it, and then as executor.Executor.Drain does. If ctx ends
// earlier, it returns the error of ctx.
func (a *Agent) Drain(ctx context.Context) error {
	a.options.Executor.Leave()
	a.notify()
	timer := time.NewTimer(leaveDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return a.options.Executor.Drain(ctx)
}

// Ready reports whether the backend server answered the last request for its load.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reachable
}

// ServeStream serves one stream of an entry or of another agent.
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
		a.options.Log.Warn().Msg("agent: first frame of a stream is of an unexpected type, stream ignored")
	}
}

// serveControl serves a control stream. It sends heartbeats at the interval that the
// entry requests, and immediately when the agent begins to leave. It also exchanges
// changes of the configuration and of the suspected poison requests.
func (a *Agent) serveControl(ctx context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	exchange := replicator.NewExchange(a.options.Configurer, a.options.Log)
	exchange.Receive(first)
	a.options.Executor.ObserveEvacuation(first.GetHello().GetEvacuation())
	interval := make(chan time.Duration, 1)
	var receiver sync.WaitGroup
	defer receiver.Wait()
	defer func() { _ = stream.Close() }()
	receiver.Go(func() { a.receive(exchange, stream, requestedInterval(first), interval, cancel) })
	ticker := time.NewTicker(max(heartbeatInterval, requestedInterval(first)))
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
		if !a.exchangeConfig(ctx, exchange, stream, ticker, interval, changed, suspects.Changed()) {
			return
		}
	}
}

// receive handles the frames of an entry until the stream fails or no frame arrives
// within the receive timeout. The report interval that the entry requests is also the
// interval at which the entry itself sends frames.
func (a *Agent) receive(
	exchange *replicator.Exchange,
	stream carawaybeam.Stream,
	current time.Duration,
	interval chan<- time.Duration,
	cancel context.CancelFunc,
) {
	defer cancel()
	for {
		frame, err := stream.Receive(max(minReceiveTimeout, maxMissedFrames*current))
		if err != nil {
			return
		}
		exchange.Receive(frame)
		a.options.Executor.Quarantiner().MergeFrame(frame.GetSuspects().GetSuspects())
		a.options.Executor.ObserveEvacuation(frame.GetKeepAlive().GetEvacuation())
		requested := requestedInterval(frame)
		if requested == 0 || requested == current {
			continue
		}
		current = requested
		select {
		case interval <- requested:
		default:
		}
	}
}

// heartbeat returns a heartbeat, and a channel that is closed when another one is to
// be sent immediately.
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

// notify makes all control streams send a heartbeat immediately.
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
	sent := time.Now()
	load, signals, err := a.options.Backend.Load(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.options.Executor.ObserveLoad(sent, signals, !a.reachable)
	}
	if err != nil && a.reachable && a.ctx.Err() == nil {
		a.options.Log.Warn().Err(err).Msg("agent: cannot read the load of the backend server")
	}
	a.reachable = err == nil
	if err == nil {
		a.load = load
	}
}
