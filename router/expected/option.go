package expected

import (
	"math"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/estimator"
)

type (
	// survey is what all candidates say together.
	survey struct {
		// ownShare is the part of all requests that this process sent.
		ownShare float64
		// idle is set when some candidate is known to have nothing to do.
		idle bool
		// others is the mean of what other processes have on a candidate.
		others others
	}

	// others is what other processes have on a backend server.
	others struct {
		tokens  float64
		waiting float64
		running float64
	}

	// option is a candidate that is being weighed.
	option struct {
		candidate *carawaybeam.Candidate
		work      carawaybeam.PendingWork
		// unread is the part of the prompt that is not cached, in tokens.
		unread   float64
		expected time.Duration
		cost     time.Duration
		slack    time.Duration
	}
)

// wait returns the part of the expected time that other requests take.
func (o *option) wait(model *estimator.Estimator) time.Duration {
	return max(0, o.expected-model.Estimate(carawaybeam.PendingWork{Tokens: o.unread}))
}

// look sums up the candidates. A slow one that has nothing to do is no idle
// capacity.
func look(now time.Time, model *estimator.Estimator, candidates []carawaybeam.Candidate) survey {
	var own, all float64
	idle := false
	for i := range candidates {
		c := &candidates[i]
		own += float64(c.OwnRunning)
		all += float64(max(c.OwnRunning, c.Load.Running+c.Load.Waiting-c.OwnReported+c.OwnRunning))
		idle = idle || isIdle(c) && model.Slowdown(now, c.Backend) < slowFactor
	}
	s := survey{ownShare: 1, idle: idle}
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

// isIdle tells whether a candidate is known to have nothing to do.
func isIdle(c *carawaybeam.Candidate) bool {
	return c.ReportAge <= freshReport && c.OwnRunning == 0 && c.Load.Running+c.Load.Waiting <= c.OwnReported
}

// patience returns the expected wait above which idle candidates are looked for.
func (s survey) patience(target time.Duration) time.Duration {
	return time.Duration(secondLook * float64(target) / max(s.ownShare, minOwnShare))
}

// othersOn takes the own part off a report. A report does not tell whose the
// waiting requests are, so the own share of them is that of all requests.
func (s survey) othersOn(c *carawaybeam.Candidate) others {
	all := max(0, c.Load.Running+c.Load.Waiting-c.OwnReported)
	waiting := float64(c.Load.Waiting) * (1 - s.ownShare)
	return others{
		tokens:  float64(c.Load.WaitingTokens) * (1 - s.ownShare),
		waiting: waiting,
		running: max(0, float64(all)-waiting),
	}
}

// weigh works out the expected time to the first token on a candidate.
//
// What this process has there it knows exactly. What others have is known from
// the last report, which tells less the older it is: then the mean over all
// candidates is the better guess.
func weigh(
	now time.Time,
	model *estimator.Estimator,
	s survey,
	request carawaybeam.RouteRequest,
	c *carawaybeam.Candidate,
	home bool,
) option {
	trust := math.Exp(-c.ReportAge.Seconds() / forgetting.Seconds())
	there := s.othersOn(c)
	blend := func(mean, reported float64) float64 { return mean + (reported-mean)*trust }
	unread := max(0, request.Prompt-c.CachedPrompt)
	o := option{candidate: c, unread: float64(unread), work: carawaybeam.PendingWork{
		Tokens:  blend(s.others.tokens, there.tokens) + float64(c.OwnWaitingTokens+unread),
		Waiting: blend(s.others.waiting, there.waiting) + float64(c.OwnWaiting),
		Running: blend(s.others.running, there.running) + float64(c.OwnRunning-c.OwnWaiting),
	}}
	if slots := model.ObserveSlots(c.Backend, c.Load); slots > 0 {
		o.work.Overflow = max(0, o.work.Waiting+o.work.Running+1-float64(slots))
	}
	if home {
		o.work.MaybeCached = float64(unread)
		o.slack = time.Duration(affinityShare * float64(request.Target))
	}
	o.expected = time.Duration(float64(model.Estimate(o.work)) * model.Slowdown(now, c.Backend))
	o.cost = o.expected + c.Distance
	return o
}
