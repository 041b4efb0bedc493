package checker_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/checker"
)

// withHomes returns the routing of the valid document with homes of its routes and organisations, in their
// order.
func withHomes(t testing.TB, lists ...[]carawaybeam.Region) func([]byte) (carawaybeam.Routing, error) {
	t.Helper()
	return func(data []byte) (carawaybeam.Routing, error) {
		routing, err := newOptions().Decode(data)
		routing.Routes[0].Homes, routing.Routes[1].Homes = lists[0], lists[1]
		routing.KeyHolders[0].Homes, routing.KeyHolders[1].Homes = lists[2], lists[3]
		return routing, err
	}
}

// TestNoCommonHome guards against an organisation none of whose requests on a route can be served, and that
// nobody learns of.
func TestNoCommonHome(t *testing.T) {
	north, south := []carawaybeam.Region{"north"}, []carawaybeam.Region{"south"}
	for name, test := range map[string]struct {
		lists [][]carawaybeam.Region
		want  []string
	}{
		"no homes":    {[][]carawaybeam.Region{nil, nil, nil, nil}, nil},
		"routes only": {[][]carawaybeam.Region{north, south, nil, nil}, nil},
		"same":        {[][]carawaybeam.Region{north, north, north, {"south", "north"}}, nil},
		"one organisation": {
			[][]carawaybeam.Region{north, nil, north, south}, []string{"1 routes have", "1 organisations", "south"},
		},
		"both organisations": {
			[][]carawaybeam.Region{{"east"}, nil, north, south}, []string{"2 organisations", "north"},
		},
		"routes share a list": {[][]carawaybeam.Region{{"a", "b"}, {"b", "a"}, north, nil}, []string{"2 routes have"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			options := newOptions()
			options.Decode = withHomes(t, test.lists...)
			findings := checker.New(options).Check(readFile(t, "valid.json")).Findings
			if test.want == nil {
				is.Equal(len(findings), 0)
				return
			}
			is.Equal(len(findings), 1)
			is.Equal(findings[0].Code, checker.CodeNoCommonHome)
			is.Equal(findings[0].Severity, checker.SeverityWarning)
			for _, text := range test.want {
				is.True(strings.Contains(findings[0].Message, text))
			}
		})
	}
}

// TestManyHomes guards against a check that takes long because all routes are compared with all organisations.
func TestManyHomes(t *testing.T) {
	is := is.New(t)
	options := newOptions()
	options.Decode = func(data []byte) (carawaybeam.Routing, error) {
		routing, err := newOptions().Decode(data)
		for i := range 2000 {
			route, holder := routing.Routes[0], routing.KeyHolders[0]
			route.ID, route.Prefix = carawaybeam.RouteID(fmt.Sprint(i)), fmt.Sprintf("/%d/", i)
			holder.ID = carawaybeam.OrganisationID(fmt.Sprint(i))
			holder.Keys = []carawaybeam.APIKey{carawaybeam.APIKey(fmt.Sprint(i))}
			for j := range carawaybeam.MaxHomes {
				route.Homes = append(route.Homes, carawaybeam.Region(fmt.Sprint("r", i, j)))
				holder.Homes = append(holder.Homes, carawaybeam.Region(fmt.Sprint("o", i, j)))
			}
			route.HomesFault = "homes[0] is 3"
			routing.Routes = append(routing.Routes, route)
			routing.KeyHolders = append(routing.KeyHolders, holder)
		}
		return routing, err
	}
	began := processorTime(t)
	report := checker.New(options).Check(readFile(t, "valid.json"))
	is.True(report.Count(checker.SeverityWarning) > 0)
	is.True(processorTime(t)-began < 10*time.Second) // All pairs would take longer.
}

// TestHomesDiffer guards against a change of homes that is not shown, and one that is shown though only the
// order has changed.
func TestHomesDiffer(t *testing.T) {
	is := is.New(t)
	differences := func(lists ...[]carawaybeam.Region) []checker.Difference {
		options := newOptions()
		options.Decode = withHomes(t, []carawaybeam.Region{"a", "b"}, nil, nil, nil)
		routing, err := options.Decode(readFile(t, "valid.json"))
		is.NoErr(err)
		against := checker.NewSnapshot(routing)
		routing, err = withHomes(t, lists...)(readFile(t, "valid.json"))
		is.NoErr(err)
		return checker.Compare(against, checker.NewSnapshot(routing))
	}
	is.Equal(len(differences([]carawaybeam.Region{"b", "a"}, nil, nil, nil)), 0)
	changed := differences([]carawaybeam.Region{"b"}, nil, []carawaybeam.Region{"c"}, nil)
	is.Equal(len(changed), 2)
	is.Equal(changed[0].Field, "homes")
	is.Equal(changed[0].Before, `"a" "b"`)
	is.Equal(changed[0].After, `"b"`)
	is.Equal(changed[1].Subject, checker.SubjectOrganisation)
	is.Equal(changed[1].After, `"c"`)
}
