// Package applier writes operators' configuration changes to the platform's store.
//
// A change is accepted once its conditional update is known to have taken effect.
// An update whose response was lost is retried under the same condition: either it
// then succeeds, or the change record of the current object shows whether the first
// attempt had taken effect. Until that is known, the change is reported as
// uncertain.
package applier

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
)

const (
	// writeTimeout bounds one change, including all attempts.
	writeTimeout = 8 * time.Second

	// retryDelay is the delay before a write is retried.
	retryDelay = 200 * time.Millisecond

	// replicas is the number of peers that should hold an accepted change before
	// the operator is told, so that the change survives the loss of this process
	// while the store is down. replicationTimeout bounds the wait for them.
	replicas           = 2
	replicationTimeout = time.Second
)

// Status is the outcome of a change.
type Status string

const (
	// StatusAccepted means that the change took effect.
	StatusAccepted Status = "accepted"
	// StatusUnchanged means that the object already is as requested.
	StatusUnchanged Status = "unchanged"
	// StatusConflict means that the object no longer has the expected version.
	// The change did not and will not take effect.
	StatusConflict Status = "conflict"
	// StatusRefused means that the change is not valid.
	StatusRefused Status = "refused"
	// StatusUnavailable means that the store could not be reached. The change
	// did not and will not take effect.
	StatusUnavailable Status = "unavailable"
	// StatusUncertain means that the change may have taken effect or may still
	// take effect.
	StatusUncertain Status = "uncertain"
)

type (
	// Change is a change that an operator requests.
	Change struct {
		// ID identifies the change. A retry has the same ID.
		ID   configurer.ChangeID
		Kind carawaybeam.StoreKind
		Name string
		// Document is the new document in JSON. Nil deletes the object.
		Document []byte
		// Expect is the version that the operator has seen, or nil for the
		// current one.
		Expect *carawaybeam.StoreVersion
		// By is the name of the operator.
		By string
	}

	// Result is the outcome of a change, as it is returned to the operator.
	Result struct {
		Status Status                   `json:"status"`
		Change configurer.ChangeID      `json:"change"`
		Kind   carawaybeam.StoreKind    `json:"kind"`
		Name   string                   `json:"name"`
		Expect carawaybeam.StoreVersion `json:"expect"`
		// Version is the version that the change made if it took effect, or
		// else the current version if it is known.
		Version carawaybeam.StoreVersion `json:"version"`
		// ChangedBy and ChangedAt tell who made the current version, and when.
		ChangedBy string     `json:"changedBy,omitempty"`
		ChangedAt *time.Time `json:"changedAt,omitempty"`
		// Detail is an explanation for the operator.
		Detail string `json:"detail,omitempty"`
	}

	// Options configures an Applier.
	Options struct {
		Store carawaybeam.Store
		// Configurer receives each accepted change at once.
		Configurer *configurer.Configurer
		// Replicator tells how many peers hold an object.
		Replicator Replicator
		Log        zerolog.Logger
	}

	// Replicator replicates changes to peers.
	Replicator interface {
		// AwaitHeld waits until the given number of peers hold an object of the
		// version or a later one, or until ctx ends. It returns how many do.
		AwaitHeld(ctx context.Context, version carawaybeam.ConfigVersion, peers int) int
	}

	// Applier applies changes. It is safe for concurrent use.
	Applier struct {
		options Options
	}
)

// New returns an Applier.
func New(options Options) *Applier { return &Applier{options: options} }

// Apply writes a change to the store and returns its outcome.
func (a *Applier) Apply(ctx context.Context, change Change) Result {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	result := a.apply(ctx, change)
	a.options.Log.Info().
		Str("change", string(result.Change)).
		Str("object", string(result.Kind)+"/"+result.Name).
		Str("by", change.By).
		Uint64("version", uint64(result.Version)).
		Str("status", string(result.Status)).
		Msg("applier: change request handled")
	return result
}

func (a *Applier) apply(ctx context.Context, change Change) Result {
	current, err := a.get(ctx, change.Kind, change.Name)
	if err != nil {
		return change.result(StatusUnavailable, current, "store could not be read, nothing was changed: "+err.Error())
	}
	if change.Expect == nil {
		change.Expect = &current.Version
	}
	if *change.Expect != current.Version || configurer.Record(current).Includes(change.ID) {
		return a.conflict(ctx, change, current)
	}
	record := configurer.Record(current).Next(change.ID, change.By, time.Now())
	record.Deleted = change.Document == nil
	if record.Deleted && (current.Version == 0 || configurer.Record(current).Deleted) {
		return change.result(StatusUnchanged, current, "there is no such object")
	}
	value, err := configurer.Compose(change.Kind, change.Name, change.Document, record)
	if err != nil {
		return change.result(StatusRefused, current, err.Error())
	}
	if sameContent(current.Value, value) {
		return change.result(StatusUnchanged, current, "")
	}
	return a.write(ctx, change, carawaybeam.Object{Kind: change.Kind, Name: change.Name, Value: value})
}

// get reads the object from the store. It returns one of version 0 if there is
// none.
func (a *Applier) get(
	ctx context.Context,
	kind carawaybeam.StoreKind,
	name string,
) (carawaybeam.Object, error) {
	object, err := a.options.Store.Get(ctx, kind, name)
	var failed *carawaybeam.StoreError
	if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreNotFound {
		return carawaybeam.Object{Kind: kind, Name: name}, nil
	}
	return object, err
}

// write sends the change until its outcome is known or ctx ends.
func (a *Applier) write(ctx context.Context, change Change, object carawaybeam.Object) Result {
	uncertain := false
	for {
		version, err := a.options.Store.Put(ctx, object, *change.Expect)
		if err == nil {
			object.Version = version
			return a.accept(ctx, change, object)
		}
		var failed *carawaybeam.StoreError
		if !errors.As(err, &failed) {
			failed = &carawaybeam.StoreError{Failure: carawaybeam.StoreUncertain, Detail: err.Error()}
		}
		switch failed.Failure {
		case carawaybeam.StoreConflict:
			return a.conflict(ctx, change, failed.Current)
		case carawaybeam.StoreUncertain:
			uncertain = true
		default:
			if !uncertain {
				return change.result(StatusUnavailable, carawaybeam.Object{}, "nothing was changed: "+failed.Detail)
			}
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return change.result(StatusUncertain, carawaybeam.Object{}, failed.Detail)
		}
	}
}

// accept puts an accepted change in force in this process, which replicates it to
// its peers.
func (a *Applier) accept(ctx context.Context, change Change, object carawaybeam.Object) Result {
	a.options.Configurer.MergeWritten(object)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicationTimeout)
	defer cancel()
	a.options.Replicator.AwaitHeld(ctx, carawaybeam.ConfigVersion(object.Version), replicas)
	return change.result(StatusAccepted, object, "")
}

// conflict returns the result for an object that does not have the expected
// version. That version may have been made by the change itself.
func (a *Applier) conflict(ctx context.Context, change Change, current carawaybeam.Object) Result {
	record := configurer.Record(current)
	if !record.Includes(change.ID) {
		detail := fmt.Sprintf("object has changed since version %d", *change.Expect)
		return change.result(StatusConflict, current, detail)
	}
	if record.ID == change.ID {
		return a.accept(ctx, change, current)
	}
	return change.result(StatusAccepted, current, "change took effect and was changed again since")
}

func (c Change) result(status Status, current carawaybeam.Object, detail string) Result {
	result := Result{
		Status: status, Change: c.ID, Kind: c.Kind, Name: c.Name, Version: current.Version, Detail: detail,
	}
	if c.Expect != nil {
		result.Expect = *c.Expect
	}
	if record := configurer.Record(current); record.ID != "" {
		result.ChangedBy = record.By
		result.ChangedAt = &record.At
	}
	return result
}

// sameContent reports whether two documents are equal except for their change
// records.
func sameContent(a, b []byte) bool {
	left, errLeft := withoutRecord(a)
	right, errRight := withoutRecord(b)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}

func withoutRecord(value []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(value, &fields); err != nil {
		return nil, err
	}
	delete(fields, "change")
	return json.Marshal(fields)
}
