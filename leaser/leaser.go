// Package leaser acquires and renews leases that are kept in the platform's
// store. The epoch of a lease is a fencing token: it grows with every new holder.
//
// Leases do not depend on synchronised clocks. An observer treats a lease as
// expired once its version has not changed for the whole duration on the
// observer's own monotonic clock. A holder counts the duration from before it sent
// its last renewal.
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// Options configures a Leaser.
	Options struct {
		Store carawaybeam.Store
		// Name is the name of the lease.
		Name string
		// Holder identifies this incarnation of the process.
		Holder carawaybeam.Incarnation
		// Duration is the time from the last renewal to the expiry of a lease.
		// It must be the same in all processes.
		Duration time.Duration
	}

	// Leaser competes for one lease. Its methods are safe for concurrent use,
	// except that AcquireOrRenew must not be called concurrently with itself.
	Leaser struct {
		options Options

		mu sync.Mutex
		// seen is the last observed version of the lease, first seen at seenAt.
		seen   carawaybeam.StoreVersion
		seenAt time.Time
		// lease is the lease that this process wrote last.
		lease lease
		// expiresAt is when the lease of this process expires.
		expiresAt time.Time
		// observed is the version of the lease at the last call of Observe.
		observed      carawaybeam.StoreVersion
		observedLease lease
		// newestHolder is set while this process is the newest holder that it knows
		// of.
		newestHolder bool
	}

	// lease is the object in the store.
	lease struct {
		Holder carawaybeam.Incarnation `json:"holder"`
		Epoch  carawaybeam.Epoch       `json:"epoch"`
		// Renewal is a counter that makes the content of each write unique.
		Renewal uint64 `json:"renewal"`
	}

	// ContentError reports a lease whose content cannot be encoded or decoded.
	ContentError struct {
		Name  string
		Cause error
	}
)

func (e *ContentError) Error() string {
	return "lease " + e.Name + " has invalid content: " + e.Cause.Error()
}

func (e *ContentError) Unwrap() error { return e.Cause }

// New returns a Leaser that does not hold the lease yet.
func New(options Options) *Leaser { return &Leaser{options: options} }

// Held returns the epoch of the lease and whether this process holds it now. Call
// it before each action that needs the lease, since the process may have been
// paused for longer than the lease lasts.
func (l *Leaser) Held() (carawaybeam.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Epoch, time.Now().Before(l.expiresAt)
}

// HeldUntilSuperseded returns the epoch of the lease and whether this process is
// the newest holder that it knows of. Unlike Held it remains true after the lease
// has expired, for example because the store is unavailable. It is meant for
// actions that are rejected because of their epoch once another process has
// acquired the lease.
func (l *Leaser) HeldUntilSuperseded() (carawaybeam.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Epoch, l.newestHolder
}

// MarkLost records that another process holds the lease, as a rejected action has
// shown. The next AcquireOrRenew waits until the lease of that process has
// expired.
func (l *Leaser) MarkLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newestHolder = false
	l.expiresAt = time.Time{}
}

// AcquireOrRenew acquires the lease if it is free or expired, renews it if this
// process holds it, and otherwise observes it. Call it several times per duration.
// Errors are of type *carawaybeam.StoreError or *ContentError; after an error, a
// lease held before remains held until it expires.
func (l *Leaser) AcquireOrRenew(ctx context.Context) error {
	began := time.Now()
	object, stored, err := l.read(ctx)
	if err != nil {
		return err
	}
	own := stored.Holder == l.options.Holder
	if !own && object.Version > 0 {
		l.mu.Lock()
		l.newestHolder = false
		l.mu.Unlock()
		if !l.expired(object.Version) {
			return nil
		}
	}
	next := lease{Holder: l.options.Holder, Epoch: stored.Epoch, Renewal: stored.Renewal + 1}
	if _, held := l.Held(); !own || !held {
		// An expired lease gets a new epoch even if its last holder acquires it
		// again.
		next.Epoch++
	}
	return l.write(ctx, next, object.Version, began)
}

// Observe reads the lease for a later call of Seize. Errors are as for
// AcquireOrRenew.
func (l *Leaser) Observe(ctx context.Context) error {
	object, stored, err := l.read(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed, l.observedLease = object.Version, stored
	return nil
}

// Seize acquires the lease under a new epoch without waiting for it to expire. It
// is meant for a holder that has stopped working; if that holder resumes, its
// actions are rejected because of their epoch. Seize has no effect if the lease
// has changed since Observe, so that only one of several processes that seize it
// at the same time succeeds. Errors are as for AcquireOrRenew.
func (l *Leaser) Seize(ctx context.Context) error {
	began := time.Now()
	l.mu.Lock()
	version, stored := l.observed, l.observedLease
	l.mu.Unlock()
	next := lease{Holder: l.options.Holder, Epoch: stored.Epoch + 1, Renewal: stored.Renewal + 1}
	return l.write(ctx, next, version, began)
}

// read returns the stored lease. It is zero if there is none.
func (l *Leaser) read(ctx context.Context) (carawaybeam.Object, lease, error) {
	var stored lease
	object, err := l.options.Store.Get(ctx, carawaybeam.KindLease, l.options.Name)
	var failed *carawaybeam.StoreError
	if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreNotFound {
		return carawaybeam.Object{}, stored, nil
	}
	if err != nil {
		return object, stored, err
	}
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return object, stored, &ContentError{Name: l.options.Name, Cause: err}
	}
	return object, stored, nil
}

// expired records when a version was first seen and reports whether that is more
// than the duration ago. It counts from the end of the read, which is later than
// the renewal by the holder.
func (l *Leaser) expired(version carawaybeam.StoreVersion) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if version != l.seen {
		l.seen = version
		l.seenAt = now
	}
	return now.Sub(l.seenAt) > l.options.Duration
}

// write stores the lease. If the outcome of the write is uncertain, it reads the
// lease back.
func (l *Leaser) write(
	ctx context.Context,
	next lease,
	expect carawaybeam.StoreVersion,
	began time.Time,
) error {
	value, err := json.Marshal(next)
	if err != nil {
		return &ContentError{Name: l.options.Name, Cause: err}
	}
	object := carawaybeam.Object{Kind: carawaybeam.KindLease, Name: l.options.Name, Value: value}
	_, err = l.options.Store.Put(ctx, object, expect)
	var failed *carawaybeam.StoreError
	if errors.As(err, &failed) {
		switch failed.Failure {
		case carawaybeam.StoreConflict:
			return nil
		case carawaybeam.StoreUncertain:
			_, stored, readErr := l.read(ctx)
			if readErr != nil || stored != next {
				return err
			}
			err = nil
		}
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = next
	l.expiresAt = began.Add(l.options.Duration)
	l.newestHolder = true
	return nil
}
