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
	// probeTimeout is the timeout of one probe of the backend server.
	probeTimeout = 500 * time.Millisecond

	// probeCount is the number of probes after a failed attempt. They are
	// probeInterval apart.
	probeCount    = 2
	probeInterval = 50 * time.Millisecond

	// probation is how long a suspect prevents other suspects from starting,
	// counted from the beginning of its answer.
	probation = time.Second
)

type (
	// crashTracker determines which attempts were running when the backend server
	// crashed.
	crashTracker struct {
		mu         sync.Mutex
		active     map[*attempt]*activeAttempt
		crashCount int
	}

	// activeAttempt describes an attempt that the backend server is running.
	activeAttempt struct {
		since   time.Time
		suspect bool
		// onProbation is set while a suspect prevents others from starting.
		onProbation bool
	}
)

// add records that an attempt is about to be sent to the backend server.
func (c *crashTracker) add(a *attempt, suspect bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == nil {
		c.active = make(map[*attempt]*activeAttempt)
	}
	c.active[a] = &activeAttempt{since: time.Now(), suspect: suspect, onProbation: suspect}
}

func (c *crashTracker) remove(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, a)
}

// endProbation records that the probation of a suspect has ended.
func (c *crashTracker) endProbation(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if activity, ok := c.active[a]; ok {
		activity.onProbation = false
	}
}

// runIsolated runs the attempt. A suspect starts only while no other suspect is on
// probation, so that a crash can be attributed to one of them.
func (e *Executor) runIsolated(a *attempt, d *framer.Dispatch) (carawaybeam.RequestError, bool) {
	suspect := e.options.Quarantiner.Status(a.fingerprint) != quarantiner.Clear
	if suspect {
		select {
		case e.suspectSlot <- struct{}{}:
		case <-a.ctx.Done():
			return carawaybeam.RequestError{
				Outcome: carawaybeam.OutcomeNotRun,
				Reason:  carawaybeam.ReasonBusy,
				Detail:  "caller left before a suspect request had its turn",
			}, true
		}
		release := sync.OnceFunc(func() { <-e.suspectSlot })
		defer release()
		ended := make(chan struct{})
		defer close(ended)
		e.wait.Go(func() { e.awaitProbation(a, ended, release) })
	}
	if e.options.Quarantiner.Status(a.fingerprint) == quarantiner.Quarantined {
		return quarantined(), true
	}
	if e.isEvacuated() {
		return evacuated(), true
	}
	if e.suspended() {
		return carawaybeam.RequestError{
			Outcome: carawaybeam.OutcomeNotRun,
			Reason:  carawaybeam.ReasonBusy,
			Detail:  "agent was suspended before the request was sent",
		}, true
	}
	e.crashes.add(a, suspect)
	defer e.crashes.remove(a)
	failure, failed := e.callBackend(a.ctx, a, d)
	if failed && failure.Outcome != carawaybeam.OutcomeNotRun && a.ctx.Err() == nil {
		e.checkForCrash(a)
	}
	return failure, failed
}

// awaitProbation ends the probation of a suspect and calls release when the time
// probation has passed since its answer began. It returns early when ended is closed.
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

// checkForCrash determines whether the attempt failed because the backend server
// crashed. If so, the attempts that may have caused the crash become suspects.
func (e *Executor) checkForCrash(a *attempt) {
	failed := time.Now()
	select {
	case e.crashCheckSlot <- struct{}{}:
		defer func() { <-e.crashCheckSlot }()
	case <-e.ctx.Done():
		return
	}
	if a.isCrashChecked() || e.isBackendAlive() {
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

// record returns the identifier of a new crash and the attempts that may have caused
// it: those that were running when the first of them failed. If a suspect is on
// probation, the suspects whose probation has ended are excluded.
func (c *crashTracker) record(incarnation carawaybeam.Incarnation, failed time.Time) (quarantiner.CrashID, []*attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashCount++
	anyOnProbation := false
	for _, activity := range c.active {
		anyOnProbation = anyOnProbation || activity.onProbation
	}
	var hits []*attempt
	for a, activity := range c.active {
		if activity.since.After(failed) || a.isCrashChecked() {
			continue
		}
		a.setCrashChecked()
		if !anyOnProbation || !activity.suspect || activity.onProbation {
			hits = append(hits, a)
		}
	}
	return quarantiner.CrashID(string(incarnation) + "/" + strconv.Itoa(c.crashCount)), hits
}

// isBackendAlive probes the backend server and reports whether all probes succeeded.
// It returns true if the Executor is closed meanwhile.
func (e *Executor) isBackendAlive() bool {
	for i := range probeCount {
		if i > 0 {
			select {
			case <-time.After(probeInterval):
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

// probe reports whether the backend server answers. One that sends an invalid answer runs.
func (e *Executor) probe() bool {
	ctx, cancel := context.WithTimeout(e.ctx, probeTimeout)
	defer cancel()
	_, _, err := e.options.Backend.Load(ctx)
	var invalid *carawaybeam.InvalidAnswerError
	return err == nil || errors.Is(err, context.Canceled) || errors.As(err, &invalid)
}

func (a *attempt) setCrash(id quarantiner.CrashID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crash = id
}

func (a *attempt) setCrashChecked() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crashChecked = true
}

// isCrashChecked reports whether it has been determined if the attempt was affected
// by a crash.
func (a *attempt) isCrashChecked() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crashChecked
}
