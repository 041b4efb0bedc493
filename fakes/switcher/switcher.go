// Package switcher is a stand-in for the part of a rank that changes its expert map
// by the orders of the users' platform. It serves tests only.
package switcher

import (
	"reflect"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// Layers holds experts by layer and rank.
	Layers [][][]carawaybeam.Expert

	// Switcher is one rank. It is used by one goroutine at a time. Its orders tell
	// whether the rank takes them.
	Switcher struct {
		copyTime time.Duration
		maps     map[carawaybeam.MapVersion]Layers
		highest  carawaybeam.MapVersion
		prepared carawaybeam.MapVersion
		readyAt  time.Time
		inUse    carawaybeam.MapVersion
		armed    carawaybeam.ArmedMap
		held     carawaybeam.Step
		fence    carawaybeam.Epoch
	}
)

// New returns a rank that has the map 0 in use and takes the given time to copy what
// another one needs.
func New(first Layers, copyTime time.Duration) *Switcher {
	return &Switcher{copyTime: copyTime, maps: map[carawaybeam.MapVersion]Layers{0: first}}
}

// Reform forgets everything but the highest fencing number, as a rank does whose group
// forms anew.
func (s *Switcher) Reform() { *s = Switcher{copyTime: s.copyTime, maps: s.first(), fence: s.fence} }

// Restart forgets everything.
func (s *Switcher) Restart() { *s = Switcher{copyTime: s.copyTime, maps: s.first()} }

func (s *Switcher) first() map[carawaybeam.MapVersion]Layers {
	return map[carawaybeam.MapVersion]Layers{0: s.maps[0]}
}

// InUse returns the map in use.
func (s *Switcher) InUse() (carawaybeam.MapVersion, Layers) { return s.inUse, s.maps[s.inUse] }

// Prepared returns the prepared map once its copies are there.
func (s *Switcher) Prepared() carawaybeam.MapVersion {
	if time.Now().Before(s.readyAt) {
		return 0
	}
	return s.prepared
}

// Armed returns the map to switch to, if there is one.
func (s *Switcher) Armed() carawaybeam.ArmedMap { return s.armed }

// Held returns the step before which the rank holds its group, or 0.
func (s *Switcher) Held() carawaybeam.Step { return s.held }

// AcceptFencingToken takes the fencing number of an order, unless it is lower than an earlier one.
func (s *Switcher) AcceptFencingToken(fence carawaybeam.Epoch) bool {
	if fence < s.fence {
		return false
	}
	s.fence = fence
	return true
}

// Prepare copies what a map needs.
func (s *Switcher) Prepare(version carawaybeam.MapVersion, layers Layers) bool {
	if version < s.highest || s.armed.Version != 0 {
		return false
	}
	if version > s.highest {
		s.readyAt = time.Now().Add(s.copyTime)
	}
	s.highest, s.prepared, s.maps[version] = version, version, layers
	return true
}

// Arm switches to a prepared map as a step begins. The group is in step now.
func (s *Switcher) Arm(armed carawaybeam.ArmedMap, now carawaybeam.Step) bool {
	if s.Prepared() != armed.Version || armed.Step <= now {
		return false
	}
	s.armed = armed
	return true
}

// Disarm takes an armed map back.
func (s *Switcher) Disarm(version carawaybeam.MapVersion) bool {
	if s.inUse == version && version != 0 {
		return false
	}
	if s.armed.Version == version {
		s.armed = carawaybeam.ArmedMap{}
	}
	return true
}

// Hold keeps the group, which is in step now, from a step.
func (s *Switcher) Hold(step, now carawaybeam.Step) bool {
	if step <= now || s.held != 0 && s.held != step {
		return false
	}
	s.held = step
	return true
}

// Release ends a hold of the step.
func (s *Switcher) Release(step carawaybeam.Step) {
	if s.held == step {
		s.held = 0
	}
}

// BeginStep begins a step and tells whether the map changes.
func (s *Switcher) BeginStep(step carawaybeam.Step) bool {
	if s.armed.Version == 0 || s.armed.Step != step {
		return false
	}
	s.inUse, s.armed = s.armed.Version, carawaybeam.ArmedMap{}
	return true
}

// SameMap tells whether another rank has the same map in use, by version and content.
func (s *Switcher) SameMap(other *Switcher) bool {
	return s.inUse == other.inUse && reflect.DeepEqual(s.maps[s.inUse], other.maps[other.inUse])
}
