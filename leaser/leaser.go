// Package leaser holds leases in the platform's store. The epoch of a lease is a
// fencing number: it grows with every holder.
//
// No clock of another machine is trusted. An observer counts a lease as lapsed
// once it has seen the same version of it for the whole duration on its own
// monotonic clock. A holder counts from before it sent its last renewal.
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
	// Options is what a Leaser is made from.
	Options struct {
		Store carawaybeam.Store
		// Name is the name of the lease.
		Name string
		// Holder identifies this life of the process.
		Holder carawaybeam.Incarnation
		// Duration is how long a lease holds after its last renewal. It is the
		// same in all processes.
		Duration time.Duration
	}

	// Leaser takes part in the competition for one lease. Its methods may be
	// used by several goroutines at once, but Try by one at a time.
	Leaser struct {
		options Options

		mu sync.Mutex
		// seen is the version of the lease last observed, at seenAt.
		seen   carawaybeam.StoreVersion
		seenAt time.Time
		lease  lease
		// until is when the own lease ends.
		until time.Time
		// observed is the version of the lease at the last Observe.
		observed      carawaybeam.StoreVersion
		observedLease lease
		// latest is set while this process is the newest holder that is known.
		latest bool
	}

	// lease is the object in the store.
	lease struct {
		Holder carawaybeam.Incarnation `json:"holder"`
		Epoch  carawaybeam.Epoch       `json:"epoch"`
		// Renewal makes each write differ.
		Renewal uint64 `json:"renewal"`
	}

	// ContentError reports a lease that cannot be read.
	ContentError struct {
		Name  string
		Cause error
	}
)

func (e *ContentError) Error() string {
	return "lease " + e.Name + " is unreadable: " + e.Cause.Error()
}

func (e *ContentError) Unwrap() error { return e.Cause }

// New returns a Leaser that holds nothing.
func New(options Options) *Leaser { return &Leaser{options: options} }

// Held returns the epoch of the lease and whether it is held at this moment. A
// holder asks before each act, since it may have been paused meanwhile.
func (l *Leaser) Held() (carawaybeam.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Epoch, time.Now().Before(l.until)
}

// HeldUntilSuperseded returns the epoch of the lease and whether this process is the newest
// holder that it knows of, also when the lease has ended because the store does
// not answer. It is for acts that are refused by their epoch once another process
// has taken the lease.
func (l *Leaser) HeldUntilSuperseded() (carawaybeam.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Epoch, l.latest
}

// MarkLost gives the lease up on the news that another process holds it. The next
// Try waits until that one has lapsed.
func (l *Leaser) MarkLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = false
	l.until = time.Time{}
}

// AcquireOrRenew takes, renews or observes the lease. It is called several times in each
// duration. Errors are of type *carawaybeam.StoreError or *ContentError; a lease
// held before stays held until it ends.
func (l *Leaser) AcquireOrRenew(ctx context.Context) error {
	began := time.Now()
	object, present, err := l.read(ctx)
	if err != nil {
		return err
	}
	own := present.Holder == l.options.Holder
	if !own && object.Version > 0 {
		l.mu.Lock()
		l.latest = false
		l.mu.Unlock()
		if !l.lapsed(object.Version) {
			return nil
		}
	}
	next := lease{Holder: l.options.Holder, Epoch: present.Epoch, Renewal: present.Renewal + 1}
	if _, held := l.Held(); !own || !held {
		// A lease that has ended is taken anew, also by its last holder.
		next.Epoch++
	}
	return l.write(ctx, next, object.Version, began)
}

// Observe reads the lease, for a later Seize. Errors are as those of Try.
func (l *Leaser) Observe(ctx context.Context) error {
	object, present, err := l.read(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed, l.observedLease = object.Version, present
	return nil
}

// Seize takes the lease under a new epoch though another process may hold it,
// which is for a holder that has stopped. The former holder is refused by its
// epoch. A lease that has changed since Observe is left alone, so that of several
// processes that act at once only one gets it. Errors are as those of Try.
func (l *Leaser) Seize(ctx context.Context) error {
	began := time.Now()
	l.mu.Lock()
	version, present := l.observed, l.observedLease
	l.mu.Unlock()
	next := lease{Holder: l.options.Holder, Epoch: present.Epoch + 1, Renewal: present.Renewal + 1}
	return l.write(ctx, next, version, began)
}

// read returns the present lease, which is empty if there is none.
func (l *Leaser) read(ctx context.Context) (carawaybeam.Object, lease, error) {
	var present lease
	object, err := l.options.Store.Get(ctx, carawaybeam.KindLease, l.options.Name)
	var failed *carawaybeam.StoreError
	if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreNotFound {
		return carawaybeam.Object{}, present, nil
	}
	if err != nil {
		return object, present, err
	}
	if err := json.Unmarshal(object.Value, &present); err != nil {
		return object, present, &ContentError{Name: l.options.Name, Cause: err}
	}
	return object, present, nil
}

// lapsed notes when a version was first seen and tells whether that is long ago.
// It counts from the end of the read, before which the holder has renewed.
func (l *Leaser) lapsed(version carawaybeam.StoreVersion) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if version != l.seen {
		l.seen = version
		l.seenAt = now
	}
	return now.Sub(l.seenAt) > l.options.Duration
}

// write puts the lease. An uncertain write is read back.
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
			_, present, readErr := l.read(ctx)
			if readErr != nil || present != next {
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
	l.until = began.Add(l.options.Duration)
	l.latest = true
	return nil
}
