// Package binder ties each idempotency key to one life of one agent, whose
// ledger then decides whether the request has run.
//
// A binding is made by a conditional create in the platform's store before
// anything is sent, so two entries that bind one key agree on the agent.
package binder

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// storeRetryAfter is when to come back after the store did not answer.
	storeRetryAfter = 2 * time.Second

	// readBacks is how often an uncertain write is read back.
	readBacks = 3

	// readBackPause is the wait between two of them.
	readBackPause = 100 * time.Millisecond
)

type (
	// Binding tells which agent may run a keyed request.
	Binding struct {
		Backend     carawaybeam.BackendID   `json:"backend"`
		Incarnation carawaybeam.Incarnation `json:"incarnation"`
		// BodyHash tells requests with one key but other bodies apart.
		BodyHash string `json:"bodyHash"`
	}

	// Binder makes and reads bindings.
	Binder struct {
		store carawaybeam.Store
	}
)

// New returns a Binder that keeps its bindings in the store.
func New(store carawaybeam.Store) *Binder {
	return &Binder{store: store}
}

// Bind ties the key to the wanted agent and returns the binding in force, which
// is an earlier one if the key was bound before. Errors are of type
// *carawaybeam.RequestError; nothing was sent to any agent then.
func (b *Binder) Bind(ctx context.Context, key carawaybeam.AttemptID, want Binding) (Binding, error) {
	value, err := json.Marshal(want)
	if err != nil {
		return Binding{}, err
	}
	object := carawaybeam.Object{Kind: carawaybeam.KindBinding, Name: string(key), Value: value}
	_, err = b.store.Put(ctx, object, 0)
	var failed *carawaybeam.StoreError
	switch {
	case err == nil:
		return want, nil
	case !errors.As(err, &failed):
		return Binding{}, unavailable(err)
	case failed.Failure == carawaybeam.StoreConflict || failed.Failure == carawaybeam.StoreUncertain:
		return b.readBack(ctx, key)
	}
	return Binding{}, unavailable(err)
}

// readBack learns what became of an uncertain or lost write.
func (b *Binder) readBack(ctx context.Context, key carawaybeam.AttemptID) (Binding, error) {
	var err error
	for range readBacks {
		var object carawaybeam.Object
		if object, err = b.store.Get(ctx, carawaybeam.KindBinding, string(key)); err == nil {
			var binding Binding
			if err = json.Unmarshal(object.Value, &binding); err == nil {
				return binding, nil
			}
		}
		select {
		case <-time.After(readBackPause):
		case <-ctx.Done():
			return Binding{}, unavailable(ctx.Err())
		}
	}
	return Binding{}, unavailable(err)
}

func unavailable(err error) *carawaybeam.RequestError {
	return &carawaybeam.RequestError{
		Outcome:    carawaybeam.OutcomeNotRun,
		Reason:     carawaybeam.ReasonStoreUnavailable,
		Detail:     "key could not be recorded: " + err.Error(),
		RetryAfter: storeRetryAfter,
	}
}
