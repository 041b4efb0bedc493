package configurer_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
)

const service = `{"kind":"service","pool":"p","idempotent":false,"targets":{"completed":"2s","completion":"99%"}}`

func class(name string, version carawaybeam.StoreVersion) carawaybeam.Object {
	return carawaybeam.Object{Kind: carawaybeam.KindClass, Name: name, Version: version, Value: []byte(service)}
}

func full(complete carawaybeam.ConfigVersion, objects ...carawaybeam.Object) configurer.Delta {
	return configurer.Delta{Full: true, Complete: complete, Objects: objects}
}

func TestVersionIsThatOfNewestHeldChange(t *testing.T) {
	is := is.New(t)
	c := configurer.New()
	c.Merge(full(100, class("a", 7), class("b", 9)))
	is.Equal(c.Version(), carawaybeam.ConfigVersion(9)) // writes of other kinds do not advance the version
	c.Merge(configurer.Delta{Since: 150, Complete: 200, Objects: []carawaybeam.Object{class("c", 180)}})
	is.Equal(c.Version(), carawaybeam.ConfigVersion(9)) // changes from 100 to 150 are missing
	_, ok := c.Class("c")
	is.True(ok) // the object is in force although earlier changes are missing
	c.Merge(configurer.Delta{Since: 100, Complete: 160})
	is.Equal(c.Version(), carawaybeam.ConfigVersion(9))
	c.Merge(configurer.Delta{Since: 160, Complete: 200})
	is.Equal(c.Version(), carawaybeam.ConfigVersion(180))
}

func TestAdvertisedVersionWithinCompletePartIsAdopted(t *testing.T) {
	is := is.New(t)
	c := configurer.New()
	c.Merge(full(100, class("a", 7)))
	c.Observe(50)
	is.Equal(c.Version(), carawaybeam.ConfigVersion(50)) // no object has this version if it was a deletion
	is.True(!c.IsBehind())
	c.Observe(101)
	is.Equal(c.Version(), carawaybeam.ConfigVersion(50))
	is.True(c.IsBehind())
}

func TestFullReadDetectsDeletions(t *testing.T) {
	is := is.New(t)
	c, late := configurer.New(), configurer.New()
	c.Merge(full(10, class("a", 7), class("b", 9)))
	late.Merge(full(10, class("a", 7), class("b", 9)))
	c.Merge(full(8)) // an older full read deletes nothing
	_, ok := c.Class("b")
	is.True(ok)
	c.Merge(full(20, class("b", 9)))
	_, ok = c.Class("a")
	is.True(!ok)
	late.Merge(c.Delta(late.Complete()))
	_, ok = late.Class("a")
	is.True(!ok) // the deletion is in the delta for a peer
	is.Equal(late.Version(), c.Version())
	late.Merge(full(10, class("a", 7), class("b", 9)))
	_, ok = late.Class("a")
	is.True(!ok)
}

func TestPeerWithoutTombstonesSendsFullDelta(t *testing.T) {
	is := is.New(t)
	fresh, late := configurer.New(), configurer.New()
	late.Merge(full(10, class("a", 7), class("b", 9)))
	fresh.Merge(full(20, class("b", 9))) // never held a
	late.Merge(fresh.Delta(late.Complete()))
	_, ok := late.Class("a")
	is.True(!ok)
}

func TestInvalidObjectIsReportedAndLastValidOneRemains(t *testing.T) {
	is := is.New(t)
	c := configurer.New()
	c.Merge(full(10, class("a", 7)))
	bad := class("a", 12)
	bad.Value = []byte(`{"kind":"service","weights":[1]}`)
	is.Equal(len(c.Merge(configurer.Delta{Since: 10, Complete: 12, Objects: []carawaybeam.Object{bad}})), 1)
	is.Equal(c.Version(), carawaybeam.ConfigVersion(12))
	is.Equal(len(c.Invalid()), 1)
	_, ok := c.Class("a")
	is.True(ok)
	c.Merge(configurer.Delta{Since: 12, Complete: 13, Objects: []carawaybeam.Object{class("a", 13)}})
	is.Equal(len(c.Invalid()), 0)
}

func TestOrganisationsMayShareToken(t *testing.T) {
	is := is.New(t)
	c := configurer.New()
	value := []byte(`{"tokenHash":"` + configurer.HashToken("t") + `"}`)
	org := func(name string, v carawaybeam.StoreVersion, deleted bool) carawaybeam.Object {
		o := carawaybeam.Object{Kind: carawaybeam.KindOrganisation, Name: name, Version: v, Deleted: deleted}
		if !deleted {
			o.Value = value
		}
		return o
	}
	c.Merge(full(5, org("x", 1, false), org("y", 2, false)))
	held, _ := c.Authenticate("t")
	is.Equal(held.ID, carawaybeam.OrganisationID("x"))
	c.Merge(configurer.Delta{Since: 5, Complete: 6, Objects: []carawaybeam.Object{org("x", 6, true)}})
	held, ok := c.Authenticate("t")
	is.True(ok)
	is.Equal(held.ID, carawaybeam.OrganisationID("y"))
}

func TestComposeRefusesInvalidDocuments(t *testing.T) {
	targets := func(first, between, completed, completion string) string {
		return `{"kind":"model","pool":"p","targets":{"firstToken":"` + first + `","betweenTokens":"` + between +
			`","completed":"` + completed + `","completion":"` + completion + `"}}`
	}
	homes := func(list string) string { return strings.Replace(service, "{", `{"homes":`+list+",", 1) }
	for _, test := range []struct{ document, want string }{
		{targets("1.3s", "67ms", "30s", "99.9%"), ""},
		{targets("31s", "67ms", "30s", "99.9%"), "less than targets.completed"},
		{targets("1.3s", "40s", "30s", "99.9%"), "less than targets.completed"},
		{targets("1.3", "67ms", "30s", "99.9%"), "targets.firstToken"},
		{targets("0s", "67ms", "30s", "99.9%"), "targets.firstToken"},
		{targets("1.3s", "67ms", "48h", "99.9%"), "targets.completed"},
		{targets("1.3s", "67ms", "30s", "0.999"), "targets.completion"},
		{targets("1.3s", "67ms", "30s", "101%"), "targets.completion"},
		{targets("1.3s", "67ms", "30s", "NaN%"), "targets.completion"},
		{`{"kind":"service","pool":"p","targets":{"firstToken":"1s","completed":"2s","completion":"99%"}}`, "token"},
		{`{"kind":"service","pool":"p","weights":{"a":1}}`, "not for operators to set"},
		{`{"kind":"service","pool":"p","Address":"10.0.0.1:1"}`, "not for operators to set"},
		{`{"kind":"service","pool":"p","speed":1}`, "speed"},
		{homes(`["north","south"]`), ""},
		{homes(`[]`), ""},
		{homes(`["north",""]`), "homes"},
		{homes(`"north"`), "homes"},
		{homes(`[3]`), "homes"},
		{homes(`["` + strings.Repeat("x", 129) + `"]`), "homes"},
		{homes(`["x"` + strings.Repeat(`,"x"`, 5000) + `]`), "homes"},
		{`[]`, "cannot unmarshal"},
	} {
		t.Run(test.document, func(t *testing.T) {
			is := is.New(t)
			change := configurer.ChangeRecord{}.Next("id", "ann", time.Now())
			_, err := configurer.Compose(carawaybeam.KindClass, "a", []byte(test.document), change)
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
	var field *configurer.FieldError
	_, err := configurer.Compose(carawaybeam.KindClass, "../a", []byte(service), &configurer.ChangeRecord{})
	is.New(t).True(errors.As(err, &field))
}

// TestOlderCopyOfTheStore guards against undoing operators' changes when the store comes
// back from a copy that lacks them, and against ignoring what they write then.
func TestOlderCopyOfTheStore(t *testing.T) {
	is := is.New(t)
	object := func(name string, era carawaybeam.StoreEra, revision carawaybeam.StoreRevision, record string,
	) carawaybeam.Object {
		o := class(name, carawaybeam.NewStoreVersion(era, revision))
		o.Value = []byte(strings.Replace(service, "{", `{"change":`+record+`,`, 1))
		return o
	}
	complete := func(era carawaybeam.StoreEra, revision carawaybeam.StoreRevision) carawaybeam.ConfigVersion {
		return carawaybeam.ConfigVersion(carawaybeam.NewStoreVersion(era, revision))
	}
	const (
		first   = `{"id":"1"}`
		removal = `{"id":"2","previous":["1"],"deleted":true}`
		again   = `{"id":"3","previous":["1"]}`
		created = `{"id":"4"}`
	)
	c, peer := configurer.New(), configurer.New()
	c.Merge(
		full(complete(1, 10), object("withdrawn", 1, 5, first), class("removed", carawaybeam.NewStoreVersion(1, 6))),
	)
	c.Merge(configurer.Delta{Since: complete(1, 10), Complete: complete(1, 12), Objects: []carawaybeam.Object{
		object("withdrawn", 1, 11, removal), object("created", 1, 12, created),
	}})
	copied := full(complete(2, 10), object("withdrawn", 2, 5, first))
	lost := c.Merge(copied)
	is.Equal(len(lost), 2) // Each lost change is reported.
	_, ok := c.Class("withdrawn")
	is.True(!ok)
	_, ok = c.Class("created")
	is.True(ok)
	_, ok = c.Class("removed")
	is.True(!ok) // No operator's record says that it should be there.
	peer.Merge(copied)
	c.Merge(peer.Delta(c.Complete()))
	_, ok = c.Class("withdrawn")
	is.True(!ok)
	c.Merge(configurer.Delta{Since: complete(2, 10), Complete: complete(2, 11), Objects: []carawaybeam.Object{
		object("withdrawn", 2, 11, again),
	}})
	_, ok = c.Class("withdrawn")
	is.True(ok)
}

// TestHomesOfOrganisation guards against homes that are lost, or not checked, in documents of organisations.
func TestHomesOfOrganisation(t *testing.T) {
	is := is.New(t)
	document := `{"tokenHash":"` + configurer.HashToken("t") + `","homes":["north"]}`
	org, err := configurer.DecodeOrganisation("a", []byte(document))
	is.NoErr(err)
	is.Equal(org.Homes, []carawaybeam.Region{"north"})
	_, err = configurer.DecodeOrganisation("a", []byte(strings.Replace(document, "north", "", 1)))
	var field *configurer.FieldError
	is.True(errors.As(err, &field))
	class, err := configurer.DecodeClass("a", []byte(strings.Replace(service, "{", `{"homes":["south"],`, 1)))
	is.NoErr(err)
	is.Equal(class.Homes, []carawaybeam.Region{"south"})
}
