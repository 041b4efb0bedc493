// Package expected implements the router "expected". It chooses the backend
// server with the least expected time to the first token among a few
// candidates.
//
// The expected time covers the requests ahead (the last load report, weighted
// by its age, and the own requests since), the part of the prompt that is not
// in the prefix cache, and the network latency to another data centre. The
// candidates that are evaluated are a random sample, the backend servers
// preferred for prompts with the same prefix, and those known to have it
// cached. So processes that do not see each other neither overload the backend
// server with the lowest reported load nor scatter equal prompts.
package expected

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/estimator"
)

const (
	// sampleSize is how many candidates are sampled at random.
	sampleSize = 2

	// homeCount is how many candidates are preferred for prompts with the same
	// prefix.
	homeCount = 2

	// cacheHolderCount is how many of the candidates with the most of the
	// prompt cached are evaluated.
	cacheHolderCount = 2

	// affinityShare is how much later the first token may be on a preferred
	// candidate than on another one, as a share of its target.
	affinityShare = 0.45

	// rescanWait is the expected queue time, as a share of the target, above
	// which a process that sends all requests searches for idle candidates. The
	// limit is higher for a process that sends a smaller share, so that
	// processes do not all choose the same idle candidate.
	rescanWait = 0.05

	// maxHomeDistance is the greatest network latency to a candidate that may
	// be preferred for a prefix.
	maxHomeDistance = 5 * time.Millisecond

	// reportDecay is the time in which the weight of a load report against the
	// mean of all candidates falls to 1/e.
	reportDecay = 500 * time.Millisecond

	// maxIdleReportAge is the age up to which a load report can show that a
	// backend server is idle.
	maxIdleReportAge = 3 * time.Second

	// slowFactor is how many times slower than typical a backend server must be
	// to receive only probes.
	slowFactor = 4

	// minSlowWait is the least wait for a first token that counts as slow.
	minSlowWait = 800 * time.Millisecond

	// Backend servers that are gone are removed from the model once it knows
	// more of them than this multiple of the candidates plus this margin.
	maxKnownFactor = 2
	maxKnownMargin = 64

	// minOwnShare is the lower bound of the share of all requests that a
	// process assumes it sends.
	minOwnShare = 0.01

	// probeInterval is the mean time to the first probe of a slow backend
	// server. It doubles with each probe that finds it slow, up to
	// maxProbeInterval.
	probeInterval    = 2 * time.Second
	maxProbeInterval = 16 * time.Second

	// recoveryInterval is the time between a probe that finds a slow backend
	// server faster and the next probe.
	recoveryInterval = 500 * time.Millisecond
)

type (
	// Router chooses by expected time to the first token. It is safe for
	// concurrent use.
	Router struct {
		mu     sync.Mutex
		pools  map[carawaybeam.PoolID]*estimator.Estimator
		probes map[carawaybeam.BackendID]probe
	}

	// probe is the probe schedule of a slow backend server: due is when it may
	// next receive a request, wait the current mean interval.
	probe struct {
		due  time.Time
		wait time.Duration
	}
)

func init() {
	carawaybeam.Routers.Register("expected", func() carawaybeam.Router { return New() })
}

// New returns a Router without observations.
func New() *Router {
	return &Router{
		pools:  make(map[carawaybeam.PoolID]*estimator.Estimator),
		probes: make(map[carawaybeam.BackendID]probe),
	}
}

// Route returns the candidate with the least expected time to the first token,
// or false if the request has tried all candidates.
func (r *Router) Route(
	now time.Time,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	random *rand.Rand,
) (carawaybeam.RouteDecision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	model := r.pool(request.Pool)
	if model.Len() > maxKnownFactor*len(candidates)+maxKnownMargin {
		r.retain(model, candidates)
	}
	summary := summarise(now, model, candidates)
	best, slow := r.choose(now, model, summary, request, candidates, shortlist(request, candidates, random))
	if best == nil || best.queueTime(model) > summary.waitLimit(request.Target) {
		other, otherSlow := r.rescan(now, model, summary, request, candidates, random)
		slow = cmp.Or(slow, otherSlow)
		if best == nil || other != nil && other.cost < best.cost/2 {
			best = other
		}
	}
	if slow != nil && (best == nil || r.isProbeDue(now, slow.candidate.Backend, random)) {
		best = slow
	}
	if best == nil {
		return carawaybeam.RouteDecision{}, false
	}
	return carawaybeam.RouteDecision{
		Backend:  best.candidate.Backend,
		Pool:     request.Pool,
		Expected: best.expected,
		Unloaded: best.expected - best.queueTime(model),
		Idle:     summary.idle,
		Work:     best.work,
	}, true
}

// choose evaluates the shortlisted candidates and returns the best one and the
// best of the slow ones. Either may be nil.
func (r *Router) choose(
	now time.Time,
	model *estimator.Estimator,
	summary poolSummary,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	list []shortlisted,
) (best, slow *option) {
	for _, l := range list {
		o := evaluate(now, model, summary, request, &candidates[l.index], l.home)
		chosen := &best
		if r.isSlow(now, model, &o) {
			chosen = &slow
		}
		if *chosen == nil || o.adjustedCost() < (*chosen).adjustedCost() {
			*chosen = &o
		}
	}
	return best, slow
}

// rescan evaluates one of the idle candidates, chosen at random so that
// processes do not all choose the same one. If there is none, it evaluates all
// candidates.
func (r *Router) rescan(
	now time.Time,
	model *estimator.Estimator,
	summary poolSummary,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	random *rand.Rand,
) (best, slow *option) {
	var idle, all []shortlisted
	for i := range candidates {
		c := &candidates[i]
		if slices.Contains(request.Tried, c.Backend) {
			continue
		}
		all = append(all, shortlisted{index: i})
		if isIdle(c) && model.Slowdown(now, c.Backend) < slowFactor {
			idle = append(idle, shortlisted{index: i})
		}
	}
	if len(idle) > 0 {
		return r.choose(now, model, summary, request, candidates, []shortlisted{idle[random.IntN(len(idle))]})
	}
	return r.choose(now, model, summary, request, candidates, all)
}

// Observe updates the model from the time to the first token, or from the
// failure.
func (r *Router) Observe(now time.Time, decision carawaybeam.RouteDecision, outcome carawaybeam.RouteOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	model := r.pool(decision.Pool)
	if outcome.Failed {
		model.ObserveFailure(now, decision.Backend)
		return
	}
	before := model.Slowdown(now, decision.Backend)
	model.Observe(now, decision.Backend, decision.Work, outcome.FirstToken)
	switch after := model.Slowdown(now, decision.Backend); {
	case after < slowFactor:
		delete(r.probes, decision.Backend)
	case after < before:
		r.probes[decision.Backend] = probe{due: now.Add(recoveryInterval), wait: recoveryInterval}
	}
}

func (r *Router) pool(id carawaybeam.PoolID) *estimator.Estimator {
	model, ok := r.pools[id]
	if !ok {
		model = estimator.New()
		r.pools[id] = model
	}
	return model
}

// retain removes the backend servers that are not among the candidates from the
// model of a pool.
func (r *Router) retain(model *estimator.Estimator, candidates []carawaybeam.Candidate) {
	present := make(map[carawaybeam.BackendID]bool, len(candidates))
	for i := range candidates {
		present[candidates[i].Backend] = true
	}
	model.Retain(func(id carawaybeam.BackendID) bool {
		if !present[id] {
			delete(r.probes, id)
		}
		return present[id]
	})
}

// isSlow reports whether a backend server answers, or fails to answer, far
// later than its work explains.
func (r *Router) isSlow(now time.Time, model *estimator.Estimator, o *option) bool {
	if model.Slowdown(now, o.candidate.Backend) >= slowFactor {
		return true
	}
	limit := max(minSlowWait, slowFactor*o.expected)
	return o.candidate.OwnOldest > limit
}

// isProbeDue reports whether a slow backend server may receive a request, and
// if so schedules the next probe. A backend server that becomes slow gets its
// first probe only after an interval.
func (r *Router) isProbeDue(now time.Time, backend carawaybeam.BackendID, random *rand.Rand) bool {
	p, known := r.probes[backend]
	if known && now.Before(p.due) {
		return false
	}
	p.wait = min(maxProbeInterval, max(probeInterval, 2*p.wait))
	p.due = now.Add(p.wait/2 + time.Duration(random.Int64N(int64(p.wait))))
	r.probes[backend] = p
	return known
}

// adjustedCost is the value by which options are compared. A preferred
// candidate is favoured as long as the target allows it, because processing a
// prompt twice delays other requests more than the request itself.
func (o *option) adjustedCost() time.Duration { return o.cost - o.affinityBonus }
