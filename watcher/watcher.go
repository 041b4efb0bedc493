// Package watcher watches the configuration in the platform's store and puts each
// change in force.
//
// Only a few processes watch the store all the time. The others do so once their
// peers have not confirmed the configuration for some time, and read the store when
// a peer advertises a version that no peer delivers.
package watcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
)

const (
	// watchWait is how long the store waits for a change during one watch call.
	// It is short so that a dead connection is detected soon.
	watchWait = time.Second

	// watchTimeout bounds one watch call.
	watchTimeout = 2500 * time.Millisecond

	// takeoverAge is the age of the configuration from which on a process
	// watches the store even if it is not one of the watchers.
	takeoverAge = 5 * time.Second

	// idleInterval is the interval at which a process that does not watch checks
	// whether it should.
	idleInterval = 500 * time.Millisecond

	// peerGracePeriod is how long peers have to deliver a version before it is
	// read from the store.
	peerGracePeriod = 300 * time.Millisecond

	// readTimeout bounds one full read.
	readTimeout = 5 * time.Second

	// minBackoff and maxBackoff bound the backoff after a failed call. Successful
	// watches start at least minBackoff apart.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
)

type (
	// Options configures a Watcher.
	Options struct {
		Store      carawaybeam.Store
		Configurer *configurer.Configurer
		// IsWatcher reports whether this process should watch all the time. If it
		// is nil, the process does.
		IsWatcher func() bool
		Log       zerolog.Logger
	}

	// Watcher watches the store until Close.
	Watcher struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup
	}
)

// New returns a Watcher that watches the store until Close.
func New(options Options) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{options: options, ctx: ctx, cancel: cancel}
	w.wait.Go(w.watchStore)
	w.wait.Go(w.catchUp)
	return w
}

// Close stops watching and waits for the goroutines. The error is always nil.
func (w *Watcher) Close() error {
	w.cancel()
	w.wait.Wait()
	return nil
}

// watchStore watches the store whenever this process should, until Close.
func (w *Watcher) watchStore() {
	retryBackoff := newBackoff()
	failing := false
	var at *carawaybeam.StoreVersion
	for w.ctx.Err() == nil {
		if !w.active() {
			at = nil
			w.sleep(idleInterval)
			continue
		}
		started := time.Now()
		next, err := w.advance(at)
		if err == nil {
			at = &next
			failing = false
			retryBackoff.Reset()
			w.sleep(minBackoff - time.Since(started))
			continue
		}
		if !failing && w.ctx.Err() == nil {
			w.options.Log.Warn().Err(err).Msg("watcher: store is unavailable")
		}
		failing = true
		w.sleep(retryBackoff.NextBackOff())
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	return b
}

func (w *Watcher) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.ctx.Done():
	}
}

// active reports whether this process should watch the store now.
func (w *Watcher) active() bool {
	return w.options.IsWatcher == nil || w.options.IsWatcher() ||
		time.Since(w.options.Configurer.FreshAt()) > takeoverAge
}

// catchUp reads the store when peers advertise a version but do not deliver it.
func (w *Watcher) catchUp() {
	for {
		select {
		case <-w.options.Configurer.Behind():
		case <-w.ctx.Done():
			return
		}
		retryBackoff := newBackoff()
		w.sleep(peerGracePeriod)
		for w.options.Configurer.IsMissingChanges() && w.ctx.Err() == nil {
			if _, err := w.readAll(); err != nil || w.options.Configurer.IsMissingChanges() {
				w.sleep(retryBackoff.NextBackOff())
			}
		}
	}
}

// advance merges the changes after a store version with one watch call, and
// returns the version from which to continue. It reads all objects if no version is
// given or the store no longer has the history since then.
func (w *Watcher) advance(at *carawaybeam.StoreVersion) (carawaybeam.StoreVersion, error) {
	if at == nil {
		return w.readAll()
	}
	since := *at
	ctx, cancel := context.WithTimeout(w.ctx, watchTimeout)
	defer cancel()
	objects, version, err := w.options.Store.Watch(ctx, configurer.Kinds, since, watchWait)
	var failed *carawaybeam.StoreError
	if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreExpired {
		return w.readAll()
	}
	if err != nil {
		return since, err
	}
	if version.Era() != since.Era() {
		return w.readAll()
	}
	w.merge(configurer.Delta{
		Since:    carawaybeam.ConfigVersion(since),
		Complete: carawaybeam.ConfigVersion(version),
		Objects:  objects,
	}, time.Now())
	return max(since, version), nil
}

// readAll reads and merges all objects. It returns the version from which to watch,
// the lowest among those of the lists.
func (w *Watcher) readAll() (carawaybeam.StoreVersion, error) {
	ctx, cancel := context.WithTimeout(w.ctx, readTimeout)
	defer cancel()
	started := time.Now()
	var (
		all    []carawaybeam.Object
		lowest carawaybeam.StoreVersion
	)
	for i, kind := range configurer.Kinds {
		objects, version, err := w.options.Store.List(ctx, kind)
		if err != nil {
			return 0, err
		}
		if i == 0 || version < lowest {
			lowest = version
		}
		if version.Era() != lowest.Era() {
			return 0, &carawaybeam.StoreError{
				Failure: carawaybeam.StoreUnavailable, Detail: "era of the store has changed between two lists",
			}
		}
		all = append(all, objects...)
	}
	w.merge(configurer.Delta{Complete: carawaybeam.ConfigVersion(lowest), Full: true, Objects: all}, started)
	return lowest, nil
}

// merge merges a delta. It marks the configuration as fresh at the given time,
// unless the delta is older than the configuration held.
func (w *Watcher) merge(delta configurer.Delta, at time.Time) {
	for _, invalid := range w.options.Configurer.Merge(delta) {
		w.options.Log.Error().Err(invalid).Msg("watcher: object is invalid and not in force")
	}
	if delta.Complete >= w.options.Configurer.Complete() && !w.options.Configurer.IsBehind() {
		w.options.Configurer.MarkFresh(at)
	}
}
