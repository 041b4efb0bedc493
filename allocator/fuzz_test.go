package allocator_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/allocator"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
)

// FuzzApply checks that no content of a share makes a process panic, or gives this entry requests
// beyond the limit that it was told.
func FuzzApply(f *testing.F) {
	for _, value := range []string{
		`{"backend":"b","started":1,"index":0,"limit":4,"holder":"entry-2"}`,
		`{"backend":"b","started":1,"index":-9223372036854775808,"limit":-1}`,
		`{"backend":"b","started":1,"index":9223372036854775807,"limit":1e308}`,
		`{"limit":1e400}`, `[]`, ``,
	} {
		f.Add("b.1.0", []byte(value))
	}
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		began := time.Now()
		a := allocator.New(allocator.Options{
			Store: storer.New(), Name: "entry-1", Clock: func() time.Duration { return time.Since(began) },
			Entries: func() int { return 2 }, Era: func() carawaybeam.StoreEra { return 0 },
			Age: func() (time.Duration, bool) { return 0, true }, Log: zerolog.Nop(),
		})
		odd := carawaybeam.Object{Kind: carawaybeam.KindLimit, Name: name, Version: 1, Value: value}
		a.Replace([]carawaybeam.Object{odd})
		a.Apply([]carawaybeam.Object{odd})
		backend := carawaybeam.BackendIncarnation{ID: "b", Started: 1}
		if a.Take(backend, 1) {
			t.Error("request is sent without a share")
		}
		_, _ = a.NextIn(backend, 1)
		_, _ = a.Limit(backend)
		a.Apply([]carawaybeam.Object{{Kind: carawaybeam.KindLimit, Name: name, Deleted: true}})
		if err := a.Close(); err != nil {
			t.Error(err)
		}
	})
}
