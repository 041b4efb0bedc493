package carawaybeam_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
)

// TestResidency guards against a restriction that permits more than both lists of homes have in common,
// and against an unreadable one that permits everything.
func TestResidency(t *testing.T) {
	homes := func(fault string, regions ...carawaybeam.Region) carawaybeam.HomeRegions {
		return carawaybeam.NewHomeRegions(regions, fault)
	}
	for name, test := range map[string]struct {
		residency           carawaybeam.Residency
		north, south, empty bool
	}{
		"no homes": {north: true, south: true, empty: true},
		"empty lists": {
			residency: carawaybeam.Residency{Route: homes(""), Organisation: homes("")},
			north:     true, south: true, empty: true,
		},
		"route":        {residency: carawaybeam.Residency{Route: homes("", "north")}, north: true},
		"organisation": {residency: carawaybeam.Residency{Organisation: homes("", "south")}, south: true},
		"both": {
			residency: carawaybeam.Residency{Route: homes("", "north", "south"), Organisation: homes("", "south")},
			south:     true,
		},
		"nothing in common": {
			residency: carawaybeam.Residency{Route: homes("", "north"), Organisation: homes("", "south")},
		},
		"unreadable":         {residency: carawaybeam.Residency{Route: homes("is 3")}},
		"unreadable in part": {residency: carawaybeam.Residency{Route: homes("is 3", "north")}, north: true},
		"unreadable and readable": {
			residency: carawaybeam.Residency{Route: homes("", "north"), Organisation: homes("is 3")},
		},
		"home without a name": {residency: carawaybeam.Residency{Route: homes("", "")}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.residency.Permits("north"), test.north)
			is.Equal(test.residency.Permits("south"), test.south)
			is.Equal(test.residency.Permits(""), test.empty)
			is.Equal(test.residency.Restricted(), !test.empty)
		})
	}
}
