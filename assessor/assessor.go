// Package assessor measures, for each class of work, the share of requests that
// met the targets of the class over a sliding window, and tells since when the
// class is in target or not.
package assessor

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// Window is the time over which requests are counted.
	Window = time.Minute

	// slotTime is the part of the window that is forgotten at once.
	slotTime = time.Second

	// slots is the number of parts of the window.
	slots = int64(Window / slotTime)

	// maxClasses bounds the classes that are measured.
	maxClasses = 1024
)

const (
	// StandingIdle means that no request ended within the window.
	StandingIdle Standing = "idle"
	// StandingInTarget means that the share asked for met the targets.
	StandingInTarget Standing = "inTarget"
	// StandingMissed means that too few requests met the targets.
	StandingMissed Standing = "missed"
)

type (
	// Standing tells whether a class is in target.
	Standing string

	// Result tells how one request fared.
	Result struct {
		// Answered is set when the whole answer was delivered.
		Answered bool
		// FirstToken is the time to the first token. It is 0 when it could not
		// be told from the time to the whole answer.
		FirstToken time.Duration
		// Took is the time to the end of the request.
		Took time.Duration
		// Quarantined is set when the request was refused since it crashes
		// backend servers.
		Quarantined bool
	}

	// Counts counts the requests that ended within a time.
	Counts struct {
		Requests int `json:"requests"`
		// Met counts those that met the targets.
		Met int `json:"met"`
		// Quarantined counts those refused since they crash backend servers.
		Quarantined int `json:"quarantined"`
	}

	// ClassState is the state dump of one class.
	ClassState struct {
		Class    carawaybeam.ClassID `json:"class"`
		Standing Standing            `json:"standing"`
		// Since is when the standing began.
		Since time.Time `json:"since"`
		// Completion is the share asked for, from 0 to 1.
		Completion float64 `json:"completion"`
		Counts
	}

	// Assessor measures classes. Its methods may be used by several goroutines
	// at once.
	Assessor struct {
		mu      sync.Mutex
		classes map[carawaybeam.ClassID]*window
	}

	// window counts the requests of one class.
	window struct {
		completion float64
		standing   Standing
		since      time.Time
		total      Counts
		// parts is a ring, and last the number of the newest part.
		parts [slots]Counts
		last  int64
	}
)

// New returns an Assessor that has measured nothing.
func New() *Assessor {
	return &Assessor{classes: make(map[carawaybeam.ClassID]*window)}
}

// Assess counts a request that ended now.
func (a *Assessor) Assess(now time.Time, class carawaybeam.Class, result Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.window(now, class.ID)
	if w == nil {
		return
	}
	w.advance(now)
	w.completion = class.Targets.Completion
	counts := countsOf(class.Targets, result)
	w.parts[w.last%slots].add(counts)
	w.total.add(counts)
	w.judge(now)
}

// State returns the state dump in the order of the classes.
func (a *Assessor) State(now time.Time) []ClassState {
	a.mu.Lock()
	defer a.mu.Unlock()
	states := make([]ClassState, 0, len(a.classes))
	for id, w := range a.classes {
		w.advance(now)
		states = append(states, ClassState{
			Class: id, Standing: w.standing, Since: w.since.UTC(), Completion: w.completion, Counts: w.total,
		})
	}
	slices.SortFunc(states, func(a, b ClassState) int { return strings.Compare(string(a.Class), string(b.Class)) })
	return states
}

// window returns the window of a class, or nil when there are too many. The
// caller holds mu.
func (a *Assessor) window(now time.Time, id carawaybeam.ClassID) *window {
	if w, ok := a.classes[id]; ok {
		return w
	}
	if len(a.classes) >= maxClasses {
		a.forgetIdle(now)
	}
	if len(a.classes) >= maxClasses {
		return nil
	}
	w := &window{standing: StandingIdle, since: now, last: partOf(now)}
	a.classes[id] = w
	return w
}

// forgetIdle forgets the classes without requests. The caller holds mu.
func (a *Assessor) forgetIdle(now time.Time) {
	for id, w := range a.classes {
		w.advance(now)
		if w.total.Requests == 0 {
			delete(a.classes, id)
		}
	}
}

// countsOf returns what one request adds.
func countsOf(targets carawaybeam.Targets, result Result) Counts {
	counts := Counts{Requests: 1}
	if result.Quarantined {
		counts.Quarantined = 1
	}
	inTime := result.Took <= targets.Completed
	early := targets.FirstToken == 0 || result.FirstToken <= targets.FirstToken
	if result.Answered && inTime && early {
		counts.Met = 1
	}
	return counts
}

func (c *Counts) add(other Counts) {
	c.Requests += other.Requests
	c.Met += other.Met
	c.Quarantined += other.Quarantined
}

func (c *Counts) subtract(other Counts) {
	c.Requests -= other.Requests
	c.Met -= other.Met
	c.Quarantined -= other.Quarantined
}

// Add returns the sum of two counts.
func (c Counts) Add(other Counts) Counts {
	c.add(other)
	return c
}

// Standing tells whether the counts reach the share asked for.
func (c Counts) Standing(completion float64) Standing {
	switch {
	case c.Requests == 0:
		return StandingIdle
	case float64(c.Met) >= completion*float64(c.Requests):
		return StandingInTarget
	}
	return StandingMissed
}

// partOf numbers the parts of the time.
func partOf(now time.Time) int64 { return now.UnixNano() / int64(slotTime) }

// advance forgets the parts that have left the window, each at its time.
func (w *window) advance(now time.Time) {
	present := partOf(now)
	for step := min(present-w.last, slots); step > 0; step-- {
		w.last++
		part := &w.parts[w.last%slots]
		if *part == (Counts{}) {
			continue
		}
		w.total.subtract(*part)
		*part = Counts{}
		w.judge(time.Unix(0, w.last*int64(slotTime)))
	}
	w.last = max(w.last, present)
}

// judge notes a change of the standing.
func (w *window) judge(now time.Time) {
	if standing := w.total.Standing(w.completion); standing != w.standing {
		w.standing = standing
		w.since = now
	}
}
