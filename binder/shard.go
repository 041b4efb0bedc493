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
	// commitTries bounds the writes for one batch.
	commitTries = 6

	// batchCalls bounds a batch, so that a head stays far below the largest value
	// that the store holds.
	batchCalls = 2048

	// sealBytes is the size of a head at which its bindings move to a segment of
	// their own.
	sealBytes = 32 << 10
)

type (
	// call is one waiting Bind.
	call struct {
		key            carawaybeam.AttemptID
		want, released Binding
		done           chan struct{}
		bound          Binding
		err            error
	}

	// shard holds the bindings of some keys. Its head is the one object whose
	// conditional update decides; sealed segments never change.
	shard struct {
		store carawaybeam.Store
		name  string

		mu       sync.Mutex
		pending  []*call
		flushing bool
		// bindings holds all bindings within their retention, by key.
		bindings map[carawaybeam.AttemptID]record

		// The rest belongs to the flush under way.
		head    document
		version carawaybeam.StoreVersion
		// loaded is set while head and version are those last seen in the
		// store, and shared once another entry has written as well.
		loaded  bool
		shared  bool
		written time.Time
	}
)

var errClosed = errors.New("binder is closed")

func newShard(store carawaybeam.Store, name string) *shard {
	return &shard{store: store, name: name, bindings: make(map[carawaybeam.AttemptID]record)}
}

// lookup answers a call from what is known already.
func (s *shard) lookup(c *call) (Binding, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.bindings[c.key]
	if !ok || known.expired(time.Now()) || known.Binding == c.released {
		return Binding{}, false
	}
	return known.Binding, true
}

// enqueue adds a call and tells whether a flush has to be started for it.
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

// flush commits batches until no call waits.
func (s *shard) flush(ctx context.Context) {
	for {
		s.pause(ctx)
		s.mu.Lock()
		n := min(len(s.pending), batchCalls)
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

// pause waits until the next write is due.
func (s *shard) pause(ctx context.Context) {
	timer := time.NewTimer(commitInterval - time.Since(s.written))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// commit binds the keys of a batch that are free, and answers the others.
func (s *shard) commit(ctx context.Context, batch []*call) error {
	var err error
	for range commitTries {
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
			s.settle(batch)
			return nil
		}
		if !isFailure(err, carawaybeam.StoreConflict) && !isFailure(err, carawaybeam.StoreUncertain) {
			return err
		}
		// After a conflict or a lost answer, what the store holds now decides.
	}
	return err
}

// apply answers the calls whose keys are bound and returns the head with the
// others bound as wanted.
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

// settle answers the calls of a batch that has been written.
func (s *shard) settle(batch []*call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range batch {
		c.bound = s.bindings[c.key].Binding
	}
}

// write puts the next head if the present one is as last seen.
func (s *shard) write(ctx context.Context, next document) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	s.written = time.Now()
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

// adopt takes a head as the present one.
func (s *shard) adopt(head document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = head
	for key, r := range head.records() {
		s.bindings[key] = r
	}
}

// refresh reads the head, unless it is certainly the one last seen.
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
	// Without further writers there is no need to read each time.
	s.shared = s.version != object.Version
	return s.take(ctx, object)
}

// take adopts a head read from the store, with the segments sealed since.
func (s *shard) take(ctx context.Context, object carawaybeam.Object) error {
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
