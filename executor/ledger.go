package executor

import (
	"crypto/sha256"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// attemptRetention is how long an attempt is kept after its end. Only the
	// entry that sent it resolves it, within the deadline of the request.
	attemptRetention = time.Hour

	// refusedRetention is how long an attempt that was refused on arrival is kept.
	// After that time, no copy of its dispatch frame can arrive any more.
	refusedRetention = 2 * time.Minute

	// keyRetention is how long a key is kept after its attempt has ended. It is
	// longer than the store keeps the binding of the key to this agent.
	keyRetention = carawaybeam.KeyRetention + time.Hour

	// maxLedgerRows is the maximum number of attempts and keys that are kept. When
	// the ledger is full, new attempts are refused, because removing one early could
	// let it run twice.
	maxLedgerRows = 1 << 18

	// rowOverhead is the memory of an ended attempt in addition to its answer, in
	// bytes.
	rowOverhead = 1 << 10
)

const (
	outcomeRan rowOutcome = iota
	outcomeRefused
)

type (
	// ledger keeps attempts and keys. Running attempts are kept in full, and so are
	// ended ones as long as their answers fit into the memory budget. Of the
	// others, only whether they ran is kept.
	ledger struct {
		attempts map[carawaybeam.AttemptID]*attempt
		byKey    map[string]*attempt
		// compact holds whether ended attempts and their keys ran.
		compact map[digest]compactRow
		created time.Time
	}

	// digest identifies an attempt or a key in the compact part.
	digest [16]byte

	rowOutcome uint8

	compactRow struct {
		// expires is in seconds since the creation of the ledger.
		expires uint32
		outcome rowOutcome
	}
)

func newLedger() *ledger {
	return &ledger{
		attempts: make(map[carawaybeam.AttemptID]*attempt),
		byKey:    make(map[string]*attempt),
		compact:  make(map[digest]compactRow),
		created:  time.Now(),
	}
}

func digestOf(kind, name string) digest {
	sum := sha256.Sum256([]byte(kind + ":" + name))
	return digest(sum[:len(digest{})])
}

func attemptDigest(id carawaybeam.AttemptID) digest { return digestOf("attempt", string(id)) }

func keyDigest(key string) digest { return digestOf("key", key) }

// find returns the known attempt with the identifier of the new one or, if there is
// none, with its key. If only the compact part knows it, find returns the new attempt,
// ended with the recorded outcome. If the key is known from a different request, it
// returns the new attempt, refused.
func (l *ledger) find(fresh *attempt) (*attempt, bool) {
	if known, ok := l.attempts[fresh.id]; ok {
		return known, true
	}
	if row, ok := l.compact[attemptDigest(fresh.id)]; ok {
		return row.resolve(fresh), true
	}
	if fresh.key == "" {
		return nil, false
	}
	if known, ok := l.byKey[fresh.key]; ok {
		return l.alias(known, fresh), true
	}
	if row, ok := l.compact[keyDigest(fresh.key)]; ok {
		return row.resolve(fresh), true
	}
	return nil, false
}

// alias makes the identifier of the new attempt refer to the known attempt with the
// same key, and returns the latter. If their requests differ, it refuses the new
// attempt and returns it.
func (l *ledger) alias(known, fresh *attempt) *attempt {
	if known.fingerprint != fresh.fingerprint {
		fresh.refuse(carawaybeam.RequestError{
			Outcome: carawaybeam.OutcomeNotRun,
			Reason:  carawaybeam.ReasonKeyReused,
			Detail:  "key came with another request before",
		})
		return fresh
	}
	l.attempts[fresh.id] = known
	return known
}

func (l *ledger) add(a *attempt) { l.attempts[a.id] = a }

// bindKey makes the key of the attempt refer to it.
func (l *ledger) bindKey(a *attempt) {
	if a.key != "" {
		l.byKey[a.key] = a
	}
}

// releaseKey releases the key of an attempt that certainly did not run.
func (l *ledger) releaseKey(a *attempt) {
	if a.key != "" && l.byKey[a.key] == a {
		delete(l.byKey, a.key)
	}
}

// full reports whether no further attempt can be added.
func (l *ledger) full() bool { return len(l.attempts)+len(l.compact) >= maxLedgerRows }

// moveToCompact moves an ended attempt and its key to the compact part, which keeps
// only whether they ran.
func (l *ledger) moveToCompact(id carawaybeam.AttemptID, a *attempt, ended time.Time, outcome rowOutcome) {
	delete(l.attempts, id)
	l.compact[attemptDigest(id)] = compactRow{expires: l.seconds(ended.Add(a.retention())), outcome: outcome}
	if a.key == "" || l.byKey[a.key] != a {
		return
	}
	delete(l.byKey, a.key)
	l.compact[keyDigest(a.key)] = compactRow{expires: l.seconds(ended.Add(keyRetention)), outcome: outcome}
}

// expire removes the compact rows whose retention has passed.
func (l *ledger) expire(now time.Time) {
	seconds := l.seconds(now)
	for d, row := range l.compact {
		if row.expires < seconds {
			delete(l.compact, d)
		}
	}
}

// seconds returns a time in seconds since the creation of the ledger.
func (l *ledger) seconds(at time.Time) uint32 { return uint32(at.Sub(l.created) / time.Second) }

// retention returns how long an attempt is kept after its end.
func (a *attempt) retention() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == phaseRefused && a.refusal.Reason != carawaybeam.ReasonTombstoned {
		return refusedRetention
	}
	return attemptRetention
}

// resolve ends the new attempt with the outcome of the row and returns it.
func (r compactRow) resolve(fresh *attempt) *attempt {
	if r.outcome == outcomeRefused {
		fresh.released = fresh.key != ""
		fresh.refuse(tombstoned())
		return fresh
	}
	fresh.finish(phaseFailed, carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeRan,
		Reason:  carawaybeam.ReasonAnswerGone,
		Detail:  "request ran, its answer is no longer held",
	})
	return fresh
}

func tombstoned() carawaybeam.RequestError {
	return carawaybeam.RequestError{
		Outcome:    carawaybeam.OutcomeNotRun,
		Reason:     carawaybeam.ReasonTombstoned,
		RetryAfter: busyRetryAfter,
	}
}
