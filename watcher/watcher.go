// Package watcher follows the configuration in the platform's store and puts
// each change in force.
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
	// watchWait is how long one watch waits for a change.
	watchWait = 30 * time.Second

	// minPause and maxPause bound the wait after a failed call.
	minPause = 100 * time.Millisecond
	maxPause = 3 * time.Second
)

type (
	// Options is what a Watcher is made from.
	Options struct {
		Store      carawaybeam.Store
		Configurer *configurer.Configurer
		Log        zerolog.Logger
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
	return w
}

// Close ends the watch and waits.
func (w *Watcher) Close() error {
	w.cancel()
	w.wait.Wait()
	return nil
}

// follow reads everything once and then waits for changes.
func (w *Watcher) follow() {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minPause
	pause.MaxInterval = maxPause
	failing := false
	var since carawaybeam.StoreVersion
	for w.ctx.Err() == nil {
		next, err := w.advance(since)
		if err == nil {
			since = next
			failing = false
			pause.Reset()
			continue
		}
		if !failing && w.ctx.Err() == nil {
			w.options.Log.Warn().Err(err).Msg("watcher: store is unavailable")
		}
		failing = true
		select {
		case <-time.After(pause.NextBackOff()):
		case <-w.ctx.Done():
		}
	}
}

// advance brings the configuration from version since to a later one.
func (w *Watcher) advance(since carawaybeam.StoreVersion) (carawaybeam.StoreVersion, error) {
	if since == 0 {
		return w.readAll()
	}
	objects, version, err := w.options.Store.Watch(w.ctx, configurer.Kinds, since, watchWait)
	var failed *carawaybeam.StoreError
	if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreExpired {
		return w.readAll()
	}
	if err != nil {
		return since, err
	}
	w.take(objects)
	return version, nil
}

func (w *Watcher) readAll() (carawaybeam.StoreVersion, error) {
	var (
		all    []carawaybeam.Object
		lowest carawaybeam.StoreVersion
	)
	for i, kind := range configurer.Kinds {
		objects, version, err := w.options.Store.List(w.ctx, kind)
		if err != nil {
			return 0, err
		}
		if i == 0 || version < lowest {
			lowest = version
		}
		all = append(all, objects...)
	}
	w.take(all)
	return lowest, nil
}

// take puts objects in force. The configuration version is that of the newest
// object and not of the store, which other kinds of objects move on.
func (w *Watcher) take(objects []carawaybeam.Object) {
	var newest carawaybeam.StoreVersion
	for _, object := range objects {
		newest = max(newest, object.Version)
	}
	for _, invalid := range w.options.Configurer.Take(objects, carawaybeam.ConfigVersion(newest)) {
		w.options.Log.Error().Err(invalid).Msg("watcher: object is ignored")
	}
}
