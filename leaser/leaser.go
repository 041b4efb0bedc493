// Package leaser acquires and renews leases that are kept in the platform's
// store. The epoch of a lease is a fencing token: it grows with every new holder.
//
// Leases do not depend on synchronised clocks. An observer treats a lease as
// expired once its version has not changed for the whole duration on the
// observer's own monotonic clock. A holder counts the duration from before it sent
// its last renewal.
//
// A store that comes back from an older copy lacks leases that it has acknowledged.
// Each era of the store therefore has an object of its own for each lease, which no
// copy of an earlier era contains and no late write of an earlier era changes. Epochs
// order by the era first, so that none is given twice.
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// epochsPerEra is the number of epochs of a lease in one era of the store. At
	// one new holder each half second they last for six days.
	epochsPerEra carawaybeam.Epoch = 1 << 20

	// maxReads is the maximum number of reads of a lease, each in a later era.
	maxReads = 3
)

// ErrNoEpochLeft reports that all epochs of a lease in the present era of the store
// have been given.
var ErrNoEpochLeft = errors.New("no epoch of the lease is left in this era of the store")

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
		// era is the newest era of the store in which the lease was read, and
		// eraChanged is set once it has changed. wasRead is set once the lease was
		// read.
		era        carawaybeam.StoreEra
		eraChanged bool
		wasRead    bool
		// seen is the last observed version of the lease, first seen at seenAt.
		seen   carawaybeam.StoreVersion
		seenAt time.Time
		// lease is the lease that this process wrote last.
		lease lease
		// expiresAt is when the lease of this process expires.
		expiresAt time.Time
		// observed is the lease at the last call of Observe.
		observed storedLease
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

	// storedLease is a lease that was read from the store.
	storedLease struct {
		lease

		// version is the version of the object, or 0 if there is none.
		version carawaybeam.StoreVersion
		// era is the era of the store in which the lease was read.
		era carawaybeam.StoreEra
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
// Errors are of type *carawaybeam.StoreError or *ContentError, or ErrNoEpochLeft; after
// an error, a lease held before remains held until it expires.
func (l *Leaser) AcquireOrRenew(ctx context.Context) error {
	began := time.Now()
	stored, err := l.readNewest(ctx)
	if err != nil {
		return err
	}
	_, held := l.Held()
	own := stored.Holder == l.options.Holder
	if !own && l.isTaken(stored, held) {
		return nil
	}
	next := lease{Holder: l.options.Holder, Epoch: stored.Epoch, Renewal: stored.Renewal + 1}
	if !own || !held {
		// An expired lease gets a new epoch even if its last holder acquires it
		// again.
		if next.Epoch, err = stored.nextEpoch(); err != nil {
			return err
		}
	}
	return l.write(ctx, next, stored, began)
}

// isTaken reports whether another process may hold the lease. The holder of an earlier
// era has the duration to acquire it again.
func (l *Leaser) isTaken(stored storedLease, held bool) bool {
	if stored.version == 0 {
		l.mu.Lock()
		awaited := l.eraChanged && !held
		l.mu.Unlock()
		return awaited && !l.expired(carawaybeam.NewStoreVersion(stored.era, 0))
	}
	l.mu.Lock()
	l.newestHolder = false
	l.mu.Unlock()
	return !l.expired(stored.version)
}

// Observe reads the lease for a later call of Seize. Errors are as for
// AcquireOrRenew.
func (l *Leaser) Observe(ctx context.Context) error {
	stored, err := l.readNewest(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed = stored
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
	observed := l.observed
	l.mu.Unlock()
	epoch, err := observed.nextEpoch()
	if err != nil {
		return err
	}
	next := lease{Holder: l.options.Holder, Epoch: epoch, Renewal: observed.Renewal + 1}
	return l.write(ctx, next, observed, began)
}

// nextEpoch returns the epoch of the next holder.
func (s storedLease) nextEpoch() (carawaybeam.Epoch, error) {
	first := carawaybeam.Epoch(s.era) * epochsPerEra
	next := max(first, s.Epoch) + 1
	if s.era > 0 && next >= first+epochsPerEra {
		return 0, ErrNoEpochLeft
	}
	return next, nil
}

// objectName returns the name of the object that holds the lease in an era.
func (l *Leaser) objectName(era carawaybeam.StoreEra) string {
	if era == 0 {
		return l.options.Name
	}
	return fmt.Sprintf("%s.%d", l.options.Name, era)
}

// readNewest reads the lease in the newest era of the store.
func (l *Leaser) readNewest(ctx context.Context) (storedLease, error) {
	l.mu.Lock()
	era := l.era
	l.mu.Unlock()
	var (
		stored storedLease
		err    error
	)
	for range maxReads {
		stored, err = l.readIn(ctx, era)
		if err != nil || stored.era == era {
			break
		}
		era = stored.era
	}
	if err != nil {
		return stored, err
	}
	if stored.era != era {
		return stored, newUncertain(stored.era)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if era < l.era {
		return stored, newUncertain(era)
	}
	l.eraChanged = l.eraChanged || l.wasRead && era > l.era
	l.era, l.wasRead = era, true
	return stored, nil
}

// newUncertain returns the error for an answer of an unexpected era.
func newUncertain(era carawaybeam.StoreEra) *carawaybeam.StoreError {
	return &carawaybeam.StoreError{
		Failure: carawaybeam.StoreUncertain, Era: era, Detail: "era of the store has changed",
	}
}

// readIn reads the object that holds the lease in an era. The result has the era of the
// answer, and is otherwise zero if there is no object.
func (l *Leaser) readIn(ctx context.Context, era carawaybeam.StoreEra) (storedLease, error) {
	object, err := l.options.Store.Get(ctx, carawaybeam.KindLease, l.objectName(era))
	var failed *carawaybeam.StoreError
	if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreNotFound {
		return storedLease{era: failed.Era}, nil
	}
	if err != nil {
		return storedLease{}, err
	}
	stored := storedLease{version: object.Version, era: object.Version.Era()}
	if err := json.Unmarshal(object.Value, &stored.lease); err != nil {
		return stored, &ContentError{Name: l.options.Name, Cause: err}
	}
	return stored, nil
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

// write replaces a stored lease. If the outcome of the write is uncertain, it reads
// the lease back. A lease that was written in a later era than it was read in is not
// held, since that era has another object for it.
func (l *Leaser) write(ctx context.Context, next lease, stored storedLease, began time.Time) error {
	value, err := json.Marshal(next)
	if err != nil {
		return &ContentError{Name: l.options.Name, Cause: err}
	}
	object := carawaybeam.Object{Kind: carawaybeam.KindLease, Name: l.objectName(stored.era), Value: value}
	version, err := l.options.Store.Put(ctx, object, stored.version)
	if err == nil && version.Era() != stored.era {
		return newUncertain(version.Era())
	}
	var failed *carawaybeam.StoreError
	if errors.As(err, &failed) {
		switch failed.Failure {
		case carawaybeam.StoreConflict:
			return nil
		case carawaybeam.StoreUncertain:
			current, readErr := l.readIn(ctx, stored.era)
			if readErr != nil || current.era != stored.era || current.lease != next {
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
