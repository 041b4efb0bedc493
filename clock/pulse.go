package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beatInterval is the time between two beats of a Pulse.
	beatInterval = 250 * time.Millisecond

	// maxPause is the time without a beat after which the process counts as suspended.
	maxPause = 2 * time.Second

	// settleTime is how long a process counts as suspended after it has run again. In
	// this time it handles the signals that it was sent meanwhile.
	settleTime = 200 * time.Millisecond
)

// Pulse detects that the process was suspended. What arrived meanwhile may be outdated.
type Pulse struct {
	now    func() time.Duration
	last   atomic.Int64
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// NewPulse returns a Pulse that beats until Close. now is SinceBoot, or a clock of a test.
func NewPulse(now func() time.Duration) *Pulse {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pulse{now: now, cancel: cancel}
	p.last.Store(int64(now()))
	p.wait.Go(func() { p.run(ctx) })
	return p
}

// Close stops the Pulse.
func (p *Pulse) Close() error {
	p.cancel()
	p.wait.Wait()
	return nil
}

// Suspended reports whether the process was suspended a moment ago.
func (p *Pulse) Suspended() bool {
	return p.now()-time.Duration(p.last.Load()) > maxPause
}

func (p *Pulse) run(ctx context.Context) {
	wait := beatInterval
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		if wait == beatInterval && p.Suspended() {
			wait = settleTime
			continue
		}
		wait = beatInterval
		p.last.Store(int64(p.now()))
	}
}
