package planner

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// TraceKind is the kind of traces that hold what a planner saw.
const TraceKind tracer.Kind = "planner"

type (
	// Setup describes a group of ranks.
	Setup struct {
		Ranks   int `json:"ranks"`
		Experts int `json:"experts"`
		Layers  int `json:"layers"`
		// Slots is how many experts a rank can hold in one layer.
		Slots int `json:"slots"`
		// ExpertBytes is the size of the weights of one expert.
		ExpertBytes carawaybeam.Bytes `json:"expertBytes"`
		// WeightRate is what the weight store gives to the group in a second.
		WeightRate carawaybeam.Bytes `json:"weightRate"`
		// Period is the time between two plans.
		Period tracer.Duration `json:"period"`
		// InstallDelay is how long one new expert holds up its rank.
		InstallDelay tracer.Duration `json:"installDelay"`
		// SkewPreference is that of carawaybeam.PlannerOptions.
		SkewPreference float64 `json:"skewPreference"`
	}

	// RecordedPlan is what a planner chose when the trace was recorded.
	RecordedPlan struct {
		Version carawaybeam.MapVersion `json:"version"`
		Moves   int                    `json:"moves"`
	}

	// Event is the observation of one period, and so one line of a trace.
	Event struct {
		At tracer.Duration `json:"at"`
		// Setup is present in the first event. A later one may repeat it.
		Setup *Setup `json:"setup,omitempty"`
		// Loads holds tokens by layer and expert.
		Loads []carawaybeam.LayerLoad `json:"loads"`
		// Speeds holds the speed of each rank. None means that all are 1.
		Speeds []float64 `json:"speeds,omitempty"`
		// Chosen is absent from generated traces.
		Chosen *RecordedPlan `json:"chosen,omitempty"`
	}

	// EventError reports an event that does not fit its trace.
	EventError struct {
		// Index counts from 0.
		Index int
		Cause error
	}
)

var (
	errNoSetup = errors.New("setup is missing in the first event, or changes")
	errSetup   = errors.New("setup holds a number out of range")
	errLoads   = errors.New("loads do not fit the setup")
	errSpeeds  = errors.New("speeds do not fit the setup")
	errFew     = errors.New("fewer than two events")
)

func (e *EventError) Error() string { return fmt.Sprintf("planner event %d: %v", e.Index, e.Cause) }

func (e *EventError) Unwrap() error { return e.Cause }

// When returns the time since the start of the trace.
func (e Event) When() time.Duration { return time.Duration(e.At) }

// CheckEvents checks that events form a trace, and returns its setup. Errors
// are of type *EventError.
func CheckEvents(events []Event) (Setup, error) {
	if len(events) < 2 {
		return Setup{}, &EventError{Index: len(events), Cause: errFew}
	}
	if events[0].Setup == nil {
		return Setup{}, &EventError{Cause: errNoSetup}
	}
	setup := *events[0].Setup
	if !setup.valid() {
		return setup, &EventError{Cause: errSetup}
	}
	for i, event := range events {
		if err := event.check(setup); err != nil {
			return setup, &EventError{Index: i, Cause: err}
		}
	}
	return setup, nil
}

// Options returns what a planner for the group is made from.
func (s Setup) Options() carawaybeam.PlannerOptions {
	return carawaybeam.PlannerOptions{
		Ranks:          s.Ranks,
		Slots:          s.Slots,
		SkewPreference: s.SkewPreference,
		Period:         time.Duration(s.Period),
		InstallDelay:   time.Duration(s.InstallDelay),
	}
}

func (s Setup) valid() bool {
	counts := s.Ranks > 0 && s.Experts > 0 && s.Layers > 0 && s.Slots > 0
	room := s.Ranks*s.Slots >= s.Experts && s.Slots <= s.Experts
	costs := s.ExpertBytes >= 0 && s.WeightRate > 0 && s.InstallDelay >= 0 && s.Period > 0
	return counts && room && costs && s.SkewPreference >= 0 && s.SkewPreference <= 1
}

func (e Event) check(setup Setup) error {
	if e.Setup != nil && *e.Setup != setup {
		return errNoSetup
	}
	if len(e.Loads) != setup.Layers {
		return errLoads
	}
	for _, load := range e.Loads {
		if len(load) != setup.Experts || !allPositive(load) || !(sum(load) > 0) {
			return errLoads
		}
	}
	if len(e.Speeds) != 0 && (len(e.Speeds) != setup.Ranks || !allPositive(e.Speeds)) {
		return errSpeeds
	}
	return nil
}

// allPositive tells whether no value is negative, infinite or not a number.
func allPositive(values []float64) bool {
	for _, v := range values {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}
