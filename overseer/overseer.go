// Package overseer detects that a process is overloaded, from the delay of its timers and its memory
// in use, and decides which new requests are refused before it becomes slow, the least urgent
// first.
package overseer

import (
	"math/rand/v2"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// interval is the time between two measurements. 50 of them per second take less than
	// 0.1% of a core.
	interval = 20 * time.Millisecond

	// minRetryAfter and maxRetryAfter bound the time after which a refused client may come back,
	// mostly to another entry. It is chosen at random so that clients do not come back together.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 300 * time.Millisecond
)

type (
	// Options configures an Overseer.
	Options struct {
		// MaxDelay is the mean delay of a timer that is kept, above 0.
		MaxDelay time.Duration
		// Memory is the memory at which the process is killed, or 0 if unknown.
		Memory carawaybeam.Bytes
		Log    zerolog.Logger
	}

	// Overseer measures until Close. Its methods are safe for concurrent use.
	Overseer struct {
		options    Options
		controller *Controller
		memory     []metrics.Sample
		stop       chan struct{}
		wait       sync.WaitGroup
	}
)

// New returns an Overseer and starts to measure.
func New(options Options) *Overseer {
	o := &Overseer{
		options:    options,
		controller: NewController(options.MaxDelay),
		memory: []metrics.Sample{
			{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
		},
		stop: make(chan struct{}),
	}
	o.wait.Go(o.measure)
	return o
}

// Close stops measuring. After it all requests are admitted that the last measurement admits.
func (o *Overseer) Close() error {
	close(o.stop)
	o.wait.Wait()
	o.controller.overdue.Store(0)
	return nil
}

// Admit reports whether to admit a new request. A lower priority is more urgent. A client that is
// refused may come back after retryAfter.
func (o *Overseer) Admit(priority int) (admitted bool, retryAfter time.Duration) {
	if o.controller.Admit(time.Now(), priority, rand.Uint32()) {
		return true, 0
	}
	return false, minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
}

// State returns the state dump.
func (o *Overseer) State() State { return o.controller.State() }

func (o *Overseer) measure() {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	last := time.Now()
	for {
		select {
		case <-timer.C:
		case <-o.stop:
			return
		}
		now := time.Now()
		elapsed := now.Sub(last)
		last = now
		o.observe(now, Sample{Delay: max(0, elapsed-interval), Elapsed: elapsed, Memory: o.memoryShare()})
		timer.Reset(interval)
	}
}

// observe passes a measurement to the controller and logs changes.
func (o *Overseer) observe(now time.Time, sample Sample) {
	began, ended := o.controller.Observe(now, sample)
	if !began && !ended {
		return
	}
	state := o.controller.State()
	line := o.options.Log.Info()
	message := "overseer: process is no longer overloaded, all requests are admitted"
	if began {
		line, message = o.options.Log.Warn(), "overseer: process is overloaded, requests are refused"
	}
	line.Float64("delayMs", state.DelayMs).Float64("memory", state.Memory).Msg(message)
}

// memoryShare returns the memory in use as a fraction of the limit, or 0 if there is no limit.
func (o *Overseer) memoryShare() float64 {
	if o.options.Memory <= 0 {
		return 0
	}
	metrics.Read(o.memory)
	used := o.memory[0].Value.Uint64() - o.memory[1].Value.Uint64()
	return float64(used) / float64(o.options.Memory)
}
