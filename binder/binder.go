// Package binder ties each idempotency key to one life of one agent, whose
// ledger then decides whether the request has run.
//
// Keys are spread over shards. The bindings of a shard made at about the same
// time are written together, by a conditional update of the head of the shard,
// so the writes to the platform's store are bounded by shards and time and not
// by requests. Any number of entries may write to a shard: of two that write at
// once, one meets a conflict, reads and tries again.
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

	// commitInterval is the least time between two writes of an entry to one
	// shard. A booking that comes after a longer pause is written at once.
	commitInterval = 125 * time.Millisecond

	// storeRetryAfter is when to come back after the store did not answer.
	storeRetryAfter = 2 * time.Second
)

type (
	// Binding tells which agent may run a keyed request.
	Binding struct {
		Backend     carawaybeam.BackendID
		Incarnation carawaybeam.Incarnation
		// BodyHash tells requests with one key but other bodies apart.
		BodyHash string
	}

	// Binder makes and reads bindings. Its methods may be used by several
	// goroutines at once.
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

// Close ends the writes under way and waits for them.
func (b *Binder) Close() error {
	b.cancel()
	b.wait.Wait()
	return nil
}

// Bind ties the key to the wanted agent and returns the binding in force, which
// is an earlier one if the key was bound before. An earlier one that equals
// released is replaced: its agent has proved that it never will run the key.
// Errors are of type *carawaybeam.RequestError; nothing was sent to any agent
// then.
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
		// The binding may still be made, but nothing is sent under it here.
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
