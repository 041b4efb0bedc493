// Package assessor measures, for each class of work, the fraction of requests in a
// sliding window that met the targets of the class, and records when the class
// began to meet or miss its required fraction.
package assessor

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// Window is the length of the sliding window.
	Window = time.Minute

	// bucketTime is the length of a bucket. The window slides by whole buckets.
	bucketTime = time.Second

	// bucketCount is the number of buckets in the window.
	bucketCount = int64(Window / bucketTime)

	// maxClasses is the maximum number of classes that are measured.
	maxClasses = 1024
)

const (
	// StandingIdle means that no request ended in the window.
	StandingIdle Standing = "idle"
	// StandingInTarget means that at least the required fraction of requests met
	// the targets.
	StandingInTarget Standing = "inTarget"
	// StandingMissed means that too few requests met the targets.
	StandingMissed Standing = "missed"
)

type (
	// Standing states whether a class meets its targets.
	Standing string

	// Result is the result of one request.
	Result struct {
		// Answered is set when the whole answer was delivered.
		Answered bool
		// FirstToken is the time to the first token, or 0 if it could not be
		// distinguished from the time to the whole answer.
		FirstToken time.Duration
		// Took is the time to the end of the request.
		Took time.Duration
		// Quarantined is set when the request was refused because it is
		// quarantined.
		Quarantined bool
	}

	// Counts holds numbers of requests that ended in a period.
	Counts struct {
		Requests int `json:"requests"`
		// Met is the number of requests that met the targets.
		Met int `json:"met"`
		// Quarantined is the number of requests that were refused because they
		// are quarantined.
		Quarantined int `json:"quarantined"`
	}

	// ClassState is the state dump of one class.
	ClassState struct {
		Class    carawaybeam.ClassID `json:"class"`
		Standing Standing            `json:"standing"`
		// Since is when Standing last changed.
		Since time.Time `json:"since"`
		// Completion is the fraction of requests required to meet the targets,
		// from 0 to 1.
		Completion float64 `json:"completion"`
		Counts
	}

	// Assessor measures classes. It is safe for concurrent use.
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
		// buckets is a ring. newest is the number of its newest bucket.
		buckets [bucketCount]Counts
		newest  int64
	}
)

// New returns an Assessor without any counted requests.
func New() *Assessor {
	return &Assessor{classes: make(map[carawaybeam.ClassID]*window)}
}

// Assess counts a request that ended now. If too many classes are measured already,
// a request of another class is ignored.
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
	w.buckets[w.newest%bucketCount].add(counts)
	w.total.add(counts)
	w.updateStanding(now)
}

// State returns the state dump of all classes, ordered by class.
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

// window returns the window of a class, which it creates if necessary. It returns
// nil when there are too many classes. The caller holds mu.
func (a *Assessor) window(now time.Time, id carawaybeam.ClassID) *window {
	if w, ok := a.classes[id]; ok {
		return w
	}
	if len(a.classes) >= maxClasses {
		a.removeIdle(now)
	}
	if len(a.classes) >= maxClasses {
		return nil
	}
	w := &window{standing: StandingIdle, since: now, newest: bucketAt(now)}
	a.classes[id] = w
	return w
}

// removeIdle removes the classes without requests in the window. The caller holds
// mu.
func (a *Assessor) removeIdle(now time.Time) {
	for id, w := range a.classes {
		w.advance(now)
		if w.total.Requests == 0 {
			delete(a.classes, id)
		}
	}
}

// countsOf returns the counts of one request.
func countsOf(targets carawaybeam.Targets, result Result) Counts {
	counts := Counts{Requests: 1}
	if result.Quarantined {
		counts.Quarantined = 1
	}
	completedInTime := result.Took <= targets.Completed
	startedInTime := targets.FirstToken == 0 || result.FirstToken <= targets.FirstToken
	if result.Answered && completedInTime && startedInTime {
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

// Standing returns the standing of a class with these counts. completion is the
// fraction of requests required to meet the targets.
func (c Counts) Standing(completion float64) Standing {
	switch {
	case c.Requests == 0:
		return StandingIdle
	case float64(c.Met) >= completion*float64(c.Requests):
		return StandingInTarget
	}
	return StandingMissed
}

// bucketAt returns the number of the bucket that contains now.
func bucketAt(now time.Time) int64 { return now.UnixNano() / int64(bucketTime) }

// advance removes the buckets that have left the window. A resulting change of
// standing is dated to when the bucket left.
func (w *window) advance(now time.Time) {
	current := bucketAt(now)
	for steps := min(current-w.newest, bucketCount); steps > 0; steps-- {
		w.newest++
		bucket := &w.buckets[w.newest%bucketCount]
		if *bucket == (Counts{}) {
			continue
		}
		w.total.subtract(*bucket)
		*bucket = Counts{}
		w.updateStanding(time.Unix(0, w.newest*int64(bucketTime)))
	}
	w.newest = max(w.newest, current)
}

// updateStanding updates the standing from the total counts.
func (w *window) updateStanding(now time.Time) {
	if standing := w.total.Standing(w.completion); standing != w.standing {
		w.standing = standing
		w.since = now
	}
}
