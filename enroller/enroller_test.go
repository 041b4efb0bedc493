package enroller_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/enroller"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/follower"
)

// TestEnrolment checks that an entry is enrolled although the store is down at
// first, that it replaces the object of its earlier incarnation, and that Close
// removes it.
func TestEnrolment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := storer.New()
		_, err := store.Put(t.Context(), carawaybeam.Object{
			Kind: carawaybeam.KindEntry, Name: "e", Value: []byte(`{"statuses":"old"}`),
		}, 0)
		is.NoErr(err)
		store.SetFault(storer.Fault{Mode: storer.FaultDown})
		e := enroller.New(enroller.Options{
			Store: store, Entry: enroller.Entry{Name: "e", StatusAddress: "10.0.0.1:1"}, Log: zerolog.Nop(),
		})
		time.Sleep(3 * time.Second)
		store.SetFault(storer.Fault{Mode: storer.FaultNone})
		time.Sleep(2 * time.Second)
		set := enroller.NewEntrySet(zerolog.Nop())
		objects, _, err := store.List(t.Context(), carawaybeam.KindEntry)
		is.NoErr(err)
		set.Replace(objects)
		is.Equal(set.Len(), 1)
		is.Equal(set.Entries()[0].StatusAddress, carawaybeam.Address("10.0.0.1:1"))
		is.NoErr(e.Close())
		objects, _, err = store.List(t.Context(), carawaybeam.KindEntry)
		is.NoErr(err)
		is.Equal(len(objects), 0)
	})
}

// TestEntrySet checks that entries are sorted by name, undecodable objects are
// skipped and deleted objects are removed.
func TestEntrySet(t *testing.T) {
	is := is.New(t)
	set := enroller.NewEntrySet(zerolog.Nop())
	set.Apply([]carawaybeam.Object{
		{Name: "b", Value: []byte(`{"statuses":"2"}`)},
		{Name: "a", Value: []byte(`{"statuses":"1"}`)},
		{Name: "c", Value: []byte(`{`)},
	})
	is.Equal(set.Len(), 2)
	is.Equal(set.Entries()[0].Name, "a")
	set.Apply([]carawaybeam.Object{{Name: "a", Deleted: true}})
	is.Equal(set.Len(), 1)
}

// follow makes a follower of the store keep a set of entries up to date.
func follow(store carawaybeam.Store) (*enroller.EntrySet, *follower.Follower) {
	set := enroller.NewEntrySet(zerolog.Nop())
	started := time.Now()
	return set, follower.New(follower.Options{
		Store: store, Kind: carawaybeam.KindEntry, Sink: set, Wait: 4 * time.Second, Log: zerolog.Nop(),
		Clock: func() time.Duration { return time.Since(started) },
	})
}

// TestEnrolmentOverOlderCopy guards against entries that stay out of the store, or out of
// use by others meanwhile, once it has come back from a copy that lacks them, and against
// the return of entries that had been removed.
func TestEnrolmentOverOlderCopy(t *testing.T) {
	for name, others := range map[string]bool{"empty copy": false, "copy of others": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, store := is.New(t), storer.New()
				store.SetEra(1)
				var client carawaybeam.Store
				enrol := func(name string) (*enroller.Enroller, *enroller.EntrySet, *follower.Follower) {
					client = store.NewClient(zerolog.Nop())
					set, f := follow(client)
					return enroller.New(enroller.Options{
						Store: client, Entry: enroller.Entry{Name: name}, Entries: set, Log: zerolog.Nop(),
					}), set, f
				}
				var ended *enroller.Enroller
				var endedFollower *follower.Follower
				if others {
					ended, _, endedFollower = enrol("ended")
					time.Sleep(time.Second)
				}
				copied := store.Snapshot()
				e, set, f := enrol("e")
				time.Sleep(5 * time.Second)
				if others {
					is.NoErr(ended.Close())
					is.NoErr(endedFollower.Close())
					time.Sleep(time.Second)
				}
				is.Equal(set.Len(), 1)
				store.Restore(copied)
				z := carawaybeam.Object{Kind: carawaybeam.KindEntry, Name: "z", Value: []byte("{}")}
				_, err := store.Put(t.Context(), z, 0)
				is.NoErr(err)
				// Another call of the process shows the new era.
				_, err = client.Get(t.Context(), carawaybeam.KindEntry, "e")
				is.True(err != nil)
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					is.True(set.Len() >= 1)
				}
				_, err = store.Get(t.Context(), carawaybeam.KindEntry, "e")
				is.NoErr(err)
				objects, _, err := store.List(t.Context(), carawaybeam.KindEntry)
				is.NoErr(err)
				is.Equal(len(objects), 2) // e and z
				is.NoErr(e.Close())
				objects, _, err = store.List(t.Context(), carawaybeam.KindEntry)
				is.NoErr(err)
				is.Equal(len(objects), 1)
				is.NoErr(f.Close())
			})
		})
	}
}

// TestElects checks that entries agree on the one that is chosen for a key, and that another one
// is chosen once it has left.
func TestElects(t *testing.T) {
	is := is.New(t)
	set := enroller.NewEntrySet(zerolog.Nop())
	is.True(set.Elects("key", "a"))
	names := []string{"a", "b", "c"}
	for _, name := range names {
		set.Apply([]carawaybeam.Object{{Name: name, Value: []byte(`{}`)}})
	}
	elected := func() []string {
		return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !set.Elects("key", name) })
	}
	first := elected()
	is.Equal(len(first), 1)
	set.Apply([]carawaybeam.Object{{Name: first[0], Deleted: true}})
	second := elected()
	is.Equal(len(second), 1)
	is.True(first[0] != second[0])
}
