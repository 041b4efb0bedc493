// Package applier makes operators' changes of the configuration in the
// platform's store.
//
// A change is accepted once its conditional update is known to have taken
// effect. One whose answer was lost is sent again under the same condition: the
// store then either takes it, or shows by the record of the present object
// whether it had taken effect before. Until the store tells, the change is
// uncertain and said to be so.
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
	// writeTimeout bounds one change, with all tries.
	writeTimeout = 8 * time.Second

	// retryPause is the wait before a change is sent again.
	retryPause = 200 * time.Millisecond

	// copies is how many peers are to hold an accepted change before the
	// operator is told, so that it outlives this process while the store is
	// down. spreadTimeout bounds the wait for them.
	copies        = 2
	spreadTimeout = time.Second
)

// Status tells what became of a change.
type Status string

const (
	// StatusAccepted means that the change took effect.
	StatusAccepted Status = "accepted"
	// StatusUnchanged means that the object is as asked for already.
	StatusUnchanged Status = "unchanged"
	// StatusConflict means that someone else changed the object since. The
	// change did not and will not take effect.
	StatusConflict Status = "conflict"
	// StatusRefused means that the change is not valid.
	StatusRefused Status = "refused"
	// StatusUnavailable means that the store could not be asked. The change did
	// not and will not take effect.
	StatusUnavailable Status = "unavailable"
	// StatusUncertain means that the change may have taken effect, or may yet.
	StatusUncertain Status = "uncertain"
)

type (
	// Change is what an operator asks for.
	Change struct {
		// ID identifies the change, also when it is sent again.
		ID   configurer.ChangeID
		Kind carawaybeam.StoreKind
		Name string
		// Document is the new document in JSON. None deletes the object.
		Document []byte
		// Expect is the version that the operator has seen, or nil for the
		// present one.
		Expect *carawaybeam.StoreVersion
		// By names the operator.
		By string
	}

	// Result tells what became of a change.
	Result struct {
		Status Status                   `json:"status"`
		Change configurer.ChangeID      `json:"change"`
		Kind   carawaybeam.StoreKind    `json:"kind"`
		Name   string                   `json:"name"`
		Expect carawaybeam.StoreVersion `json:"expect"`
		// Version is that of the change if it took effect, and else the
		// present one if it is known.
		Version carawaybeam.StoreVersion `json:"version"`
		// ChangedBy and ChangedAt tell who made the present version.
		ChangedBy string     `json:"changedBy,omitempty"`
		ChangedAt *time.Time `json:"changedAt,omitempty"`
		// Detail is a sentence for a person.
		Detail string `json:"detail,omitempty"`
	}

	// Options is what an Applier is made from.
	Options struct {
		Store carawaybeam.Store
		// Configurer takes each accepted change at once.
		Configurer *configurer.Configurer
		// Replicator tells how many peers hold an object.
		Replicator Replicator
		Log        zerolog.Logger
	}

	// Replicator carries changes to peers.
	Replicator interface {
		// AwaitHeld waits until that many peers hold an object of the version
		// or a later one, or ctx ends. It returns how many do.
		AwaitHeld(ctx context.Context, version carawaybeam.ConfigVersion, peers int) int
	}

	// Applier makes changes. Its methods may be used by several goroutines at
	// once.
	Applier struct {
		options Options
	}
)

// New returns an Applier.
func New(options Options) *Applier { return &Applier{options: options} }

// Apply makes one change and tells what became of it.
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
		Msg("applier: change was asked for")
	return result
}

func (a *Applier) apply(ctx context.Context, change Change) Result {
	present, err := a.present(ctx, change.Kind, change.Name)
	if err != nil {
		return change.result(StatusUnavailable, present, "store could not be read, nothing was changed: "+err.Error())
	}
	if change.Expect == nil {
		change.Expect = &present.Version
	}
	if *change.Expect != present.Version || configurer.Record(present).Includes(change.ID) {
		return a.conflict(ctx, change, present)
	}
	record := configurer.Record(present).Next(change.ID, change.By, time.Now())
	record.Deleted = change.Document == nil
	if record.Deleted && (present.Version == 0 || configurer.Record(present).Deleted) {
		return change.result(StatusUnchanged, present, "there is no such object")
	}
	value, err := configurer.Compose(change.Kind, change.Name, change.Document, record)
	if err != nil {
		return change.result(StatusRefused, present, err.Error())
	}
	if isSame(present.Value, value) {
		return change.result(StatusUnchanged, present, "")
	}
	return a.write(ctx, change, carawaybeam.Object{Kind: change.Kind, Name: change.Name, Value: value})
}

// present returns the object in the store, of version 0 if there is none.
func (a *Applier) present(
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

// write sends the change until the store has told what became of it.
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
		case <-time.After(retryPause):
		case <-ctx.Done():
			return change.result(StatusUncertain, carawaybeam.Object{}, failed.Detail)
		}
	}
}

// accept puts a change in force here, from where it spreads.
func (a *Applier) accept(ctx context.Context, change Change, object carawaybeam.Object) Result {
	a.options.Configurer.MergeWritten(object)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
	defer cancel()
	a.options.Replicator.AwaitHeld(ctx, carawaybeam.ConfigVersion(object.Version), copies)
	return change.result(StatusAccepted, object, "")
}

// conflict judges an object of another version than expected, which may be the
// outcome of the change itself.
func (a *Applier) conflict(ctx context.Context, change Change, present carawaybeam.Object) Result {
	record := configurer.Record(present)
	if !record.Includes(change.ID) {
		detail := fmt.Sprintf("object has changed since version %d", *change.Expect)
		return change.result(StatusConflict, present, detail)
	}
	if record.ID == change.ID {
		return a.accept(ctx, change, present)
	}
	return change.result(StatusAccepted, present, "change took effect and was changed again since")
}

func (c Change) result(status Status, present carawaybeam.Object, detail string) Result {
	result := Result{
		Status: status, Change: c.ID, Kind: c.Kind, Name: c.Name, Version: present.Version, Detail: detail,
	}
	if c.Expect != nil {
		result.Expect = *c.Expect
	}
	if record := configurer.Record(present); record.ID != "" {
		result.ChangedBy = record.By
		result.ChangedAt = &record.At
	}
	return result
}

// isSame tells whether two documents differ in nothing but their records.
func isSame(a, b []byte) bool {
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
