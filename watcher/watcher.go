// Package watcher follows the configuration in the platform's store and puts
// each change in force.
//
// Only a few chosen processes watch all the time. The others watch once their
// peers have not vouched for the configuration for a while, and read the store
// when a peer claims a version that no peer gives them.
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
	// watchWait is how long one watch waits for a change. It bounds how long a
	// connection that has gone silent goes unnoticed.
	watchWait = time.Second

	// silentWatch is when a watch that has not answered is given up.
	silentWatch = 2500 * time.Millisecond

	// takeoverAge is how old the configuration of a process may be before the
	// process watches the store though it was not chosen to.
	takeoverAge = 5 * time.Second

	// idlePause is how often a process that does not watch looks whether it
	// should.
	idlePause = 500 * time.Millisecond

	// peerTime is how long peers get to deliver a version before the store is
	// read for it.
	peerTime = 300 * time.Millisecond

	// readTimeout bounds one full read.
	readTimeout = 5 * time.Second

	// minPause and maxPause bound the wait after a failed call. Calls that
	// succeed are at least minPause apart.
	minPause = 100 * time.Millisecond
	maxPause = 3 * time.Second
)

type (
	// Options is what a Watcher is made from.
	Options struct {
		Store      carawaybeam.Store
		Configurer *configurer.Configurer
		// IsWatcher tells whether this process is to watch all the time. Nil
		// stands for always.
		IsWatcher func() bool
		Log       zerolog.Logger
	}

	// Watcher follows the store until Close.
	Watcher struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup
	}
)

// New returns a Watcher that follows the store until Close.
func New(options Options) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{options: options, ctx: ctx, cancel: cancel}
	w.wait.Go(w.follow)
	w.wait.Go(w.catchUp)
	return w
}

// Close ends the watch and waits.
func (w *Watcher) Close() error {
	w.cancel()
	w.wait.Wait()
	return nil
}

// follow watches the store for as long as this process is to.
func (w *Watcher) follow() {
	pause := newPause()
	failing := false
	var at *carawaybeam.StoreVersion
	for w.ctx.Err() == nil {
		if !w.active() {
			at = nil
			w.sleep(idlePause)
			continue
		}
		begun := time.Now()
		next, err := w.advance(at)
		if err == nil {
			at = &next
			failing = false
			pause.Reset()
			w.sleep(minPause - time.Since(begun))
			continue
		}
		if !failing && w.ctx.Err() == nil {
			w.options.Log.Warn().Err(err).Msg("watcher: store is unavailable")
		}
		failing = true
		w.sleep(pause.NextBackOff())
	}
}

func newPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minPause
	pause.MaxInterval = maxPause
	return pause
}

func (w *Watcher) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.ctx.Done():
	}
}

// active tells whether this process watches the store now.
func (w *Watcher) active() bool {
	return w.options.IsWatcher == nil || w.options.IsWatcher() ||
		time.Since(w.options.Configurer.FreshAt()) > takeoverAge
}

// catchUp reads the store when peers claim a version but do not deliver it.
func (w *Watcher) catchUp() {
	for {
		select {
		case <-w.options.Configurer.Behind():
		case <-w.ctx.Done():
			return
		}
		pause := newPause()
		w.sleep(peerTime)
		for w.options.Configurer.IsMissingChanges() && w.ctx.Err() == nil {
			if _, err := w.readAll(); err != nil || w.options.Configurer.IsMissingChanges() {
				w.sleep(pause.NextBackOff())
			}
		}
	}
}

// advance brings the configuration from a version to a later one, or reads it
// all if no version is given.
func (w *Watcher) advance(at *carawaybeam.StoreVersion) (carawaybeam.StoreVersion, error) {
	if at == nil {
		return w.readAll()
	}
	since := *at
	ctx, cancel := context.WithTimeout(w.ctx, silentWatch)
	defer cancel()
	objects, version, err := w.options.Store.Watch(ctx, configurer.Kinds, since, watchWait)
	var failed *carawaybeam.StoreError
	if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreExpired {
		return w.readAll()
	}
	if err != nil {
		return since, err
	}
	w.take(configurer.Delta{
		Since:    carawaybeam.ConfigVersion(since),
		Complete: carawaybeam.ConfigVersion(version),
		Objects:  objects,
	}, time.Now())
	return max(since, version), nil
}

// readAll reads all objects. It returns the version from which to watch.
func (w *Watcher) readAll() (carawaybeam.StoreVersion, error) {
	ctx, cancel := context.WithTimeout(w.ctx, readTimeout)
	defer cancel()
	begun := time.Now()
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
		all = append(all, objects...)
	}
	w.take(configurer.Delta{Complete: carawaybeam.ConfigVersion(lowest), Full: true, Objects: all}, begun)
	return lowest, nil
}

// take puts a delta in force. An answer that is older than what is held does not
// count as a sign that the configuration is fresh.
func (w *Watcher) take(delta configurer.Delta, at time.Time) {
	for _, invalid := range w.options.Configurer.Merge(delta) {
		w.options.Log.Error().Err(invalid).Msg("watcher: object is not in force")
	}
	if delta.Complete >= w.options.Configurer.Complete() && !w.options.Configurer.IsBehind() {
		w.options.Configurer.MarkFresh(at)
	}
}
