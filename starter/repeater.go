package starter

import (
	"context"
	"sync"
	"time"
)

// Repeater calls a function at regular intervals until Close.
type Repeater struct {
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// Repeat returns a Repeater that calls f at once and then at each interval. Calls do
// not overlap.
func Repeat(interval time.Duration, f func()) *Repeater {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Repeater{cancel: cancel}
	r.wait.Go(func() { repeat(ctx, interval, f) })
	return r
}

// Close stops the calls and waits for a running one. The error is always nil.
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
