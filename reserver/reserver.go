// Package reserver bounds the memory that concurrent requests take, by letting each reserve what it
// needs before it reads.
package reserver

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/carawaybeam/carawaybeam"
)

// Free is the size up to which data need not be reserved by Reserve and Read. Uploads of this size have
// memory of their own.
const Free carawaybeam.Bytes = 16 << 10

var (
	// ErrTooLarge reports data that is larger than all memory that can be reserved, or than the
	// limit for it.
	ErrTooLarge = errors.New("data is too large")
	// ErrFull reports that the memory was not free in time.
	ErrFull = errors.New("memory is in use by other requests")
	// ErrTooSlow reports an upload that was given up for others because it made too little
	// progress.
	ErrTooSlow = errors.New("data arrives too slowly while other requests wait for memory")
)

type (
	// Reserver holds memory that can be reserved. Its methods are safe for concurrent use.
	Reserver struct {
		limit     carawaybeam.Bytes
		maxWait   time.Duration
		semaphore *semaphore.Weighted
		held      atomic.Int64
		refused   atomic.Uint64
		// small and large are the uploads of up to Free bytes and the others. Those of small
		// have memory of their own, so that they need not wait behind large ones.
		small, large pool
		givenUp      atomic.Uint64
	}

	// State is the state dump of a Reserver.
	State struct {
		// Limit is how many bytes can be reserved, or 0 if any number, and Held how many are.
		Limit carawaybeam.Bytes `json:"limit"`
		Held  carawaybeam.Bytes `json:"held"`
		// Refused is how many reservations were refused.
		Refused uint64 `json:"refused"`
		// Small is how many bytes uploads of up to Free bytes hold in memory of their own.
		Small carawaybeam.Bytes `json:"small"`
		// GivenUp is how many uploads were given up for others.
		GivenUp uint64 `json:"givenUp"`
	}
)

// New returns a Reserver of as many bytes as limit, or of any number if limit is 0. A reservation waits
// for at most maxWait, or for any time if maxWait is 0.
//
// Uploads of up to Free bytes take up to an eighth of limit beside it.
func New(limit carawaybeam.Bytes, maxWait time.Duration) *Reserver {
	r := &Reserver{limit: limit, maxWait: maxWait, semaphore: semaphore.NewWeighted(int64(limit))}
	r.large.init(r, r.semaphore, &r.held)
	smallLimit := max(limit/smallShare, min(limit, Free))
	r.small.init(r, semaphore.NewWeighted(int64(smallLimit)), nil)
	return r
}

// State returns the state dump.
func (r *Reserver) State() State {
	return State{
		Limit: r.limit, Held: carawaybeam.Bytes(r.held.Load()), Refused: r.refused.Load(),
		Small: r.small.sum(), GivenUp: r.givenUp.Load(),
	}
}

// Reserve reserves a number of bytes. It waits until they are free, in the order of the calls. If that
// takes too long or ctx is done, it returns ErrFull. The caller must call release, which may be called
// again.
func (r *Reserver) Reserve(ctx context.Context, size carawaybeam.Bytes) (release func(), err error) {
	if size <= Free {
		return func() {}, nil
	}
	return r.ReserveAll(ctx, size)
}

// ReserveNow reserves like ReserveAll, and returns ErrFull at once if the bytes are not free.
func (r *Reserver) ReserveNow(_ context.Context, size carawaybeam.Bytes) (release func(), err error) {
	if r.limit == 0 {
		return func() {}, nil
	}
	if !r.large.take(size) {
		r.refused.Add(1)
		return func() {}, ErrFull
	}
	return sync.OnceFunc(func() { r.large.release(size) }), nil
}

// ReserveAll reserves like Reserve, also up to Free bytes.
func (r *Reserver) ReserveAll(ctx context.Context, size carawaybeam.Bytes) (release func(), err error) {
	if r.limit == 0 {
		return func() {}, nil
	}
	if size > r.limit {
		r.refused.Add(1)
		return func() {}, ErrTooLarge
	}
	if err := r.large.acquire(ctx, size); err != nil {
		return func() {}, err
	}
	return sync.OnceFunc(func() { r.large.release(size) }), nil
}

// Read reads all data of the length, or of any length up to limit if length is negative. Data of an
// unknown length that exceeds Free reserves one and a half times the limit, as its buffer grows. The
// memory is reserved until the caller calls release, which it must do also on errors. Data that is
// longer than limit is ErrTooLarge.
func (r *Reserver) Read(
	ctx context.Context,
	from io.Reader,
	length, limit carawaybeam.Bytes,
) (data []byte, release func(), err error) {
	release = func() {}
	if length > limit {
		return nil, release, ErrTooLarge
	}
	if length >= 0 {
		if release, err = r.Reserve(ctx, length); err != nil {
			return nil, release, err
		}
		data = make([]byte, length)
		_, err = io.ReadFull(from, data)
		return data, release, err
	}
	if r.limit > 0 {
		// What is reserved below must fit.
		limit = min(limit, r.limit/3*2)
	}
	data, err = io.ReadAll(io.LimitReader(from, int64(min(limit, Free))+1))
	if err != nil || carawaybeam.Bytes(len(data)) <= min(limit, Free) {
		return data, release, err
	}
	if limit <= Free {
		return nil, release, ErrTooLarge
	}
	if release, err = r.Reserve(ctx, limit+limit/2); err != nil {
		return nil, release, err
	}
	data, err = readRest(data, from, limit)
	return data, release, err
}

// readRest reads the rest of data up to limit. The sizes of the buffer are the limit, halved again and
// again, so that a copy takes at most one and a half times the limit.
func readRest(data []byte, from io.Reader, limit carawaybeam.Bytes) ([]byte, error) {
	for {
		if len(data) == cap(data) {
			// A byte more than the limit shows that there is more.
			size := int(limit) + 1
			for size/2 > len(data) {
				size /= 2
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			data = grown
		}
		n, err := from.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case carawaybeam.Bytes(len(data)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
	}
}
