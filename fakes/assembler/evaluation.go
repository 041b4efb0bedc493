package assembler

import (
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// maxRefusalTime is the maximum time in which an entry may refuse a request
	// that is known to be a poison request.
	maxRefusalTime = 100 * time.Millisecond

	// provenCrashes is the number of crashes by which a poison request is known, and
	// stableWindow the time in which all processes learn of them.
	provenCrashes = 3
	stableWindow  = 3 * time.Second
)

// Evaluation holds the results of a replay, checked against what the backend
// servers ran.
type Evaluation struct {
	SentRequests int
	// CompleteAnswers counts sent requests that received their whole answer.
	CompleteAnswers int
	// Requests counts distinct requests: those with the same key or ticket
	// count as one. Completed counts the distinct requests of which at least
	// one sent request received its whole answer.
	Requests  int
	Completed int
	// WrongAnswers counts answers that contain bytes of another answer, or that
	// ended without an error although they are incomplete.
	WrongAnswers int
	// FalseNotRuns counts requests refused as not run although a backend server
	// started them.
	FalseNotRuns int
	// DoubleRuns counts distinct requests of ClassBookings, which is not
	// idempotent, that ran more than once.
	DoubleRuns int
	// Unanswered counts sent requests that failed, except for those whose entry
	// was killed, those refused because the store was unavailable, and those
	// quarantined. UnansweredIdempotent counts the ones of idempotent classes
	// among them.
	Unanswered           int
	UnansweredIdempotent int
	// Quarantined counts requests refused as poison requests. SlowQuarantines
	// counts those of them that were refused without a Retry-After time, or
	// later than maxRefusalTime after they were sent or after the second crash,
	// whichever was later.
	Quarantined     int
	SlowQuarantines int
	// Crashes counts crashes of backend servers.
	Crashes int
	// MostLateCrashes is the maximum number of crashes by one poison request later than
	// stableWindow after it had crashed provenCrashes backend servers.
	MostLateCrashes int
	// LateStarts counts requests that a backend server started more than 3 s
	// after its agent began to stop.
	LateStarts int

	// secondCrash is the time of the second crash, or the zero time.
	secondCrash time.Time
}

// Evaluate compares what callers received with what the backend servers ran.
func Evaluate(a *Assembler, requests []*SentRequest) Evaluation {
	e := Evaluation{SentRequests: len(requests)}
	e.countCrashes(a)
	for _, slot := range a.Slots {
		e.LateStarts += slot.lateStarts()
	}
	completed := make(map[string]bool)
	runs := make(map[string]map[string]int)
	for _, s := range requests {
		identity := s.identity()
		completed[identity] = completed[identity] || s.Complete()
		e.count(a, s)
		if s.Event.Class == ClassBookings {
			if runs[identity] == nil {
				runs[identity] = make(map[string]int)
			}
			runs[identity][s.Event.Body] = a.Runs(s.Event.Body)
		}
	}
	for _, whole := range completed {
		e.Requests++
		if whole {
			e.Completed++
		}
	}
	for _, bodies := range runs {
		total := 0
		for _, n := range bodies {
			total += n
		}
		if total > 1 {
			e.DoubleRuns++
		}
	}
	return e
}

func (e *Evaluation) countCrashes(a *Assembler) {
	var crashes []time.Time
	for _, slot := range a.Slots {
		crashes = append(crashes, slot.Backend.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	e.Crashes = len(crashes)
	if len(crashes) > 1 {
		e.secondCrash = crashes[1]
	}
	by := make(map[string][]time.Time)
	for _, slot := range a.Slots {
		for body, crashes := range slot.Backend.CrashesBy() {
			by[body] = append(by[body], crashes...)
		}
	}
	for _, crashes := range by {
		slices.SortFunc(crashes, time.Time.Compare)
		late := 0
		for i, crash := range crashes {
			if i >= provenCrashes && crash.Sub(crashes[provenCrashes-1]) > stableWindow {
				late++
			}
		}
		e.MostLateCrashes = max(e.MostLateCrashes, late)
	}
}

func (e *Evaluation) count(a *Assembler, s *SentRequest) {
	if s.Complete() {
		e.CompleteAnswers++
	}
	if s.WrongAnswer() {
		e.WrongAnswers++
	}
	e.countUnanswered(s)
	if s.EntryKilled || s.Failure == nil || s.Failure.Outcome != carawaybeam.OutcomeNotRun {
		return
	}
	for _, slot := range a.Slots {
		if slot.Backend.AttemptStarts(s.Request) > 0 {
			e.FalseNotRuns++
			return
		}
	}
}

func (e *Evaluation) countUnanswered(s *SentRequest) {
	if s.EntryKilled || s.Failure == nil {
		return
	}
	switch s.Failure.Reason {
	case carawaybeam.ReasonStoreUnavailable:
		return
	case carawaybeam.ReasonQuarantined:
		e.Quarantined++
		known := s.Start
		if e.secondCrash.After(known) {
			known = e.secondCrash
		}
		if s.End.Sub(known) > maxRefusalTime || s.Failure.RetryAfter == 0 {
			e.SlowQuarantines++
		}
		return
	}
	e.Unanswered++
	if ClassOf(s.Event.Class).Idempotent {
		e.UnansweredIdempotent++
	}
}

// identity returns the key, ticket or body that identifies a request among all
// sent requests. Bodies are distinct unless a request is sent again.
func (s *SentRequest) identity() string {
	switch {
	case s.Event.Key != "":
		return "key " + s.Event.Key
	case s.Event.Ticket != "":
		return "ticket " + s.Event.Ticket
	}
	return "body " + s.Event.Body
}

// Runs returns the number of runs of the body on all backend servers.
func (a *Assembler) Runs(body string) int {
	n := 0
	for _, s := range a.Slots {
		n += s.Backend.Runs(body)
	}
	return n
}

// Figures returns the counts under the names that outcome files use.
func (e Evaluation) Figures() map[string]float64 {
	share := 1.0
	if e.Requests > 0 {
		share = float64(e.Completed) / float64(e.Requests)
	}
	return map[string]float64{
		"sendings":       float64(e.SentRequests),
		"whole":          float64(e.CompleteAnswers),
		"completedShare": share,
		"wrongAnswers":   float64(e.WrongAnswers),
		"falseNotRuns":   float64(e.FalseNotRuns),
		"doubleRuns":     float64(e.DoubleRuns),
		"crashes":        float64(e.Crashes),
		"unanswered":     float64(e.Unanswered),
		"quarantined":    float64(e.Quarantined),
		"lateStarts":     float64(e.LateStarts),
	}
}
