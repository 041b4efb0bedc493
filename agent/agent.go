// Package agent is the process beside a backend server: it serves the streams
// that entries open and tells them how the backend server fares.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

const (
	// heartbeatInterval is how often the agent speaks on a control stream.
	heartbeatInterval = time.Second

	// heartbeatSilence is how long an entry may be silent on a control stream.
	heartbeatSilence = 10 * time.Second

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
		Log         zerolog.Logger
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
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{options: options, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
	a.wait.Go(a.pollLoad)
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

// ServeStream handles one stream of an entry.
func (a *Agent) ServeStream(ctx context.Context, first *framer.Frame, stream carawaybeam.Stream) {
	a.options.Executor.ObserveConfig(carawaybeam.ConfigVersion(first.GetConfigVersion()))
	switch first.GetBody().(type) {
	case *framer.Frame_Hello:
		a.serveControl(ctx, stream)
	case *framer.Frame_Dispatch:
		a.options.Executor.ServeDispatch(ctx, first, stream)
	case *framer.Frame_Resolve:
		a.options.Executor.ServeResolve(ctx, first, stream)
	case *framer.Frame_TicketRequest:
		a.options.Executor.ServeTicket(first, stream)
	default:
		a.options.Log.Warn().Msg("agent: stream begins with an unexpected frame")
	}
}

// serveControl sends heartbeats, at once when the agent begins to leave.
func (a *Agent) serveControl(ctx context.Context, stream carawaybeam.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.listen(stream, cancel)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	suspects := quarantiner.NewSpreader(a.options.Executor.Quarantiner())
	for {
		heartbeat, changed := a.heartbeat()
		if stream.Send(heartbeat) != nil {
			return
		}
		if frame := suspects.Next(); frame != nil && stream.Send(frame) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-changed:
		case <-suspects.Changed():
		case <-ctx.Done():
			return
		case <-a.ctx.Done():
			return
		}
	}
}

// listen takes the configuration versions of an entry until it goes silent.
func (a *Agent) listen(stream carawaybeam.Stream, cancel context.CancelFunc) {
	defer cancel()
	for {
		frame, err := stream.Receive(heartbeatSilence)
		if err != nil {
			return
		}
		a.options.Executor.ObserveConfig(carawaybeam.ConfigVersion(frame.GetConfigVersion()))
		a.options.Executor.Quarantiner().Merge(frame.GetSuspects().GetSuspects())
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
	return &framer.Frame{
		ConfigVersion: uint64(a.options.Executor.ConfigVersion()),
		Body:          &framer.Frame_Heartbeat{Heartbeat: heartbeat},
	}, a.changed
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
