// Package switcher is a stand-in for the part of a rank that changes its expert
// map on request of the users' platform. It is for tests only.
package switcher

import (
	"reflect"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// Layers holds the experts of a map by layer and rank.
	Layers [][][]carawaybeam.Expert

	// Switcher holds the map state of one rank. It is not safe for concurrent
	// use. Methods that return a bool report whether the rank accepts the
	// order, unless they say otherwise.
	Switcher struct {
		copyTime     time.Duration
		maps         map[carawaybeam.MapVersion]Layers
		highest      carawaybeam.MapVersion
		prepared     carawaybeam.MapVersion
		readyAt      time.Time
		inUse        carawaybeam.MapVersion
		armed        carawaybeam.ArmedMap
		held         carawaybeam.Step
		fencingToken carawaybeam.Epoch
	}
)

// New returns a rank that uses map version 0 with the given layers. Preparing
// another map takes copyTime.
func New(firstMap Layers, copyTime time.Duration) *Switcher {
	return &Switcher{copyTime: copyTime, maps: map[carawaybeam.MapVersion]Layers{0: firstMap}}
}

// Reform resets all state except for the highest fencing token, as happens to a
// rank when its group re-forms.
func (s *Switcher) Reform() {
	*s = Switcher{copyTime: s.copyTime, maps: s.initialMaps(), fencingToken: s.fencingToken}
}

// Restart resets all state, including the highest fencing token.
func (s *Switcher) Restart() { *s = Switcher{copyTime: s.copyTime, maps: s.initialMaps()} }

func (s *Switcher) initialMaps() map[carawaybeam.MapVersion]Layers {
	return map[carawaybeam.MapVersion]Layers{0: s.maps[0]}
}

// InUse returns the map in use.
func (s *Switcher) InUse() (carawaybeam.MapVersion, Layers) { return s.inUse, s.maps[s.inUse] }

// Prepared returns the version of the prepared map, or 0 until its copies are
// complete.
func (s *Switcher) Prepared() carawaybeam.MapVersion {
	if time.Now().Before(s.readyAt) {
		return 0
	}
	return s.prepared
}

// Armed returns the map to switch to and the step of the switch, or the zero
// value.
func (s *Switcher) Armed() carawaybeam.ArmedMap { return s.armed }

// Held returns the step before which the rank holds its group, or 0.
func (s *Switcher) Held() carawaybeam.Step { return s.held }

// AcceptFencingToken stores the fencing token of an order. It returns false if
// the token is lower than that of an earlier order.
func (s *Switcher) AcceptFencingToken(fencingToken carawaybeam.Epoch) bool {
	if fencingToken < s.fencingToken {
		return false
	}
	s.fencingToken = fencingToken
	return true
}

// Prepare begins to copy the experts that a map needs. It refuses versions
// older than the highest one prepared, and any while a map is armed.
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

// Arm schedules the switch to the prepared map at the beginning of armed.Step.
// It refuses maps that are not prepared and steps that are not after now, the
// current step of the group.
func (s *Switcher) Arm(armed carawaybeam.ArmedMap, now carawaybeam.Step) bool {
	if s.Prepared() != armed.Version || armed.Step <= now {
		return false
	}
	s.armed = armed
	return true
}

// Disarm cancels the switch to a version. It refuses if that version is already
// in use.
func (s *Switcher) Disarm(version carawaybeam.MapVersion) bool {
	if s.inUse == version && version != 0 {
		return false
	}
	if s.armed.Version == version {
		s.armed = carawaybeam.ArmedMap{}
	}
	return true
}

// Hold keeps the group from entering a step. It refuses steps that are not
// after now, the current step of the group, and a second hold of another step.
func (s *Switcher) Hold(step, now carawaybeam.Step) bool {
	if step <= now || s.held != 0 && s.held != step {
		return false
	}
	s.held = step
	return true
}

// Release ends the hold of a step.
func (s *Switcher) Release(step carawaybeam.Step) {
	if s.held == step {
		s.held = 0
	}
}

// BeginStep enters a step and reports whether the map changes.
func (s *Switcher) BeginStep(step carawaybeam.Step) bool {
	if s.armed.Version == 0 || s.armed.Step != step {
		return false
	}
	s.inUse, s.armed = s.armed.Version, carawaybeam.ArmedMap{}
	return true
}

// SameMap reports whether another rank uses the same map, by version and
// content.
func (s *Switcher) SameMap(other *Switcher) bool {
	return s.inUse == other.inUse && reflect.DeepEqual(s.maps[s.inUse], other.maps[other.inUse])
}
