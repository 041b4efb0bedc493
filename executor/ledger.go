package executor

import (
	"crypto/sha256"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// attemptRetention is how long an attempt without a key is remembered after
	// its end. Only the entry that made it asks for it, within its deadline.
	attemptRetention = time.Hour

	// refusedRetention is how long a refused attempt is remembered. No copy of
	// its dispatch is under way any more.
	refusedRetention = 2 * time.Minute

	// keyRetention is how long a key is remembered after its attempt has ended,
	// longer than the store remembers the agent to which it is bound.
	keyRetention = carawaybeam.KeyRetention + time.Hour

	// ledgerRows bounds the attempts and keys remembered. A full ledger refuses
	// new attempts, since forgetting one early could let it run twice.
	ledgerRows = 1 << 18

	// rowBytes is what an ended attempt with its answer costs beside the answer.
	rowBytes = 1 << 10
)

const (
	outcomeRan rowOutcome = iota
	outcomeRefused
)

type (
	// ledger remembers attempts and keys: in full while they run and for as long
	// as their answers fit the budget, then only whether they ran.
	ledger struct {
		attempts map[carawaybeam.AttemptID]*attempt
		keyed    map[string]*attempt
		// compact holds the ended ones without their answers.
		compact map[digest]compactRow
		began   time.Time
	}

	// digest stands for an attempt or a key in the compact part.
	digest [16]byte

	rowOutcome uint8

	compactRow struct {
		// expires is in seconds since the ledger began.
		expires uint32
		outcome rowOutcome
	}
)

func newLedger() *ledger {
	return &ledger{
		attempts: make(map[carawaybeam.AttemptID]*attempt),
		keyed:    make(map[string]*attempt),
		compact:  make(map[digest]compactRow),
		began:    time.Now(),
	}
}

func digestOf(kind, name string) digest {
	sum := sha256.Sum256([]byte(kind + ":" + name))
	return digest(sum[:len(digest{})])
}

func attemptDigest(id carawaybeam.AttemptID) digest { return digestOf("attempt", string(id)) }

func keyDigest(key string) digest { return digestOf("key", key) }

// find returns what is known of an attempt or, if it has one, of its key. An
// attempt under a known key stands for the one that is known, unless it brings
// another request.
func (l *ledger) find(fresh *attempt) (*attempt, bool) {
	if known, ok := l.attempts[fresh.id]; ok {
		return known, true
	}
	if row, ok := l.compact[attemptDigest(fresh.id)]; ok {
		return row.attempt(fresh), true
	}
	if fresh.key == "" {
		return nil, false
	}
	if known, ok := l.keyed[fresh.key]; ok {
		return l.join(known, fresh), true
	}
	if row, ok := l.compact[keyDigest(fresh.key)]; ok {
		return row.attempt(fresh), true
	}
	return nil, false
}

// join makes the new attempt stand for the known one under the same key.
func (l *ledger) join(known, fresh *attempt) *attempt {
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

// claim makes the attempt the one that stands for its key.
func (l *ledger) claim(a *attempt) {
	if a.key != "" {
		l.keyed[a.key] = a
	}
}

// release frees the key of an attempt that certainly did not run.
func (l *ledger) release(a *attempt) {
	if a.key != "" && l.keyed[a.key] == a {
		delete(l.keyed, a.key)
	}
}

// full tells whether no further attempt may be remembered.
func (l *ledger) full() bool { return len(l.attempts)+len(l.compact) >= ledgerRows }

// shrink keeps of an ended attempt only whether it ran.
func (l *ledger) shrink(id carawaybeam.AttemptID, a *attempt, ended time.Time, outcome rowOutcome) {
	delete(l.attempts, id)
	l.compact[attemptDigest(id)] = compactRow{expires: l.seconds(ended.Add(a.retention())), outcome: outcome}
	if a.key == "" || l.keyed[a.key] != a {
		return
	}
	delete(l.keyed, a.key)
	l.compact[keyDigest(a.key)] = compactRow{expires: l.seconds(ended.Add(keyRetention)), outcome: outcome}
}

// expire forgets the compact rows whose retention has passed.
func (l *ledger) expire(now time.Time) {
	seconds := l.seconds(now)
	for d, row := range l.compact {
		if row.expires < seconds {
			delete(l.compact, d)
		}
	}
}

func (l *ledger) seconds(at time.Time) uint32 { return uint32(at.Sub(l.began) / time.Second) }

// retention returns how long the end of an attempt is remembered.
func (a *attempt) retention() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == phaseRefused && a.refusal.Reason != carawaybeam.ReasonTombstoned {
		return refusedRetention
	}
	return attemptRetention
}

// attempt ends the new attempt as the row tells.
func (r compactRow) attempt(fresh *attempt) *attempt {
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
