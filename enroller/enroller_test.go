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

// TestEnrolment enrols an entry although the store is down at first, replaces the
// object of its earlier life, and takes it back at the end.
func TestEnrolment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := storer.New()
		_, err := store.Put(t.Context(), carawaybeam.Object{
			Kind: carawaybeam.KindEntry, Name: "e", Value: []byte(`{"statuses":"old"}`),
		}, 0)
		is.NoErr(err)
		store.Order(storer.Fault{Mode: storer.FaultDown})
		e := enroller.New(enroller.Options{
			Store: store, Entry: enroller.Entry{Name: "e", StatusAddress: "10.0.0.1:1"}, Log: zerolog.Nop(),
		})
		time.Sleep(3 * time.Second)
		store.Order(storer.Fault{Mode: storer.FaultNone})
		time.Sleep(2 * time.Second)
		roll := enroller.NewEntrySet(zerolog.Nop())
		objects, _, err := store.List(t.Context(), carawaybeam.KindEntry)
		is.NoErr(err)
		roll.Replace(objects)
		is.Equal(roll.Len(), 1)
		is.Equal(roll.Entries()[0].StatusAddress, carawaybeam.Address("10.0.0.1:1"))
		is.NoErr(e.Close())
		objects, _, err = store.List(t.Context(), carawaybeam.KindEntry)
		is.NoErr(err)
		is.Equal(len(objects), 0)
	})
}

func TestRoll(t *testing.T) {
	is := is.New(t)
	roll := enroller.NewEntrySet(zerolog.Nop())
	roll.Apply([]carawaybeam.Object{
		{Name: "b", Value: []byte(`{"statuses":"2"}`)},
		{Name: "a", Value: []byte(`{"statuses":"1"}`)},
		{Name: "c", Value: []byte(`{`)},
	})
	is.Equal(roll.Len(), 2)
	is.Equal(roll.Entries()[0].Name, "a")
	roll.Apply([]carawaybeam.Object{{Name: "a", Deleted: true}})
	is.Equal(roll.Len(), 1)
}
