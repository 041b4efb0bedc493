package planner

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// TraceKind is the kind of traces that record the input of a planner.
const TraceKind tracer.Kind = "planner"

type (
	// Setup describes the group of ranks of a trace.
	Setup struct {
		Ranks   int `json:"ranks"`
		Experts int `json:"experts"`
		Layers  int `json:"layers"`
		// Slots is how many experts a rank can hold in one layer.
		Slots int `json:"slots"`
		// ExpertBytes is the size of the weights of one expert.
		ExpertBytes carawaybeam.Bytes `json:"expertBytes"`
		// WeightRate is how many bytes per second the weight store delivers to
		// the group.
		WeightRate carawaybeam.Bytes `json:"weightRate"`
		// Period is the time between two plans.
		Period tracer.Duration `json:"period"`
		// InstallDelay is how long the installation of one new expert delays its
		// rank.
		InstallDelay tracer.Duration `json:"installDelay"`
		// SkewPreference is the option of the same name of the planner.
		SkewPreference float64 `json:"skewPreference"`
	}

	// RecordedPlan is the plan that was made when the trace was recorded.
	RecordedPlan struct {
		Version carawaybeam.MapVersion `json:"version"`
		Moves   int                    `json:"moves"`
	}

	// Event is one line of a trace: the observations of one period.
	Event struct {
		At tracer.Duration `json:"at"`
		// Setup is required in the first event. Later events may repeat it.
		Setup *Setup `json:"setup,omitempty"`
		// Loads holds the number of tokens by layer and expert.
		Loads []carawaybeam.LayerLoad `json:"loads"`
		// Speeds holds the speed of each rank. If it is empty, all speeds are 1.
		Speeds []float64 `json:"speeds,omitempty"`
		// Chosen is the plan made for the observations. It is absent from
		// generated traces.
		Chosen *RecordedPlan `json:"chosen,omitempty"`
	}

	// EventError reports that an event is invalid or inconsistent with its trace.
	EventError struct {
		// Index is the position of the event in the trace, from 0.
		Index int
		Cause error
	}
)

var (
	errNoSetup      = errors.New("setup is missing in the first event or differs from it")
	errInvalidSetup = errors.New("setup has a value out of range")
	errLoads        = errors.New("loads do not match the setup")
	errSpeeds       = errors.New("speeds do not match the setup")
	errTooFewEvents = errors.New("trace has fewer than two events")
)

func (e *EventError) Error() string { return fmt.Sprintf("planner event %d: %v", e.Index, e.Cause) }

func (e *EventError) Unwrap() error { return e.Cause }

// When returns the time of the event since the start of the trace.
func (e Event) When() time.Duration { return time.Duration(e.At) }

// CheckEvents checks that events form a valid trace and returns its setup. If
// not, it returns an *EventError.
func CheckEvents(events []Event) (Setup, error) {
	if len(events) < 2 {
		return Setup{}, &EventError{Index: len(events), Cause: errTooFewEvents}
	}
	if events[0].Setup == nil {
		return Setup{}, &EventError{Cause: errNoSetup}
	}
	setup := *events[0].Setup
	if !setup.valid() {
		return setup, &EventError{Cause: errInvalidSetup}
	}
	for i, event := range events {
		if err := event.check(setup); err != nil {
			return setup, &EventError{Index: i, Cause: err}
		}
	}
	return setup, nil
}

// Options returns the options of a planner for the group.
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
	capacity := s.Ranks*s.Slots >= s.Experts && s.Slots <= s.Experts
	costs := s.ExpertBytes >= 0 && s.WeightRate > 0 && s.InstallDelay >= 0 && s.Period > 0
	return counts && capacity && costs && s.SkewPreference >= 0 && s.SkewPreference <= 1
}

func (e Event) check(setup Setup) error {
	if e.Setup != nil && *e.Setup != setup {
		return errNoSetup
	}
	if len(e.Loads) != setup.Layers {
		return errLoads
	}
	for _, load := range e.Loads {
		if len(load) != setup.Experts || !allFinite(load) || !(sum(load) > 0) {
			return errLoads
		}
	}
	if len(e.Speeds) != 0 && (len(e.Speeds) != setup.Ranks || !allFinite(e.Speeds)) {
		return errSpeeds
	}
	return nil
}

// allFinite reports whether all values are finite and not negative.
func allFinite(values []float64) bool {
	for _, v := range values {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}
