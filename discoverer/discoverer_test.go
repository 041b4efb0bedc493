package discoverer_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/discoverer"
	"github.com/carawaybeam/carawaybeam/platform"
)

// outage is the last outage of the store, as returned by SinceOutage.
type outage struct {
	failed bool
	since  time.Duration
}

func newDiscoverer(o *outage) *discoverer.Discoverer {
	return discoverer.New(discoverer.Options{
		// The value of an announcement is the start of the incarnation, after a
		// minus sign if it is leaving.
		Decode: func(object carawaybeam.Object) (carawaybeam.Instance, error) {
			// Names that differ only in case have the same address.
			instance := carawaybeam.Instance{Pool: "p", Address: carawaybeam.Address(strings.ToLower(object.Name))}
			instance.ID = carawaybeam.BackendID(object.Name)
			switch value := string(object.Value); {
			case value == "":
				return instance, errors.New("unreadable")
			case value[0] == '-':
				instance.Leaving = true
				instance.Started = int64(value[1])
			default:
				instance.Started = int64(value[0])
			}
			return instance, nil
		},
		SinceOutage: func() (time.Duration, bool) { return o.since, o.failed },
		Log:         zerolog.Nop(),
	})
}

func object(name, value string) carawaybeam.Object {
	return carawaybeam.Object{Name: name, Value: []byte(value)}
}

func gone(name string) carawaybeam.Object { return carawaybeam.Object{Name: name, Deleted: true} }

func names(d *discoverer.Discoverer) string {
	list := ""
	for _, instance := range d.Instances("p") {
		list += string(instance.ID)
	}
	return list
}

// TestLeavingIsFinal fails if an incarnation that has announced that it is
// leaving becomes available again through an older state of the store, or if
// its successor does not become available.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	d := newDiscoverer(&outage{})
	is.True(!d.Loaded())
	d.Replace([]carawaybeam.Object{object("a", "1"), object("b", "1")})
	is.True(d.Loaded())
	is.Equal(names(d), "ab")
	d.Apply([]carawaybeam.Object{object("a", "-1")})
	is.Equal(names(d), "b")
	d.Replace([]carawaybeam.Object{object("a", "1"), object("b", "1")}) // an older state of the store
	is.Equal(names(d), "b")
	d.Apply([]carawaybeam.Object{gone("a")})
	d.Apply([]carawaybeam.Object{object("a", "2")})
	is.Equal(names(d), "ab")
}

// TestManyEnded guards against a backend server that has announced that it leaves and is used again
// because many others have left before it.
func TestManyEnded(t *testing.T) {
	is := is.New(t)
	d := newDiscoverer(&outage{})
	for i := range 4096 {
		name := fmt.Sprint("old", i)
		d.Apply([]carawaybeam.Object{object(name, "-1"), gone(name)})
		if i == 4094 {
			d.Apply([]carawaybeam.Object{object("a", "-1")})
		}
	}
	d.Replace([]carawaybeam.Object{object("a", "1")})
	is.Equal(names(d), "")
}

// TestUnreadableAnnouncement fails if a backend server with an invalid
// announcement is used, or if it affects the others.
func TestUnreadableAnnouncement(t *testing.T) {
	is := is.New(t)
	d := newDiscoverer(&outage{})
	d.Replace([]carawaybeam.Object{object("a", "1"), object("b", "")})
	is.Equal(names(d), "a")
	d.Apply([]carawaybeam.Object{object("a", "")})
	is.Equal(names(d), "")
}

// TestLapsedDuringStoreOutage fails if backend servers whose announcements
// lapsed in a store outage are dropped before they can be announced again, or
// kept longer than that.
func TestLapsedDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &outage{}
		d := newDiscoverer(o)
		d.Replace([]carawaybeam.Object{object("a", "1"), object("b", "1"), object("c", "-1")})
		*o = outage{failed: true, since: 100 * time.Millisecond}
		d.Replace(nil)
		is.Equal(names(d), "ab") // c was leaving and is gone
		time.Sleep(time.Second)
		d.Apply([]carawaybeam.Object{object("a", "1")})
		time.Sleep(time.Second)
		is.Equal(names(d), "a")
	})
}

// TestGoneAtOnce fails if a withdrawn backend server stays in use although
// there was no recent store outage.
func TestGoneAtOnce(t *testing.T) {
	for name, o := range map[string]outage{
		"never failed":    {},
		"failed long ago": {failed: true, since: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDiscoverer(&o)
			d.Replace([]carawaybeam.Object{object("a", "1"), object("b", "1")})
			d.Apply([]carawaybeam.Object{gone("a")})
			is.Equal(names(d), "b")
			pool, ok := d.PoolAt("b")
			is.True(ok)
			is.Equal(pool, carawaybeam.PoolID("p"))
			_, ok = d.PoolAt("a")
			is.True(!ok)
		})
	}
}

// TestLaterIncarnationAtTheAddress fails if the earlier of two incarnations at
// one address is used, as after a power failure, when the announcements of the
// earlier incarnations have not lapsed yet.
func TestLaterIncarnationAtTheAddress(t *testing.T) {
	is := is.New(t)
	d := newDiscoverer(&outage{})
	d.Replace([]carawaybeam.Object{object("a", "1"), object("b", "1")})
	d.Apply([]carawaybeam.Object{object("A", "2")})
	is.Equal(names(d), "Ab")
	d.Apply([]carawaybeam.Object{gone("A")})
	is.Equal(names(d), "ab")
}

// TestMisdirected fails if an incarnation is used although another backend
// server answers at its address.
func TestMisdirected(t *testing.T) {
	is := is.New(t)
	d := newDiscoverer(&outage{})
	d.Replace([]carawaybeam.Object{object("a", "2"), object("b", "1")})
	d.ReportMisdirected(carawaybeam.BackendIncarnation{ID: "a", Started: '1'}) // another incarnation
	is.Equal(names(d), "ab")
	d.ReportMisdirected(carawaybeam.BackendIncarnation{ID: "a", Started: '2'})
	is.Equal(names(d), "b")
	d.Apply([]carawaybeam.Object{object("a", "2")})
	is.Equal(names(d), "b")
	d.Apply([]carawaybeam.Object{object("a", "3")})
	is.Equal(names(d), "ab")
}

// inEra gives an object the version of an era of the store.
func inEra(era carawaybeam.StoreEra, o carawaybeam.Object) carawaybeam.Object {
	o.Version = carawaybeam.NewStoreVersion(era, 1)
	return o
}

// TestOlderCopy fails if a backend server that has left becomes available again through
// an older copy of the store, if one that is alive does not, or if one whose
// announcement the copy lacks is dropped before it can announce itself again.
func TestOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDiscoverer(&outage{})
		d.Replace([]carawaybeam.Object{
			inEra(1, object("a", "1")), inEra(1, object("b", "1")), inEra(1, object("c", "1")),
			inEra(1, object("d", "1")), inEra(1, object("new", "1")),
		})
		d.Apply([]carawaybeam.Object{inEra(1, object("a", "-1")), gone("a"), gone("b"), gone("c"), gone("d")})
		is.Equal(names(d), "new")
		copied := []carawaybeam.Object{
			inEra(2, object("a", "1")), inEra(2, object("b", "1")), inEra(2, object("c", "1")),
			inEra(2, object("d", "1")),
		}
		d.Replace(copied)
		is.Equal(names(d), "new")
		d.Replace(copied) // Read again in the same era.
		is.Equal(names(d), "new")
		time.Sleep(time.Second)
		renewed := object("c", "1")
		renewed.Version = carawaybeam.NewStoreVersion(2, 9)
		d.Apply([]carawaybeam.Object{renewed, inEra(2, object("new", "1"))})
		is.Equal(names(d), "cnew")
		time.Sleep(2 * time.Second)
		d.Apply([]carawaybeam.Object{gone("b")}) // It has not renewed its announcement.
		time.Sleep(5 * time.Second)
		is.Equal(names(d), "cdnew")
	})
}

// TestKnownIncludesLeaving checks that a backend server that receives no more requests is known
// as long as it is announced: its rank still takes part in the steps of its group.
func TestKnownIncludesLeaving(t *testing.T) {
	is := is.New(t)
	d := newDiscoverer(&outage{})
	d.Replace([]carawaybeam.Object{object("a", "1"), object("b", "-1")})
	is.Equal(names(d), "a")
	is.Equal(len(d.Known()), 2)
}

// TestInvalidAnnouncementIsLoggedOnce guards against a log that is filled by one odd announcement
// of another writer, which is read again and again and may have a long name.
func TestInvalidAnnouncementIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	decode := func(o carawaybeam.Object) (carawaybeam.Instance, error) { return platform.Dialect{}.DecodeInstance(o) }
	d := discoverer.New(discoverer.Options{
		Decode: decode, SinceOutage: func() (time.Duration, bool) { return 0, false }, Log: zerolog.New(&log),
	})
	odd := object(strings.Repeat("x", 1<<20), `{"state":"odd"}`)
	for range 1000 {
		d.Replace([]carawaybeam.Object{odd})
		d.Apply([]carawaybeam.Object{odd})
	}
	is.Equal(strings.Count(log.String(), "announcement is invalid"), 1)
	is.True(log.Len() < 1000)
	// Another fault of the same announcement is logged.
	odd.Value = nil
	d.Apply([]carawaybeam.Object{odd})
	is.Equal(strings.Count(log.String(), "announcement is invalid"), 2)
}

// TestForeignAnnouncementAtTheAddress guards against hiding a sound backend server for good because
// another writer has announced something else at its address, of whatever pool and start.
func TestForeignAnnouncementAtTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDiscoverer(&outage{})
		d.Replace([]carawaybeam.Object{object("a", "1"), object("b", "1")})
		// The pool has another backend server: until the earlier one would have lapsed, that is used.
		d.Apply([]carawaybeam.Object{object("A", "9")})
		is.Equal(names(d), "Ab")
		time.Sleep(4 * time.Second)
		// Writing it again does not hide the earlier one for longer.
		d.Apply([]carawaybeam.Object{object("A", "9")})
		is.Equal(names(d), "Ab")
		time.Sleep(time.Second + time.Millisecond)
		is.Equal(names(d), "Aab")
		// The backend server tells which of the two it is.
		d.ReportMisdirected(carawaybeam.BackendIncarnation{ID: "A", Started: '9'})
		is.Equal(names(d), "ab")
	})
}

// TestForeignAnnouncementsAtAllAddresses guards against a pool without backend servers because another
// writer has announced something else at all their addresses.
func TestForeignAnnouncementsAtAllAddresses(t *testing.T) {
	is := is.New(t)
	d := discoverer.New(discoverer.Options{
		Decode: func(o carawaybeam.Object) (carawaybeam.Instance, error) {
			start, pool := int64(1), carawaybeam.PoolID("p")
			if strings.HasPrefix(o.Name, "foreign-") {
				start, pool = 1<<40, "other"
			}
			return carawaybeam.Instance{
				BackendIncarnation: carawaybeam.BackendIncarnation{ID: carawaybeam.BackendID(o.Name), Started: start},
				Pool:               pool, Address: carawaybeam.Address(strings.TrimPrefix(o.Name, "foreign-")),
			}, nil
		},
		SinceOutage: func() (time.Duration, bool) { return 0, false }, Log: zerolog.Nop(),
	})
	d.Replace([]carawaybeam.Object{object("foreign-a", ""), object("a", ""), object("foreign-b", ""), object("b", "")})
	is.Equal(names(d), "ab")
}
