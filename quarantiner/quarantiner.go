// Package quarantiner records the requests that were running when a backend server
// crashed. A request that was running in two crashes is quarantined, which means
// that it is refused until an hour has passed since the second crash.
//
// Each crash has an identifier, so that it is counted once even if it is reported
// over several links.
package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// RetryAfter is how long the caller of a quarantined request should wait
	// before it retries.
	RetryAfter = time.Hour

	// retention is how long a suspect is kept after its last crash.
	retention = time.Hour

	// maxSuspects is the maximum number of suspects that are kept.
	maxSuspects = 4096

	// quarantineCrashes is the number of crashes after which a request is
	// quarantined.
	quarantineCrashes = 2
)

const (
	// Clear is the status of a request that was not running in any crash.
	Clear Status = iota
	// Suspect is the status of a request that was running in one crash. It runs
	// on one backend server at a time.
	Suspect
	// Quarantined is the status of a request that is refused because it was
	// running in several crashes.
	Quarantined
)

type (
	// CrashID identifies one crash of one backend server.
	CrashID string

	// Status determines how a request is treated.
	Status int

	// Quarantiner keeps the suspects. It is safe for concurrent use.
	Quarantiner struct {
		mu       sync.Mutex
		suspects map[Fingerprint]*suspect
		sequence uint64
		changed  chan struct{}
	}

	// suspect is a request that was running in at least one crash.
	suspect struct {
		crashes   []CrashID
		lastCrash time.Time
		// sequence is the sequence number of the last change.
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

// add records a crash and reports whether it was new for the request. The caller
// holds mu.
func (q *Quarantiner) add(fingerprint Fingerprint, crash CrashID) bool {
	known, ok := q.suspects[fingerprint]
	if !ok {
		q.evict()
		known = &suspect{}
		q.suspects[fingerprint] = known
	}
	if slices.Contains(known.crashes, crash) || len(known.crashes) >= quarantineCrashes {
		return false
	}
	q.sequence++
	known.crashes = append(known.crashes, crash)
	known.lastCrash = time.Now()
	known.sequence = q.sequence
	return true
}

// evict removes the suspect with the oldest last crash if there is no room for
// another one. The caller holds mu.
func (q *Quarantiner) evict() {
	if len(q.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	for fingerprint, s := range q.suspects {
		if oldest == "" || s.lastCrash.Before(q.suspects[oldest].lastCrash) {
			oldest = fingerprint
		}
	}
	delete(q.suspects, oldest)
}

// notify signals a change to all subscriptions. The caller holds mu.
func (q *Quarantiner) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// Status returns how a request is to be treated.
func (q *Quarantiner) Status(fingerprint Fingerprint) Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, ok := q.suspects[fingerprint]
	switch {
	case !ok:
		return Clear
	case time.Since(known.lastCrash) > retention:
		delete(q.suspects, fingerprint)
		return Clear
	case len(known.crashes) >= quarantineCrashes:
		return Quarantined
	}
	return Suspect
}

// ChangedSince returns the suspects that changed after a sequence number, the
// current sequence number, and a channel that is closed at the next change. The
// suspects are ordered by fingerprint.
func (q *Quarantiner) ChangedSince(sequence uint64) ([]*framer.Suspect, uint64, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var changed []*framer.Suspect
	for fingerprint, s := range q.suspects {
		if s.sequence > sequence && time.Since(s.lastCrash) <= retention {
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

// Merge adds the crashes of suspects that a peer sent.
func (q *Quarantiner) Merge(suspects []*framer.Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	added := false
	for _, s := range suspects {
		for _, crash := range s.GetCrashIds() {
			added = q.add(Fingerprint(s.GetFingerprint()), CrashID(crash)) || added
		}
	}
	if added {
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
