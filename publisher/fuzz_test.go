package publisher_test

import (
	"testing"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/publisher"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

// FuzzApply checks that no content of records of crashes makes a process panic.
func FuzzApply(f *testing.F) {
	for _, value := range []string{
		`{"records":[{"fingerprint":"00ff","crash":"a","at":1,"position":1}]}`,
		`{"records":[{"fingerprint":"00ff","crash":"a","at":9223372036854775807,"position":-9223372036854775808}]}`,
		`{"records":[{"fingerprint":"xx"}]}`, `{"records":null}`, `[]`, ``, `{"records":[{"at":1e400}]}`,
	} {
		f.Add("entry-2", []byte(value))
	}
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		quarantine := quarantiner.New(quarantiner.Partial)
		p := publisher.New(publisher.Options{
			Store: storer.New(), Name: "entry-1", Quarantiner: quarantine, Log: zerolog.Nop(),
		})
		odd := carawaybeam.Object{Kind: carawaybeam.KindCrashes, Name: name, Version: 1, Value: value}
		p.Replace([]carawaybeam.Object{odd})
		p.Apply([]carawaybeam.Object{odd, {Kind: carawaybeam.KindCrashes, Name: name, Deleted: true}})
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
}
