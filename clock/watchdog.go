package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// tickInterval is the time between two ticks of a Watchdog.
	tickInterval = 250 * time.Millisecond

	// maxPause is the time without a tick after which the process counts as suspended.
	maxPause = 2 * time.Second

	// settleTime is how long a process counts as suspended after it has run again. In
	// this time it handles the signals that it was sent meanwhile.
	settleTime = 200 * time.Millisecond
)

// Watchdog detects that the process was suspended. What arrived meanwhile may be outdated.
type Watchdog struct {
	now    func() time.Duration
	last   atomic.Int64
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// NewWatchdog returns a Watchdog that runs until Close. now is SinceBoot, or a clock of a test.
func NewWatchdog(now func() time.Duration) *Watchdog {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watchdog{now: now, cancel: cancel}
	w.last.Store(int64(now()))
	w.wait.Go(func() { w.run(ctx) })
	return w
}

// Close stops the Watchdog.
func (w *Watchdog) Close() error {
	w.cancel()
	w.wait.Wait()
	return nil
}

// Suspended reports whether the process was suspended a moment ago.
func (w *Watchdog) Suspended() bool {
	return w.now()-time.Duration(w.last.Load()) > maxPause
}

func (w *Watchdog) run(ctx context.Context) {
	wait := tickInterval
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		if wait == tickInterval && w.Suspended() {
			wait = settleTime
			continue
		}
		wait = tickInterval
		w.last.Store(int64(w.now()))
	}
}
