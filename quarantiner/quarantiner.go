// Package quarantiner records the requests that were running when a backend server
// crashed and determines which of them caused the crashes. Those are quarantined,
// which means that they are refused until an hour has passed since their last crash.
//
// The cause may also be a part of a prompt that requests have in common, which crashes
// each backend server that begins to answer it. A part has a fingerprint and records like
// a request. It is sound if an answer has begun recently, and is quarantined for ten
// minutes, after which it is tried again.
//
// Each crash has an identifier, so that it is counted once even if several processes
// report it. A crash no longer counts against a request that was answered since,
// because a request that crashes backend servers is never answered.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// RetryAfter is how long the caller of a request that is quarantined as a whole
	// should wait before it retries.
	RetryAfter = time.Hour

	// retention is how long a suspect is kept after its last crash.
	retention = time.Hour

	// maxSuspects is the maximum number of suspects that are kept, and maxCrashes
	// the maximum number of crashes that are kept of one, the most important ones.
	maxSuspects = 4096
	maxCrashes  = 8

	// quarantineCrashes is the number of crashes after which a request is
	// quarantined if no other request may explain them.
	quarantineCrashes = 2

	// CertainCrashes is the number of crashes after which a request is quarantined
	// even if others, none of which is quarantined, may have been running in all of them.
	CertainCrashes = 4

	// trialCrashes is the number of crashes from which a request that is not
	// quarantined is on trial, and maxCrashesOnTrial the number of crashes after which
	// it is quarantined whatever else was running in them.
	// For a part of a prompt that number is maxPartCrashesOnTrial.
	trialCrashes          = 3
	maxCrashesOnTrial     = 6
	maxPartCrashesOnTrial = 5

	// partQuarantine is the time after the last crash from which a quarantined part of a
	// prompt is on trial, and firstPartQuarantine that time after its only crash.
	partQuarantine      = 10 * time.Minute
	firstPartQuarantine = 30 * time.Second

	// A part of a prompt that was answered within soundTime is not suspected in its next
	// crash and those in the waveTime after it, because many requests in each crash may
	// have it. maxAnswers is the maximum number of parts whose last answers are kept.
	soundTime  = 10 * time.Second
	waveTime   = 2 * time.Second
	maxAnswers = 1 << 14

	// minAnswers is the number of answers from which it means something that a part was
	// never answered.
	minAnswers = 20
)

const (
	// Clear is the status of a request without a crash that counts against it.
	Clear Status = iota
	// Suspect is the status of a request that may have caused a crash. On linked
	// backend servers it runs on one at a time.
	Suspect
	// OnTrial is the status of a suspect that was running in many crashes, which others
	// caused or may have caused. It must run once at a time in the whole installation.
	OnTrial
	// Quarantined is the status of a request that is refused because it caused
	// several crashes.
	Quarantined
)

type (
	// CrashID identifies one crash of one backend server.
	CrashID string

	// Status determines how a request is treated.
	Status int

	// Record states that a request was running in a crash.
	Record struct {
		Fingerprint Fingerprint
		Crash       CrashID
		// At is when the crash was recorded.
		At time.Time
		// Cleared is set if the crash does not count against the request.
		Cleared bool
		// Position is the position of a part in the prompt. Fewer requests have a later part.
		Position int
		// Tentative is set while it is not known yet whether the attempt was running.
		// Tentative records count, but are not shared with other processes.
		Tentative bool
	}

	// Quarantiner keeps the suspects. It is safe for concurrent use.
	Quarantiner struct {
		evidence Evidence

		mu       sync.Mutex
		suspects map[Fingerprint]*suspect
		// quarantined is derived from suspects after each change.
		quarantined map[Fingerprint]struct{}
		// trialKeys holds the keys of suspects on trial, except for those that are alone in
		// their crashes. It is derived from suspects as well.
		trialKeys map[Fingerprint]Fingerprint
		// answers holds the last answer to each part of a prompt.
		answers *lru.Cache[Fingerprint, partAnswer]
		// answerCount is the number of answers so far to prompts with parts.
		answerCount atomic.Int64
		sequence    uint64
		changed     chan struct{}
	}

	// Assessment tells why a request is treated as it is.
	Assessment struct {
		Status Status
		// Counted is the number of crashes that count against the request. Explained is
		// how many of them a quarantined request was running in as well.
		Counted, Explained int
		// Cleared is the number of crashes that do not count, because the request was
		// answered since or did not run in them.
		Cleared int
	}

	// partAnswer is the last answer to a part of a prompt, with the first crash since.
	partAnswer struct {
		began, crashed time.Time
	}

	// suspect is a request that was running in at least one crash.
	suspect struct {
		records   []Record
		lastCrash time.Time
		// position is the position of a part in the prompts of its records, the last one.
		position int
		// recorded is when the last crash was added to records here.
		recorded time.Time
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
func New(evidence Evidence) *Quarantiner {
	// The only error is about a size below 1.
	answers, _ := lru.New[Fingerprint, partAnswer](maxAnswers)
	return &Quarantiner{
		answers:     answers,
		evidence:    evidence,
		suspects:    make(map[Fingerprint]*suspect),
		quarantined: make(map[Fingerprint]struct{}),
		changed:     make(chan struct{}),
	}
}

// Add records that a request was running during a crash.
func (q *Quarantiner) Add(fingerprint Fingerprint, crash CrashID) {
	q.Merge([]Record{{Fingerprint: fingerprint, Crash: crash, At: time.Now()}})
}

// Retract removes a tentative record, because the attempt was not running in the crash. It
// does nothing if another attempt or process has confirmed the record.
func (q *Quarantiner) Retract(fingerprint Fingerprint, crash CrashID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, ok := q.suspects[fingerprint]
	if !ok {
		return
	}
	n := len(known.records)
	known.records = slices.DeleteFunc(known.records, func(r Record) bool { return r.Crash == crash && r.Tentative })
	if len(known.records) == n {
		return
	}
	if len(known.records) == 0 {
		delete(q.suspects, fingerprint)
	}
	q.update()
}

// Acquit records that a crash does not count against a request, because the backend
// server answered the request.
func (q *Quarantiner) Acquit(fingerprint Fingerprint, crash CrashID) {
	q.Merge([]Record{{Fingerprint: fingerprint, Crash: crash, At: time.Now(), Cleared: true}})
}

// Clear records that a request was answered, so that no crash so far counts against it.
func (q *Quarantiner) Clear(fingerprint Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, ok := q.suspects[fingerprint]
	if !ok || len(known.counted()) == 0 {
		return
	}
	for i := range known.records {
		known.records[i].Cleared, known.records[i].Tentative = true, false
	}
	q.sequence++
	known.sequence = q.sequence
	q.update()
}

// ClearParts records that an answer to a request with the parts of a prompt has begun, so that
// no crash so far counts against them.
func (q *Quarantiner) ClearParts(parts []Fingerprint) {
	if len(parts) > 0 {
		q.answerCount.Add(1)
	}
	answer := partAnswer{began: time.Now()}
	for _, part := range parts {
		q.answers.Add(part, answer)
		q.Clear(part)
	}
}

// isSound reports whether a part of a prompt is not suspected in a new crash, because it was
// answered a moment before or has been answered since. The caller holds mu.
func (q *Quarantiner) isSound(r Record) bool {
	answer, ok := q.answers.Peek(r.Fingerprint)
	switch {
	case !ok || time.Since(answer.began) > soundTime:
		return false
	case r.At.Before(answer.began):
		return true
	case answer.crashed.IsZero():
		answer.crashed = time.Now()
		q.answers.Add(r.Fingerprint, answer)
	}
	return time.Since(answer.crashed) <= waveTime
}

// Merge adds records, which may come from other processes.
func (q *Quarantiner) Merge(records []Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = q.add(r) || changed
	}
	if changed {
		q.update()
	}
}

// add adds a record and reports whether it was new. The caller holds mu.
func (q *Quarantiner) add(r Record) bool {
	if r.Fingerprint == "" || r.Crash == "" || !r.Counts() {
		return false
	}
	known, ok := q.suspects[r.Fingerprint]
	if !ok {
		if !q.makeRoom(r) {
			return false
		}
		known = &suspect{}
		q.suspects[r.Fingerprint] = known
	}
	i := slices.IndexFunc(known.records, func(other Record) bool { return other.Crash == r.Crash })
	if i < 0 && r.Fingerprint.IsPart() && q.isSound(r) {
		r.Cleared, r.Tentative = true, false
	}
	switch {
	case i >= 0 && known.records[i].Tentative && !r.Tentative:
		known.records[i].Tentative, known.records[i].Cleared = false, r.Cleared
	case i >= 0 && (known.records[i].Cleared || !r.Cleared):
		return false
	case i < 0 && !known.makeRoom(r):
		return false
	case i >= 0:
		known.records[i].Cleared = true
	default:
		known.records = append(known.records, r)
		known.position = max(known.position, r.Position)
		known.recorded = time.Now()
		if r.At.After(known.lastCrash) {
			known.lastCrash = r.At
		}
	}
	q.sequence++
	known.sequence = q.sequence
	return true
}

// makeRoom drops the least important record if there is no room for r, and reports whether
// there is room now.
func (s *suspect) makeRoom(r Record) bool {
	if len(s.records) < maxCrashes {
		return true
	}
	least := slices.MinFunc(s.records, compareImportance)
	if compareImportance(r, least) < 0 {
		return false
	}
	s.records = slices.DeleteFunc(s.records, func(other Record) bool { return other.Crash == least.Crash })
	return true
}

// compareImportance orders records. Those that count are more important than cleared ones, and
// newer ones than older ones. The order is the same in all processes.
func compareImportance(a, b Record) int {
	switch {
	case a.Cleared && !b.Cleared:
		return -1
	case !a.Cleared && b.Cleared:
		return 1
	}
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Crash, b.Crash))
}

// Counts reports whether the record is recent enough to matter.
func (r Record) Counts() bool { return time.Since(r.At) <= retention }

// counted returns the crashes that count against the suspect.
func (s *suspect) counted() []CrashID {
	var crashes []CrashID
	for _, r := range s.records {
		if !r.Cleared {
			crashes = append(crashes, r.Crash)
		}
	}
	return crashes
}

// makeRoom removes a suspect if there is no room for another one, and reports whether there
// is room then. It removes the one with the fewest crashes and, of these, the oldest last
// crash, but none for a record that does not count. The caller holds mu.
func (q *Quarantiner) makeRoom(r Record) bool {
	if len(q.suspects) < maxSuspects {
		return true
	}
	var least Fingerprint
	for fingerprint, s := range q.suspects {
		if least == "" || compareWeight(s, q.suspects[least]) < 0 {
			least = fingerprint
		}
	}
	if r.Cleared && len(q.suspects[least].counted()) > 0 {
		return false
	}
	delete(q.suspects, least)
	return true
}

func compareWeight(a, b *suspect) int {
	return cmp.Or(cmp.Compare(len(a.counted()), len(b.counted())), a.lastCrash.Compare(b.lastCrash))
}

// update derives what follows from a change and signals the change to all
// subscriptions. The caller holds mu.
func (q *Quarantiner) update() {
	fewAnswers := q.answerCount.Load() < minAnswers
	q.quarantined = findCulprits(q.suspects, q.evidence, q.answers.Contains, fewAnswers)
	if !fewAnswers {
		maps.Copy(q.quarantined, findOnlyParts(q.suspects, q.quarantined, q.answers.Contains))
	}
	q.trialKeys = findTrialKeys(q.suspects, q.quarantined)
	close(q.changed)
	q.changed = make(chan struct{})
}

// TrialKey returns the key of the trials of a suspect. Trials with the same key must not run at the same
// time. Suspects on trial that were in crashes together have the same one at all processes which know of
// the same crashes, so that a trial which crashes shows the cause.
func (q *Quarantiner) TrialKey(fingerprint Fingerprint) Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	if key, ok := q.trialKeys[fingerprint]; ok {
		return key
	}
	return fingerprint
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
		delete(q.quarantined, fingerprint)
		return Clear
	}
	if _, quarantined := q.quarantined[fingerprint]; quarantined {
		if fingerprint.IsPart() && time.Since(known.lastCrash) > known.partQuarantine() {
			return OnTrial
		}
		return Quarantined
	}
	switch n := len(known.counted()); {
	case n == 0:
		return Clear
	case n >= trialCrashes:
		return OnTrial
	}
	return Suspect
}

// Assess returns why a request is treated as it is.
func (q *Quarantiner) Assess(fingerprint Fingerprint) Assessment {
	a := Assessment{Status: q.Status(fingerprint)}
	q.mu.Lock()
	defer q.mu.Unlock()
	known, ok := q.suspects[fingerprint]
	if !ok {
		return a
	}
	crashes := known.counted()
	a.Counted, a.Cleared = len(crashes), len(known.records)-len(crashes)
	for _, crash := range crashes {
		if q.isExplained(fingerprint, crash) {
			a.Explained++
		}
	}
	return a
}

// isExplained reports whether another request that is quarantined was running in a crash.
// The caller holds mu.
func (q *Quarantiner) isExplained(fingerprint Fingerprint, crash CrashID) bool {
	for culprit := range q.quarantined {
		if s, ok := q.suspects[culprit]; ok && culprit != fingerprint && slices.Contains(s.counted(), crash) {
			return true
		}
	}
	return false
}

// HasCrashes reports whether the request was running in a crash, whether or not it counts.
func (a Assessment) HasCrashes() bool { return a.Counted+a.Cleared > 0 }

// MarshalZerologObject adds the assessment to a log line.
func (a Assessment) MarshalZerologObject(e *zerolog.Event) {
	e.Stringer("status", a.Status).Int("counted", a.Counted).Int("explained", a.Explained).
		Int("cleared", a.Cleared)
}

// String returns the name of the status in logs.
func (s Status) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case OnTrial:
		return "onTrial"
	case Quarantined:
		return "quarantined"
	}
	return "clear"
}

// RetryAfter returns how long the caller of a quarantined request should wait before it
// retries.
func (q *Quarantiner) RetryAfter(fingerprint Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, ok := q.suspects[fingerprint]
	if !ok || !fingerprint.IsPart() {
		return RetryAfter
	}
	return max(time.Second, known.partQuarantine()-time.Since(known.lastCrash))
}

// partQuarantine returns the time after the last crash for which a part is quarantined.
func (s *suspect) partQuarantine() time.Duration {
	if len(s.counted()) == 1 {
		return firstPartQuarantine
	}
	return partQuarantine
}

// Crashes returns the crashes that count against a request.
func (q *Quarantiner) Crashes(fingerprint Fingerprint) []CrashID {
	q.mu.Lock()
	defer q.mu.Unlock()
	if known, ok := q.suspects[fingerprint]; ok {
		return known.counted()
	}
	return nil
}

// AllCrashes returns the crashes that count against any request, and a channel that is
// closed at the next change.
func (q *Quarantiner) AllCrashes() (map[CrashID]struct{}, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	crashes := make(map[CrashID]struct{})
	for _, s := range q.suspects {
		for _, r := range s.records {
			if !r.Cleared && r.Counts() {
				crashes[r.Crash] = struct{}{}
			}
		}
	}
	return crashes, q.changed
}

// LastRecorded returns when a crash was last recorded here against a request, or the zero
// time.
func (q *Quarantiner) LastRecorded(fingerprint Fingerprint) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if known, ok := q.suspects[fingerprint]; ok {
		return known.recorded
	}
	return time.Time{}
}

// Records returns all records that are not tentative and not older than retention, and a
// channel that is closed at the next change. First come those that count, by the number of
// crashes of their request, and of the same number the newest ones.
func (q *Quarantiner) Records() ([]Record, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var records []Record
	crashes := make(map[Fingerprint]int, len(q.suspects))
	for fingerprint, s := range q.suspects {
		crashes[fingerprint] = len(s.counted())
		for _, r := range s.records {
			if r.Counts() && !r.Tentative {
				records = append(records, r)
			}
		}
	}
	weight := func(r Record) int {
		if r.Cleared {
			return 0
		}
		return crashes[r.Fingerprint]
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(
			cmp.Compare(weight(b), weight(a)), b.At.Compare(a.At),
			cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Crash, b.Crash),
		)
	})
	return records, q.changed
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
	encoded := &framer.Suspect{Fingerprint: []byte(fingerprint)}
	for _, r := range s.records {
		switch {
		case r.Tentative:
		case r.Cleared:
			encoded.ClearedCrashIds = append(encoded.ClearedCrashIds, string(r.Crash))
		default:
			encoded.CrashIds = append(encoded.CrashIds, string(r.Crash))
		}
	}
	encoded.Crashes = uint32(len(encoded.CrashIds))
	return encoded
}

// MergeFrame adds the records of suspects that a peer sent.
func (q *Quarantiner) MergeFrame(suspects []*framer.Suspect) {
	now := time.Now()
	var records []Record
	for _, s := range suspects {
		fingerprint := Fingerprint(s.GetFingerprint())
		for _, crash := range s.GetCrashIds() {
			records = append(records, Record{Fingerprint: fingerprint, Crash: CrashID(crash), At: now})
		}
		for _, crash := range s.GetClearedCrashIds() {
			records = append(records, Record{Fingerprint: fingerprint, Crash: CrashID(crash), At: now, Cleared: true})
		}
	}
	q.Merge(records)
}

// State returns the state dump.
func (q *Quarantiner) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	state := State{Quarantined: len(q.quarantined)}
	for _, s := range q.suspects {
		if len(s.counted()) > 0 {
			state.Suspects++
		}
	}
	return state
}
