package starter

import (
	"context"
	"sync"
	"time"
)

// Repeater calls a function at regular times until Close.
type Repeater struct {
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// Repeat returns a Repeater that calls f at once and then after each interval,
// one call at a time.
func Repeat(interval time.Duration, f func()) *Repeater {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Repeater{cancel: cancel}
	r.wait.Go(func() { repeat(ctx, interval, f) })
	return r
}

// Close ends the calls and waits for the one under way.
func (r *Repeater) Close() error {
	r.cancel()
	r.wait.Wait()
	return nil
}

func repeat(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
