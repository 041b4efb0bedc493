package reserver

import (
	"cmp"
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// smallShare is the part of the limit that uploads of up to Free bytes take beside it.
	smallShare = 8

	// progressTime is the time over which the progress of uploads is measured. A lost packet is
	// sent again after 200 to 400 ms.
	progressTime = 500 * time.Millisecond

	// minProgress is how many bytes an upload receives in progressTime, unless it may be given up
	// for others. At this pace 4 MiB take longer than clients wait.
	minProgress carawaybeam.Bytes = 8 << 10

	// checkInterval is the time between two looks at the progress of uploads while others wait.
	checkInterval = 100 * time.Millisecond
)

type (
	// Upload is data that a client sends.
	Upload struct {
		From io.Reader
		// Length is the size of the data, or negative if it is not known, and Limit the
		// largest size.
		Length, Limit carawaybeam.Bytes
		// Begin, if it is not nil, is called when memory for more than Free bytes is reserved.
		Begin func()
		// Abort ends the reads from From with an error. It must not block.
		Abort func()
	}

	// pool is memory with the uploads that hold it.
	pool struct {
		reserver  *Reserver
		semaphore *semaphore.Weighted
		// held counts the bytes in use, also those that are no uploads. It may be nil.
		held *atomic.Int64

		mu      sync.Mutex
		uploads map[*holder]struct{}
		// waiting is the memory that is waited for.
		waiting carawaybeam.Bytes
		// checking is set while a check of the progress is due.
		checking bool
	}

	// holder is an upload that holds memory.
	holder struct {
		from  io.Reader
		size  carawaybeam.Bytes
		abort func()

		mu sync.Mutex
		// since is the beginning of the current time of measurement, and bytes what arrived in
		// it. last is what arrived in the one before, per progressTime, or negative if there was
		// none.
		since time.Time
		bytes carawaybeam.Bytes
		last  carawaybeam.Bytes
		// arrived is when the last byte arrived.
		arrived time.Time
		// aborted is set once the upload was given up, and complete once it no longer can be.
		aborted, complete bool
	}
)

func (p *pool) init(r *Reserver, s *semaphore.Weighted, held *atomic.Int64) {
	p.reserver, p.semaphore, p.held = r, s, held
	p.uploads = make(map[*holder]struct{})
}

// acquire waits until memory is free. If that takes longer than maxWait or ctx is done, it returns
// ErrFull. Uploads without enough progress are given up meanwhile.
func (p *pool) acquire(ctx context.Context, size carawaybeam.Bytes) error {
	if p.take(size) {
		return nil
	}
	if maxWait := p.reserver.maxWait; maxWait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxWait)
		defer cancel()
	}
	p.wait(size)
	defer p.wait(-size)
	if p.semaphore.Acquire(ctx, int64(size)) != nil {
		p.reserver.refused.Add(1)
		return ErrFull
	}
	p.count(size)
	return nil
}

// take acquires memory if it is free.
func (p *pool) take(size carawaybeam.Bytes) bool {
	if !p.semaphore.TryAcquire(int64(size)) {
		return false
	}
	p.count(size)
	return true
}

func (p *pool) count(size carawaybeam.Bytes) {
	if p.held != nil {
		p.held.Add(int64(size))
	}
}

func (p *pool) release(size carawaybeam.Bytes) {
	p.count(-size)
	p.semaphore.Release(int64(size))
}

// wait adds to the memory that is waited for.
func (p *pool) wait(size carawaybeam.Bytes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += size
	if p.waiting > 0 && !p.checking {
		p.checking = true
		time.AfterFunc(0, p.check)
	}
}

// check gives up uploads without enough progress, those with the least first, as far as others wait
// for their memory.
func (p *pool) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting <= 0 {
		p.checking = false
		return
	}
	type slowUpload struct {
		*holder
		progress carawaybeam.Bytes
	}
	now := time.Now()
	needed := p.waiting
	var slow []slowUpload
	for h := range p.uploads {
		progress, aborted := h.progress(now)
		switch {
		case aborted:
			needed -= h.size
		case progress < minProgress:
			slow = append(slow, slowUpload{h, progress})
		}
	}
	slices.SortFunc(slow, func(a, b slowUpload) int {
		return cmp.Or(cmp.Compare(a.progress, b.progress), cmp.Compare(b.size, a.size))
	})
	for _, s := range slow {
		if needed <= 0 {
			break
		}
		if s.giveUp() {
			needed -= s.size
			p.reserver.givenUp.Add(1)
		}
	}
	time.AfterFunc(checkInterval, p.check)
}

// sum returns how much memory the uploads hold.
func (p *pool) sum() carawaybeam.Bytes {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum carawaybeam.Bytes
	for h := range p.uploads {
		sum += h.size
	}
	return sum
}

// hold acquires memory for an upload. The caller must call the returned function once the memory is no
// longer needed.
func (p *pool) hold(ctx context.Context, u Upload, size carawaybeam.Bytes) (*holder, func(), error) {
	if err := p.acquire(ctx, size); err != nil {
		return nil, func() {}, err
	}
	if u.Begin != nil && size > Free {
		u.Begin()
	}
	now := time.Now()
	h := &holder{from: u.From, size: size, abort: u.Abort, since: now, arrived: now, last: -1}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uploads[h] = struct{}{}
	return h, sync.OnceFunc(func() {
		p.mu.Lock()
		delete(p.uploads, h)
		p.mu.Unlock()
		p.release(size)
	}), nil
}

// Read reads a part of the upload and measures its progress.
func (h *holder) Read(data []byte) (int, error) {
	n, err := h.from.Read(data)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.advance(now)
	if n > 0 {
		h.arrived = now
		h.bytes += carawaybeam.Bytes(n)
	}
	return n, err
}

// advance begins another time of measurement if the current one is over. The caller holds mu.
func (h *holder) advance(now time.Time) {
	if elapsed := now.Sub(h.since); elapsed >= progressTime {
		h.last = h.bytes * carawaybeam.Bytes(progressTime) / carawaybeam.Bytes(elapsed)
		h.since, h.bytes = now, 0
	}
}

// progress returns how much arrived in the last progressTime, and whether the upload was given up. It
// returns minProgress for an upload that is new or complete.
func (h *holder) progress(now time.Time) (received carawaybeam.Bytes, aborted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	switch {
	case h.complete:
		return minProgress, h.aborted
	case now.Sub(h.arrived) >= progressTime:
		// The last measurement may be over a longer time, in which it stalled.
		return 0, h.aborted
	case h.last < 0:
		return minProgress, h.aborted
	}
	return max(h.last, h.bytes), h.aborted
}

// giveUp ends the upload. It returns false if that has become complete.
func (h *holder) giveUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.complete || h.aborted {
		return false
	}
	h.aborted = true
	h.abort()
	return true
}

// end ends the measurement and reports whether the upload was given up before.
func (h *holder) end() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete = true
	return h.aborted
}

// ReadUpload reads all data of an upload like Read. Data of up to Free bytes is reserved as well, in
// memory of its own. While others wait for memory, uploads that make too little progress are given up;
// their error is ErrTooSlow, also if the last byte arrived meanwhile.
func (r *Reserver) ReadUpload(ctx context.Context, u Upload) (data []byte, release func(), err error) {
	if r.limit == 0 {
		return r.Read(ctx, u.From, u.Length, u.Limit)
	}
	release = func() {}
	switch {
	case u.Length > u.Limit:
		return nil, release, ErrTooLarge
	case u.Length > r.limit:
		r.refused.Add(1)
		return nil, release, ErrTooLarge
	case u.Length == 0:
		// The semaphore would let it wait behind others.
		return nil, release, nil
	case u.Length > 0:
		return r.readKnown(ctx, u)
	}
	return r.readUnknown(ctx, u)
}

// readKnown reads an upload of a known length.
func (r *Reserver) readKnown(ctx context.Context, u Upload) ([]byte, func(), error) {
	p := &r.large
	if u.Length <= Free {
		p = &r.small
	}
	h, release, err := p.hold(ctx, u, u.Length)
	if err != nil {
		return nil, release, err
	}
	data := make([]byte, u.Length)
	_, err = io.ReadFull(h, data)
	if h.end() {
		return nil, release, ErrTooSlow
	}
	return data, release, err
}

// readUnknown reads an upload of an unknown length. What exceeds Free reserves one and a half times the
// limit, as its buffer grows.
func (r *Reserver) readUnknown(ctx context.Context, u Upload) ([]byte, func(), error) {
	// What is reserved below must fit.
	limit := min(u.Limit, r.limit/3*2)
	h, release, err := r.small.hold(ctx, u, min(Free, r.limit))
	if err != nil {
		return nil, release, err
	}
	data, err := io.ReadAll(io.LimitReader(h, int64(min(limit, Free))+1))
	switch {
	case h.end():
		return nil, release, ErrTooSlow
	case err != nil || carawaybeam.Bytes(len(data)) <= min(limit, Free):
		return data, release, err
	case limit <= Free:
		return nil, release, ErrTooLarge
	}
	defer release()
	large, release, err := r.large.hold(ctx, u, limit+limit/2)
	if err != nil {
		return nil, release, err
	}
	data, err = readRest(data, large, limit)
	if large.end() {
		return nil, release, ErrTooSlow
	}
	return data, release, err
}
