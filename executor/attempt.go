package executor

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// answerWindow is how many bytes of an answer are held for an attempt. While an
// entry reads the answer, the backend server is not read further ahead.
const answerWindow = 1 << 20

type (
	// phase is how far an attempt has come.
	phase int

	// attempt is one row of the ledger.
	attempt struct {
		id          carawaybeam.AttemptID
		key         string
		fingerprint quarantiner.Fingerprint
		idempotent  bool
		// released is set on a refused attempt whose key will never run here.
		released bool
		// ctx is that of the call to the backend server.
		ctx    context.Context
		cancel context.CancelFunc

		mu      sync.Mutex
		changed chan struct{}
		phase   phase
		// refusal is set in phaseRefused, failure in phaseFailed.
		refusal carawaybeam.RequestError
		failure carawaybeam.RequestError
		// crash is set when the backend server crashed while the attempt ran.
		crash       quarantiner.CrashID
		crashJudged bool

		started     bool
		status      int
		contentType string
		// held is the part of the answer that begins at offset base.
		held     []byte
		base     uint64
		readers  int
		read     uint64
		checksum *xxhash.Digest
		ended    time.Time
		// awaited names the readers that have not told that they have the answer
		// or want it no more, by the identifier of their attempt.
		awaited map[string]struct{}
		// left is when the last reader detached.
		left time.Time
	}

	// progress is what a reader may send next.
	progress struct {
		phase       phase
		started     bool
		status      int
		contentType string
		data        []byte
		gone        bool
		total       uint64
		checksum    uint64
		refusal     carawaybeam.RequestError
		failure     carawaybeam.RequestError
		released    bool
		crash       quarantiner.CrashID
		changed     <-chan struct{}
	}
)

const (
	phaseRunning phase = iota
	phaseDone
	phaseFailed
	phaseRefused
)

func newAttempt(id carawaybeam.AttemptID) *attempt {
	return &attempt{id: id, changed: make(chan struct{}), checksum: xxhash.New(), awaited: make(map[string]struct{})}
}

// notify wakes all readers. The caller holds mu.
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

// append adds answer bytes. It waits while an attached reader is a whole window
// behind, and drops the oldest bytes when nobody reads. It reports false when
// stopped before the bytes were added.
func (a *attempt) append(data []byte, stop <-chan struct{}) bool {
	for {
		a.mu.Lock()
		if len(a.held)+len(data) <= answerWindow || a.trim(len(data)) {
			a.held = append(a.held, data...)
			_, _ = a.checksum.Write(data)
			a.notify()
			a.mu.Unlock()
			return true
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}

// trim makes room for more bytes. It reports false when a reader still needs
// those that would have to go.
func (a *attempt) trim(need int) bool {
	excess := len(a.held) + need - answerWindow
	readable := int(a.read - min(a.read, a.base))
	if a.readers > 0 && readable < excess {
		return false
	}
	excess = min(excess, len(a.held))
	a.held = append(a.held[:0], a.held[excess:]...)
	a.base += uint64(excess)
	return true
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

func (a *attempt) attach(reader string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	a.awaited[reader] = struct{}{}
}

// detach ends one reader and reports whether it was the last.
func (a *attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	a.left = time.Now()
	a.notify()
	return a.readers == 0
}

// next returns what follows the offset.
func (a *attempt) next(offset uint64) progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := a.base + uint64(len(a.held))
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
	case offset < a.base || offset > total:
		p.gone = true
	case offset < total:
		p.data = append(p.data, a.held[offset-a.base:min(total, offset+chunkBytes)-a.base]...)
	}
	return p
}

// markRead tells that a reader has sent everything before the offset.
func (a *attempt) markRead(offset uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.read = max(a.read, offset)
	if len(a.held) == answerWindow || len(a.held)+chunkBytes > answerWindow {
		a.notify()
	}
}

// acknowledge notes that a reader needs the answer no more.
func (a *attempt) acknowledge(reader string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.awaited, reader)
}

// owed tells whether an entry may still come for the answer.
func (a *attempt) owed(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == phaseRunning || a.readers > 0 {
		return true
	}
	last := a.ended
	if a.left.After(last) {
		last = a.left
	}
	return len(a.awaited) > 0 && now.Sub(last) < fetchGrace
}

func (a *attempt) snapshot() (p phase, ended time.Time, readers, held int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase, a.ended, a.readers, len(a.held)
}
