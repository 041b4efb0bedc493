package checker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/carawaybeam/carawaybeam"
)

// maxHomeLists is the maximum number of different lists of homes of routes, and also of organisations, that
// are compared with each other.
const maxHomeLists = 256

// homeList is a list of homes that several routes or organisations have.
type homeList struct {
	homes []carawaybeam.Region
	// first is the index of the first of them, and count their number.
	first, count int
}

// checkHomes reports homes that are unreadable or without data centre, and organisations that have no home in
// common with a route.
func (c *check) checkHomes() {
	var (
		routes, organisations []homeList
		wrong                 = c.wrongTypes()
		known                 = make(map[carawaybeam.Region]bool, len(c.options.Regions))
	)
	for _, region := range c.options.Regions {
		known[region] = true
	}
	routeLists, organisationLists := make(map[string]int), make(map[string]int)
	for i := range c.routing.Routes {
		route := &c.routing.Routes[i]
		c.checkHomeList(route.Homes, route.HomesFault, known, wrong, inRoute(i, carawaybeam.FieldRouteHomes))
		routes = addHomes(routes, routeLists, route.Homes, i)
	}
	for i := range c.routing.KeyHolders {
		holder := &c.routing.KeyHolders[i]
		c.checkHomeList(holder.Homes, holder.HomesFault, known, wrong,
			inElement(carawaybeam.FieldOrganisations, i, carawaybeam.FieldOrganisationHomes))
		organisations = addHomes(organisations, organisationLists, holder.Homes, i)
	}
	for _, route := range routes[:min(len(routes), maxHomeLists)] {
		c.checkCommonHomes(route, organisations[:min(len(organisations), maxHomeLists)])
	}
	if len(routes) > maxHomeLists || len(organisations) > maxHomeLists {
		c.warn(CodeNoCommonHome, inSection(carawaybeam.FieldRoutes, ""),
			"routes have %d and organisations %d different lists of homes, of which the first %d are compared",
			len(routes), len(organisations), maxHomeLists)
	}
}

// checkHomeList checks the homes at a place.
func (c *check) checkHomeList(
	homes []carawaybeam.Region,
	fault string,
	known map[carawaybeam.Region]bool,
	wrong map[string]bool,
	at place,
) {
	if fault != "" && !wrong[c.schema.path(at)] {
		c.fail(CodeHomes, at, "%s: requests are served in the readable homes only", fault)
	}
	if c.options.Regions == nil {
		return
	}
	for _, region := range homes {
		if !known[region] {
			c.warn(CodeUnknownRegion, at, "the home %s has no data centre in the settings", quote(region))
		}
	}
}

// wrongTypes returns the paths of the values that the structure of the document has shown to be of a wrong
// type, or to have such an element.
func (c *check) wrongTypes() map[string]bool {
	paths := make(map[string]bool)
	for i := range c.findings {
		if c.findings[i].Code != CodeWrongType {
			continue
		}
		path := c.findings[i].Path
		paths[path] = true
		if n := strings.LastIndexByte(path, '['); n >= 0 {
			paths[path[:n]] = true
		}
	}
	return paths
}

// addHomes counts the homes of a route or an organisation, if it has any, among the different lists. Known holds
// the index of each list.
func addHomes(lists []homeList, known map[string]int, homes []carawaybeam.Region, i int) []homeList {
	if len(homes) == 0 {
		return lists
	}
	key := homesText(homes, "")
	n, ok := known[key]
	if !ok {
		known[key] = len(lists)
		return append(lists, homeList{homes: homes, first: i, count: 1})
	}
	lists[n].count++
	return lists
}

// checkCommonHomes reports a list of homes of routes that has no region in common with those of organisations.
func (c *check) checkCommonHomes(route homeList, organisations []homeList) {
	disjoint, first := 0, -1
	for _, organisation := range organisations {
		if slices.ContainsFunc(organisation.homes, func(region carawaybeam.Region) bool {
			return slices.Contains(route.homes, region)
		}) {
			continue
		}
		if disjoint += organisation.count; first < 0 {
			first = organisation.first
		}
	}
	if first < 0 {
		return
	}
	c.warn(CodeNoCommonHome, inRoute(route.first, carawaybeam.FieldRouteHomes),
		"the homes, which %d routes have, share no region with those of %d organisations, such as %s: "+
			"their requests are rejected", route.count, disjoint, quote(c.routing.KeyHolders[first].ID))
}

// homesText returns homes in the form that operators read. Their order does not matter.
func homesText(homes []carawaybeam.Region, fault string) string {
	names := make([]string, 0, len(homes))
	for _, region := range homes {
		names = append(names, fmt.Sprintf("%q", string(region)))
	}
	slices.Sort(names)
	text := strings.Join(slices.Compact(names), " ")
	if fault != "" {
		text += " (" + fault + ")"
	}
	return text
}
