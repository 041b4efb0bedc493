package curator_test

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/curator"
)

// outage tells a Curator of the store's last outage.
type outage struct {
	lost  bool
	since time.Duration
}

func newCurator(o *outage) *curator.Curator {
	return curator.New(curator.Options{
		// An announcement is its life, with a minus sign once it leaves.
		Decode: func(object carawaybeam.Object) (carawaybeam.Instance, error) {
			// Names that differ in case only have one address.
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
		SinceOutage: func() (time.Duration, bool) { return o.since, o.lost },
		Log:         zerolog.Nop(),
	})
}

func object(name, value string) carawaybeam.Object {
	return carawaybeam.Object{Name: name, Value: []byte(value)}
}

func gone(name string) carawaybeam.Object { return carawaybeam.Object{Name: name, Deleted: true} }

func names(c *curator.Curator) string {
	list := ""
	for _, instance := range c.Instances("p") {
		list += string(instance.ID)
	}
	return list
}

// TestLeavingIsFinal keeps a life that has said that it leaves from getting work,
// whatever comes later, and lets its next life have some.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	c := newCurator(&outage{})
	is.True(!c.Loaded())
	c.Replace([]carawaybeam.Object{object("a", "1"), object("b", "1")})
	is.True(c.Loaded())
	is.Equal(names(c), "ab")
	c.Apply([]carawaybeam.Object{object("a", "-1")})
	is.Equal(names(c), "b")
	c.Replace([]carawaybeam.Object{object("a", "1"), object("b", "1")}) // An older state of the store.
	is.Equal(names(c), "b")
	c.Apply([]carawaybeam.Object{gone("a")})
	c.Apply([]carawaybeam.Object{object("a", "2")})
	is.Equal(names(c), "ab")
}

// TestUnreadableAnnouncement names no backend server to use; the others hold.
func TestUnreadableAnnouncement(t *testing.T) {
	is := is.New(t)
	c := newCurator(&outage{})
	c.Replace([]carawaybeam.Object{object("a", "1"), object("b", "")})
	is.Equal(names(c), "a")
	c.Apply([]carawaybeam.Object{object("a", "")})
	is.Equal(names(c), "")
}

// TestLapsedWhileStoreWasAway keeps backend servers whose announcements lapsed in
// an outage for as long as they may take to come back, and no longer.
func TestLapsedWhileStoreWasAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &outage{}
		c := newCurator(o)
		c.Replace([]carawaybeam.Object{object("a", "1"), object("b", "1"), object("c", "-1")})
		*o = outage{lost: true, since: 100 * time.Millisecond}
		c.Replace(nil)
		is.Equal(names(c), "ab") // The one that was leaving is gone.
		time.Sleep(time.Second)
		c.Apply([]carawaybeam.Object{object("a", "1")})
		time.Sleep(time.Second)
		is.Equal(names(c), "a")
	})
}

// TestGoneAtOnce takes a withdrawn backend server out at once when the store was
// not away, also long after an outage.
func TestGoneAtOnce(t *testing.T) {
	for name, o := range map[string]outage{
		"never away":    {},
		"long ago away": {lost: true, since: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCurator(&o)
			c.Replace([]carawaybeam.Object{object("a", "1"), object("b", "1")})
			c.Apply([]carawaybeam.Object{gone("a")})
			is.Equal(names(c), "b")
			pool, ok := c.PoolAt("b")
			is.True(ok)
			is.Equal(pool, carawaybeam.PoolID("p"))
			_, ok = c.PoolAt("a")
			is.True(!ok)
		})
	}
}

// TestLaterLifeAtTheAddress takes the later of two lives at one address, as after a
// loss of power, when the announcements of the earlier lives have not lapsed yet.
func TestLaterLifeAtTheAddress(t *testing.T) {
	is := is.New(t)
	c := newCurator(&outage{})
	c.Replace([]carawaybeam.Object{object("a", "1"), object("b", "1")})
	c.Apply([]carawaybeam.Object{object("A", "2")})
	is.Equal(names(c), "Ab")
	c.Apply([]carawaybeam.Object{gone("A")})
	is.Equal(names(c), "ab")
}

// TestMisdirected takes a life out whose address another backend server has.
func TestMisdirected(t *testing.T) {
	is := is.New(t)
	c := newCurator(&outage{})
	c.Replace([]carawaybeam.Object{object("a", "2"), object("b", "1")})
	c.Misdirected(carawaybeam.BackendIncarnation{ID: "a", Started: '1'}) // Another life.
	is.Equal(names(c), "ab")
	c.Misdirected(carawaybeam.BackendIncarnation{ID: "a", Started: '2'})
	is.Equal(names(c), "b")
	c.Apply([]carawaybeam.Object{object("a", "2")})
	is.Equal(names(c), "b")
	c.Apply([]carawaybeam.Object{object("a", "3")})
	is.Equal(names(c), "ab")
}
