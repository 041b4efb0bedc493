// Package relayer executes the orders that entries send to an agent on the rank next
// to it.
//
// Orders are executed one at a time, in the order of their arrival. Copies of an order
// that has been executed are answered with the same result, so that an order that was
// sent twice is not executed after a later one. An order whose sender no longer waits
// is not executed.
package relayer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// maxWaiting is the maximum number of orders that wait. Further ones are
	// dropped, and their senders send them again.
	maxWaiting = 32

	// maxResults is the number of results that are kept for copies of an order. A copy
	// that arrives after its result was displaced is executed again, like any late
	// order, and the rank refuses or ignores it.
	maxResults = 64

	// callTimeout is the timeout of one call to the rank, which is on the same VM
	// and answers within milliseconds.
	callTimeout = 25 * time.Millisecond

	// retryDelay is the delay before an order that the rank has not answered is
	// repeated.
	retryDelay = 2 * time.Millisecond

	// maxTimeout is the maximum time for which an order is repeated.
	maxTimeout = 2 * time.Second
)

type (
	// Options configures a Relayer.
	Options struct {
		// Address is where the backend server accepts requests.
		Address carawaybeam.Address
		Rank    carawaybeam.RankEngine
		Log     zerolog.Logger
	}

	// Relayer executes orders until Close. It is safe for concurrent use.
	Relayer struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup
		orders  chan waitingOrder

		mu sync.Mutex
		// results holds the latest results, or nil for an order that waits or is
		// being executed. sequence holds their keys, oldest first.
		results  map[orderKey]*framer.RankOrderResult
		sequence []orderKey
	}

	// orderKey identifies an order.
	orderKey struct {
		sender string
		id     uint64
	}

	waitingOrder struct {
		order *framer.RankOrder
		// reply sends a frame to the sender of the order.
		reply func(*framer.Frame)
		// deadline is when the sender stops waiting.
		deadline time.Time
	}
)

// New returns a Relayer and starts it.
func New(options Options) *Relayer {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relayer{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		orders:  make(chan waitingOrder, maxWaiting),
		results: make(map[orderKey]*framer.RankOrderResult),
	}
	r.wait.Go(r.run)
	return r
}

// Close stops the relayer and waits for the order that is being executed.
func (r *Relayer) Close() error {
	r.cancel()
	r.wait.Wait()
	return nil
}

// Take takes an order for execution, and calls reply with its result unless the rank
// does not answer. It ignores an order for another backend server.
func (r *Relayer) Take(order *framer.RankOrder, reply func(*framer.Frame)) {
	if carawaybeam.Address(order.GetAddress()) != r.options.Address {
		r.options.Log.Debug().Str("rank", order.GetAddress()).Msg("relayer: order is for another rank")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := orderKey{sender: order.GetSender(), id: order.GetId()}
	if result, known := r.results[key]; known {
		if result != nil {
			reply(encode(result))
		}
		return
	}
	timeout := min(maxTimeout, time.Duration(order.GetTimeoutMs())*time.Millisecond)
	select {
	case r.orders <- waitingOrder{order: order, reply: reply, deadline: time.Now().Add(timeout)}:
		r.remember(key)
	default:
		r.options.Log.Debug().Msg("relayer: too many orders wait, order is dropped")
	}
}

// remember adds the key of an order without a result, in place of the oldest one. The
// caller holds mu.
func (r *Relayer) remember(key orderKey) {
	if len(r.sequence) >= maxResults {
		delete(r.results, r.sequence[0])
		r.sequence = r.sequence[1:]
	}
	r.results[key] = nil
	r.sequence = append(r.sequence, key)
}

func (r *Relayer) run() {
	for {
		select {
		case w := <-r.orders:
			r.execute(w)
		case <-r.ctx.Done():
			return
		}
	}
}

// execute repeats an order until the rank answers or the sender stops waiting.
func (r *Relayer) execute(w waitingOrder) {
	ctx, cancel := context.WithDeadline(r.ctx, w.deadline)
	defer cancel()
	for ctx.Err() == nil {
		err := r.call(ctx, w.order)
		var refused *carawaybeam.RankOrderError
		if err == nil || errors.As(err, &refused) {
			result := &framer.RankOrderResult{Id: w.order.GetId()}
			if refused != nil {
				result.Refused, result.Fenced, result.Detail = true, refused.Fenced, refused.Detail
			}
			r.keep(orderKey{sender: w.order.GetSender(), id: w.order.GetId()}, result)
			w.reply(encode(result))
			return
		}
		r.options.Log.Debug().Err(err).Msg("relayer: rank did not answer an order")
		timer := time.NewTimer(retryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// keep stores the result of an order unless the order has been displaced.
func (r *Relayer) keep(key orderKey, result *framer.RankOrderResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.results[key]; known {
		r.results[key] = result
	}
}

// call sends the order to the rank once.
func (r *Relayer) call(ctx context.Context, order *framer.RankOrder) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o := carawaybeam.RankOrder{FencingToken: carawaybeam.Epoch(order.GetFencingToken()), Epoch: order.GetEpoch()}
	rank := r.options.Rank
	switch body := order.GetBody().(type) {
	case *framer.RankOrder_Prepare:
		m, err := DecodeMap(body.Prepare)
		if err != nil {
			return &carawaybeam.RankOrderError{Detail: err.Error()}
		}
		return rank.Prepare(ctx, o, m)
	case *framer.RankOrder_Arm:
		armed := carawaybeam.ArmedMap{
			Version: carawaybeam.MapVersion(body.Arm.GetVersion()), Step: carawaybeam.Step(body.Arm.GetStep()),
		}
		return rank.Arm(ctx, o, armed)
	case *framer.RankOrder_DisarmVersion:
		return rank.Disarm(ctx, o, carawaybeam.MapVersion(body.DisarmVersion))
	}
	return &carawaybeam.RankOrderError{Detail: "order is of an unknown kind"}
}

func encode(result *framer.RankOrderResult) *framer.Frame {
	return &framer.Frame{Body: &framer.Frame_RankOrderResult{RankOrderResult: result}}
}
