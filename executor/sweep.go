package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

// endedAttempt is an ended attempt with the values by which sweepOnce sorts and
// measures it.
type endedAttempt struct {
	id      carawaybeam.AttemptID
	attempt *attempt
	ended   time.Time
	held    int
	refused bool
}

// sweep calls sweepOnce and expire periodically, and sweepOnce on request.
func (e *Executor) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	lastExpire := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-e.sweepRequested:
		case <-e.ctx.Done():
			return
		}
		now := time.Now()
		e.sweepOnce(now)
		if now.Sub(lastExpire) > expireInterval {
			lastExpire = now
			e.expire(now)
		}
	}
}

func (e *Executor) expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.expire(now)
}

// sweepOnce keeps the newest ended attempts in full while they fit into the budget, and
// moves the others and the expired ones to the compact part of the ledger.
func (e *Executor) sweepOnce(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended := e.endedAttempts()
	budget := answerBudget
	for _, row := range ended {
		budget -= row.held + rowOverhead
		if budget >= 0 && !row.attempt.isExpired(now) {
			continue
		}
		outcome := outcomeRan
		if row.refused {
			outcome = outcomeRefused
		}
		e.ledger.moveToCompact(row.id, row.attempt, row.ended, outcome)
	}
	e.endedBytes.Store(0)
}

// endedAttempts returns the ended attempts without readers, the newest first. The caller
// holds mu.
func (e *Executor) endedAttempts() []endedAttempt {
	var ended []endedAttempt
	for id, a := range e.ledger.attempts {
		phase, at, readers, held := a.snapshot()
		if phase == phaseRunning || readers > 0 {
			continue
		}
		row := endedAttempt{id: id, attempt: a, ended: at, held: held}
		row.refused = a.certainlyNotRun()
		ended = append(ended, row)
	}
	slices.SortFunc(ended, func(a, b endedAttempt) int {
		return cmp.Or(b.ended.Compare(a.ended), cmp.Compare(a.id, b.id))
	})
	return ended
}

// isExpired reports whether the answer of an ended attempt need not be held any longer.
func (a *attempt) isExpired(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	age := now.Sub(a.ended)
	if a.key != "" {
		return age > keyRetention
	}
	return age > answerRetention || len(a.unacknowledged) == 0 && age > fetchedRetention
}

// certainlyNotRun reports whether the attempt ended without reaching the backend
// server.
func (a *attempt) certainlyNotRun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase == phaseRefused || a.phase == phaseFailed && a.failure.Outcome == carawaybeam.OutcomeNotRun
}
