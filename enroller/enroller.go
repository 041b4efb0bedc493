// Package enroller makes entries known to each other and to agents by objects in
// the platform's store.
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
	// retryPause is the wait after a failed write.
	retryPause = time.Second

	// leaveTimeout bounds the write with which an entry that stops takes its
	// object back.
	leaveTimeout = 500 * time.Millisecond
)

type (
	// Entry is one entry as it is enrolled.
	Entry struct {
		Name string `json:"-"`
		// StatusAddress is where it takes the statuses of ranks.
		StatusAddress carawaybeam.Address `json:"statuses"`
		// AdminAddress is where it answers operators.
		AdminAddress carawaybeam.Address    `json:"admin"`
		DataCentre   carawaybeam.DataCentre `json:"dataCentre"`
	}

	// Options is what an Enroller is made from.
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
		// version is that of the own object, or 0. It is used by the goroutine of
		// enroll, and behind its end by Close.
		version carawaybeam.StoreVersion
	}

	// EntrySet is the set of enrolled entries. It takes the objects of a follower.
	EntrySet struct {
		log zerolog.Logger

		mu      sync.Mutex
		entries map[string]Entry
	}
)

// New returns an Enroller that works until Close.
func New(options Options) *Enroller {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Enroller{options: options, ctx: ctx, cancel: cancel}
	e.wait.Go(e.enroll)
	return e
}

// Close takes the entry back. It returns the *carawaybeam.StoreError of a store
// that does not answer in time; the object then stays, which makes others count
// one entry too many.
func (e *Enroller) Close() error {
	e.cancel()
	e.wait.Wait()
	if e.version == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_, err := e.options.Store.Delete(ctx, carawaybeam.KindEntry, e.options.Entry.Name, e.version)
	return err
}

// enroll writes the object until the store has it.
func (e *Enroller) enroll() {
	for e.ctx.Err() == nil {
		version, err := e.write()
		if err == nil {
			e.version = version
			e.options.Log.Info().Str("entry", e.options.Entry.Name).Uint64("version", uint64(version)).
				Msg("enroller: entry is enrolled")
			return
		}
		e.options.Log.Warn().Err(err).Msg("enroller: entry is not enrolled")
		select {
		case <-time.After(retryPause):
		case <-e.ctx.Done():
		}
	}
}

// write creates the object, or replaces the one of an earlier life.
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
	present, err := e.options.Store.Get(e.ctx, carawaybeam.KindEntry, e.options.Entry.Name)
	if err != nil {
		return 0, err
	}
	return e.options.Store.Put(e.ctx, object, present.Version)
}

// NewEntrySet returns an empty Roll.
func NewEntrySet(log zerolog.Logger) *EntrySet {
	return &EntrySet{log: log, entries: make(map[string]Entry)}
}

// Entries returns the enrolled entries by name.
func (r *EntrySet) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := make([]Entry, 0, len(r.entries))
	for _, entry := range r.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

// Len returns the number of enrolled entries.
func (r *EntrySet) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// Replace takes all objects.
func (r *EntrySet) Replace(objects []carawaybeam.Object) {
	r.mu.Lock()
	clear(r.entries)
	r.mu.Unlock()
	r.Apply(objects)
}

// Apply takes changed objects.
func (r *EntrySet) Apply(changes []carawaybeam.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range changes {
		if o.Deleted {
			delete(r.entries, o.Name)
			continue
		}
		entry := Entry{Name: o.Name}
		if err := json.Unmarshal(o.Value, &entry); err != nil {
			r.log.Warn().Err(err).Str("entry", o.Name).Msg("enroller: entry is unreadable")
			continue
		}
		r.entries[o.Name] = entry
	}
}
