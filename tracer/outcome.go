package tracer

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
)

type (
	// Bound is the allowed range of one figure of a replay. A nil limit does not
	// apply.
	Bound struct {
		Min *float64 `json:"min,omitempty"`
		Max *float64 `json:"max,omitempty"`
		// Reason names the target from which the bound is derived.
		Reason string `json:"why"`
	}

	// Outcome holds the bounds that the figures of a replay must keep, by name of
	// the figure.
	Outcome struct {
		// Policy is the name of the policy to which the bounds apply.
		Policy string           `json:"policy,omitempty"`
		Bounds map[string]Bound `json:"bounds"`
	}

	// Miss is a bound that a replay did not meet.
	Miss struct {
		Figure string
		Got    float64
		// Measured is false if the replay has no such figure.
		Measured bool
		Bound    Bound
	}
)

// BoundError reports a bound with neither a minimum nor a maximum.
type BoundError struct {
	// Figure is the name of the figure.
	Figure string
}

var errNoBounds = errors.New("outcome has no bounds")

func (e *BoundError) Error() string {
	return "bound of " + e.Figure + " has neither min nor max"
}

// ReadOutcome reads an outcome file. It returns an error if the file has unknown fields,
// trailing data or no bounds, and a *BoundError if a bound has no limit.
func ReadOutcome(r io.Reader) (Outcome, error) {
	var outcome Outcome
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&outcome); err != nil {
		return outcome, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return outcome, errTrailingData
	}
	if len(outcome.Bounds) == 0 {
		return outcome, errNoBounds
	}
	for name, bound := range outcome.Bounds {
		if bound.Min == nil && bound.Max == nil {
			return outcome, &BoundError{Figure: name}
		}
	}
	return outcome, nil
}

// Check returns the bounds that the figures do not meet, sorted by name. A bound is not
// met either if its figure is absent or not a number.
func (o Outcome) Check(figures map[string]float64) []Miss {
	var misses []Miss
	for _, name := range slices.Sorted(maps.Keys(o.Bounds)) {
		bound := o.Bounds[name]
		got, ok := figures[name]
		below := bound.Min != nil && !(got >= *bound.Min)
		above := bound.Max != nil && !(got <= *bound.Max)
		if !ok || below || above {
			misses = append(misses, Miss{Figure: name, Got: got, Measured: ok, Bound: bound})
		}
	}
	return misses
}

// String describes the miss in one line.
func (m Miss) String() string {
	if !m.Measured {
		return m.Figure + " was not measured"
	}
	text := fmt.Sprintf("%s is %g", m.Figure, m.Got)
	if m.Bound.Min != nil {
		text += fmt.Sprintf(", want at least %g", *m.Bound.Min)
	}
	if m.Bound.Max != nil {
		text += fmt.Sprintf(", want at most %g", *m.Bound.Max)
	}
	return text + " (" + m.Bound.Reason + ")"
}
