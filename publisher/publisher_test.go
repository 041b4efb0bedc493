package publisher_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/follower"
	"github.com/carawaybeam/carawaybeam/publisher"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// shareTime is the time within which all entries must know of a crash.
const shareTime = time.Second

// entry is the part of an entry that shares records.
type entry struct {
	*quarantiner.Quarantiner
	publisher *publisher.Publisher
	follower  *follower.Follower
}

func startEntry(store carawaybeam.Store, name string) *entry {
	e := &entry{Quarantiner: quarantiner.New(quarantiner.Partial)}
	e.publisher = publisher.New(publisher.Options{
		Store: store, Name: name, Quarantiner: e.Quarantiner, Log: zerolog.Nop(),
	})
	began := time.Now()
	e.follower = follower.New(follower.Options{
		Store: store, Kind: carawaybeam.KindCrashes, Sink: e.publisher,
		Clock: func() time.Duration { return time.Since(began) }, Wait: 4 * time.Second, Log: zerolog.Nop(),
	})
	return e
}

func (e *entry) close() {
	_ = e.follower.Close()
	_ = e.publisher.Close()
}

// newStore returns a store that holds an object, as the platform's store does from its start.
func newStore(t *testing.T) *storer.Storer {
	t.Helper()
	store := storer.New()
	if _, err := store.Put(
		t.Context(),
		carawaybeam.Object{Kind: "other", Name: "o", Value: []byte("1")},
		0,
	); err != nil {
		t.Fatal(err)
	}
	return store
}

func startEntries(store carawaybeam.Store, n int) []*entry {
	entries := make([]*entry, n)
	for i := range entries {
		entries[i] = startEntry(store, fmt.Sprint("entry-", i))
	}
	time.Sleep(shareTime)
	return entries
}

// TestCrashesAtDifferentEntries guards against a request that comes again at another entry
// each time and crashes backend servers there.
func TestCrashesAtDifferentEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		entries := startEntries(newStore(t), 3)
		entries[0].Add("g", "1")
		time.Sleep(shareTime)
		is.Equal(entries[2].Status("g"), quarantiner.Suspect)
		entries[1].Add("g", "2")
		time.Sleep(shareTime)
		for _, e := range entries {
			is.Equal(e.Status("g"), quarantiner.Quarantined)
			e.close()
		}
	})
}

// TestAllEntriesRestart guards against a quarantine that is lost when all entries are
// killed at the same time.
func TestAllEntriesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore(t)
		for crash := range 2 {
			entries := startEntries(store, 3)
			entries[0].Add("g", quarantiner.CrashID(fmt.Sprint(crash)))
			time.Sleep(shareTime)
			for _, e := range entries {
				e.close()
			}
		}
		for _, e := range startEntries(store, 3) {
			is.True(e.publisher.Loaded())
			is.Equal(e.Status("g"), quarantiner.Quarantined)
			e.close()
		}
	})
}

// TestStoreFaults checks that all entries know of a crash soon after the store answers
// again, also if it lost the answers of writes.
func TestStoreFaults(t *testing.T) {
	for _, mode := range []storer.FaultMode{storer.FaultDown, storer.FaultLostAnswer, storer.FaultLateWrite} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newStore(t)
				entries := startEntries(store, 3)
				store.SetFault(storer.Fault{Mode: mode, Delay: 2 * time.Second})
				entries[0].Add("g", "1")
				entries[1].Add("g", "2")
				time.Sleep(shareTime)
				is.True(mode != storer.FaultDown || !entries[0].publisher.Published("g"))
				time.Sleep(9 * time.Second)
				store.SetFault(storer.Fault{})
				time.Sleep(2 * shareTime)
				for _, e := range entries {
					is.Equal(e.Status("g"), quarantiner.Quarantined)
					is.True(e.publisher.Published("g"))
					e.close()
				}
			})
		})
	}
}

// TestSilentWatch guards against an entry that takes its crashes for shared while its watch
// of the store shows nothing, so that it cannot know the crashes of other entries.
func TestSilentWatch(t *testing.T) {
	for _, mode := range []storer.FaultMode{storer.FaultSilentWatch, storer.FaultStaleWatch} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newStore(t)
				entries := startEntries(store, 2)
				entries[0].Add("known", "1")
				time.Sleep(shareTime)
				store.SetFault(storer.Fault{Mode: mode})
				time.Sleep(5 * time.Second) // A watch that began before the fault ends.
				entries[0].Add("g", "2")
				entries[1].Add("culprit", "2")
				time.Sleep(shareTime)
				is.True(entries[0].publisher.Published("known"))
				is.True(!entries[0].publisher.Published("g"))
				store.SetFault(storer.Fault{})
				time.Sleep(5 * time.Second)
				// The fake store never ends a silent watch.
				is.Equal(entries[0].publisher.Published("g"), mode == storer.FaultStaleWatch)
				is.Equal(len(entries[0].Crashes("culprit")) == 1, mode == storer.FaultStaleWatch)
				for _, e := range entries {
					e.close()
				}
			})
		})
	}
}

// TestPublishedSoon checks that crashes are shared soon, also by an entry that other crashes
// keep busy.
func TestPublishedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		entries := startEntries(newStore(t), 2)
		entries[0].Add("g", "1")
		time.Sleep(100 * time.Millisecond)
		is.True(entries[0].publisher.Published("g"))
		is.True(entries[1].publisher.Published("g"))
		entries[0].Add("other", "2")
		is.True(!entries[0].publisher.Published("other"))
		is.True(entries[0].publisher.Published("g"))
		for _, e := range entries {
			e.close()
		}
	})
}

// TestClearedRecordsAreShared checks that a request that one entry has seen answered is no
// longer suspect at the others.
func TestClearedRecordsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		entries := startEntries(newStore(t), 2)
		entries[0].Add("a", "1")
		time.Sleep(shareTime)
		entries[1].Clear("a")
		time.Sleep(2 * shareTime)
		for _, e := range entries {
			is.Equal(e.Status("a"), quarantiner.Clear)
			e.close()
		}
	})
}

// TestWritesAreBounded checks that an entry writes once for a crash, that others do not
// repeat what the store has, and that cleared records are written together.
func TestWritesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore(t)
		entries := startEntries(store, 5)
		for i := range 12 {
			entries[0].Add(quarantiner.Fingerprint(fmt.Sprint(i)), "1")
		}
		time.Sleep(shareTime)
		for i := range 12 { // They are answered one after another.
			entries[i%5].Clear(quarantiner.Fingerprint(fmt.Sprint(i)))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		is.True(store.Counts().Writes <= 1+2+2*5)
		for _, e := range entries {
			e.close()
		}
	})
}

// TestTooManyRecords guards against an entry that writes again and again because its object
// cannot hold all records.
func TestTooManyRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore(t)
		entries := startEntries(store, 1)
		records := make([]quarantiner.Record, 0, 6000)
		for i := range 3000 {
			for _, crash := range []quarantiner.CrashID{"1", "2"} {
				records = append(records, quarantiner.Record{
					Fingerprint: quarantiner.Fingerprint(fmt.Sprint(i)), Crash: crash, At: time.Now(),
				})
			}
		}
		entries[0].Merge(records)
		time.Sleep(time.Minute)
		is.True(store.Counts().Writes <= 1+2)
		entries[0].close()
	})
}

// TestExpiredObjectsAreDeleted checks that the objects of entries that no longer exist do
// not stay in the store forever.
func TestExpiredObjectsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore(t)
		first := startEntry(store, "entry-0")
		time.Sleep(shareTime)
		first.Add("g", "1")
		time.Sleep(shareTime)
		first.close()
		time.Sleep(2 * time.Hour)
		second := startEntry(store, "entry-1")
		time.Sleep(shareTime)
		objects, _, err := store.List(t.Context(), carawaybeam.KindCrashes)
		is.NoErr(err)
		is.Equal(len(objects), 0)
		second.close()
	})
}

// TestOlderCopy guards against crashes that are forgotten when the store comes back from a
// copy that lacks them, and against all entries writing them again at once.
func TestOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore(t)
		store.SetEra(1)
		entries := make([]*entry, 60)
		for i := range entries {
			entries[i] = startEntry(store.NewClient(zerolog.Nop()), fmt.Sprint("entry-", i))
		}
		time.Sleep(shareTime)
		copied := store.Snapshot()
		entries[0].Add("g", "1")
		entries[1].Add("g", "2")
		time.Sleep(shareTime)
		store.Restore(copied)
		entries[0].close() // Others have its record.
		before := store.Counts().Writes
		time.Sleep(3 * time.Second)
		is.True(store.Counts().Writes-before <= len(entries)/4)
		restarted := startEntry(store.NewClient(zerolog.Nop()), "restarted")
		time.Sleep(shareTime)
		is.Equal(restarted.Status("g"), quarantiner.Quarantined)
		for _, e := range append(entries[1:], restarted) {
			e.close()
		}
	})
}
