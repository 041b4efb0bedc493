package executor

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
)

// answerWindow is how many bytes of an answer are held for an attempt. While an
// entry reads the answer, the backend server is not read further ahead.
const answerWindow = 1 << 20

type (
	// phase is how far an attempt has come.
	phase int

	// attempt is one row of the ledger.
	attempt struct {
		id         carawaybeam.AttemptID
		key        string
		idempotent bool
		cancel     func()

		mu      sync.Mutex
		changed chan struct{}
		phase   phase
		// refusal is set in phaseRefused, failure in phaseFailed.
		refusal carawaybeam.RequestError
		failure carawaybeam.RequestError

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
		fetched  bool
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
	return &attempt{id: id, changed: make(chan struct{}), checksum: xxhash.New()}
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

func (a *attempt) attach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

// detach ends one reader and reports whether it was the last.
func (a *attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
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

func (a *attempt) markFetched() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fetched = true
}

// drop forgets the answer and keeps the fact that the attempt ran.
func (a *attempt) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.base += uint64(len(a.held))
	a.held = nil
}

func (a *attempt) snapshot() (p phase, ended time.Time, fetched bool, held int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase, a.ended, a.fetched, len(a.held)
}
