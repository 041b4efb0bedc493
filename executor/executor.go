// Package executor runs attempts on the backend server beside an agent and
// keeps the ledger of them: which ran, which never will, and their answers.
//
// The ledger outlives any link. An entry that lost a link resolves its attempt
// over a new one: an unseen attempt is recorded as refused for good, a seen one
// goes on with its answer where the entry left off.
package executor

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/limiter/adaptive"
)

const (
	// chunkBytes is the largest part of an answer in one frame.
	chunkBytes = 32 << 10

	// keepAliveInterval is how often a stream without answer bytes tells that
	// the agent lives.
	keepAliveInterval = time.Second

	// abandonTimeout is how long an attempt of an idempotent class goes on
	// while no entry reads it.
	abandonTimeout = 10 * time.Second

	// retention is how long an ended attempt is remembered.
	retention = 24 * time.Hour

	// fetchedRetention is how long the answer of an idempotent attempt is held
	// once an entry has fetched it whole.
	fetchedRetention = 30 * time.Second

	// answerBudget bounds the answers held for ended attempts, in bytes.
	answerBudget = 12 << 20

	// sweepInterval is how often ended attempts are looked through.
	sweepInterval = 5 * time.Second

	// busyRetryAfter is when to come back to a busy backend server.
	busyRetryAfter = time.Second
)

type (
	// Options is what an Executor is made from.
	Options struct {
		// Backend is the backend server beside the agent.
		Backend carawaybeam.Backend
		// BackendID names it.
		BackendID carawaybeam.BackendID
		// Incarnation identifies this life of the agent.
		Incarnation carawaybeam.Incarnation
		// Concurrency bounds the attempts that run at once. The limit adapts
		// below it.
		Concurrency int
		// Log gets one line per fault.
		Log zerolog.Logger
	}

	// Executor runs attempts and keeps their ledger.
	Executor struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu       sync.Mutex
		attempts map[carawaybeam.AttemptID]*attempt
		keyed    map[string]*attempt
		running  int
		serving  int
		leaving  bool
		idle     chan struct{}

		configVersion atomic.Uint64
		counts        counters
		limit         *adaptive.Limit
	}

	counters struct {
		started, done, failed, refused, tombstones, resumed atomic.Uint64
	}

	// State is the state dump of an Executor.
	State struct {
		Incarnation   carawaybeam.Incarnation   `json:"incarnation"`
		Backend       carawaybeam.BackendID     `json:"backend"`
		ConfigVersion carawaybeam.ConfigVersion `json:"configVersion"`
		Leaving       bool                      `json:"leaving"`
		Running       int                       `json:"running"`
		Limit         int                       `json:"limit"`
		Remembered    int                       `json:"remembered"`
		HeldBytes     int                       `json:"heldBytes"`
		Started       uint64                    `json:"started"`
		Done          uint64                    `json:"done"`
		Failed        uint64                    `json:"failed"`
		Refused       uint64                    `json:"refused"`
		Tombstones    uint64                    `json:"tombstones"`
		Resumed       uint64                    `json:"resumed"`
	}
)

// New returns an Executor that runs until Close.
func New(options Options) *Executor {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Executor{
		options:  options,
		ctx:      ctx,
		cancel:   cancel,
		attempts: make(map[carawaybeam.AttemptID]*attempt),
		keyed:    make(map[string]*attempt),
		idle:     make(chan struct{}),
		limit:    adaptive.New(options.Concurrency),
	}
	e.wait.Go(e.sweep)
	return e
}

// Close cancels what runs and waits for it. Drain first to cut off nothing.
func (e *Executor) Close() error {
	e.cancel()
	e.wait.Wait()
	return nil
}

// Leave refuses new attempts from now on.
func (e *Executor) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.closeIfIdle()
}

// Drain leaves and waits until the running attempts have ended and no entry
// reads an answer any more, or ctx ends.
func (e *Executor) Drain(ctx context.Context) error {
	e.Leave()
	select {
	case <-e.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Leaving tells whether Drain has begun.
func (e *Executor) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// closeIfIdle ends the wait of Drain. The caller holds mu.
func (e *Executor) closeIfIdle() {
	if !e.leaving || e.running > 0 || e.serving > 0 {
		return
	}
	select {
	case <-e.idle:
	default:
		close(e.idle)
	}
}

// ConfigVersion returns the newest configuration version heard of.
func (e *Executor) ConfigVersion() carawaybeam.ConfigVersion {
	return carawaybeam.ConfigVersion(e.configVersion.Load())
}

// ObserveConfig records a configuration version of a peer.
func (e *Executor) ObserveConfig(version carawaybeam.ConfigVersion) {
	for {
		held := e.configVersion.Load()
		if uint64(version) <= held || e.configVersion.CompareAndSwap(held, uint64(version)) {
			return
		}
	}
}

// dispatch returns the attempt of the frame, and starts it if it is new. A
// refused attempt is in the ledger too, so that a later copy does not run. An
// attempt whose key has run stands for the one that ran.
func (e *Executor) dispatch(d *framer.Dispatch, decidedOn uint64) *attempt {
	id := carawaybeam.AttemptID(d.GetAttempt())
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, ok := e.attempts[id]; ok {
		return known
	}
	if known, ok := e.keyed[d.GetKey()]; ok {
		e.attempts[id] = known
		return known
	}
	a := newAttempt(id)
	a.idempotent = d.GetIdempotent()
	if refusal, refused := e.refusal(d, decidedOn); refused {
		e.counts.refused.Add(1)
		a.refuse(refusal)
		e.attempts[id] = a
		return a
	}
	e.attempts[id] = a
	if d.GetKey() != "" {
		a.key = d.GetKey()
		e.keyed[a.key] = a
	}
	e.running++
	e.counts.started.Add(1)
	e.wait.Go(func() { e.run(a, d) })
	return a
}

// refusal tells why a new attempt may not run. The caller holds mu.
func (e *Executor) refusal(d *framer.Dispatch, decidedOn uint64) (carawaybeam.RequestError, bool) {
	refusal := carawaybeam.RequestError{Outcome: carawaybeam.OutcomeNotRun, RetryAfter: busyRetryAfter}
	switch {
	case d.GetIncarnation() != "" && d.GetIncarnation() != string(e.options.Incarnation):
		refusal.Reason = carawaybeam.ReasonWrongIncarnation
	case e.leaving:
		refusal.Reason = carawaybeam.ReasonLeaving
	case decidedOn < e.configVersion.Load():
		refusal.Reason = carawaybeam.ReasonStaleConfig
	case !e.limit.Allows(e.running):
		refusal.Reason = carawaybeam.ReasonBusy
	default:
		return refusal, false
	}
	return refusal, true
}

// resolve returns the attempt, or records that it never will run.
func (e *Executor) resolve(id carawaybeam.AttemptID, incarnation carawaybeam.Incarnation) *attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, ok := e.attempts[id]; ok {
		e.counts.resumed.Add(1)
		return known
	}
	a := newAttempt(id)
	if incarnation != "" && incarnation != e.options.Incarnation {
		a.finish(phaseFailed, carawaybeam.RequestError{
			Outcome: carawaybeam.OutcomeUnknown,
			Reason:  carawaybeam.ReasonWrongIncarnation,
			Detail:  "agent has restarted since the attempt was sent",
		})
		return a
	}
	e.counts.tombstones.Add(1)
	a.refuse(carawaybeam.RequestError{
		Outcome:    carawaybeam.OutcomeNotRun,
		Reason:     carawaybeam.ReasonTombstoned,
		RetryAfter: busyRetryAfter,
	})
	e.attempts[id] = a
	return a
}

// run puts one attempt to the backend server and records its answer.
func (e *Executor) run(a *attempt, d *framer.Dispatch) {
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	a.mu.Lock()
	a.cancel = cancel
	a.mu.Unlock()
	failure, failed := e.perform(ctx, a, d)
	if failed {
		e.counts.failed.Add(1)
		e.options.Log.Warn().Str("attempt", string(a.id)).Str("detail", failure.Detail).Msg("executor: attempt failed")
		a.finish(phaseFailed, failure)
	} else {
		e.counts.done.Add(1)
		a.finish(phaseDone, carawaybeam.RequestError{})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.closeIfIdle()
}

// addServing counts the streams on which answers are sent.
func (e *Executor) addServing(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serving += n
	e.closeIfIdle()
}

func (e *Executor) perform(ctx context.Context, a *attempt, d *framer.Dispatch) (carawaybeam.RequestError, bool) {
	began := time.Now()
	answer, err := e.options.Backend.Start(ctx, carawaybeam.Call{
		Attempt:     a.id,
		Method:      d.GetMethod(),
		Path:        d.GetPath(),
		ContentType: d.GetContentType(),
		Body:        d.GetBody(),
		Priority:    int(d.GetPriority()),
		Resume:      carawaybeam.Bytes(d.GetResume()),
	})
	if err != nil {
		return startFailure(err), true
	}
	defer func() { _ = answer.Body.Close() }()
	a.begin(answer.Status, answer.ContentType)
	buffer := make([]byte, chunkBytes)
	for first := true; ; first = false {
		n, err := answer.Body.Read(buffer)
		if first {
			e.observeStart(answer.ContentType, time.Since(began))
		}
		if n > 0 && !a.append(buffer[:n], ctx.Done()) {
			err = ctx.Err()
		}
		if errors.Is(err, io.EOF) {
			return carawaybeam.RequestError{}, false
		}
		if err != nil {
			return carawaybeam.RequestError{
				Outcome: carawaybeam.OutcomeUnknown,
				Reason:  carawaybeam.ReasonBackendFailed,
				Detail:  "answer was cut: " + err.Error(),
			}, true
		}
	}
}

func startFailure(err error) carawaybeam.RequestError {
	failure := carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeUnknown,
		Reason:  carawaybeam.ReasonBackendFailed,
		Detail:  err.Error(),
	}
	var notSent *carawaybeam.NotSentError
	if errors.As(err, &notSent) {
		failure.Outcome = carawaybeam.OutcomeNotRun
		failure.RetryAfter = busyRetryAfter
	}
	return failure
}

// State returns the state dump.
func (e *Executor) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := 0
	for _, a := range e.attempts {
		_, _, _, bytes := a.snapshot()
		held += bytes
	}
	return State{
		Incarnation:   e.options.Incarnation,
		Backend:       e.options.BackendID,
		ConfigVersion: e.ConfigVersion(),
		Leaving:       e.leaving,
		Running:       e.running,
		Limit:         e.limit.Value(),
		Remembered:    len(e.attempts),
		HeldBytes:     held,
		Started:       e.counts.started.Load(),
		Done:          e.counts.done.Load(),
		Failed:        e.counts.failed.Load(),
		Refused:       e.counts.refused.Load(),
		Tombstones:    e.counts.tombstones.Load(),
		Resumed:       e.counts.resumed.Load(),
	}
}
