// Package quarantiner keeps the requests that were running when a backend
// server crashed. One that was running in two crashes is refused for good.
//
// A crash has an identifier, so that news of it that arrives over several links
// counts once.
package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// RetryAfter is when the caller of a quarantined request may come back.
	RetryAfter = time.Hour

	// retention is how long a suspect is remembered after its last crash.
	retention = time.Hour

	// maxSuspects bounds the suspects remembered.
	maxSuspects = 4096

	// quarantineCrashes is in how many crashes a quarantined request was
	// running.
	quarantineCrashes = 2
)

const (
	// Clear is the standing of a request that ran in no crash.
	Clear Status = iota
	// Suspect is the standing of a request that ran in one crash. It runs on
	// one backend server at a time.
	Suspect
	// Quarantined is the standing of a request that is refused for good.
	Quarantined
)

type (
	// Fingerprint identifies requests that are alike in all that a backend
	// server sees of them.
	Fingerprint string

	// CrashID identifies one crash of one backend server.
	CrashID string

	// Status tells how a request is to be treated.
	Status int

	// Quarantiner keeps the suspects. Its methods may be used by several
	// goroutines at once.
	Quarantiner struct {
		mu       sync.Mutex
		suspects map[Fingerprint]*suspect
		sequence uint64
		changed  chan struct{}
	}

	suspect struct {
		crashes []CrashID
		last    time.Time
		// sequence orders the changes of suspects.
		sequence uint64
	}

	// State is the state dump of a Quarantiner.
	State struct {
		Suspects    int `json:"suspects"`
		Quarantined int `json:"quarantined"`
	}
)

// New returns a Quarantiner without suspects.
func New() *Quarantiner {
	return &Quarantiner{suspects: make(map[Fingerprint]*suspect), changed: make(chan struct{})}
}

// Add records that a request was running during a crash.
func (q *Quarantiner) Add(fingerprint Fingerprint, crash CrashID) {
	if fingerprint == "" || crash == "" {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.add(fingerprint, crash) {
		q.notify()
	}
}

// add reports whether the crash was new. The caller holds mu.
func (q *Quarantiner) add(fingerprint Fingerprint, crash CrashID) bool {
	known, ok := q.suspects[fingerprint]
	if !ok {
		q.makeRoom()
		known = &suspect{}
		q.suspects[fingerprint] = known
	}
	if slices.Contains(known.crashes, crash) || len(known.crashes) >= quarantineCrashes {
		return false
	}
	q.sequence++
	known.crashes = append(known.crashes, crash)
	known.last = time.Now()
	known.sequence = q.sequence
	return true
}

// makeRoom forgets old suspects, and the oldest one when there are too many.
// The caller holds mu.
func (q *Quarantiner) makeRoom() {
	if len(q.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	for fingerprint, s := range q.suspects {
		if oldest == "" || s.last.Before(q.suspects[oldest].last) {
			oldest = fingerprint
		}
	}
	delete(q.suspects, oldest)
}

// notify wakes those who spread changes. The caller holds mu.
func (q *Quarantiner) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// Status tells how a request is to be treated.
func (q *Quarantiner) Status(fingerprint Fingerprint) Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, ok := q.suspects[fingerprint]
	switch {
	case !ok:
		return Clear
	case time.Since(known.last) > retention:
		delete(q.suspects, fingerprint)
		return Clear
	case len(known.crashes) >= quarantineCrashes:
		return Quarantined
	}
	return Suspect
}

// Since returns the suspects changed after a sequence number in the order of
// their changes, the present sequence number, and a channel closed at the next
// change.
func (q *Quarantiner) Since(sequence uint64) ([]*framer.Suspect, uint64, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var changed []*framer.Suspect
	for fingerprint, s := range q.suspects {
		if s.sequence > sequence && time.Since(s.last) <= retention {
			changed = append(changed, encode(fingerprint, s))
		}
	}
	slices.SortFunc(changed, func(a, b *framer.Suspect) int {
		return cmp.Compare(string(a.GetFingerprint()), string(b.GetFingerprint()))
	})
	return changed, q.sequence, q.changed
}

func encode(fingerprint Fingerprint, s *suspect) *framer.Suspect {
	ids := make([]string, 0, len(s.crashes))
	for _, crash := range s.crashes {
		ids = append(ids, string(crash))
	}
	return &framer.Suspect{Fingerprint: []byte(fingerprint), Crashes: uint32(len(ids)), CrashIds: ids}
}

// Merge takes the suspects that a peer knows.
func (q *Quarantiner) Merge(suspects []*framer.Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	fresh := false
	for _, s := range suspects {
		for _, crash := range s.GetCrashIds() {
			fresh = q.add(Fingerprint(s.GetFingerprint()), CrashID(crash)) || fresh
		}
	}
	if fresh {
		q.notify()
	}
}

// State returns the state dump.
func (q *Quarantiner) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	var state State
	for _, s := range q.suspects {
		state.Suspects++
		if len(s.crashes) >= quarantineCrashes {
			state.Quarantined++
		}
	}
	return state
}
