package carawaybeam

import (
	"fmt"
	"slices"
	"strings"
)

// MaxHomes is the maximum number of homes of a route or an organisation.
const MaxHomes = 64

type (
	// HomeRegions is the set of regions in which requests may be served. The zero value permits all.
	HomeRegions struct {
		regions    []Region
		restricted bool
	}

	// Residency restricts where a request may be served by the homes of its route, or class of work,
	// and of its organisation. Both restrictions apply. The zero value permits all regions.
	Residency struct {
		Route        HomeRegions
		Organisation HomeRegions
	}
)

// NewHomeRegions returns the set of the homes. With a fault, it permits nothing but the homes.
func NewHomeRegions(homes []Region, fault string) HomeRegions {
	return HomeRegions{regions: homes, restricted: len(homes) > 0 || fault != ""}
}

func (h HomeRegions) permits(region Region) bool {
	return !h.restricted || slices.Contains(h.regions, region)
}

func (h HomeRegions) String() string {
	if !h.restricted {
		return "any"
	}
	names := make([]string, 0, len(h.regions))
	for _, region := range h.regions {
		names = append(names, string(region))
	}
	return fmt.Sprintf("%q", strings.Join(names, ","))
}

// Restricted reports whether the request may not be served in all regions.
func (r Residency) Restricted() bool { return r.Route.restricted || r.Organisation.restricted }

// Permits reports whether the request may be served in a region. If the request is restricted, an empty
// region, which is unknown, is not permitted.
func (r Residency) Permits(region Region) bool {
	return !r.Restricted() || region != "" && r.Route.permits(region) && r.Organisation.permits(region)
}

func (r Residency) String() string {
	return fmt.Sprintf("homes of the route %s, of the organisation %s", r.Route, r.Organisation)
}
