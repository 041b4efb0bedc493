// Package executor runs attempts on the backend server beside an agent and
// keeps the ledger of them: which ran, which never will, and their answers.
//
// The ledger outlives any link. An entry that lost a link resolves its attempt
// over a new one: an unseen attempt is recorded as refused for good, a seen one
// goes on with its answer where the entry left off.
package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/adaptive"
	"github.com/carawaybeam/carawaybeam/quarantiner"
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

	// answerRetention is how long the answer of an attempt without a key is
	// held for an entry that lost its link.
	answerRetention = 2 * time.Minute

	// fetchedRetention is how long it is held once an entry has it whole.
	fetchedRetention = 5 * time.Second

	// fetchGrace is how long a stop waits for an entry to fetch an answer, longer
	// than an entry takes to make a new link and settle an attempt.
	fetchGrace = 15 * time.Second

	// acknowledgeTimeout is how long a stream stays open for an entry to tell
	// that it has the last frame.
	acknowledgeTimeout = 3 * time.Second

	// answerBudget bounds the ended attempts held in full, in bytes.
	answerBudget = 8 << 20

	// sweepInterval is how often ended attempts are looked through.
	sweepInterval = 5 * time.Second

	// expireInterval is how often the compact part of the ledger is.
	expireInterval = time.Minute

	// drainInterval is how often a stop looks whether anything is left.
	drainInterval = 50 * time.Millisecond

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
		// Quarantiner keeps the requests that crash backend servers. Nil stands
		// for one of the Executor's own.
		Quarantiner *quarantiner.Quarantiner
		// Log gets one line per fault.
		Log zerolog.Logger
	}

	// Executor runs attempts and keeps their ledger.
	Executor struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu      sync.Mutex
		ledger  *ledger
		running int
		leaving bool
		closed  bool
		minted  ticketBook

		// held counts the answer bytes of attempts that ended since the last
		// sweep, and crowded asks for another one.
		held    atomic.Int64
		crowded chan struct{}

		crashes     crashWatch
		suspectTurn chan struct{}
		inspectTurn chan struct{}

		configVersion atomic.Uint64
		counts        counters
		limit         *adaptive.Limit
	}

	counters struct {
		started, done, failed, refused, tombstones, resumed, crashes atomic.Uint64
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
		Compact       int                       `json:"compact"`
		HeldBytes     int                       `json:"heldBytes"`
		Started       uint64                    `json:"started"`
		Done          uint64                    `json:"done"`
		Failed        uint64                    `json:"failed"`
		Refused       uint64                    `json:"refused"`
		Tombstones    uint64                    `json:"tombstones"`
		Resumed       uint64                    `json:"resumed"`
		Crashes       uint64                    `json:"crashes"`
		Quarantine    quarantiner.State         `json:"quarantine"`
	}
)

// New returns an Executor that runs until Close.
func New(options Options) *Executor {
	if options.Quarantiner == nil {
		options.Quarantiner = quarantiner.New()
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Executor{
		options:     options,
		ctx:         ctx,
		cancel:      cancel,
		ledger:      newLedger(),
		crowded:     make(chan struct{}, 1),
		suspectTurn: make(chan struct{}, 1),
		inspectTurn: make(chan struct{}, 1),
		limit:       adaptive.New(options.Concurrency),
	}
	e.wait.Go(e.sweep)
	return e
}

// Close cancels what runs and waits for it. Drain first to cut off nothing.
func (e *Executor) Close() error {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.cancel()
	e.wait.Wait()
	return nil
}

// Leave refuses new attempts from now on.
func (e *Executor) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Drain leaves and waits until the running attempts have ended and their answers
// have been fetched, or ctx ends. An entry that does not come for an answer in
// time is not waited for any longer.
func (e *Executor) Drain(ctx context.Context) error {
	e.Leave()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for e.owing(time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// owing tells whether anything runs or an answer may still be fetched.
func (e *Executor) owing(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running > 0 {
		return true
	}
	for _, a := range e.ledger.attempts {
		if a.owed(now) {
			return true
		}
	}
	return false
}

// Leaving tells whether Drain has begun.
func (e *Executor) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Quarantiner returns what keeps the requests that crash backend servers.
func (e *Executor) Quarantiner() *quarantiner.Quarantiner { return e.options.Quarantiner }

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

// State returns the state dump.
func (e *Executor) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := 0
	for _, a := range e.ledger.attempts {
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
		Remembered:    len(e.ledger.attempts),
		Compact:       len(e.ledger.compact),
		HeldBytes:     held,
		Started:       e.counts.started.Load(),
		Done:          e.counts.done.Load(),
		Failed:        e.counts.failed.Load(),
		Refused:       e.counts.refused.Load(),
		Tombstones:    e.counts.tombstones.Load(),
		Resumed:       e.counts.resumed.Load(),
		Crashes:       e.counts.crashes.Load(),
		Quarantine:    e.options.Quarantiner.State(),
	}
}
