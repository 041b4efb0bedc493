// Package executor runs attempts on the backend server beside an agent. It keeps a
// ledger of the attempts that ran, with their answers, and of those that will never
// run.
//
// The ledger is independent of links. An entry that lost a link resolves its attempt
// over a new one: if the attempt is unknown, it is recorded as permanently refused.
// If it is known, its answer continues at the offset that the entry gives.
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
	"github.com/carawaybeam/carawaybeam/throttler"
)

const (
	// chunkBytes is the largest part of an answer in one frame.
	chunkBytes = 32 << 10

	// keepAliveInterval is the interval of keep-alive frames on a stream while it
	// has no answer bytes to send.
	keepAliveInterval = time.Second

	// abandonTimeout is how long an attempt of an idempotent class continues
	// without readers.
	abandonTimeout = 10 * time.Second

	// answerRetention is how long the answer of an attempt without a key is
	// held for an entry that lost its link.
	answerRetention = 2 * time.Minute

	// fetchedRetention is how long such an answer is held after all readers have
	// acknowledged or cancelled it.
	fetchedRetention = 5 * time.Second

	// fetchGracePeriod is how long an answer waits for an entry that lost its link to
	// fetch it, also while the agent is draining. It is longer than an entry needs to
	// open a new link and resolve an attempt.
	fetchGracePeriod = 15 * time.Second

	// acknowledgeTimeout is how long a stream stays open after the last frame for
	// the acknowledgement of the entry.
	acknowledgeTimeout = 3 * time.Second

	// answerBudget is the memory for ended attempts that are kept in full, in
	// bytes.
	answerBudget = 8 << 20

	// sweepInterval is how often ended attempts are moved to the compact part of
	// the ledger.
	sweepInterval = 5 * time.Second

	// expireInterval is how often expired rows are removed from the compact part.
	expireInterval = time.Minute

	// drainPollInterval is how often Drain checks whether it is finished.
	drainPollInterval = 50 * time.Millisecond

	// maxLeavingTime is how long a backend server counts as leaving after it has said
	// so. Another one may take its place unnoticed.
	maxLeavingTime = time.Minute

	// busyRetryAfter is the RetryAfter of refused attempts.
	busyRetryAfter = time.Second
)

type (
	// Options configures an Executor.
	Options struct {
		// Backend is the backend server beside the agent.
		Backend carawaybeam.Backend
		// BackendID is the identifier of Backend.
		BackendID carawaybeam.BackendID
		// Incarnation identifies this run of the agent.
		Incarnation carawaybeam.Incarnation
		// Concurrency is the maximum number of attempts that run at once. The
		// adaptive limit never exceeds it.
		Concurrency int
		// Quarantiner keeps the requests that crash backend servers. If it is
		// nil, the Executor creates its own.
		Quarantiner *quarantiner.Quarantiner
		// Throttler keeps what the backend server says of the requests that it takes. If
		// it is nil, the Executor creates its own.
		Throttler *throttler.Throttler
		// Suspended reports whether the process was suspended a moment ago. What
		// arrived meanwhile is refused, since its senders have turned elsewhere and
		// the process may have been told to stop. If nil, it never was.
		Suspended func() bool
		// Log receives one line per failure.
		Log zerolog.Logger
	}

	// Executor runs attempts and keeps the ledger. It is safe for concurrent use.
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
		// evacuation is what entries last said of the data centre.
		evacuation evacuation
		tickets    openTickets

		// endedBytes is the memory of the attempts that ended since the last
		// sweep. sweepRequested triggers a sweep before the next interval.
		endedBytes     atomic.Int64
		sweepRequested chan struct{}

		crashes        crashTracker
		suspectSlot    chan struct{}
		crashCheckSlot chan struct{}

		configVersion atomic.Uint64
		counts        counters
		limit         *adaptive.Limit
	}

	counters struct {
		started, done, failed, broken, refused, tombstones, resumed, crashes atomic.Uint64
	}

	// State is the state dump of an Executor.
	State struct {
		Incarnation   carawaybeam.Incarnation   `json:"incarnation"`
		Backend       carawaybeam.BackendID     `json:"backend"`
		ConfigVersion carawaybeam.ConfigVersion `json:"configVersion"`
		Leaving       bool                      `json:"leaving"`
		// Evacuated is set while entries say that the data centre is evacuated.
		Evacuated  bool              `json:"evacuated,omitempty"`
		Running    int               `json:"running"`
		Limit      int               `json:"limit"`
		Remembered int               `json:"remembered"`
		Compact    int               `json:"compact"`
		HeldBytes  int               `json:"heldBytes"`
		Started    uint64            `json:"started"`
		Done       uint64            `json:"done"`
		Failed     uint64            `json:"failed"`
		Broken     uint64            `json:"broken"`
		Refused    uint64            `json:"refused"`
		Tombstones uint64            `json:"tombstones"`
		Resumed    uint64            `json:"resumed"`
		Crashes    uint64            `json:"crashes"`
		Quarantine quarantiner.State `json:"quarantine"`
		// Restrictions is what the backend server says of the requests that it takes.
		Restrictions throttler.State `json:"restrictions"`
	}
)

// New returns an Executor and starts it. It runs until Close.
func New(options Options) *Executor {
	if options.Quarantiner == nil {
		options.Quarantiner = quarantiner.New(quarantiner.Complete)
	}
	if options.Throttler == nil {
		options.Throttler = throttler.New(throttler.Options{
			Shares:      &throttler.Sole{},
			InUse:       func(carawaybeam.BackendIncarnation) bool { return true },
			LeavingTime: maxLeavingTime,
			Log:         options.Log,
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Executor{
		options:        options,
		ctx:            ctx,
		cancel:         cancel,
		ledger:         newLedger(),
		sweepRequested: make(chan struct{}, 1),
		suspectSlot:    make(chan struct{}, 1),
		crashCheckSlot: make(chan struct{}, 1),
		limit:          adaptive.New(options.Concurrency),
	}
	e.wait.Go(e.sweep)
	return e
}

// Close cancels running attempts and waits until they have ended. Call Drain first
// to let them finish.
func (e *Executor) Close() error {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.cancel()
	e.wait.Wait()
	return nil
}

// Leave makes the Executor refuse new attempts.
func (e *Executor) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Drain calls Leave and waits until the running attempts have ended and their answers
// have been fetched. It waits for the fetch of an answer for at most fetchGracePeriod.
// If ctx ends earlier, it returns the error of ctx.
func (e *Executor) Drain(ctx context.Context) error {
	e.Leave()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for e.hasPendingAnswers(time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// hasPendingAnswers reports whether an attempt is running or an answer may still be
// fetched.
func (e *Executor) hasPendingAnswers(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running > 0 {
		return true
	}
	for _, a := range e.ledger.attempts {
		if a.mayBeFetched(now) {
			return true
		}
	}
	return false
}

// Leaving reports whether Leave or Drain has been called.
func (e *Executor) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Quarantiner returns the Quarantiner in use.
func (e *Executor) Quarantiner() *quarantiner.Quarantiner { return e.options.Quarantiner }

// ConfigVersion returns the newest configuration version that was observed.
func (e *Executor) ConfigVersion() carawaybeam.ConfigVersion {
	return carawaybeam.ConfigVersion(e.configVersion.Load())
}

// ObserveConfig records that a configuration version exists. Older versions than the
// newest observed one are ignored. Attempts that were routed with an older version
// than the newest are refused.
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
		Evacuated:     e.evacuation.evacuated,
		Running:       e.running,
		Limit:         e.limit.Value(),
		Remembered:    len(e.ledger.attempts),
		Compact:       len(e.ledger.compact),
		HeldBytes:     held,
		Started:       e.counts.started.Load(),
		Done:          e.counts.done.Load(),
		Failed:        e.counts.failed.Load(),
		Broken:        e.counts.broken.Load(),
		Refused:       e.counts.refused.Load(),
		Tombstones:    e.counts.tombstones.Load(),
		Resumed:       e.counts.resumed.Load(),
		Crashes:       e.counts.crashes.Load(),
		Quarantine:    e.options.Quarantiner.State(),
		Restrictions:  e.options.Throttler.State(),
	}
}
