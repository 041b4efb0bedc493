package forwarder

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// Admission configures what the limiter learns of a request. With the zero value it is told
	// of pools as if they had one priority.
	Admission struct {
		// Precedence is set if the limiter weighs requests of different priorities.
		Precedence bool
		// Completion is set if requests that cannot end before their deadline are refused
		// in pools with one priority too.
		Completion bool
	}

	// contended is the state of a request for a pool whose requests are weighed against each
	// other.
	contended struct {
		// candidates are those of the last choice.
		candidates []carawaybeam.Candidate
		// probe is set if the candidates are to be measured.
		probe bool
	}
)

// isContended reports whether requests for the pool have different priorities.
func (f *Forwarder) isContended(p *pendingRequest) bool {
	return f.options.Admission.Precedence && p.config.HasSeveralPriorities(p.pool.ID)
}

// mustComplete reports whether the request is refused if it cannot end before its deadline.
func (f *Forwarder) mustComplete(p *pendingRequest) bool {
	return f.options.Admission.Precedence && (f.options.Admission.Completion || f.isContended(p))
}

// addContention adds to a request for the limiter what it needs to weigh requests against each
// other.
func (f *Forwarder) addContention(
	now time.Time,
	p *pendingRequest,
	decision carawaybeam.RouteDecision,
	admit *carawaybeam.AdmitRequest,
) {
	if !f.mustComplete(p) {
		return
	}
	admit.Priority = p.priority
	admit.Fingerprint = binary.BigEndian.Uint64([]byte(p.fingerprint))
	unit, work := p.expectedWork()
	admit.Contention = carawaybeam.Contention{
		Route:        p.route.ID,
		Unit:         unit,
		Work:         work,
		Several:      f.isContended(p),
		MustComplete: true,
		Probe:        p.probe,
		TimeLeft:     p.deadline.Sub(now),
		Events:       p.expectedEvents(),
		Gap:          f.sustainedGap(now, p, decision.Backend),
		Engine:       p.pool.Engine,
		Chosen:       decision.Backend,
		Candidates:   p.candidates,
	}
}

// expectedEvents returns the expected number of events of the answer that the client does not have
// yet, or 0 if unknown. The client's hint is right at the median, but often far off. The geometric
// mean of the hint and of the mean length is less so.
func (p *pendingRequest) expectedEvents() float64 {
	engine := p.pool.Engine
	if engine == nil || engine.StepsPerPass <= 0 || engine.MeanAnswer <= 0 {
		return 0
	}
	tokens := float64(engine.MeanAnswer)
	if hint := p.request.AnswerHint; hint > 0 {
		tokens = math.Sqrt(tokens * float64(hint))
	}
	if longest := p.request.MaxAnswer; longest > 0 {
		tokens = min(tokens, float64(longest))
	}
	return max(1, tokens/float64(engine.StepsPerPass)-float64(p.lastEvent))
}

// expectedWork returns what the client states of the work of the request: the tokens of the prompt and of the
// expected response, or else the length of the body.
func (p *pendingRequest) expectedWork() (carawaybeam.WorkUnit, float64) {
	prompt, answer := p.request.Prompt, p.request.AnswerHint
	if longest := p.request.MaxAnswer; longest > 0 {
		answer = min(answer, longest)
	}
	switch {
	case answer > 0:
		return carawaybeam.WorkTokens, float64(prompt) + float64(answer)
	case prompt > 0:
		return carawaybeam.WorkPrompt, float64(prompt)
	case len(p.request.Body) > 0:
		return carawaybeam.WorkBytes, float64(len(p.request.Body))
	}
	return carawaybeam.WorkUnknown, 0
}

// promising returns the candidates on which the answer can end before the deadline, or all if there is none,
// or those that the request is to measure.
func (f *Forwarder) promising(
	now time.Time,
	p *pendingRequest,
	candidates []carawaybeam.Candidate,
) []carawaybeam.Candidate {
	p.probe = false
	if !f.mustComplete(p) {
		return candidates
	}
	if events := p.expectedEvents(); events > 0 {
		candidates, p.probe = f.gaps.Promising(
			now, p.pool.Engine, candidates, events, p.deadline.Sub(now), p.attempts == 0,
		)
	}
	p.candidates = candidates
	return candidates
}

// sustainedGap returns the time between events on a candidate that a forecast may extrapolate.
func (f *Forwarder) sustainedGap(
	now time.Time,
	p *pendingRequest,
	backend carawaybeam.BackendID,
) time.Duration {
	for i := range p.candidates {
		if p.candidates[i].Backend == backend {
			return f.gaps.Sustained(now, p.pool.Engine, &p.candidates[i])
		}
	}
	return 0
}

// refusalDetail describes why the limiter refused a request.
func refusalDetail(request carawaybeam.AdmitRequest, decision carawaybeam.AdmitDecision) string {
	refusal := decision.Refusal
	if refusal.Reason == "" {
		return ""
	}
	return fmt.Sprintf(
		", refused as %s: priority %d, end expected in %v of %v, gap %v, %.0f places free of which %.0f are kept, "+
			"organisation has %.2f of its share",
		refusal.Reason, request.Priority, refusal.Forecast, request.Contention.TimeLeft, request.EventGap,
		refusal.Free, refusal.Kept, refusal.Share,
	)
}
