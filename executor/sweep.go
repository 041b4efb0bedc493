package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

type endedAttempt struct {
	id      carawaybeam.AttemptID
	attempt *attempt
	ended   time.Time
	held    int
	refused bool
}

// sweep keeps the ledger within its budget, at once when many answers pile up.
func (e *Executor) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	expired := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-e.crowded:
		case <-e.ctx.Done():
			return
		}
		now := time.Now()
		e.sweepOnce(now)
		if now.Sub(expired) > expireInterval {
			expired = now
			e.expire(now)
		}
	}
}

func (e *Executor) expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.expire(now)
}

// sweepOnce keeps the newest ended attempts in full while they fit the budget,
// and of the others only whether they ran.
func (e *Executor) sweepOnce(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended := e.endedAttempts()
	budget := answerBudget
	for _, row := range ended {
		budget -= row.held + rowBytes
		if budget >= 0 && !row.attempt.outlived(now) {
			continue
		}
		outcome := outcomeRan
		if row.refused {
			outcome = outcomeRefused
		}
		e.ledger.shrink(row.id, row.attempt, row.ended, outcome)
	}
	e.held.Store(0)
}

// endedAttempts returns the ended attempts, the newest first. The caller holds
// mu.
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

// outlived tells whether the answer of an ended attempt is of no more use.
func (a *attempt) outlived(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	age := now.Sub(a.ended)
	if a.key != "" {
		return age > keyRetention
	}
	return age > answerRetention || len(a.awaited) == 0 && age > fetchedRetention
}

// certainlyNotRun tells whether the attempt ended without reaching the backend
// server.
func (a *attempt) certainlyNotRun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phase == phaseRefused || a.phase == phaseFailed && a.failure.Outcome == carawaybeam.OutcomeNotRun
}
