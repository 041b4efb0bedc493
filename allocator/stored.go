package allocator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/pacer"
)

type (
	// storedShare is the object of a share as it was read.
	storedShare struct {
		value

		version carawaybeam.StoreVersion
		// seenAt is when this version was first read, and sweepAt when this entry
		// deletes it.
		seenAt, sweepAt time.Duration
		// mayBeOld is set if it was read when an era of the store began, or after the
		// start. What it says may no longer be true.
		mayBeOld bool
		// outdated is set if the limit has ended by this object, and was named again since.
		outdated bool
	}

	// value is the value of the object of a share.
	value struct {
		Backend carawaybeam.BackendID `json:"backend"`
		Started int64                 `json:"started"`
		Index   int                   `json:"index"`
		// Limit is the limit that the backend server named last, in requests per
		// second.
		Limit carawaybeam.RequestRate `json:"limit"`
		// Holder is the name of the entry that holds the share, and Incarnation that
		// of its process.
		Holder      string                  `json:"holder"`
		Incarnation carawaybeam.Incarnation `json:"incarnation"`
		// Renewal makes the content of each write unique.
		Renewal uint64 `json:"renewal"`
		// Confirmed is set if the holder was told the limit since it holds the share.
		Confirmed bool `json:"confirmed,omitempty"`
		// Ended is set if the limit has ended.
		Ended bool `json:"ended,omitempty"`
	}
)

func (id shareID) name() string {
	return fmt.Sprintf("%s.%d.%d", id.backend.ID, id.backend.Started, id.index)
}

// parseName returns the share whose object has a name. It returns false for other names.
func parseName(name string) (shareID, bool) {
	fields := strings.Split(name, ".")
	if len(fields) < 3 {
		return shareID{}, false
	}
	last := len(fields) - 1
	index, indexErr := strconv.Atoi(fields[last])
	started, startedErr := strconv.ParseInt(fields[last-1], 10, 64)
	if errors.Join(indexErr, startedErr) != nil {
		return shareID{}, false
	}
	backend := carawaybeam.BackendIncarnation{
		ID: carawaybeam.BackendID(strings.Join(fields[:last-1], ".")), Started: started,
	}
	id := shareID{backend: backend, index: index}
	return id, id.name() == name
}

// acquire takes a share. A share that is given back or lapses later is paced from the beginning.
func (a *Allocator) acquire(ctx context.Context, id shareID, s *share) {
	taken := a.write(ctx, id, s, false)
	if !taken {
		a.drop(id, s)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if d := a.demand[id.backend]; d != nil {
		d.failed = !taken
	}
	if !taken {
		return
	}
	s.held, s.takenAt = true, a.options.Clock()
	_, rate := sharesOf(s.limit)
	s.pacer = pacer.New(instant(s.takenAt), rate)
	a.options.Log.Info().Str("backend", string(id.backend.ID)).Int64("started", id.backend.Started).
		Int("share", id.index).Float64("limit", float64(s.limit)).Msg("allocator: share of a limit taken")
}

// renew renews a share. If another entry has it, the share is dropped.
func (a *Allocator) renew(ctx context.Context, id shareID, s *share) { a.write(ctx, id, s, false) }

// end tells the other entries that a limit has ended.
func (a *Allocator) end(ctx context.Context, id shareID, s *share) {
	a.write(ctx, id, s, true)
	a.drop(id, s)
}

// release gives a share back.
func (a *Allocator) release(ctx context.Context, id shareID, s *share) {
	a.drop(id, s)
	a.delete(ctx, id, s.version)
	a.options.Log.Info().Str("backend", string(id.backend.ID)).Int("share", id.index).
		Msg("allocator: share of a limit given back")
}

// drop forgets a share.
func (a *Allocator) drop(id shareID, s *share) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.own[id] == s {
		delete(a.own, id)
	}
}

// delete deletes the object of a share. If that fails, any entry deletes it later.
func (a *Allocator) delete(ctx context.Context, id shareID, version carawaybeam.StoreVersion) {
	if _, err := a.options.Store.Delete(ctx, carawaybeam.KindLimit, id.name(), version); err != nil {
		a.options.Log.Info().Err(err).Str("backend", string(id.backend.ID)).Int("share", id.index).
			Msg("allocator: object of a share cannot be deleted")
	}
}

// write writes the object of a share and reports whether this entry holds the share for the
// lease time. A write whose answer is lost counts once the object was read.
func (a *Allocator) write(ctx context.Context, id shareID, s *share, ended bool) bool {
	began := a.options.Clock()
	a.mu.Lock()
	s.renewal++
	written := value{
		Backend: id.backend.ID, Started: id.backend.Started, Index: id.index, Limit: s.limit,
		Holder: a.options.Name, Incarnation: a.incarnation, Renewal: s.renewal, Ended: ended,
		Confirmed: s.confirmed,
	}
	expect := s.version
	a.mu.Unlock()
	data, err := json.Marshal(written)
	if err != nil {
		a.options.Log.Error().Err(err).Msg("allocator: share cannot be encoded")
		return false
	}
	version, err := a.options.Store.Put(
		ctx, carawaybeam.Object{Kind: carawaybeam.KindLimit, Name: id.name(), Value: data}, expect,
	)
	if err != nil {
		a.writeFailed(id, s, err)
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s.version, s.validUntil = version, began+leaseTime
	s.writtenAt, s.written, s.failed = a.options.Clock(), written, false
	return true
}

// writeFailed handles a failed write of a share. A share that another entry holds is dropped.
// Others remain until they lapse.
func (a *Allocator) writeFailed(id shareID, s *share, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock()
	s.writtenAt, s.failed = now, true
	if failed := new(carawaybeam.StoreError); errors.As(err, &failed) && failed.Failure == carawaybeam.StoreConflict {
		current := failed.Current
		if current.Version == 0 {
			current = carawaybeam.Object{Kind: carawaybeam.KindLimit, Name: id.name(), Deleted: true}
		}
		a.apply(now, current, false)
		if o, ok := a.stored[id]; ok && o.Incarnation == a.incarnation && !o.Ended {
			s.version = o.version
			return
		}
		a.lose(id, s)
		return
	}
	if now >= s.validUntil && s.held {
		a.lose(id, s)
	}
	a.options.Log.Warn().Err(err).Str("backend", string(id.backend.ID)).Int("share", id.index).
		Msg("allocator: share of a limit cannot be written")
}

// lose records that this entry does not hold a share any more. The caller holds mu.
func (a *Allocator) lose(id shareID, s *share) {
	if a.own[id] != s {
		return
	}
	delete(a.own, id)
	if s.held {
		a.options.Log.Info().Str("backend", string(id.backend.ID)).Int("share", id.index).
			Msg("allocator: share of a limit lost")
	}
}

// Replace replaces the objects of all shares.
func (a *Allocator) Replace(objects []carawaybeam.Object) {
	era := a.options.Era()
	now := a.options.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	begins := !a.loaded || era != a.era
	if begins {
		// Shares that are absent from the copy with which an era begins may be held.
		a.absentFrom = now + takeoverTime
	}
	a.loaded, a.era = true, era
	present := make(map[string]struct{}, len(objects))
	for _, o := range objects {
		present[o.Name] = struct{}{}
	}
	for id := range a.stored {
		if _, ok := present[id.name()]; !ok {
			a.forget(id)
		}
	}
	a.applyAll(now, objects, begins)
	for backend := range a.backends {
		// Changes before this reading may have been missed.
		a.outdate(backend, func(storedShare) bool { return true })
	}
}

// Apply updates the objects of shares that have changed.
func (a *Allocator) Apply(changes []carawaybeam.Object) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyAll(a.options.Clock(), changes, false)
}

// applyAll applies objects, which may be old. The caller holds mu.
func (a *Allocator) applyAll(now time.Duration, objects []carawaybeam.Object, mayBeOld bool) {
	for _, o := range objects {
		a.apply(now, o, mayBeOld)
	}
}

// apply records the object of a share. The caller holds mu.
func (a *Allocator) apply(now time.Duration, o carawaybeam.Object, mayBeOld bool) {
	if o.Deleted {
		if id, ok := parseName(o.Name); ok {
			a.forget(id)
			a.outdate(id.backend, func(ended storedShare) bool { return ended.version < o.Version })
		}
		return
	}
	var v value
	if err := json.Unmarshal(o.Value, &v); err != nil {
		a.options.Log.Warn().Err(err).Str("object", o.Name).Msg("allocator: cannot decode a share")
		return
	}
	id := shareID{backend: carawaybeam.BackendIncarnation{ID: v.Backend, Started: v.Started}, index: v.Index}
	if known, ok := a.stored[id]; id.name() != o.Name || ok && known.version >= o.Version {
		return
	}
	a.stored[id] = storedShare{
		value: v, version: o.Version, seenAt: now, sweepAt: now + sweepTime + rand.N(maxSweepDelay),
		mayBeOld: mayBeOld, outdated: v.Ended && a.isHeldSince(id.backend, o.Version),
	}
	if !v.Ended {
		a.outdate(id.backend, func(ended storedShare) bool { return ended.version < o.Version })
	}
	if a.backends[id.backend] == nil {
		a.backends[id.backend] = make(map[int]struct{})
	}
	a.backends[id.backend][id.index] = struct{}{}
}

// outdate marks the objects by which a limit has ended, and after which it was named again. A share that
// was written or given back later was one of a limit that was in force. The caller holds mu.
func (a *Allocator) outdate(backend carawaybeam.BackendIncarnation, isOutdated func(storedShare) bool) {
	for index := range a.backends[backend] {
		id := shareID{backend: backend, index: index}
		if o := a.stored[id]; o.Ended && !o.outdated && isOutdated(o) {
			o.outdated = true
			a.stored[id] = o
		}
	}
}

// isHeldSince reports whether a share of a limit was written after a version. The caller holds mu.
func (a *Allocator) isHeldSince(backend carawaybeam.BackendIncarnation, version carawaybeam.StoreVersion) bool {
	for index := range a.backends[backend] {
		if o := a.stored[shareID{backend: backend, index: index}]; !o.Ended && o.version > version {
			return true
		}
	}
	return false
}

// forget forgets the object of a share. The caller holds mu.
func (a *Allocator) forget(id shareID) {
	delete(a.stored, id)
	delete(a.backends[id.backend], id.index)
	if len(a.backends[id.backend]) == 0 {
		delete(a.backends, id.backend)
	}
}

// sweep deletes objects that no entry has written for long. The caller holds mu.
func (a *Allocator) sweep(now time.Duration) {
	for id, o := range a.stored {
		if a.closed || now < o.sweepAt {
			continue
		}
		a.forget(id)
		a.wait.Go(func() {
			ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
			defer cancel()
			a.delete(ctx, id, o.version)
		})
	}
}
