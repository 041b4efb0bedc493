package storer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// Link is the store as one process reaches it.
type Link struct {
	carawaybeam.Store

	// timeout bounds reads, beside the time that a watch waits for changes. 0 is no bound.
	timeout time.Duration
	cut     atomic.Bool
}

var errCutOff = &carawaybeam.StoreError{Failure: carawaybeam.StoreUnavailable, Detail: "cut off"}

// NewLink returns a link to a store. A timeout above 0 bounds reads from a store that does not answer.
func NewLink(store carawaybeam.Store, timeout time.Duration) *Link {
	return &Link{Store: store, timeout: timeout}
}

// SetCut cuts the process off from the store, or ends that.
func (l *Link) SetCut(cut bool) { l.cut.Store(cut) }

// IsCut reports whether the process is cut off from the store.
func (l *Link) IsCut() bool { return l.cut.Load() }

// Get returns one object.
func (l *Link) Get(
	ctx context.Context,
	kind carawaybeam.StoreKind,
	name string,
) (carawaybeam.Object, error) {
	if l.cut.Load() {
		return carawaybeam.Object{}, errCutOff
	}
	return l.Store.Get(ctx, kind, name)
}

// Put writes an object.
func (l *Link) Put(
	ctx context.Context,
	o carawaybeam.Object,
	expect carawaybeam.StoreVersion,
) (carawaybeam.StoreVersion, error) {
	if l.cut.Load() {
		return 0, errCutOff
	}
	return l.Store.Put(ctx, o, expect)
}

// Delete removes an object.
func (l *Link) Delete(
	ctx context.Context,
	kind carawaybeam.StoreKind,
	name string,
	expect carawaybeam.StoreVersion,
) (carawaybeam.StoreVersion, error) {
	if l.cut.Load() {
		return 0, errCutOff
	}
	return l.Store.Delete(ctx, kind, name, expect)
}

// List returns all objects of a kind.
func (l *Link) List(
	ctx context.Context,
	kind carawaybeam.StoreKind,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	if l.cut.Load() {
		return nil, 0, errCutOff
	}
	ctx, cancel := l.bound(ctx, 0)
	defer cancel()
	return l.Store.List(ctx, kind)
}

// Watch waits for changes. An answer that comes while the process is cut off is lost.
func (l *Link) Watch(
	ctx context.Context,
	kinds []carawaybeam.StoreKind,
	since carawaybeam.StoreVersion,
	wait time.Duration,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	if l.cut.Load() {
		return nil, 0, errCutOff
	}
	ctx, cancel := l.bound(ctx, wait)
	defer cancel()
	objects, version, err := l.Store.Watch(ctx, kinds, since, wait)
	if l.cut.Load() {
		return nil, 0, errCutOff
	}
	return objects, version, err
}

// bound returns a context that ends when a read has taken the timeout beside the time that it waits.
func (l *Link) bound(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if l.timeout <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeoutCause(ctx, wait+l.timeout, errCutOff)
}
