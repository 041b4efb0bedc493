package expected

import (
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/estimator"
)

type (
	// poolSummary aggregates the load of all candidates.
	poolSummary struct {
		// ownShare is the share of all requests that this process sent, from 0
		// to 1.
		ownShare float64
		// idle is set when at least one candidate is known to be idle.
		idle bool
		// others is the mean load that other processes put on a candidate.
		others others
	}

	// others is the load that other processes put on a backend server.
	others struct {
		tokens  float64
		waiting float64
		running float64
	}

	// option is a candidate with its estimated times.
	option struct {
		candidate *carawaybeam.Candidate
		work      carawaybeam.PendingWork
		// uncached is the part of the prompt that is not in the prefix cache,
		// in tokens.
		uncached      float64
		expected      time.Duration
		cost          time.Duration
		affinityBonus time.Duration
	}
)

// queueTime returns the part of the expected time that is caused by other
// requests.
func (o *option) queueTime(model *estimator.Estimator) time.Duration {
	return max(0, o.expected-model.Estimate(carawaybeam.PendingWork{Tokens: o.uncached}))
}

// summarise aggregates the load of the candidates. A slow candidate does not
// count as idle, even if it has no requests.
func summarise(now time.Time, model *estimator.Estimator, candidates []carawaybeam.Candidate) poolSummary {
	var own, all float64
	idle := false
	for i := range candidates {
		c := &candidates[i]
		own += float64(c.OwnRunning)
		all += float64(max(c.OwnRunning, c.Load.Running+c.Load.Waiting-c.OwnReported+c.OwnRunning))
		idle = idle || isIdle(c) && model.Slowdown(now, c.Backend) < slowFactor
	}
	s := poolSummary{ownShare: 1, idle: idle}
	if all > 0 {
		s.ownShare = own / all
	}
	n := float64(max(1, len(candidates)))
	for i := range candidates {
		o := s.othersOn(&candidates[i])
		s.others.tokens += o.tokens / n
		s.others.waiting += o.waiting / n
		s.others.running += o.running / n
	}
	return s
}

// isIdle reports whether a candidate is known to have no requests.
func isIdle(c *carawaybeam.Candidate) bool {
	return c.ReportAge <= maxIdleReportAge && c.OwnRunning == 0 && c.Load.Running+c.Load.Waiting <= c.OwnReported
}

// waitLimit returns the expected queue time above which the router searches for
// idle candidates.
func (s poolSummary) waitLimit(target time.Duration) time.Duration {
	return time.Duration(rescanWait * float64(target) / max(s.ownShare, minOwnShare))
}

// othersOn subtracts the own requests from a load report. A report does not say
// who sent the waiting requests, so the own share of them is assumed to be that
// of all requests.
func (s poolSummary) othersOn(c *carawaybeam.Candidate) others {
	all := max(0, c.Load.Running+c.Load.Waiting-c.OwnReported)
	waiting := float64(c.Load.Waiting) * (1 - s.ownShare)
	return others{
		tokens:  float64(c.Load.WaitingTokens) * (1 - s.ownShare),
		waiting: waiting,
		running: max(0, float64(all)-waiting),
	}
}

// evaluate estimates the time to the first token on a candidate.
//
// The requests of this process are known exactly. Those of other processes are
// known from the last report, which becomes less accurate with age, so the
// estimate moves from the report towards the mean of all candidates.
func evaluate(
	now time.Time,
	model *estimator.Estimator,
	s poolSummary,
	request carawaybeam.RouteRequest,
	c *carawaybeam.Candidate,
	home bool,
) option {
	weight := math.Exp(-c.ReportAge.Seconds() / reportDecay.Seconds())
	theirs := s.othersOn(c)
	blend := func(mean, reported float64) float64 { return mean + (reported-mean)*weight }
	uncached := max(0, request.Prompt-c.CachedPrompt)
	o := option{candidate: c, uncached: float64(uncached), work: carawaybeam.PendingWork{
		Tokens:  blend(s.others.tokens, theirs.tokens) + float64(c.OwnWaitingTokens+uncached),
		Waiting: blend(s.others.waiting, theirs.waiting) + float64(c.OwnWaiting),
		Running: blend(s.others.running, theirs.running) + float64(c.OwnRunning-c.OwnWaiting),
	}}
	if slots := model.ObserveSlots(c.Backend, c.Load); slots > 0 {
		o.work.Overflow = max(0, o.work.Waiting+o.work.Running+1-float64(slots))
	}
	if home {
		o.work.MaybeCached = float64(uncached)
		o.affinityBonus = time.Duration(affinityShare * float64(request.Target))
	}
	o.expected = time.Duration(float64(model.Estimate(o.work)) * model.Slowdown(now, c.Backend))
	o.cost = o.expected + c.Distance
	return o
}
