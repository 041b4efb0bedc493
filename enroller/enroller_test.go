package enroller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/enroller"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
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
