// Package enroller registers entries as objects in the platform's store, where
// agents and other entries find them.
package enroller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// retryDelay is the delay before a failed write is retried.
	retryDelay = time.Second

	// deleteTimeout is the timeout of the deletion of the object when the entry
	// stops.
	deleteTimeout = 500 * time.Millisecond
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
	}

	// Options configures an Enroller.
	Options struct {
		Store carawaybeam.Store
		Entry Entry
		Log   zerolog.Logger
	}

	// Enroller keeps one entry enrolled until Close.
	Enroller struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup
		// version is the version of the object of this entry, or 0 while it is not
		// stored. It is used by the goroutine that runs enroll, and by Close after
		// that goroutine has ended.
		version carawaybeam.StoreVersion
	}

	// EntrySet is the set of enrolled entries. A follower of the store keeps it up
	// to date through Replace and Apply. Its methods are safe for concurrent use.
	EntrySet struct {
		log zerolog.Logger

		mu      sync.Mutex
		entries map[string]Entry
	}
)

// New returns an Enroller, which starts to enrol the entry at once.
func New(options Options) *Enroller {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Enroller{options: options, ctx: ctx, cancel: cancel}
	e.wait.Go(e.enroll)
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
	return err
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
	return &EntrySet{log: log, entries: make(map[string]Entry)}
}

// Entries returns the enrolled entries, sorted by name.
func (s *EntrySet) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]Entry, 0, len(s.entries))
	for _, entry := range s.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

// Len returns the number of enrolled entries.
func (s *EntrySet) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// Replace replaces all entries by those of the objects.
func (s *EntrySet) Replace(objects []carawaybeam.Object) {
	s.mu.Lock()
	clear(s.entries)
	s.mu.Unlock()
	s.Apply(objects)
}

// Apply updates the entries whose objects have changed. It skips objects that
// cannot be decoded.
func (s *EntrySet) Apply(changes []carawaybeam.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range changes {
		if o.Deleted {
			delete(s.entries, o.Name)
			continue
		}
		entry := Entry{Name: o.Name}
		if err := json.Unmarshal(o.Value, &entry); err != nil {
			s.log.Warn().Err(err).Str("entry", o.Name).Msg("enroller: cannot decode the object of an entry")
			continue
		}
		s.entries[o.Name] = entry
	}
}
