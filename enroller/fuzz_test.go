package enroller_test

import (
	"testing"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/enroller"
)

// FuzzApply checks that no content of an enrolled entry makes a process panic, or removes another one.
func FuzzApply(f *testing.F) {
	for _, value := range []string{
		`{"statusAddress":"10.0.0.1:80"}`, `{"statusAddress":7}`, `[]`, ``, `{"incarnation":"i"}`,
	} {
		f.Add("entry-2", []byte(value))
	}
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		s := enroller.NewEntrySet(zerolog.Nop())
		sound := carawaybeam.Object{
			Kind: carawaybeam.KindEntry, Name: "entry-1", Version: 1, Value: []byte(`{"statusAddress":"10.0.0.2:80"}`),
		}
		odd := carawaybeam.Object{Kind: carawaybeam.KindEntry, Name: name + "-odd", Version: 2, Value: value}
		s.Replace([]carawaybeam.Object{sound, odd})
		s.Apply([]carawaybeam.Object{odd})
		if !s.Elects("request", "entry-1") && s.Len() < 2 {
			t.Errorf("entries are %+v", s.Entries())
		}
		s.Apply([]carawaybeam.Object{{Kind: carawaybeam.KindEntry, Name: odd.Name, Deleted: true}})
		if s.Len() != 1 {
			t.Errorf("entries are %+v", s.Entries())
		}
	})
}
