// Package enroller registers entries as objects in the platform's store, where
// agents and other entries find them.
package enroller

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// retryDelay is the delay before a failed write is retried.
	retryDelay = time.Second

	// deleteTimeout is the timeout of the deletion of the object when the entry
	// stops.
	deleteTimeout = 500 * time.Millisecond

	// maxRewriteDelay bounds the random delay before an entry that an older copy of
	// the store lacks is enrolled again, which all entries do at about the same time.
	maxRewriteDelay = 1200 * time.Millisecond

	// reenrolTime is how long entries that an older copy of the store lacks remain
	// in an EntrySet without being enrolled again.
	reenrolTime = 5 * time.Second

	// maxEnded is the maximum number of ended incarnations that an EntrySet
	// remembers. The oldest are forgotten first.
	maxEnded = 1024
)

type (
	// Entry is the stored description of an entry.
	Entry struct {
		// Name is the name of the object.
		Name string `json:"-"`
		// StatusAddress is the address to which the statuses of ranks are sent.
		StatusAddress carawaybeam.Address `json:"statuses"`
		// AdminAddress is the address of the API for operators.
		AdminAddress carawaybeam.Address    `json:"admin"`
		DataCentre   carawaybeam.DataCentre `json:"dataCentre"`
		// Incarnation identifies this incarnation of the entry. New sets it.
		Incarnation carawaybeam.Incarnation `json:"incarnation,omitempty"`
	}

	// Options configures an Enroller.
	Options struct {
		Store carawaybeam.Store
		Entry Entry
		// Entries is the set of enrolled entries, or nil. With it, the entry is
		// enrolled again if the store comes back from a copy that lacks it.
		Entries *EntrySet
		Log     zerolog.Logger
	}

	// Enroller keeps one entry enrolled until Close.
	Enroller struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup
		// version is the version of the object of this entry, or 0 while it is not
		// stored. It is used by the goroutine that runs keepEnrolled, and by Close
		// after that goroutine has ended.
		version carawaybeam.StoreVersion
	}

	// EntrySet is the set of enrolled entries. A follower of the store keeps it up
	// to date through Replace and Apply. Its methods are safe for concurrent use.
	EntrySet struct {
		log zerolog.Logger
		// replaced signals that the objects were read again.
		replaced chan struct{}

		mu      sync.Mutex
		entries map[string]member
		// generation is increased with each change of the names in entries, and hasLost is
		// set while one of the entries may have a dropAt.
		generation uint64
		hasLost    bool
		// era is the newest era of the store in which objects were read. It does
		// not show if the last list was empty.
		era   carawaybeam.StoreEra
		empty bool
		// ended holds the incarnations that have removed their objects.
		ended *simplelru.LRU[carawaybeam.Incarnation, struct{}]
		// stale holds the objects of ended incarnations that are back from an
		// older copy of the store.
		stale map[string]carawaybeam.StoreVersion
	}

	member struct {
		Entry

		version carawaybeam.StoreVersion
		// dropAt is when an entry that an older copy of the store lacks is
		// dropped. It is zero for other entries.
		dropAt time.Time
	}
)

// New returns an Enroller, which starts to enrol the entry at once.
func New(options Options) *Enroller {
	ctx, cancel := context.WithCancel(context.Background())
	options.Entry.Incarnation = carawaybeam.NewIncarnation()
	e := &Enroller{options: options, ctx: ctx, cancel: cancel}
	e.wait.Go(e.keepEnrolled)
	return e
}

// Close removes the entry from the store. If the store does not answer in time, it
// returns a *carawaybeam.StoreError. The object then remains, so that others count
// one entry too many.
func (e *Enroller) Close() error {
	e.cancel()
	e.wait.Wait()
	if e.version == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), deleteTimeout)
	defer cancel()
	_, err := e.options.Store.Delete(ctx, carawaybeam.KindEntry, e.options.Entry.Name, e.version)
	var failed *carawaybeam.StoreError
	if !errors.As(err, &failed) || failed.Era == e.version.Era() {
		return err
	}
	// The object has another version in the present era of the store.
	stored, err := e.options.Store.Get(ctx, carawaybeam.KindEntry, e.options.Entry.Name)
	if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreNotFound {
		return nil
	}
	var entry Entry
	if err != nil || json.Unmarshal(stored.Value, &entry) != nil || entry.Incarnation != e.options.Entry.Incarnation {
		return err
	}
	_, err = e.options.Store.Delete(ctx, carawaybeam.KindEntry, e.options.Entry.Name, stored.Version)
	return err
}

// keepEnrolled enrols the entry, and again whenever an older copy of the store lacks
// it.
func (e *Enroller) keepEnrolled() {
	e.enroll()
	if e.options.Entries == nil {
		return
	}
	for {
		select {
		case <-e.options.Entries.replaced:
		case <-e.ctx.Done():
			return
		}
		e.wait.Go(e.deleteStale)
		if !e.options.Entries.lacks(e.options.Entry, e.version) {
			e.recordVersion()
			continue
		}
		select {
		case <-time.After(rand.N(maxRewriteDelay)):
		case <-e.ctx.Done():
			return
		}
		if e.options.Entries.lacks(e.options.Entry, e.version) {
			e.enroll()
		} else {
			e.recordVersion()
		}
	}
}

// recordVersion records the version that the object of this entry has in the present era
// of the store.
func (e *Enroller) recordVersion() {
	if version := e.options.Entries.version(e.options.Entry); version != 0 {
		e.version = version
	}
}

// deleteStale deletes the objects of entries that have ended. Other entries do so too, at
// other times.
func (e *Enroller) deleteStale() {
	select {
	case <-time.After(rand.N(maxRewriteDelay)):
	case <-e.ctx.Done():
		return
	}
	for name, version := range e.options.Entries.takeStale() {
		_, err := e.options.Store.Delete(e.ctx, carawaybeam.KindEntry, name, version)
		e.options.Log.Info().Err(err).Str("entry", name).
			Msg("enroller: object of an entry that has ended was back from an older copy and is deleted")
	}
}

// enroll writes the object, with retries until it succeeds.
func (e *Enroller) enroll() {
	for e.ctx.Err() == nil {
		version, err := e.write()
		if err == nil {
			e.version = version
			e.options.Log.Info().Str("entry", e.options.Entry.Name).Uint64("version", uint64(version)).
				Msg("enroller: entry enrolled")
			return
		}
		e.options.Log.Warn().Err(err).Msg("enroller: cannot enrol the entry, retrying")
		select {
		case <-time.After(retryDelay):
		case <-e.ctx.Done():
		}
	}
}

// write creates the object, or replaces that of an earlier incarnation.
func (e *Enroller) write() (carawaybeam.StoreVersion, error) {
	value, err := json.Marshal(e.options.Entry)
	if err != nil {
		return 0, err
	}
	object := carawaybeam.Object{Kind: carawaybeam.KindEntry, Name: e.options.Entry.Name, Value: value}
	version, err := e.options.Store.Put(e.ctx, object, 0)
	var failed *carawaybeam.StoreError
	if !errors.As(err, &failed) || failed.Failure != carawaybeam.StoreConflict {
		return version, err
	}
	stored, err := e.options.Store.Get(e.ctx, carawaybeam.KindEntry, e.options.Entry.Name)
	if err != nil {
		return 0, err
	}
	return e.options.Store.Put(e.ctx, object, stored.Version)
}

// NewEntrySet returns an empty EntrySet.
func NewEntrySet(log zerolog.Logger) *EntrySet {
	// The only error is about a size below 1.
	ended, _ := simplelru.NewLRU[carawaybeam.Incarnation, struct{}](maxEnded, nil)
	return &EntrySet{
		log:      log,
		replaced: make(chan struct{}, 1),
		entries:  make(map[string]member),
		ended:    ended,
		stale:    make(map[string]carawaybeam.StoreVersion),
	}
}

// Entries returns the enrolled entries, sorted by name.
func (s *EntrySet) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLost()
	entries := make([]Entry, 0, len(s.entries))
	for _, m := range s.entries {
		entries = append(entries, m.Entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

// Len returns the number of enrolled entries.
func (s *EntrySet) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLost()
	return len(s.entries)
}

// Elects reports whether the entry with the name is the one that the set chooses for a key, by
// rendezvous hashing. An empty set chooses any entry.
func (s *EntrySet) Elects(key, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLost()
	own, ok := s.entries[name]
	if !ok {
		return len(s.entries) == 0
	}
	weight := xxhash.Sum64String(key + own.Name)
	for _, m := range s.entries {
		other := xxhash.Sum64String(key + m.Name)
		if other > weight || other == weight && m.Name > own.Name {
			return false
		}
	}
	return true
}

// Rank returns how many entries precede the one with the name for a key, by rendezvous hashing, and
// the number of entries. It returns false if the set does not have the entry.
func (s *EntrySet) Rank(key, name string) (rank, size int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLost()
	if _, ok := s.entries[name]; !ok {
		return 0, 0, false
	}
	weight := xxhash.Sum64String(key + name)
	for other := range s.entries {
		w := xxhash.Sum64String(key + other)
		if w > weight || w == weight && other > name {
			rank++
		}
	}
	return rank, len(s.entries), true
}

// Generation returns a number that changes whenever entries join or leave the set.
func (s *EntrySet) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLost()
	return s.generation
}

// dropLost drops the entries that were not enrolled again in time. The caller holds
// mu.
func (s *EntrySet) dropLost() {
	if !s.hasLost {
		return
	}
	now := time.Now()
	s.hasLost = false
	maps.DeleteFunc(s.entries, func(_ string, m member) bool {
		drop := !m.dropAt.IsZero() && !now.Before(m.dropAt)
		if drop {
			s.generation++
		}
		s.hasLost = s.hasLost || !drop && !m.dropAt.IsZero()
		return drop
	})
}

// lacks reports whether the store has come back without the object of an incarnation,
// which was written at the given version.
func (s *EntrySet) lacks(own Entry, written carawaybeam.StoreVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.entries[own.Name]
	if ok && m.Incarnation == own.Incarnation && m.dropAt.IsZero() {
		return false
	}
	return s.empty || s.era > written.Era() || ok && !m.dropAt.IsZero()
}

// version returns the version of the object of an incarnation, or 0 if the store lacks
// it.
func (s *EntrySet) version(own Entry) carawaybeam.StoreVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.entries[own.Name]; ok && m.Incarnation == own.Incarnation && m.dropAt.IsZero() {
		return m.version
	}
	return 0
}

// takeStale removes and returns the versions of the stale objects, by name.
func (s *EntrySet) takeStale() map[string]carawaybeam.StoreVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := maps.Clone(s.stale)
	clear(s.stale)
	return taken
}

// Replace replaces all entries by those of the objects. Entries that an older copy of
// the store lacks remain for a while.
func (s *EntrySet) Replace(objects []carawaybeam.Object) {
	s.mu.Lock()
	before := s.era
	for _, o := range objects {
		s.era = max(s.era, o.Version.Era())
	}
	present := make(map[string]struct{}, len(objects))
	for _, o := range objects {
		present[o.Name] = struct{}{}
	}
	s.empty = len(objects) == 0
	clear(s.stale)
	for name, m := range s.entries {
		_, ok := present[name]
		switch {
		case ok:
		case s.era == before && m.dropAt.IsZero() && !s.empty:
			delete(s.entries, name)
			s.generation++
		case m.dropAt.IsZero():
			m.dropAt = time.Now().Add(reenrolTime)
			s.entries[name] = m
			s.hasLost = true
		}
	}
	s.apply(objects)
	s.mu.Unlock()
	select {
	case s.replaced <- struct{}{}:
	default:
	}
}

// Apply updates the entries whose objects have changed. It skips objects that
// cannot be decoded.
func (s *EntrySet) Apply(changes []carawaybeam.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(changes)
}

// apply implements Apply. The caller holds mu.
func (s *EntrySet) apply(changes []carawaybeam.Object) {
	for _, o := range changes {
		delete(s.stale, o.Name)
		if o.Deleted {
			s.markEnded(s.entries[o.Name].Incarnation)
			delete(s.entries, o.Name)
			s.generation++
			continue
		}
		entry := Entry{Name: o.Name}
		if err := json.Unmarshal(o.Value, &entry); err != nil {
			s.log.Warn().Err(err).Str("entry", o.Name).Msg("enroller: cannot decode the object of an entry")
			continue
		}
		if s.ended.Contains(entry.Incarnation) {
			s.stale[o.Name] = o.Version
			continue
		}
		old, ok := s.entries[o.Name]
		// An older copy may have the object of an earlier incarnation.
		if ok && old.Incarnation != entry.Incarnation && old.version.Era() == o.Version.Era() {
			s.markEnded(old.Incarnation)
		}
		if !ok {
			s.generation++
		}
		s.entries[o.Name] = member{Entry: entry, version: o.Version}
	}
}

// markEnded records that an incarnation is not enrolled any more. The caller holds mu.
func (s *EntrySet) markEnded(incarnation carawaybeam.Incarnation) {
	if incarnation == "" {
		return
	}
	s.ended.Add(incarnation, struct{}{})
}
