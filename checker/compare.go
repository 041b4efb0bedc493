package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// What happened to a part of the configuration.
const (
	ActionAdded   Action = "added"
	ActionRemoved Action = "removed"
	ActionChanged Action = "changed"
)

// Parts of a configuration.
const (
	SubjectLimits       Subject = "limits"
	SubjectPool         Subject = "pool"
	SubjectRoute        Subject = "route"
	SubjectOrganisation Subject = "organisation"
)

type (
	// Action tells what happened to a part of the configuration.
	Action string

	// Subject is a kind of part of the configuration.
	Subject string

	// Difference is a difference in meaning between two configurations. Values are in the form that
	// operators read, and empty where there is none.
	Difference struct {
		Subject Subject `json:"subject"`
		// Name is empty for the limits.
		Name   string `json:"name,omitempty"`
		Action Action `json:"action"`
		// Field is empty if the whole subject was added or removed.
		Field  string `json:"field,omitempty"`
		Before string `json:"before,omitempty"`
		After  string `json:"after,omitempty"`
	}

	// field is a field of a subject in the form that operators read.
	field struct {
		name string
		text string
	}
)

// Compare returns the differences between two configurations, sorted by subject and name. A change of
// the version alone is not a difference in meaning.
func Compare(before, after Snapshot) []Difference {
	differences := compareFields(SubjectLimits, "", before.Limits.fields(), after.Limits.fields())
	differences = append(differences, compareParts(SubjectPool, before.Pools, after.Pools,
		func(p *PoolSnapshot) string { return string(p.Name) }, comparePools)...)
	differences = append(differences, compareParts(SubjectRoute, before.Routes, after.Routes,
		func(r *RouteSnapshot) string { return string(r.Name) },
		func(b, a *RouteSnapshot) []Difference {
			if b.equals(a) {
				return nil
			}
			return compareFields(SubjectRoute, string(a.Name), b.fields(), a.fields())
		})...)
	return append(differences, compareParts(SubjectOrganisation, before.Organisations, after.Organisations,
		func(o *OrganisationSnapshot) string { return string(o.Name) }, compareOrganisations)...)
}

// compareParts compares parts by their names. Of several parts with one name the first counts.
func compareParts[T any](
	subject Subject,
	before, after []T,
	name func(*T) string,
	compare func(before, after *T) []Difference,
) []Difference {
	var (
		differences []Difference
		old         = make(map[string]*T, len(before))
		seen        = make(map[string]bool, len(after))
	)
	for i := range before {
		if n := name(&before[i]); old[n] == nil {
			old[n] = &before[i]
		}
	}
	for i := range after {
		n := name(&after[i])
		if seen[n] {
			continue
		}
		seen[n] = true
		if previous := old[n]; previous != nil {
			differences = append(differences, compare(previous, &after[i])...)
			continue
		}
		differences = append(differences, Difference{Subject: subject, Name: n, Action: ActionAdded})
	}
	for n := range old {
		if !seen[n] {
			differences = append(differences, Difference{Subject: subject, Name: n, Action: ActionRemoved})
		}
	}
	slices.SortStableFunc(differences, func(a, b Difference) int { return cmp.Compare(a.Name, b.Name) })
	return differences
}

func compareFields(subject Subject, name string, before, after []field) []Difference {
	var differences []Difference
	for i := range after {
		if before[i].text != after[i].text {
			differences = append(differences, Difference{
				Subject: subject, Name: name, Action: ActionChanged,
				Field: after[i].name, Before: before[i].text, After: after[i].text,
			})
		}
	}
	return differences
}

func compareOrganisations(before, after *OrganisationSnapshot) []Difference {
	differences := compareFields(SubjectOrganisation, string(after.Name),
		[]field{{"priority", optional(before.Priority)}, {"homes", before.Homes}},
		[]field{{"priority", optional(after.Priority)}, {"homes", after.Homes}})
	key := func(action Action, b, a string) {
		differences = append(differences, Difference{
			Subject: SubjectOrganisation, Name: string(after.Name), Action: action, Field: "key", Before: b, After: a,
		})
	}
	for _, hash := range before.KeyHashes {
		if _, kept := slices.BinarySearch(after.KeyHashes, hash); !kept {
			key(ActionRemoved, hash, "")
		}
	}
	for _, hash := range after.KeyHashes {
		if _, known := slices.BinarySearch(before.KeyHashes, hash); !known {
			key(ActionAdded, "", hash)
		}
	}
	return differences
}

// equals compares routes without their names. It saves the texts of fields of the many routes that are the
// same.
func (r *RouteSnapshot) equals(o *RouteSnapshot) bool {
	return r.Host == o.Host && r.Prefix == o.Prefix && r.Kind == o.Kind && slices.Equal(r.Pools, o.Pools) &&
		r.Timeout == o.Timeout && r.Target == o.Target && r.Gap == o.Gap && r.Priority == o.Priority &&
		r.Attempts == o.Attempts && r.Public == o.Public && r.Resumable == o.Resumable && r.Homes == o.Homes
}

func (r *RouteSnapshot) fields() []field {
	shares := make([]string, 0, len(r.Pools))
	for _, share := range r.Pools {
		shares = append(shares, fmt.Sprintf("%s:%d", share.Pool, share.Weight))
	}
	return []field{
		{"host", r.Host},
		{"prefix", r.Prefix},
		{"kind", string(r.Kind)},
		{"pools", strings.Join(shares, " ")},
		{"timeout", r.Timeout.String()},
		{"target", r.Target.String()},
		{"gap", r.Gap.String()},
		{"priority", strconv.Itoa(r.Priority)},
		{"attempts", strconv.Itoa(r.Attempts)},
		{"public", strconv.FormatBool(r.Public)},
		{"resumable", strconv.FormatBool(r.Resumable)},
		{"homes", r.Homes},
	}
}

// fields returns the fields of a pool. Engine tells only whether there is one.
func (p *PoolSnapshot) fields() []field {
	return []field{
		{"connections", strconv.Itoa(p.Connections)},
		{"engine", strconv.FormatBool(len(p.Engine) > 0)},
	}
}

// comparePools compares two pools of one name. Fields of the engines are compared if both have one.
func comparePools(before, after *PoolSnapshot) []Difference {
	name := string(after.Name)
	differences := compareFields(SubjectPool, name, before.fields(), after.fields())
	if len(before.Engine) != len(after.Engine) {
		return differences
	}
	for i, value := range after.Engine {
		if previous := before.Engine[i]; previous != value {
			differences = append(differences, Difference{
				Subject: SubjectPool, Name: name, Action: ActionChanged,
				Field: "engine." + value.Name, Before: previous.Value, After: value.Value,
			})
		}
	}
	return differences
}

func (l *LimitsSnapshot) fields() []field {
	return []field{
		{"headerBytes", strconv.Itoa(l.HeaderBytes)},
		{"bodyBytes", strconv.FormatInt(l.BodyBytes, 10)},
		{"headerTimeout", l.HeaderTimeout.String()},
		{"idleTimeout", l.IdleTimeout.String()},
	}
}

func optional(priority *int) string {
	if priority == nil {
		return ""
	}
	return strconv.Itoa(*priority)
}
