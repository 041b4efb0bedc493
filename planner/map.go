package planner

import (
	"fmt"
	"slices"

	"github.com/carawaybeam/carawaybeam"
)

// MapError reports that a group cannot run an expert map.
type MapError struct {
	// Layer is the index of the first invalid layer.
	Layer int
	// Detail describes the fault.
	Detail string
}

func (e *MapError) Error() string { return fmt.Sprintf("expert map, layer %d: %s", e.Layer, e.Detail) }

// UniformMap returns the map of version 0 with which a group starts. It assigns
// the experts to the ranks round-robin until all slots are used.
func UniformMap(ranks, slots, experts, layers int) carawaybeam.ExpertMap {
	m := carawaybeam.ExpertMap{Layers: make([][][]carawaybeam.Expert, layers)}
	for layer := range m.Layers {
		m.Layers[layer] = make([][]carawaybeam.Expert, ranks)
		for i := range ranks * slots {
			rank, expert := i%ranks, carawaybeam.Expert(i%experts)
			if !slices.Contains(m.Layers[layer][rank], expert) {
				m.Layers[layer][rank] = append(m.Layers[layer][rank], expert)
			}
		}
	}
	return m
}

// Validate checks that each rank holds at most slots experts of a layer, each at
// most once, and that each expert is held by at least one rank. If not, it
// returns a *MapError.
func Validate(m carawaybeam.ExpertMap, ranks, slots, experts int) error {
	for layer, held := range m.Layers {
		if len(held) != ranks {
			return &MapError{Layer: layer, Detail: fmt.Sprintf("%d ranks instead of %d", len(held), ranks)}
		}
		if detail := findFault(held, slots, experts); detail != "" {
			return &MapError{Layer: layer, Detail: detail}
		}
	}
	return nil
}

// findFault describes the first fault of a layer, or returns "" if it is valid.
func findFault(held [][]carawaybeam.Expert, slots, experts int) string {
	replicas := make([]int, experts)
	for rank, list := range held {
		if len(list) > slots {
			return fmt.Sprintf("rank %d holds %d experts in %d slots", rank, len(list), slots)
		}
		for i, e := range list {
			if e < 0 || int(e) >= experts {
				return fmt.Sprintf("rank %d holds expert %d of %d", rank, e, experts)
			}
			if slices.Contains(list[:i], e) {
				return fmt.Sprintf("rank %d holds expert %d twice", rank, e)
			}
			replicas[e]++
		}
	}
	if e := slices.Index(replicas, 0); e >= 0 {
		return fmt.Sprintf("no rank holds expert %d", e)
	}
	return ""
}
