// Package publisher shares the requests that crash backend servers between entries
// through the platform's store, so that all entries refuse them, also those that were
// started or cut off meanwhile.
//
// Each entry writes one object of its own, so that writes do not conflict. It holds the
// records that no other object has.
package publisher

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

const (
	// batchTime is how long a Publisher waits after a change for further changes,
	// because one crash affects several requests at about the same time.
	batchTime = 10 * time.Millisecond

	// clearedInterval is the minimum time between a write and one that adds only
	// cleared records, which are less urgent. After a crash, the requests that it cut
	// off are answered elsewhere one after another.
	clearedInterval = time.Second

	// retryDelay is the delay before a failed write is retried.
	retryDelay = 300 * time.Millisecond

	// idleInterval is how often expired objects are looked for.
	idleInterval = 10 * time.Minute

	// maxRecords is the maximum number of records in an object, the most important ones.
	// They take about 400 KB.
	maxRecords = 4096
)

const (
	// nothingToWrite means that the store has all records.
	nothingToWrite urgency = iota
	// writeSoon means that the store lacks cleared records only.
	writeSoon
	// writeNow means that the store lacks a crash that counts against a request.
	writeNow
)

type (
	// urgency is how soon the object of this entry must be written.
	urgency int

	// Options configures a Publisher.
	Options struct {
		Store carawaybeam.Store
		// Name is the name of this entry's object.
		Name        string
		Quarantiner *quarantiner.Quarantiner
		Log         zerolog.Logger
	}

	// Publisher shares records until Close. A follower of the store passes it the
	// objects of all entries through Replace and Apply. It is safe for concurrent use.
	Publisher struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup
		// received signals that objects were received.
		received chan struct{}

		mu      sync.Mutex
		loaded  bool
		objects map[string]object
		// shown holds the records of this entry's object as the follower last received
		// it.
		shown []quarantiner.Record
	}

	// object is the stored object of one entry.
	object struct {
		version carawaybeam.StoreVersion
		records []quarantiner.Record
	}

	// key identifies a record.
	key struct {
		fingerprint quarantiner.Fingerprint
		crash       quarantiner.CrashID
	}

	// storedRecord is a record in an object. Fingerprint is hexadecimal, At in Unix
	// milliseconds and Position counted from 0.
	storedRecord struct {
		Fingerprint string `json:"fingerprint"`
		Crash       string `json:"crash"`
		At          int64  `json:"at"`
		Cleared     bool   `json:"cleared,omitempty"`
		Position    int    `json:"position,omitempty"`
	}

	// value is the value of an object.
	value struct {
		Records []storedRecord `json:"records"`
	}
)

// New returns a Publisher that has not received any objects yet.
func New(options Options) *Publisher {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Publisher{
		options:  options,
		ctx:      ctx,
		cancel:   cancel,
		received: make(chan struct{}, 1),
		objects:  make(map[string]object),
	}
	p.wait.Go(p.publish)
	return p
}

// Close stops publishing and waits for the goroutine. The error is always nil. The
// object remains in the store.
func (p *Publisher) Close() error {
	p.cancel()
	p.wait.Wait()
	return nil
}

// Loaded reports whether the objects have been read.
func (p *Publisher) Loaded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded
}

// Published reports whether the store has shown all crashes that count against a request.
// What this entry has written counts only once the store has shown it, because the store
// then has also shown what other entries wrote before.
func (p *Publisher) Published(fingerprint quarantiner.Fingerprint) bool {
	crashes := p.options.Quarantiner.Crashes(fingerprint)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded && !slices.ContainsFunc(crashes, func(crash quarantiner.CrashID) bool {
		return !p.isShown(key{fingerprint: fingerprint, crash: crash})
	})
}

// isShown reports whether the store has shown a record. The caller holds mu.
func (p *Publisher) isShown(k key) bool {
	for name, o := range p.objects {
		records := o.records
		if name == p.options.Name {
			records = p.shown
		}
		if slices.ContainsFunc(records, func(r quarantiner.Record) bool {
			return r.Fingerprint == k.fingerprint && r.Crash == k.crash
		}) {
			return true
		}
	}
	return false
}

// Replace replaces the objects of all entries.
func (p *Publisher) Replace(objects []carawaybeam.Object) {
	present := make(map[string]struct{}, len(objects))
	for _, o := range objects {
		present[o.Name] = struct{}{}
		p.receive(o)
	}
	p.mu.Lock()
	maps.DeleteFunc(p.objects, func(name string, _ object) bool {
		_, ok := present[name]
		return !ok
	})
	p.loaded = true
	p.mu.Unlock()
	p.signal()
}

// Apply updates changed objects. It merges their records into the Quarantiner.
func (p *Publisher) Apply(changes []carawaybeam.Object) {
	for _, o := range changes {
		p.receive(o)
	}
	p.signal()
}

// signal makes publish compare the records with the objects again.
func (p *Publisher) signal() {
	select {
	case p.received <- struct{}{}:
	default:
	}
}

// receive applies an object that the follower passes on.
func (p *Publisher) receive(o carawaybeam.Object) {
	records := p.apply(o)
	if o.Name != p.options.Name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shown = records
}

// apply merges the records of an object into the Quarantiner, and returns them.
func (p *Publisher) apply(o carawaybeam.Object) []quarantiner.Record {
	records, err := decode(o)
	if err != nil {
		p.options.Log.Warn().Err(err).Str("object", o.Name).Msg("publisher: cannot decode records of crashes")
	}
	p.mu.Lock()
	switch known, ok := p.objects[o.Name]; {
	case o.Deleted:
		delete(p.objects, o.Name)
	case !ok || o.Version > known.version:
		p.objects[o.Name] = object{version: o.Version, records: records}
	}
	p.mu.Unlock()
	p.options.Quarantiner.Merge(records)
	return records
}

func decode(o carawaybeam.Object) ([]quarantiner.Record, error) {
	if o.Deleted {
		return nil, nil
	}
	var v value
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return nil, err
	}
	records := make([]quarantiner.Record, 0, len(v.Records))
	for _, r := range v.Records {
		fingerprint, err := hex.DecodeString(r.Fingerprint)
		if err != nil {
			return nil, err
		}
		records = append(records, quarantiner.Record{
			Fingerprint: quarantiner.Fingerprint(fingerprint),
			Crash:       quarantiner.CrashID(r.Crash),
			At:          time.UnixMilli(r.At),
			Cleared:     r.Cleared,
			Position:    r.Position,
		})
	}
	return records, nil
}

func encode(records []quarantiner.Record) ([]byte, error) {
	v := value{Records: make([]storedRecord, 0, len(records))}
	for _, r := range records {
		v.Records = append(v.Records, storedRecord{
			Fingerprint: r.Fingerprint.String(), Crash: string(r.Crash), At: r.At.UnixMilli(), Cleared: r.Cleared,
			Position: r.Position,
		})
	}
	return json.Marshal(v)
}

// publish writes the object of this entry whenever the store lacks a record.
func (p *Publisher) publish() {
	var written time.Time
	for p.ctx.Err() == nil {
		records, changed := p.options.Quarantiner.Records()
		next, urgency := p.next(records)
		wait := clearedInterval - time.Since(written)
		switch {
		case urgency == writeNow || urgency == writeSoon && wait <= 0:
			delay := batchTime
			if err := p.write(next); err != nil {
				p.options.Log.Warn().Err(err).Msg("publisher: cannot write records of crashes, retrying")
				delay = retryDelay
			}
			written = time.Now()
			p.sleep(delay)
			continue
		case urgency == nothingToWrite:
			p.deleteExpired()
			wait = idleInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-p.received:
		case <-timer.C:
		case <-p.ctx.Done():
		}
		timer.Stop()
		p.sleep(batchTime)
	}
}

// deleteExpired deletes objects of other entries that hold only records that no longer
// count, such as those of entries that were removed.
func (p *Publisher) deleteExpired() {
	p.mu.Lock()
	expired := make(map[string]carawaybeam.StoreVersion)
	for name, o := range p.objects {
		if name != p.options.Name && !slices.ContainsFunc(o.records, quarantiner.Record.Counts) {
			expired[name] = o.version
		}
	}
	p.mu.Unlock()
	for name, version := range expired {
		if _, err := p.options.Store.Delete(p.ctx, carawaybeam.KindCrashes, name, version); err != nil {
			p.options.Log.Debug().
				Err(err).
				Str("object", name).
				Msg("publisher: cannot delete expired records of crashes")
			continue
		}
		p.apply(carawaybeam.Object{Name: name, Deleted: true})
	}
}

func (p *Publisher) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// next returns the records that the object of this entry should hold, and how soon it must
// be written.
func (p *Publisher) next(records []quarantiner.Record) ([]quarantiner.Record, urgency) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded {
		return nil, nothingToWrite
	}
	elsewhere, own := make(map[key]bool), make(map[key]bool)
	for name, o := range p.objects {
		stored := elsewhere
		if name == p.options.Name {
			stored = own
		}
		for _, r := range o.records {
			k := key{fingerprint: r.Fingerprint, crash: r.Crash}
			stored[k] = stored[k] || r.Cleared
		}
	}
	var next []quarantiner.Record
	soon := nothingToWrite
	for _, r := range records {
		k := key{fingerprint: r.Fingerprint, crash: r.Crash}
		clearedElsewhere, inOther := elsewhere[k]
		clearedOwn, inOwn := own[k]
		if !inOwn && inOther && (clearedElsewhere || !r.Cleared) {
			continue
		}
		if len(next) >= maxRecords {
			break
		}
		next = append(next, r)
		switch {
		case !r.Cleared && !inOwn:
			soon = writeNow
		case r.Cleared && !clearedOwn && !clearedElsewhere:
			soon = max(soon, writeSoon)
		}
	}
	return next, soon
}

// write writes the object of this entry.
func (p *Publisher) write(records []quarantiner.Record) error {
	p.mu.Lock()
	stored := p.objects[p.options.Name].version
	p.mu.Unlock()
	data, err := encode(records)
	if err != nil {
		return err
	}
	own := carawaybeam.Object{Kind: carawaybeam.KindCrashes, Name: p.options.Name, Value: data}
	own.Version, err = p.options.Store.Put(p.ctx, own, stored)
	if err == nil {
		p.apply(own)
		return nil
	}
	var failed *carawaybeam.StoreError
	if !errors.As(err, &failed) || failed.Failure != carawaybeam.StoreConflict &&
		failed.Failure != carawaybeam.StoreNotFound {
		return err
	}
	// The object was written by an earlier incarnation or by a call whose answer was
	// lost, or it was deleted.
	current, err := p.options.Store.Get(p.ctx, carawaybeam.KindCrashes, p.options.Name)
	if errors.As(err, &failed) && failed.Failure == carawaybeam.StoreNotFound {
		current, err = carawaybeam.Object{Name: p.options.Name, Deleted: true}, nil
	}
	if err != nil {
		return err
	}
	p.apply(current)
	return nil
}
