// Package orderer sends orders to ranks through the agents next to them.
//
// An agent repeats an order that its rank does not answer, and answers copies of an
// order without repeating it. If the agent itself does not answer, orders go to the
// rank directly for a while. An order that got no answer may be executed later on
// either way, as with any carawaybeam.RankEngine.
//
// Orders to hold a group and to release it always go to the rank directly. A group that
// is held waits for every process that is needed to release it.
package orderer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/relayer"
)

const (
	// resendInterval is the time after which an order that was not answered is sent
	// again, in case the datagram was lost. It is longer for expert maps, which are
	// sent to all ranks at the same time and wait for each other on the link.
	resendInterval    = 15 * time.Millisecond
	mapResendInterval = 100 * time.Millisecond

	// maxUnanswered is the number of consecutive unanswered orders after which
	// orders go to the rank directly for directTime.
	maxUnanswered = 2
	directTime    = time.Second

	// defaultTimeout is how long an agent repeats an order if the context of the
	// order has no deadline.
	defaultTimeout = time.Second
)

// ErrNoAnswer reports that the agent next to a rank has not answered an order.
var ErrNoAnswer = errors.New("agent did not answer an order")

type (
	// Options configures an Orderer.
	Options struct {
		// Sender identifies this incarnation of the process.
		Sender string
		// Send sends a frame to the agent next to the rank at an address. It
		// returns an error if no agent is known.
		Send func(address carawaybeam.Address, frame *framer.Frame) error
		Log  zerolog.Logger
	}

	// Orderer sends orders to agents and matches their answers. It is safe for
	// concurrent use.
	Orderer struct {
		options Options
		nextID  atomic.Uint64

		mu      sync.Mutex
		pending map[uint64]chan *framer.RankOrderResult
	}

	// Engine is the client of one rank. Only its Prepare, Arm and Disarm go through the
	// agent. It is safe for concurrent use.
	Engine struct {
		carawaybeam.RankEngine

		orderer *Orderer
		address carawaybeam.Address

		mu sync.Mutex
		// unanswered is the number of consecutive orders without an answer of the
		// agent, directUntil the time until which orders go to the rank directly.
		unanswered  int
		directUntil time.Time
	}
)

var _ carawaybeam.RankEngine = (*Engine)(nil)

// New returns an Orderer.
func New(options Options) *Orderer {
	return &Orderer{options: options, pending: make(map[uint64]chan *framer.RankOrderResult)}
}

// Deliver takes the answer of an agent.
func (o *Orderer) Deliver(result *framer.RankOrderResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answer, ok := o.pending[result.GetId()]; ok {
		delete(o.pending, result.GetId())
		answer <- result
	}
}

// Engine returns a client of the rank at an address, which uses direct for all calls
// except Prepare, Arm and Disarm, and for these while the agent does not answer.
func (o *Orderer) Engine(address carawaybeam.Address, direct carawaybeam.RankEngine) *Engine {
	return &Engine{RankEngine: direct, orderer: o, address: address}
}

// send sends an order until the agent answers or the context ends.
func (o *Orderer) send(ctx context.Context, order *framer.RankOrder) (*framer.RankOrderResult, error) {
	order.Sender, order.Id = o.options.Sender, o.nextID.Add(1)
	timeout := defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	order.TimeoutMs = uint32(max(1, timeout.Milliseconds()))
	answer := make(chan *framer.RankOrderResult, 1)
	o.mu.Lock()
	o.pending[order.GetId()] = answer
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.pending, order.GetId())
	}()
	interval := resendInterval
	if order.GetPrepare() != nil {
		interval = mapResendInterval
	}
	resend := time.NewTicker(interval)
	defer resend.Stop()
	frame := &framer.Frame{Body: &framer.Frame_RankOrder{RankOrder: order}}
	for {
		if err := o.options.Send(carawaybeam.Address(order.GetAddress()), frame); err != nil {
			return nil, err
		}
		select {
		case result := <-answer:
			return result, nil
		case <-ctx.Done():
			return nil, ErrNoAnswer
		case <-resend.C:
		}
	}
}

// usesAgent reports whether the next order goes through the agent.
func (e *Engine) usesAgent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !time.Now().Before(e.directUntil)
}

// recordAnswer records whether the agent has answered an order.
func (e *Engine) recordAnswer(answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if answered {
		e.unanswered = 0
		return
	}
	if e.unanswered++; e.unanswered >= maxUnanswered {
		e.unanswered, e.directUntil = 0, time.Now().Add(directTime)
		e.orderer.options.Log.Info().Str("rank", string(e.address)).
			Msg("orderer: agent does not answer, orders go to the rank directly")
	}
}

// order sends an order through the agent, or calls direct while the agent does not
// answer.
func (e *Engine) order(
	ctx context.Context,
	o carawaybeam.RankOrder,
	order *framer.RankOrder,
	direct func() error,
) error {
	if !e.usesAgent() {
		return direct()
	}
	order.Address = string(e.address)
	order.FencingToken, order.Epoch = uint64(o.FencingToken), o.Epoch
	result, err := e.orderer.send(ctx, order)
	e.recordAnswer(err == nil)
	switch {
	case errors.Is(err, ErrNoAnswer):
		return err
	case err != nil:
		e.orderer.options.Log.Debug().Err(err).Str("rank", string(e.address)).
			Msg("orderer: order cannot be sent to an agent")
		return direct()
	case result.GetRefused():
		return &carawaybeam.RankOrderError{Fenced: result.GetFenced(), Detail: result.GetDetail()}
	}
	return nil
}

// Prepare makes the rank load the experts that the map needs.
func (e *Engine) Prepare(ctx context.Context, o carawaybeam.RankOrder, m carawaybeam.ExpertMap) error {
	order := &framer.RankOrder{Body: &framer.RankOrder_Prepare{Prepare: relayer.EncodeMap(m)}}
	return e.order(ctx, o, order, func() error { return e.RankEngine.Prepare(ctx, o, m) })
}

// Arm makes the rank switch to a prepared map when armed.Step begins.
func (e *Engine) Arm(ctx context.Context, o carawaybeam.RankOrder, armed carawaybeam.ArmedMap) error {
	order := &framer.RankOrder{Body: &framer.RankOrder_Arm{
		Arm: &framer.ArmOrder{Version: uint64(armed.Version), Step: uint64(armed.Step)},
	}}
	return e.order(ctx, o, order, func() error { return e.RankEngine.Arm(ctx, o, armed) })
}

// Disarm cancels an armed switch to the map.
func (e *Engine) Disarm(ctx context.Context, o carawaybeam.RankOrder, version carawaybeam.MapVersion) error {
	order := &framer.RankOrder{Body: &framer.RankOrder_DisarmVersion{DisarmVersion: uint64(version)}}
	return e.order(ctx, o, order, func() error { return e.RankEngine.Disarm(ctx, o, version) })
}
