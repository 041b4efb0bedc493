package executor

import (
	"cmp"
	"slices"
	"time"
)

type endedAttempt struct {
	attempt *attempt
	ended   time.Time
	held    int
}

// sweep forgets ended attempts after their retention and keeps their answers
// within the budget.
func (e *Executor) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.sweepOnce(time.Now())
		case <-e.ctx.Done():
			return
		}
	}
}

func (e *Executor) sweepOnce(now time.Time) {
	ended := e.endedAttempts(now)
	slices.SortFunc(ended, func(a, b endedAttempt) int { return b.ended.Compare(a.ended) })
	budget := answerBudget
	for _, row := range ended {
		if budget = budget - row.held; budget < 0 {
			row.attempt.drop()
		}
	}
}

// endedAttempts returns the attempts that hold answers and forgets old ones.
func (e *Executor) endedAttempts(now time.Time) []endedAttempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ended []endedAttempt
	for id, a := range e.attempts {
		phase, at, fetched, held := a.snapshot()
		age := now.Sub(at)
		switch {
		case phase == phaseRunning:
		case age > retention:
			delete(e.attempts, id)
			delete(e.keyed, a.key)
		case a.idempotent && fetched && age > fetchedRetention:
			a.drop()
		case held > 0:
			ended = append(ended, endedAttempt{attempt: a, ended: at, held: held})
		}
	}
	slices.SortFunc(ended, func(a, b endedAttempt) int { return cmp.Compare(a.attempt.id, b.attempt.id) })
	return ended
}
