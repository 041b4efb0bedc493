package forwarder

import (
	"fmt"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/counter"
)

// maxEvents bounds the number of events of an answer, which a client may name, in estimates.
const maxEvents = 1 << 24

// expectedAnswer returns the expected length of the whole answer, or 0 if unknown: the client's
// estimate, or else the mean of the pool, but not more than the longest answer.
func (p *pendingRequest) expectedAnswer() carawaybeam.Tokens {
	answer := p.request.AnswerHint
	if answer <= 0 && p.pool.Engine != nil {
		answer = p.pool.Engine.MeanAnswer
	}
	if longest := p.request.MaxAnswer; longest > 0 {
		answer = min(answer, longest)
	}
	return max(0, answer)
}

// expectedRemaining returns the expected length of what the client does not have yet. It is at
// least one event unless the length of the answer is unknown.
func (p *pendingRequest) expectedRemaining() carawaybeam.Tokens {
	answer := p.expectedAnswer()
	return min(answer, max(answer-p.eventLength(p.lastEvent), p.eventLength(1), 1))
}

// eventLength returns the length of a number of events: an engine makes one event of all steps
// of a pass.
func (p *pendingRequest) eventLength(events carawaybeam.EventID) carawaybeam.Tokens {
	if p.pool.Engine == nil || p.pool.Engine.StepsPerPass <= 0 {
		return 0
	}
	return carawaybeam.Tokens(p.pool.Engine.StepsPerPass) * carawaybeam.Tokens(min(events, maxEvents))
}

// work returns the expected work of an attempt.
func (p *pendingRequest) work() counter.Work {
	return counter.Work{
		Answer: p.expectedRemaining(),
		Memory: max(0, p.request.Prompt) + p.expectedAnswer(),
	}
}

// oversizedError returns the error of a request that no backend server of its pool can hold.
func (p *pendingRequest) oversizedError() *carawaybeam.RequestError {
	detail := fmt.Sprintf(
		"prompt of %d tokens and an answer of %d do not fit into a backend server of the pool",
		p.request.Prompt, p.expectedAnswer(),
	)
	return carawaybeam.NotRun(carawaybeam.ReasonTooLarge, detail, 0)
}
