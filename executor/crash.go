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
)

// crashWatch tells which attempts a crash of the backend server hit.
type crashWatch struct {
	mu sync.Mutex
	// active tells since when each attempt is with the backend server.
	active map[*attempt]time.Time
	number int
}

// enter notes that an attempt is put to the backend server.
func (c *crashWatch) enter(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == nil {
		c.active = make(map[*attempt]time.Time)
	}
	c.active[a] = time.Now()
}

func (c *crashWatch) leave(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, a)
}

// runInTurn runs the attempt, a suspect one only while no other suspect runs.
func (e *Executor) runInTurn(a *attempt, d *framer.Dispatch) (carawaybeam.RequestError, bool) {
	if e.options.Quarantiner.Standing(a.fingerprint) != quarantiner.Clear {
		select {
		case e.suspectTurn <- struct{}{}:
			defer func() { <-e.suspectTurn }()
		case <-a.ctx.Done():
			return carawaybeam.RequestError{
				Outcome: carawaybeam.OutcomeNotRun,
				Reason:  carawaybeam.ReasonBusy,
				Detail:  "caller left before a suspect request had its turn",
			}, true
		}
	}
	if e.options.Quarantiner.Standing(a.fingerprint) == quarantiner.Quarantined {
		return quarantined(), true
	}
	e.crashes.enter(a)
	defer e.crashes.leave(a)
	failure, failed := e.perform(a.ctx, a, d)
	if failed && failure.Outcome != carawaybeam.OutcomeNotRun && a.ctx.Err() == nil {
		e.inspect(a)
	}
	return failure, failed
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
	if a.crashID() != "" || e.alive() {
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

// record names a new crash and returns the attempts that ran when the first of
// them failed.
func (c *crashWatch) record(incarnation carawaybeam.Incarnation, failed time.Time) (quarantiner.CrashID, []*attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	var hits []*attempt
	for a, since := range c.active {
		if !since.After(failed) && a.crashID() == "" {
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

func (a *attempt) crashID() quarantiner.CrashID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.crash
}
