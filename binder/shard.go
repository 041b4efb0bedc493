package binder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// maxCommitAttempts is the maximum number of writes of one batch.
	maxCommitAttempts = 6

	// maxBatchCalls is the maximum number of calls in a batch. It keeps the head
	// far below the maximum size of a value in the store.
	maxBatchCalls = 2048

	// sealBytes is the size of a head above which its bindings are moved to a
	// sealed segment.
	sealBytes = 32 << 10
)

type (
	// call is a call of Bind that waits for its result.
	call struct {
		key            carawaybeam.AttemptID
		want, released Binding
		done           chan struct{}
		bound          Binding
		err            error
	}

	// shard manages the bindings of a part of the keys. A binding is in force
	// once a conditional update of the head of the shard has written it; sealed
	// segments never change.
	shard struct {
		store carawaybeam.Store
		name  string

		mu       sync.Mutex
		pending  []*call
		flushing bool
		// bindings contains all known bindings within their retention period, by
		// key.
		bindings map[carawaybeam.AttemptID]record

		// The fields below are used only by the running flush.

		head    document
		version carawaybeam.StoreVersion
		// loaded is set while head and version are those last seen in the
		// store, and shared while other entries may write to the shard as well.
		loaded    bool
		shared    bool
		lastWrite time.Time
	}
)

var errClosed = errors.New("binder is closed")

func newShard(store carawaybeam.Store, name string) *shard {
	return &shard{store: store, name: name, bindings: make(map[carawaybeam.AttemptID]record)}
}

// lookup returns the binding of the key of a call if it is known in memory.
func (s *shard) lookup(c *call) (Binding, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.bindings[c.key]
	if !ok || known.expired(time.Now()) || known.Binding == c.released {
		return Binding{}, false
	}
	return known.Binding, true
}

// enqueue adds a call and reports whether the caller must start a flush.
func (s *shard) enqueue(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, c)
	if s.flushing {
		return false
	}
	s.flushing = true
	return true
}

// flush commits batches until no calls are pending.
func (s *shard) flush(ctx context.Context) {
	for {
		s.awaitInterval(ctx)
		s.mu.Lock()
		n := min(len(s.pending), maxBatchCalls)
		batch := s.pending[:n:n]
		s.pending = s.pending[n:]
		s.flushing = len(batch) > 0
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		err := s.commit(ctx, batch)
		for _, c := range batch {
			if c.bound == (Binding{}) {
				c.err = err
			}
			close(c.done)
		}
	}
}

// awaitInterval waits until the commit interval since the last write has passed.
func (s *shard) awaitInterval(ctx context.Context) {
	timer := time.NewTimer(commitInterval - time.Since(s.lastWrite))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// commit binds the unbound keys of a batch and sets the result of the calls whose
// keys are bound already.
func (s *shard) commit(ctx context.Context, batch []*call) error {
	var err error
	for range maxCommitAttempts {
		if ctx.Err() != nil {
			return errClosed
		}
		if err = s.refresh(ctx); err != nil {
			return err
		}
		next, changed := s.apply(batch)
		if !changed {
			return nil
		}
		if err = s.write(ctx, next); err == nil {
			s.complete(batch)
			return nil
		}
		if !isFailure(err, carawaybeam.StoreConflict) && !isFailure(err, carawaybeam.StoreUncertain) {
			return err
		}
		// After a conflict or a lost answer, the next attempt reads the head again.
	}
	return err
}

// apply sets the result of the calls whose keys are bound. It returns a head in
// which the other keys are bound as wanted, and whether there are any.
func (s *shard) apply(batch []*call) (document, bool) {
	now := time.Now()
	next := s.head.clone()
	fresh := make(map[carawaybeam.AttemptID]bool)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range batch {
		known, ok := s.bindings[c.key]
		if ok && !known.expired(now) && known.Binding != c.released {
			c.bound = known.Binding
			continue
		}
		if !fresh[c.key] {
			fresh[c.key] = true
			next.set(c.key, record{Binding: c.want, at: now.Unix()})
		}
	}
	return next, len(fresh) > 0
}

// complete sets the results of the calls of a batch that has been written.
func (s *shard) complete(batch []*call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range batch {
		c.bound = s.bindings[c.key].Binding
	}
}

// write replaces the head if the stored one still has the version last seen.
func (s *shard) write(ctx context.Context, next document) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	s.lastWrite = time.Now()
	object := carawaybeam.Object{Kind: carawaybeam.KindBinding, Name: s.name, Value: value}
	version, err := s.store.Put(ctx, object, s.version)
	if err != nil {
		s.loaded = false
		s.shared = true
		return err
	}
	s.version = version
	s.adopt(next)
	if len(value) > sealBytes {
		s.seal(ctx)
	}
	return nil
}

// adopt makes a head the current one and adds its bindings to those known in
// memory.
func (s *shard) adopt(head document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = head
	for key, r := range head.records() {
		s.bindings[key] = r
	}
}

// refresh reads the head, unless it is loaded and no other entry is known to write
// to the shard.
func (s *shard) refresh(ctx context.Context) error {
	if s.loaded && !s.shared {
		return nil
	}
	object, err := s.store.Get(ctx, carawaybeam.KindBinding, s.name)
	if isFailure(err, carawaybeam.StoreNotFound) {
		s.version = 0
		s.loaded = true
		return nil
	}
	if err != nil {
		return err
	}
	// If no other entry has written since, the next commits need not read the
	// head first.
	s.shared = s.version != object.Version
	return s.load(ctx, object)
}

// load adopts a head read from the store and loads the segments that were sealed
// since the previous one.
func (s *shard) load(ctx context.Context, object carawaybeam.Object) error {
	head, err := decodeDocument(object.Value)
	if err != nil {
		return err
	}
	for _, segment := range head.Segments {
		if slices.Contains(s.head.Segments, segment) {
			continue
		}
		if err := s.loadSegment(ctx, segment); err != nil {
			return err
		}
	}
	s.adopt(head)
	s.version = object.Version
	s.loaded = true
	return nil
}
