package proposer

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// GroupSettings is the stored object that describes a group of ranks.
	GroupSettings struct {
		// Peers contains the link addresses of the agents, by rank.
		Peers []carawaybeam.Address `json:"peers"`
		// Protocol selects the RankClient plug-in that reads the loads.
		Protocol string `json:"protocol"`
		// URL is the base address of the ranks for that plug-in.
		URL string `json:"url"`
		// Layers is the number of layers of the model.
		Layers int `json:"layers"`
		// Experts is the number of experts of one layer.
		Experts int `json:"experts"`
		// Slots is the number of experts that a rank can hold in one layer.
		Slots int `json:"slots"`
		// SkewPreference is the option of the same name of the planner.
		SkewPreference float64 `json:"skewPreference"`
		// PeriodMs is the time between two plans in milliseconds.
		PeriodMs int64 `json:"periodMs"`
		// StepsAhead is the number of steps from the proposal of a map to the
		// step at which the group switches to it.
		StepsAhead carawaybeam.Step `json:"stepsAhead"`
	}

	// plans contains the maps that a group may be using. It is stored for the
	// next controller.
	plans struct {
		InForce  plan `json:"inForce"`
		Proposed plan `json:"proposed"`
	}

	// plan is a map and the digest of its content.
	plan struct {
		Digest carawaybeam.MapDigest `json:"digest,string"`
		Map    carawaybeam.ExpertMap `json:"map"`
	}
)

var errIncompleteSettings = errors.New(
	"settings of the group lack peers, layers, experts, slots, periodMs or stepsAhead",
)

func decodeSettings(value []byte) (GroupSettings, error) {
	var s GroupSettings
	if err := json.Unmarshal(value, &s); err != nil {
		return s, err
	}
	if len(s.Peers) == 0 || min(s.Layers, s.Experts, s.Slots) <= 0 || s.PeriodMs <= 0 || s.StepsAhead == 0 {
		return s, errIncompleteSettings
	}
	return s, nil
}

func (s GroupSettings) period() time.Duration { return time.Duration(s.PeriodMs) * time.Millisecond }

// digest returns the hash of the layers of a map.
func digest(m carawaybeam.ExpertMap) (carawaybeam.MapDigest, error) {
	text, err := json.Marshal(m.Layers)
	return carawaybeam.MapDigest(xxhash.Sum64(text)), err
}

// find returns the map with the digest.
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
