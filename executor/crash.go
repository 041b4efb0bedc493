package executor

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/quarantiner"
)

const (
	// probeTimeout bounds one question whether the backend server lives.
	probeTimeout = 500 * time.Millisecond

	// probes is how often it is asked after a cut answer, probePause apart.
	probes     = 2
	probePause = 50 * time.Millisecond

	// probation is how long after the beginning of its answer a suspect keeps
	// other suspects from being started.
	probation = time.Second
)

type (
	// crashWatch tells which attempts a crash of the backend server hit.
	crashWatch struct {
		mu     sync.Mutex
		active map[*attempt]*activity
		number int
	}

	// activity is an attempt that is with the backend server.
	activity struct {
		since   time.Time
		suspect bool
		// onProbation is set while a suspect keeps its turn.
		onProbation bool
	}
)

// enter notes that an attempt is put to the backend server.
func (c *crashWatch) enter(a *attempt, suspect bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == nil {
		c.active = make(map[*attempt]*activity)
	}
	c.active[a] = &activity{since: time.Now(), suspect: suspect, onProbation: suspect}
}

func (c *crashWatch) leave(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, a)
}

// endProbation notes that a suspect has run for long enough.
func (c *crashWatch) endProbation(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if activity, ok := c.active[a]; ok {
		activity.onProbation = false
	}
}

// runInTurn runs the attempt. A suspect one begins only while no other suspect
// is on probation.
func (e *Executor) runInTurn(a *attempt, d *framer.Dispatch) (carawaybeam.RequestError, bool) {
	suspect := e.options.Quarantiner.Status(a.fingerprint) != quarantiner.Clear
	if suspect {
		select {
		case e.suspectTurn <- struct{}{}:
		case <-a.ctx.Done():
			return carawaybeam.RequestError{
				Outcome: carawaybeam.OutcomeNotRun,
				Reason:  carawaybeam.ReasonBusy,
				Detail:  "caller left before a suspect request had its turn",
			}, true
		}
		release := sync.OnceFunc(func() { <-e.suspectTurn })
		defer release()
		ended := make(chan struct{})
		defer close(ended)
		e.wait.Go(func() { e.awaitProbation(a, ended, release) })
	}
	if e.options.Quarantiner.Status(a.fingerprint) == quarantiner.Quarantined {
		return quarantined(), true
	}
	e.crashes.enter(a, suspect)
	defer e.crashes.leave(a)
	failure, failed := e.perform(a.ctx, a, d)
	if failed && failure.Outcome != carawaybeam.OutcomeNotRun && a.ctx.Err() == nil {
		e.inspect(a)
	}
	return failure, failed
}

// awaitProbation gives the turn of a suspect on once its answer has been under
// way for long enough.
func (e *Executor) awaitProbation(a *attempt, ended <-chan struct{}, release func()) {
	for {
		p := a.next(0)
		if p.started {
			break
		}
		select {
		case <-p.changed:
		case <-ended:
			return
		}
	}
	timer := time.NewTimer(probation)
	defer timer.Stop()
	select {
	case <-timer.C:
		e.crashes.endProbation(a)
		release()
	case <-ended:
	}
}

func quarantined() carawaybeam.RequestError {
	return carawaybeam.RequestError{
		Outcome:    carawaybeam.OutcomeNotRun,
		Reason:     carawaybeam.ReasonQuarantined,
		Detail:     "request was running in several crashes of backend servers",
		RetryAfter: quarantiner.RetryAfter,
	}
}

// inspect finds out whether the backend server crashed under the attempt. All
// attempts that were running then become suspects.
func (e *Executor) inspect(a *attempt) {
	failed := time.Now()
	select {
	case e.inspectTurn <- struct{}{}:
		defer func() { <-e.inspectTurn }()
	case <-e.ctx.Done():
		return
	}
	if a.judged() || e.alive() {
		return
	}
	e.counts.crashes.Add(1)
	id, hits := e.crashes.record(e.options.Incarnation, failed)
	e.options.Log.Error().Int("running", len(hits)).Msg("executor: backend server crashed")
	for _, hit := range hits {
		hit.setCrash(id)
		e.options.Quarantiner.Add(hit.fingerprint, id)
	}
}

// record names a new crash and returns the attempts that may have caused it:
// those that ran when the first of them failed. While a suspect is on probation,
// it is blamed rather than the suspects that have passed theirs.
func (c *crashWatch) record(incarnation carawaybeam.Incarnation, failed time.Time) (quarantiner.CrashID, []*attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	anyOnProbation := false
	for _, activity := range c.active {
		anyOnProbation = anyOnProbation || activity.onProbation
	}
	var hits []*attempt
	for a, activity := range c.active {
		if activity.since.After(failed) || a.judged() {
			continue
		}
		a.setJudged()
		if !anyOnProbation || !activity.suspect || activity.onProbation {
			hits = append(hits, a)
		}
	}
	return quarantiner.CrashID(string(incarnation) + "/" + strconv.Itoa(c.number)), hits
}

// alive asks the backend server whether it lives.
func (e *Executor) alive() bool {
	for i := range probes {
		if i > 0 {
			select {
			case <-time.After(probePause):
			case <-e.ctx.Done():
				return true
			}
		}
		if !e.probe() {
			return false
		}
	}
	return true
}

func (e *Executor) probe() bool {
	ctx, cancel := context.WithTimeout(e.ctx, probeTimeout)
	defer cancel()
	_, err := e.options.Backend.Load(ctx)
	return err == nil || errors.Is(err, context.Canceled)
}

func (a *attempt) setCrash(id quarantiner.CrashID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crash = id
}

func (a *attempt) setJudged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crashJudged = true
}

// judged tells whether it has been found out what a crash has to do with the
// attempt.
func (a *attempt) judged() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crashJudged
}
