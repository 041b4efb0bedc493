package executor

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

const (
	// maxHeldBytes is the maximum number of bytes of an answer that are held for an
	// attempt. If an entry reads the answer, the backend server is read at most this
	// far ahead of the entry.
	maxHeldBytes = 1 << 20

	// resendBytes is how much of an answer that was sent to an entry is held in case
	// its link is lost. It is more than a stream and its buffers hold.
	resendBytes = 512 << 10
)

type (
	// phase is the phase of the life cycle of an attempt.
	phase int

	// attempt is one attempt to run a request, with its answer.
	attempt struct {
		id          carawaybeam.AttemptID
		key         string
		fingerprint quarantiner.Fingerprint
		idempotent  bool
		// released is set on a refused attempt if no attempt with its key will
		// run on this agent.
		released bool
		// ctx is the context of the request to the backend server.
		ctx    context.Context
		cancel context.CancelFunc

		mu      sync.Mutex
		changed chan struct{}
		phase   phase
		// refusal is set in phaseRefused, failure in phaseFailed.
		refusal carawaybeam.RequestError
		failure carawaybeam.RequestError
		// crash is set if the backend server crashed while the attempt was
		// running. crashChecked is set once this has been determined.
		crash        quarantiner.CrashID
		crashChecked bool

		started     bool
		status      int
		contentType string
		// held is the part of the answer that begins at heldOffset.
		held       []byte
		heldOffset uint64
		readers    int
		readOffset uint64
		checksum   *xxhash.Digest
		ended      time.Time
		// unacknowledged holds the readers that have neither acknowledged nor
		// cancelled the answer, by the identifier of their attempt.
		unacknowledged map[string]struct{}
		// lastDetached is when a reader last detached.
		lastDetached time.Time
		// deadline is the latest deadline of the requests that wait for an
		// idempotent attempt, and deadlineTimer stops the attempt at that time.
		// The timer is nil if there is no deadline.
		deadline      time.Time
		deadlineTimer *time.Timer
	}

	// progress is the state of an attempt and the part of its answer that a
	// reader may send next.
	progress struct {
		phase       phase
		started     bool
		status      int
		contentType string
		data        []byte
		// gone is set if the requested part of the answer is not held.
		gone     bool
		total    uint64
		checksum uint64
		refusal  carawaybeam.RequestError
		failure  carawaybeam.RequestError
		released bool
		crash    quarantiner.CrashID
		changed  <-chan struct{}
	}
)

const (
	phaseRunning phase = iota
	phaseDone
	phaseFailed
	phaseRefused
)

func newAttempt(id carawaybeam.AttemptID) *attempt {
	return &attempt{
		id:             id,
		changed:        make(chan struct{}),
		checksum:       xxhash.New(),
		unacknowledged: make(map[string]struct{}),
	}
}

// notify signals a change to all readers. The caller holds mu.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *attempt) begin(status int, contentType string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = true
	a.status = status
	a.contentType = contentType
	a.notify()
}

// append adds answer bytes. If there is no room for them, it drops the oldest bytes,
// or waits while a reader may still need those. It returns false if stop is closed
// before the bytes are added.
func (a *attempt) append(data []byte, stop <-chan struct{}) bool {
	for {
		a.mu.Lock()
		if len(a.held)+len(data) <= maxHeldBytes || a.trim(len(data)) {
			a.held = append(a.held, data...)
			_, _ = a.checksum.Write(data)
			a.notify()
			a.mu.Unlock()
			return true
		}
		changed := a.changed
		a.mu.Unlock()
		if !awaitChange(changed, stop) {
			return false
		}
	}
}

// awaitChange waits for a change, for at most fetchGracePeriod. It returns false if stop
// is closed before.
func awaitChange(changed, stop <-chan struct{}) bool {
	timer := time.NewTimer(fetchGracePeriod)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-stop:
		return false
	}
	return true
}

// trim drops held bytes to make room for need more. It returns false, and drops
// nothing, if a reader may still need some of them. The caller holds mu.
func (a *attempt) trim(need int) bool {
	excess := len(a.held) + need - maxHeldBytes
	received := a.readOffset - min(a.readOffset, resendBytes)
	unneeded := int(received - min(received, a.heldOffset))
	if a.isAwaited(time.Now()) && unneeded < excess {
		return false
	}
	excess = min(excess, len(a.held))
	a.held = append(a.held[:0], a.held[excess:]...)
	a.heldOffset += uint64(excess)
	return true
}

// isAwaited reports whether a reader is attached, or may still attach again after it has
// lost its link. The caller holds mu.
func (a *attempt) isAwaited(now time.Time) bool {
	return a.readers > 0 || len(a.unacknowledged) > 0 && now.Sub(a.lastDetached) < fetchGracePeriod
}

func (a *attempt) finish(p phase, failure carawaybeam.RequestError) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase != phaseRunning {
		return
	}
	a.phase = p
	a.failure = failure
	a.ended = time.Now()
	a.notify()
}

func (a *attempt) refuse(refusal carawaybeam.RequestError) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.phase = phaseRefused
	a.refusal = refusal
	a.ended = time.Now()
	a.notify()
}

// limit stops an idempotent attempt after the timeout, unless a later call of extend sets a
// later deadline. A timeout of 0 is none.
func (a *attempt) limit(timeout time.Duration) {
	if !a.idempotent || timeout <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = time.Now().Add(timeout)
	a.deadlineTimer = time.AfterFunc(timeout, a.stopAtDeadline)
}

// extend keeps an attempt that has a deadline from being stopped within the timeout.
func (a *attempt) extend(timeout time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if deadline := time.Now().Add(timeout); deadline.After(a.deadline) {
		a.deadline = deadline
	}
}

// stopAtDeadline stops the attempt if its deadline has passed.
func (a *attempt) stopAtDeadline() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if rest := time.Until(a.deadline); rest > 0 {
		a.deadlineTimer.Reset(rest)
		return
	}
	a.stop()
}

// removeLimit ends the effect of limit.
func (a *attempt) removeLimit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.deadlineTimer != nil {
		a.deadlineTimer.Stop()
	}
}

// attach adds a reader, which is named by the identifier of its attempt.
func (a *attempt) attach(reader string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	a.unacknowledged[reader] = struct{}{}
}

// detach removes one reader and reports whether it was the last.
func (a *attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	a.lastDetached = time.Now()
	a.notify()
	return a.readers == 0
}

// next returns the state of the attempt with the answer bytes that follow the offset,
// at most chunkBytes of them.
func (a *attempt) next(offset uint64) progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := a.heldOffset + uint64(len(a.held))
	p := progress{
		phase:       a.phase,
		started:     a.started,
		status:      a.status,
		contentType: a.contentType,
		total:       total,
		checksum:    a.checksum.Sum64(),
		refusal:     a.refusal,
		failure:     a.failure,
		released:    a.released,
		crash:       a.crash,
		changed:     a.changed,
	}
	switch {
	case offset < a.heldOffset || offset > total:
		p.gone = true
	case offset < total:
		p.data = append(p.data, a.held[offset-a.heldOffset:min(total, offset+chunkBytes)-a.heldOffset]...)
	}
	return p
}

// markRead records that a reader has sent all bytes before the offset.
func (a *attempt) markRead(offset uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readOffset = max(a.readOffset, offset)
	if len(a.held) == maxHeldBytes || len(a.held)+chunkBytes > maxHeldBytes {
		a.notify()
	}
}

// acknowledge records that a reader no longer needs the answer.
func (a *attempt) acknowledge(reader string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.unacknowledged, reader)
}

// mayBeFetched reports whether the attempt is running or an entry may still read its
// answer.
func (a *attempt) mayBeFetched(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == phaseRunning || a.readers > 0 {
		return true
	}
	last := a.ended
	if a.lastDetached.After(last) {
		last = a.lastDetached
	}
	return len(a.unacknowledged) > 0 && now.Sub(last) < fetchGracePeriod
}

func (a *attempt) snapshot() (p phase, ended time.Time, readers, held int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase, a.ended, a.readers, len(a.held)
}
