// Package binder binds each idempotency key to one incarnation of one agent. The
// ledger of that agent then decides whether the request has run.
//
// Keys are distributed over shards. Bindings of one shard that are made at about
// the same time are written together, by one conditional update of the head of the
// shard. The rate of writes to the platform's store is therefore bounded by the
// number of shards and the commit interval, not by the request rate. Any number of
// entries may write to a shard: if two write at the same time, one of them gets a
// conflict, reads the head and retries.
package binder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// Shards is the number of shards of keys.
	Shards = 8

	// commitInterval is the minimum time between two writes of an entry to one
	// shard. A booking that arrives after a longer pause is written at once.
	commitInterval = 125 * time.Millisecond

	// storeRetryAfter is the retry delay sent to clients while the store is
	// unavailable.
	storeRetryAfter = 2 * time.Second
)

type (
	// Binding identifies the agent that may run a request with an idempotency
	// key.
	Binding struct {
		Backend     carawaybeam.BackendID
		Incarnation carawaybeam.Incarnation
		// BodyHash distinguishes requests that have the same key but different
		// bodies.
		BodyHash string
	}

	// Binder creates and reads bindings. Its methods are safe for concurrent use.
	Binder struct {
		shards [Shards]*shard
		ctx    context.Context
		cancel context.CancelFunc
		wait   sync.WaitGroup
	}
)

// New returns a Binder that keeps its bindings in the store.
func New(store carawaybeam.Store) *Binder {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Binder{ctx: ctx, cancel: cancel}
	for i := range b.shards {
		b.shards[i] = newShard(store, fmt.Sprintf("shard-%02d", i))
	}
	return b
}

// Close cancels the writes in progress and waits for them to return.
func (b *Binder) Close() error {
	b.cancel()
	b.wait.Wait()
	return nil
}

// Bind binds the key to the wanted agent and returns the binding in force, which
// is an earlier one if the key was bound before. An earlier binding that equals
// released is replaced, because its agent has proved that it never will run the
// key. Errors are of type *carawaybeam.RequestError and mean that nothing was sent
// to any agent.
func (b *Binder) Bind(
	ctx context.Context,
	key carawaybeam.AttemptID,
	want, released Binding,
) (Binding, error) {
	s := b.shards[xxhash.Sum64String(string(key))%Shards]
	c := &call{key: key, want: want, released: released, done: make(chan struct{})}
	if bound, ok := s.lookup(c); ok {
		return bound, nil
	}
	if s.enqueue(c) {
		b.wait.Go(func() { s.flush(b.ctx) })
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		// The binding may still be written, but this call does not use it, so
		// nothing is sent under it.
		return Binding{}, unavailable(ctx.Err())
	}
	if c.err != nil {
		return Binding{}, unavailable(c.err)
	}
	return c.bound, nil
}

func unavailable(err error) *carawaybeam.RequestError {
	return &carawaybeam.RequestError{
		Outcome:    carawaybeam.OutcomeNotRun,
		Reason:     carawaybeam.ReasonStoreUnavailable,
		Detail:     "key could not be recorded: " + err.Error(),
		RetryAfter: storeRetryAfter,
	}
}
