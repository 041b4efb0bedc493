package carawaybeam

import (
	"context"
	"fmt"
	"time"
)

type (
	// StoreKind names a kind of objects in the platform's store.
	StoreKind string

	// StoreVersion orders the changes of the store. Zero means absent.
	StoreVersion uint64

	// StoreFailure tells how a call to the store failed.
	StoreFailure string
)

const (
	// KindClass holds classes of work.
	KindClass StoreKind = "class"
	// KindOrganisation holds organisations.
	KindOrganisation StoreKind = "organisation"
	// KindBinding holds which agent runs a keyed request.
	KindBinding StoreKind = "binding"
	// KindLease holds leases for the control of groups.
	KindLease StoreKind = "lease"
	// KindGroup holds groups of ranks.
	KindGroup StoreKind = "group"
	// KindMap holds the expert maps that a group may be using.
	KindMap StoreKind = "map"
	// KindEntry holds the entries that want to hear of backend servers.
	KindEntry StoreKind = "entry"
	// KindSettings holds preferences of the whole installation.
	KindSettings StoreKind = "settings"
)

const (
	// StoreConflict means that the object has another version than expected.
	StoreConflict StoreFailure = "conflict"
	// StoreNotFound means that there is no such object.
	StoreNotFound StoreFailure = "notFound"
	// StoreUnavailable means that the call certainly took no effect.
	StoreUnavailable StoreFailure = "unavailable"
	// StoreUncertain means that a write may have taken effect.
	StoreUncertain StoreFailure = "uncertain"
	// StoreExpired means that the store no longer holds the changes since the
	// version a watch asked for.
	StoreExpired StoreFailure = "expired"
)

type (
	// Object is one versioned value of the platform's store.
	Object struct {
		Kind    StoreKind    `json:"kind"`
		Name    string       `json:"name"`
		Version StoreVersion `json:"version"`
		// Value is a JSON document of at most a megabyte. It is empty in the
		// event that reports a deletion.
		Value []byte `json:"value,omitempty"`
		// Deleted is set in the event that reports a deletion.
		Deleted bool `json:"deleted,omitempty"`
	}

	// Store is the platform's object API. Errors are of type *StoreError.
	Store interface {
		// Get returns one object.
		Get(ctx context.Context, kind StoreKind, name string) (Object, error)
		// List returns all objects of a kind and the version of the store at
		// which they were read.
		List(ctx context.Context, kind StoreKind) ([]Object, StoreVersion, error)
		// Put writes an object if the present version is expect, where 0
		// stands for an absent object. It returns the new version.
		Put(ctx context.Context, object Object, expect StoreVersion) (StoreVersion, error)
		// Delete removes an object if the present version is expect. It
		// returns the version of the deletion.
		Delete(ctx context.Context, kind StoreKind, name string, expect StoreVersion) (StoreVersion, error)
		// Watch waits for changes of the given kinds after version since and
		// returns them in order, with the version up to which they are
		// complete. It returns no objects when the wait ends first.
		Watch(
			ctx context.Context,
			kinds []StoreKind,
			since StoreVersion,
			wait time.Duration,
		) ([]Object, StoreVersion, error)
	}

	// StoreOptions is what a plug-in for the store is made from.
	StoreOptions struct {
		// URL is the base address of the store.
		URL string
		// Token is the bearer token, or empty.
		Token string
		// Timeout bounds one call, without the wait of a watch.
		Timeout time.Duration
	}
)

// StoreError reports a failed call to the platform's store.
type StoreError struct {
	// Failure tells what is known of the effect.
	Failure StoreFailure
	// Current is the present object of a conflict, when the store sent it.
	Current Object
	// Detail is a sentence for a person.
	Detail string
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("store: %s: %s", e.Failure, e.Detail)
}
