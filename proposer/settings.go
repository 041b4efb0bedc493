package proposer

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// GroupSettings is a group of ranks as the store holds it.
	GroupSettings struct {
		// Peers holds the link addresses of the agents, by rank.
		Peers []carawaybeam.Address `json:"peers"`
		// Protocol and URL are those of the API that gives the loads.
		Protocol string `json:"protocol"`
		URL      string `json:"url"`
		Layers   int    `json:"layers"`
		Experts  int    `json:"experts"`
		// Slots is how many experts a rank can hold in one layer.
		Slots          int     `json:"slots"`
		SkewPreference float64 `json:"skewPreference"`
		// PeriodMs is the time between two plans in milliseconds.
		PeriodMs int64 `json:"periodMs"`
		// StepsAhead is how far ahead of its ranks a group switches.
		StepsAhead carawaybeam.Step `json:"stepsAhead"`
	}

	// plans holds the maps that a group may be using. The store keeps it for
	// the next controller.
	plans struct {
		InForce  plan `json:"inForce"`
		Proposed plan `json:"proposed"`
	}

	plan struct {
		Digest carawaybeam.MapDigest `json:"digest,string"`
		Map    carawaybeam.ExpertMap `json:"map"`
	}
)

var errDocument = errors.New("group has no peers, layers, experts, slots, period or steps ahead")

func decodeDocument(value []byte) (GroupSettings, error) {
	var d GroupSettings
	if err := json.Unmarshal(value, &d); err != nil {
		return d, err
	}
	if len(d.Peers) == 0 || min(d.Layers, d.Experts, d.Slots) <= 0 || d.PeriodMs <= 0 || d.StepsAhead == 0 {
		return d, errDocument
	}
	return d, nil
}

func (d GroupSettings) period() time.Duration { return time.Duration(d.PeriodMs) * time.Millisecond }

// digest hashes the content of a map.
func digest(m carawaybeam.ExpertMap) (carawaybeam.MapDigest, error) {
	text, err := json.Marshal(m.Layers)
	return carawaybeam.MapDigest(xxhash.Sum64(text)), err
}

// find returns the map with that digest.
func (p plans) find(digest carawaybeam.MapDigest) (carawaybeam.ExpertMap, bool) {
	switch digest {
	case p.Proposed.Digest:
		return p.Proposed.Map, true
	case p.InForce.Digest:
		return p.InForce.Map, true
	default:
		return carawaybeam.ExpertMap{}, false
	}
}
