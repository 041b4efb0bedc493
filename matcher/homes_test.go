package matcher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/matcher"
)

// TestResidency guards against homes of the route or the organisation that do not count.
func TestResidency(t *testing.T) {
	is := is.New(t)
	routing := carawaybeam.Routing{
		Routes:     []carawaybeam.Route{{ID: "free"}, {ID: "bound", Homes: []carawaybeam.Region{"north", "south"}}},
		KeyHolders: []carawaybeam.KeyHolder{{ID: "free"}, {ID: "bound", HomesFault: "homes are 3"}},
	}
	m := matcher.New(routing)
	is.True(m.HasHomes())
	is.True(!m.Residency(&routing.Routes[0], nil).Restricted())
	is.True(!m.Residency(&routing.Routes[0], &routing.KeyHolders[0]).Restricted())
	is.True(m.Residency(&routing.Routes[1], nil).Permits("south"))
	is.True(!m.Residency(&routing.Routes[1], nil).Permits("east"))
	is.True(!m.Residency(&routing.Routes[1], &routing.KeyHolders[1]).Permits("north"))
	for _, only := range []carawaybeam.Routing{
		{Routes: routing.Routes},
		{KeyHolders: routing.KeyHolders},
		{Routes: []carawaybeam.Route{{HomesFault: "x"}}},
	} {
		is.True(matcher.New(only).HasHomes())
	}
	is.True(
		!matcher.New(carawaybeam.Routing{Routes: routing.Routes[:1], KeyHolders: routing.KeyHolders[:1]}).HasHomes(),
	)
}
