// Package follower maintains a copy of all objects of one kind in the platform's
// store and reports the age of the copy.
//
// A Follower reads all objects once and watches for changes from then on. Each watch
// call waits for a short time only, so that a dead connection is detected. Every
// response, even an empty one, confirms that the copy is complete.
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
	// defaultWait is how long the store waits for a change during one watch call.
	// The age of a copy counts from the start of the previous call, so twice this
	// wait plus the network latency must stay below 3 s, the age at which a copy
	// is considered stale.
	defaultWait = 1350 * time.Millisecond

	// probeWait replaces the wait after a failed call, so that the answer confirms the
	// copy at once.
	probeWait = time.Millisecond

	// minBackoff and defaultMaxBackoff bound the backoff after a failed call. The
	// latter adds to the time until a change is in force after an outage.
	minBackoff        = 50 * time.Millisecond
	defaultMaxBackoff = 400 * time.Millisecond

	// maxSpread and spreadsPerWait bound the random delay before all objects are
	// read again in a new era of the store, which all processes do at once. It is
	// at most a quarter of the wait, so that a copy that has to be recent is.
	maxSpread      = time.Second
	spreadsPerWait = 4
)

type (
	// Clock returns the time since some fixed moment. It includes the time for
	// which the VM was suspended.
	Clock func() time.Duration

	// Sink receives the objects that a Follower reads. Its methods are called by
	// one goroutine.
	Sink interface {
		// Replace receives all objects of the kind.
		Replace(objects []carawaybeam.Object)
		// Apply receives changed objects in the order of their changes.
		Apply(changes []carawaybeam.Object)
	}

	// Options configures a Follower.
	Options struct {
		Store carawaybeam.Store
		Kind  carawaybeam.StoreKind
		Sink  Sink
		Clock Clock
		// Wait is how long the store waits for a change during one watch call, or
		// 0 for the default of 1.35 s.
		Wait time.Duration
		// MaxWait, if it is not nil, returns a bound on Wait that may change, or 0 if
		// there is none.
		MaxWait func() time.Duration
		// MinInterval is the minimum time from the start of one watch call to
		// the next. Changes made in between are passed to Sink in one call.
		MinInterval time.Duration
		// MaxBackoff is the maximum backoff after a failed call, or 0 for the
		// default of 400 ms. It is at least 50 ms.
		MaxBackoff time.Duration
		// Complete, if it is not nil, receives the version up to which Sink has received
		// all changes, after each successful call.
		Complete func(version carawaybeam.StoreVersion)
		// Outage, if it is not nil, is shared by the followers of a process. A
		// follower that waits after a failed call tries again once a call of
		// another one has ended an outage. Of several followers only one then
		// needs a short backoff.
		Outage *Outage
		Log    zerolog.Logger
	}

	// Follower watches one kind of objects until Close.
	Follower struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup

		mu sync.Mutex
		// confirmedAt is the start of the last call whose response confirmed
		// that the copy is complete.
		confirmedAt time.Duration
		loaded      bool
		// failing is set from a failed call until the next successful one.
		failing bool
		// late is by how much the answer to the last watch came later than its wait.
		late time.Duration
		// restoredAt is when calls last began to succeed after a failure.
		restoredAt time.Duration
		// hadOutage is set once a call has failed.
		hadOutage bool
		// era is the era of the store in which the objects were read last, and
		// eraChanges the number of times that it has changed.
		era        carawaybeam.StoreEra
		eraChanges int
	}
)

// errEarlierEra reports an answer that arrived after one of a later era.
var errEarlierEra = &carawaybeam.StoreError{
	Failure: carawaybeam.StoreUnavailable, Detail: "answer is of an earlier era of the store",
}

// New returns a Follower that watches the store until Close.
func New(options Options) *Follower {
	if options.Wait == 0 {
		options.Wait = defaultWait
	}
	if options.MaxBackoff == 0 {
		options.MaxBackoff = defaultMaxBackoff
	}
	if options.Outage == nil {
		options.Outage = NewOutage()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{options: options, ctx: ctx, cancel: cancel}
	f.wait.Go(f.follow)
	return f
}

// Close stops watching and waits for the goroutine. The error is always nil.
func (f *Follower) Close() error {
	f.cancel()
	f.wait.Wait()
	return nil
}

// Age returns the time since the copy was last confirmed to be complete. It returns
// false before the first read.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.Clock() - f.confirmedAt, f.loaded
}

// Era returns the era of the store in which the objects were read last, and how often
// it has changed since the first read.
func (f *Follower) Era() (carawaybeam.StoreEra, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era, f.eraChanges
}

// SinceOutage returns the time since calls to the store succeed again after an
// outage, or 0 during the outage. A new era of the store is the end of an outage,
// although no call may have failed. It returns false if there was no outage yet.
func (f *Follower) SinceOutage() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.failing:
		return 0, true
	case f.hadOutage:
		return f.options.Clock() - f.restoredAt, true
	}
	return 0, false
}

func (f *Follower) follow() {
	var at carawaybeam.StoreVersion
	delay := minBackoff
	for f.ctx.Err() == nil {
		started := time.Now()
		next, err := f.advance(at)
		if err == nil {
			at = next
			delay = minBackoff
			f.sleep(f.options.MinInterval - time.Since(started))
			continue
		}
		if f.ctx.Err() != nil {
			return
		}
		var failed *carawaybeam.StoreError
		if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreExpired {
			f.options.Log.Info().Str("kind", string(f.options.Kind)).Uint64("version", uint64(at)).
				Msg("follower: history has expired, reading all objects again")
			if failed.Era != at.Era() {
				f.sleep(rand.N(min(maxSpread, f.options.Wait/spreadsPerWait)))
			}
			at = 0
			continue
		}
		f.recordFailure(err)
		f.backOff(delay/2 + rand.N(delay/2))
		delay = min(2*delay, f.options.MaxBackoff)
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

// backOff waits for the given time, or until the call of another follower has ended an outage.
func (f *Follower) backOff(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.options.Outage.ended():
	case <-f.ctx.Done():
	}
}

// advance reads all objects if at is 0, and otherwise the changes since that
// version. It returns the version up to which the copy is then complete.
func (f *Follower) advance(at carawaybeam.StoreVersion) (carawaybeam.StoreVersion, error) {
	sent := f.options.Clock()
	if at == 0 {
		objects, version, err := f.options.Store.List(f.ctx, f.options.Kind)
		if err != nil {
			return 0, err
		}
		if err := f.recordEra(version.Era()); err != nil {
			return 0, err
		}
		f.recordSuccess(sent)
		f.options.Sink.Replace(objects)
		f.complete(version)
		f.confirm(sent)
		return version, nil
	}
	wait := f.nextWait()
	changes, version, err := f.options.Store.Watch(f.ctx, []carawaybeam.StoreKind{f.options.Kind}, at, wait)
	if err != nil {
		return at, err
	}
	if version.Era() != at.Era() {
		// The changes follow upon another change than the one at the cursor.
		return at, &carawaybeam.StoreError{
			Failure: carawaybeam.StoreExpired, Era: version.Era(), Detail: "era of the store has changed",
		}
	}
	f.recordSuccess(sent)
	f.recordLateness(f.options.Clock() - sent - wait)
	if len(changes) > 0 {
		f.options.Sink.Apply(changes)
	}
	f.complete(max(at, version))
	f.confirm(sent)
	return max(at, version), nil
}

// complete passes on the version up to which the copy is complete.
func (f *Follower) complete(version carawaybeam.StoreVersion) {
	if f.options.Complete != nil {
		f.options.Complete(version)
	}
}

// recordEra records the era in which all objects were read. It returns an error if an
// answer of a later era has arrived before.
func (f *Follower) recordEra(era carawaybeam.StoreEra) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era < f.era {
		return errEarlierEra
	}
	if era > f.era && f.loaded {
		f.options.Log.Warn().Str("kind", string(f.options.Kind)).Uint16("era", uint16(era)).
			Uint16("before", uint16(f.era)).Msg("follower: objects are read from an older copy")
		f.eraChanges++
		f.hadOutage, f.restoredAt = true, f.options.Clock()
	}
	f.era = era
	return nil
}

// recordSuccess records a successful call, which ends an outage.
func (f *Follower) recordSuccess(sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		return
	}
	f.failing = false
	f.options.Outage.end()
	f.restoredAt = f.options.Clock()
	f.options.Log.Info().Str("kind", string(f.options.Kind)).
		Dur("age", f.options.Clock()-f.confirmedAt).Dur("took", f.options.Clock()-sent).
		Msg("follower: store is available again")
}

// confirm records that the copy was complete at the start of a call.
func (f *Follower) confirm(sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = sent
	f.loaded = true
}

// nextWait returns how long the store waits for a change during the next watch call. The age of the
// copy grows until that call is answered, so that it waits less by as much as the last answer was late.
func (f *Follower) nextWait() time.Duration {
	wait := f.options.Wait
	if f.options.MaxWait != nil {
		if most := f.options.MaxWait(); most > 0 {
			wait = min(wait, most)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing {
		return probeWait
	}
	return max(probeWait, wait-f.late)
}

// recordLateness records by how much the answer to a watch came later than its wait.
func (f *Follower) recordLateness(late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = max(0, late)
}

// recordFailure records a failed call, which begins or continues an outage.
func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		f.options.Log.Warn().Err(err).Str("kind", string(f.options.Kind)).
			Dur("age", f.options.Clock()-f.confirmedAt).Msg("follower: store is unavailable")
	}
	f.failing = true
	f.hadOutage = true
}
