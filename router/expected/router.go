// Package expected is the router "expected": the backend server with the least
// expected time to the first token among a few.
//
// The expected time is that of the work ahead: what waits there by the last
// report, aged, and the own requests since; the part of the prompt that is not
// in the prefix cache; and the way to another data centre. The few are a random
// sample, the backend servers where prompts with the same head gather, and those
// known to have it cached. Processes that do not see each other thus neither run
// after the same report nor scatter equal prompts.
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
	// sampleSize is how many backend servers are drawn by chance.
	sampleSize = 2

	// homeCount is how many backend servers prompts with the same head gather
	// on.
	homeCount = 2

	// holderCount is how many backend servers with the most of the prompt
	// cached are considered.
	holderCount = 2

	// affinityShare is how much later the first token may be where prompts
	// with the same head gather, as a share of its target.
	affinityShare = 0.45

	// secondLook is the expected wait, as a share of the target, above which a
	// process that sends all requests looks for idle candidates. One that sends
	// few does so later, lest all processes run to the same.
	secondLook = 0.05

	// regionDistance is how far away prompts may gather.
	regionDistance = 5 * time.Millisecond

	// forgetting is how fast a report loses its worth, as the time in which
	// the distance to the mean of all falls to 1/e.
	forgetting = 500 * time.Millisecond

	// freshReport is the age up to which a report can tell that a backend server
	// has nothing to do.
	freshReport = 3 * time.Second

	// slowFactor is how many times slower than typical a backend server is
	// left, but for probes.
	slowFactor = 4

	// minSlowWait is the least wait that counts as slow.
	minSlowWait = 800 * time.Millisecond

	// Backend servers that are gone are forgotten once what is known exceeds the
	// candidates by this factor and margin.
	retainFactor = 2
	retainMargin = 64

	// minOwnShare bounds from below the part of all requests that a process
	// takes itself to send.
	minOwnShare = 0.01

	// probeInterval is the mean time to the first probe of a slow one. It
	// doubles with each probe that finds it slow, up to maxProbeInterval.
	probeInterval    = 2 * time.Second
	maxProbeInterval = 16 * time.Second

	// recoveryPause is the time from a probe that finds a slow one faster to the
	// next.
	recoveryPause = 500 * time.Millisecond
)

type (
	// Router chooses by expected time to the first token.
	Router struct {
		mu     sync.Mutex
		pools  map[carawaybeam.PoolID]*estimator.Estimator
		probes map[carawaybeam.BackendID]probe
	}

	// probe tells when a slow backend server may next get a request.
	probe struct {
		due  time.Time
		wait time.Duration
	}
)

func init() {
	carawaybeam.Routers.Register("expected", func() carawaybeam.Router { return New() })
}

// New returns a Router that knows nothing yet.
func New() *Router {
	return &Router{
		pools:  make(map[carawaybeam.PoolID]*estimator.Estimator),
		probes: make(map[carawaybeam.BackendID]probe),
	}
}

// Route returns the candidate with the least expected time to the first token.
func (r *Router) Route(
	now time.Time,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	random *rand.Rand,
) (carawaybeam.RouteDecision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	model := r.pool(request.Pool)
	if model.Len() > retainFactor*len(candidates)+retainMargin {
		r.retain(model, candidates)
	}
	overview := look(now, model, candidates)
	best, slow := r.choose(now, model, overview, request, candidates, shortlist(request, candidates, random))
	if best == nil || best.wait(model) > overview.patience(request.Target) {
		other, otherSlow := r.lookAgain(now, model, overview, request, candidates, random)
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
		Unloaded: best.expected - best.wait(model),
		Idle:     overview.idle,
		Work:     best.work,
	}, true
}

// choose weighs listed candidates and returns the best one, and the best of
// those that are slow. Either may be nil.
func (r *Router) choose(
	now time.Time,
	model *estimator.Estimator,
	overview survey,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	list []listed,
) (best, slow *option) {
	for _, l := range list {
		o := weigh(now, model, overview, request, &candidates[l.index], l.home)
		chosen := &best
		if r.isSlow(now, model, &o) {
			chosen = &slow
		}
		if *chosen == nil || o.rank() < (*chosen).rank() {
			*chosen = &o
		}
	}
	return best, slow
}

// lookAgain weighs the candidates that are known to have nothing to do, or all
// when there is none. One of the former is drawn by chance, lest all processes
// run to the same.
func (r *Router) lookAgain(
	now time.Time,
	model *estimator.Estimator,
	overview survey,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	random *rand.Rand,
) (best, slow *option) {
	var idle, all []listed
	for i := range candidates {
		c := &candidates[i]
		if slices.Contains(request.Tried, c.Backend) {
			continue
		}
		all = append(all, listed{index: i})
		if isIdle(c) && model.Slowdown(now, c.Backend) < slowFactor {
			idle = append(idle, listed{index: i})
		}
	}
	if len(idle) > 0 {
		return r.choose(now, model, overview, request, candidates, []listed{idle[random.IntN(len(idle))]})
	}
	return r.choose(now, model, overview, request, candidates, all)
}

// Observe learns from the time to the first token.
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
		r.probes[decision.Backend] = probe{due: now.Add(recoveryPause), wait: recoveryPause}
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

// retain forgets the backend servers of a pool that are gone.
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

// isSlow tells whether a backend server answers, or fails to answer, far later
// than its work explains.
func (r *Router) isSlow(now time.Time, model *estimator.Estimator, o *option) bool {
	if model.Slowdown(now, o.candidate.Backend) >= slowFactor {
		return true
	}
	limit := max(minSlowWait, slowFactor*o.expected)
	return o.candidate.OwnOldest > limit
}

// isProbeDue tells whether a slow backend server may get a request, and if so
// notes it.
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

// rank orders options: where prompts with the same head gather goes first as
// long as the target leaves room. A prompt that is read twice costs others more
// than it costs itself.
func (o *option) rank() time.Duration { return o.cost - o.slack }
