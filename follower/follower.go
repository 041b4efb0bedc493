// Package follower keeps a copy of one kind of objects of the platform's store
// up to date, and tells how old it is.
//
// It reads the kind once and watches it from there. A watch waits for a short
// time only, so that a connection that has gone silent is noticed and each
// answer, also an empty one, shows that the copy is fresh.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// defaultWait is how long one watch waits for a change. A copy is as old as the
	// watch before the present one, so that twice this wait with the ways to the
	// store must stay below the 3 s from which on a copy counts as old.
	defaultWait = 1350 * time.Millisecond

	// minPause and maxPause bound the wait after a failed call. The longest one
	// is part of the time in which a change is in force after an outage.
	minPause = 50 * time.Millisecond
	maxPause = 400 * time.Millisecond
)

type (
	// Clock returns the time since some fixed moment. It counts the time in
	// which the VM is suspended.
	Clock func() time.Duration

	// Sink takes the objects that a Follower reads, by one goroutine.
	Sink interface {
		// Replace takes all objects of the kind.
		Replace(objects []carawaybeam.Object)
		// Apply takes changes in their order.
		Apply(changes []carawaybeam.Object)
	}

	// Options is what a Follower is made from.
	Options struct {
		Store carawaybeam.Store
		Kind  carawaybeam.StoreKind
		Sink  Sink
		Clock Clock
		// Wait is how long one watch waits for a change, or 0 for the default. It
		// bounds how long a silent connection goes unnoticed.
		Wait time.Duration
		// MinInterval is the least time from one watch to the next. Changes that come
		// meanwhile arrive together, in one call.
		MinInterval time.Duration
		Log         zerolog.Logger
	}

	// Follower follows one kind until Close.
	Follower struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu sync.Mutex
		// confirmed is when the call was sent whose answer last showed that the
		// copy is complete.
		confirmed time.Duration
		loaded    bool
		// failing is set from a failed call to the next that succeeds.
		failing bool
		// restored is when calls last began to succeed after a failure.
		restored time.Duration
		wasLost  bool
	}
)

// New returns a Follower that works until Close.
func New(options Options) *Follower {
	if options.Wait == 0 {
		options.Wait = defaultWait
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{options: options, ctx: ctx, cancel: cancel}
	f.wait.Go(f.follow)
	return f
}

// Close ends the watch and waits.
func (f *Follower) Close() error {
	f.cancel()
	f.wait.Wait()
	return nil
}

// Age returns how long ago the copy was known to be complete. It reports false
// before the first read.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.Clock() - f.confirmed, f.loaded
}

// SinceOutage returns how long the store has answered again since the last
// failed call, and 0 while it does not answer. It reports false when no call has
// failed.
func (f *Follower) SinceOutage() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.failing:
		return 0, true
	case f.wasLost:
		return f.options.Clock() - f.restored, true
	}
	return 0, false
}

func (f *Follower) follow() {
	var at carawaybeam.StoreVersion
	pause := minPause
	for f.ctx.Err() == nil {
		begun := time.Now()
		next, err := f.advance(at)
		if err == nil {
			at = next
			pause = minPause
			f.sleep(f.options.MinInterval - time.Since(begun))
			continue
		}
		if f.ctx.Err() != nil {
			return
		}
		var failed *carawaybeam.StoreError
		if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreExpired {
			f.options.Log.Info().Str("kind", string(f.options.Kind)).Uint64("version", uint64(at)).
				Msg("follower: history is gone, reading anew")
			at = 0
			continue
		}
		f.lose(err)
		f.sleep(pause/2 + rand.N(pause/2))
		pause = min(2*pause, maxPause)
	}
}

func (f *Follower) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
	}
}

// advance reads the kind, or what has changed since a version, and returns the
// version up to which the copy is complete.
func (f *Follower) advance(at carawaybeam.StoreVersion) (carawaybeam.StoreVersion, error) {
	sent := f.options.Clock()
	if at == 0 {
		objects, version, err := f.options.Store.List(f.ctx, f.options.Kind)
		if err != nil {
			return 0, err
		}
		f.regain(sent)
		f.options.Sink.Replace(objects)
		f.confirm(sent)
		return version, nil
	}
	changes, version, err := f.options.Store.Watch(f.ctx, []carawaybeam.StoreKind{f.options.Kind}, at, f.options.Wait)
	if err != nil {
		return at, err
	}
	f.regain(sent)
	if len(changes) > 0 {
		f.options.Sink.Apply(changes)
	}
	f.confirm(sent)
	return max(at, version), nil
}

// regain notes that the store answers.
func (f *Follower) regain(sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		return
	}
	f.failing = false
	f.restored = f.options.Clock()
	f.options.Log.Info().Str("kind", string(f.options.Kind)).
		Dur("age", f.options.Clock()-f.confirmed).Dur("took", f.options.Clock()-sent).
		Msg("follower: store answers again")
}

func (f *Follower) confirm(sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = sent
	f.loaded = true
}

func (f *Follower) lose(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		f.options.Log.Warn().Err(err).Str("kind", string(f.options.Kind)).
			Dur("age", f.options.Clock()-f.confirmed).Msg("follower: store does not answer")
	}
	f.failing = true
	f.wasLost = true
}
