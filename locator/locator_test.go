package locator_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/locator"
)

func newLocator(log *bytes.Buffer) *locator.Locator {
	return locator.New(locator.Options{
		Regions: map[carawaybeam.DataCentre]carawaybeam.Region{"a": "north", "b": "north", "c": "south"},
		Log:     zerolog.New(log),
	})
}

// TestOdditiesAreLoggedOnce guards against a log line for each review or request, and against homes without
// effect that nobody learns of.
func TestOdditiesAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	l := newLocator(&log)
	homes := []locator.Homes{
		{Owner: "route x", Regions: []carawaybeam.Region{"north", "nowhere"}},
		{Owner: "organisation y", Regions: []carawaybeam.Region{"nowhere"}, Fault: "homes[1] is 3"},
	}
	for range 3 {
		l.Review(homes, []carawaybeam.DataCentre{"a", "d", "d"})
	}
	is.Equal(strings.Count(log.String(), "\n"), 3)
	is.Equal(strings.Count(log.String(), `"region":"nowhere"`), 1)
	is.Equal(strings.Count(log.String(), "homes[1] is 3"), 1)
	is.Equal(strings.Count(log.String(), `"dataCentre":"d"`), 1)
	is.Equal(l.State().Unlocated, []carawaybeam.DataCentre{"d"})
	l.Review(homes, []carawaybeam.DataCentre{"a"})
	is.Equal(len(l.State().Unlocated), 0)
}

// TestManyOddities guards against a log and a memory that grow with what a faulty writer stores.
func TestManyOddities(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	l := newLocator(&log)
	for i := range 5000 {
		region := carawaybeam.Region(fmt.Sprint("r", i))
		l.Review([]locator.Homes{{Owner: "route x", Regions: []carawaybeam.Region{region}}}, nil)
	}
	is.Equal(strings.Count(log.String(), "\n"), 256)
}

func TestState(t *testing.T) {
	is := is.New(t)
	l := newLocator(&bytes.Buffer{})
	l.CountRefused()
	is.Equal(l.Region("b"), carawaybeam.Region("north"))
	is.Equal(l.Region("z"), carawaybeam.Region(""))
	is.Equal(l.State().Regions["north"], []carawaybeam.DataCentre{"a", "b"})
	is.Equal(l.State().Refused, uint64(1))
}
