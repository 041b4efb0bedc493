package assembler

import (
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// refusalTime is within what time a request known as poison is refused.
const refusalTime = 100 * time.Millisecond

// Evaluation counts what a replay shows, by the counts of the backend servers.
type Evaluation struct {
	SentRequests int
	// CompleteAnswers counts sendings that got their whole answer.
	CompleteAnswers int
	// Requests counts distinct requests, where those with one key or ticket are
	// one, and Completed those of which at least one sending got its answer.
	Requests  int
	Completed int
	// WrongAnswers counts answers that are not the caller's own or look whole
	// without being so.
	WrongAnswers int
	// FalseNotRuns counts sendings refused as not run that a backend server ran.
	FalseNotRuns int
	// DoubleRuns counts requests that are not idempotent and ran twice or more.
	DoubleRuns int
	// Unanswered counts sendings without their whole answer, but for those whose
	// entry died or that were refused since the store was down, and
	// UnansweredIdempotent those of them of idempotent classes that were not
	// quarantined.
	Unanswered           int
	UnansweredIdempotent int
	// Quarantined counts sendings refused for good as poison, and
	// SlowQuarantines those of them not refused with a time to retry at once
	// after the second crash.
	Quarantined     int
	SlowQuarantines int
	// Crashes counts crashes of backend servers.
	Crashes int
	// LateStarts counts calls that started on a backend server more than 3 s
	// after it began to leave.
	LateStarts int

	// second is when the second crash was.
	second time.Time
}

// Evaluate compares what callers were told with what backend servers ran.
func Evaluate(a *Assembler, sendings []*SentRequest) Evaluation {
	v := Evaluation{SentRequests: len(sendings)}
	v.countCrashes(a)
	for _, slot := range a.Slots {
		v.LateStarts += slot.lateStarts()
	}
	completed := make(map[string]bool)
	runs := make(map[string]map[string]int)
	for _, s := range sendings {
		name := s.name()
		completed[name] = completed[name] || s.Complete()
		v.count(a, s)
		if s.Event.Class == ClassBookings {
			if runs[name] == nil {
				runs[name] = make(map[string]int)
			}
			runs[name][s.Event.Body] = a.Runs(s.Event.Body)
		}
	}
	for _, whole := range completed {
		v.Requests++
		if whole {
			v.Completed++
		}
	}
	for _, bodies := range runs {
		total := 0
		for _, n := range bodies {
			total += n
		}
		if total > 1 {
			v.DoubleRuns++
		}
	}
	return v
}

func (v *Evaluation) countCrashes(a *Assembler) {
	var crashes []time.Time
	for _, slot := range a.Slots {
		crashes = append(crashes, slot.Backend.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	v.Crashes = len(crashes)
	if len(crashes) > 1 {
		v.second = crashes[1]
	}
}

func (v *Evaluation) count(a *Assembler, s *SentRequest) {
	if s.Complete() {
		v.CompleteAnswers++
	}
	if s.WrongAnswer() {
		v.WrongAnswers++
	}
	v.countUnanswered(s)
	if s.EntryKilled || s.Failure == nil || s.Failure.Outcome != carawaybeam.OutcomeNotRun {
		return
	}
	for _, slot := range a.Slots {
		if slot.Backend.AttemptStarts(s.Request) > 0 {
			v.FalseNotRuns++
			return
		}
	}
}

func (v *Evaluation) countUnanswered(s *SentRequest) {
	if s.EntryKilled || s.Failure == nil {
		return
	}
	switch s.Failure.Reason {
	case carawaybeam.ReasonStoreUnavailable:
		return
	case carawaybeam.ReasonQuarantined:
		v.Quarantined++
		known := s.Start
		if v.second.After(known) {
			known = v.second
		}
		if s.End.Sub(known) > refusalTime || s.Failure.RetryAfter == 0 {
			v.SlowQuarantines++
		}
		return
	}
	v.Unanswered++
	if ClassOf(s.Event.Class).Idempotent {
		v.UnansweredIdempotent++
	}
}

// name returns what identifies the request among all sendings. Bodies are
// distinct unless a request is sent again.
func (s *SentRequest) name() string {
	switch {
	case s.Event.Key != "":
		return "key " + s.Event.Key
	case s.Event.Ticket != "":
		return "ticket " + s.Event.Ticket
	}
	return "body " + s.Event.Body
}

// Runs adds up the runs of a body on all backend servers.
func (a *Assembler) Runs(body string) int {
	n := 0
	for _, s := range a.Slots {
		n += s.Backend.Runs(body)
	}
	return n
}

// Figures returns the counts by the names used in outcome files.
func (v Evaluation) Figures() map[string]float64 {
	share := 1.0
	if v.Requests > 0 {
		share = float64(v.Completed) / float64(v.Requests)
	}
	return map[string]float64{
		"sendings":       float64(v.SentRequests),
		"whole":          float64(v.CompleteAnswers),
		"completedShare": share,
		"wrongAnswers":   float64(v.WrongAnswers),
		"falseNotRuns":   float64(v.FalseNotRuns),
		"doubleRuns":     float64(v.DoubleRuns),
		"crashes":        float64(v.Crashes),
		"unanswered":     float64(v.Unanswered),
		"quarantined":    float64(v.Quarantined),
		"lateStarts":     float64(v.LateStarts),
	}
}
