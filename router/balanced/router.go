// Package balanced implements the router "balanced", for pools whose backend servers or
// demand differ. It forecasts for each candidate the event gap and the time to the first
// event with one more request there. It prefers candidates that keep both targets of the
// request, among those the own data centre, and then the least expected remaining work.
// If no candidate keeps the targets, it prefers the earliest forecast end.
//
// Entries decide alone, on reports that are 60 to 200 ms old. So that they do not all
// choose the same group, each chooses at random among near equals. A design note is in
// docs/design/uneven-load.md.
package balanced

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/ejector"
	"github.com/carawaybeam/carawaybeam/router/forecaster"
	"github.com/carawaybeam/carawaybeam/router/occupancy"
)

const (
	// nearRequests is by how many requests of mean length more work makes a candidate 1/e as
	// probable. The figures of other values are in the design note.
	nearRequests = 2.0

	// nearEnd is by which fraction a later forecast end makes a candidate 1/e as probable if no
	// candidate keeps the targets.
	nearEnd = 0.1

	// targetSpread is by which fraction of a target decisions differ at random in what they
	// count as keeping it. Otherwise all entries would leave a group at once when its event
	// gap crosses the target.
	targetSpread = 0.1

	// slowdownRetention is how long the slowdown of a group is remembered after its last
	// measurement. An idle group makes no steps and thus reports no step time. Meanwhile
	// probeShare of the decisions take it for a group at its usual speed, which makes it
	// step, so that its speed is measured again.
	slowdownRetention = 10 * time.Second
	probeShare        = 0.03

	// minFailing is the number of ranks in backoff that put their whole group into backoff. A
	// group cannot step without one of its ranks, but a single failure may have another cause.
	minFailing = 2

	// maxGroups is the maximum number of groups whose slowdown is remembered.
	maxGroups = 1024
)

const (
	// memoryFree holds the request, also if the running requests generate what is expected of
	// them. memoryTight holds it if they take no more than now. memoryShort cannot hold it now, and
	// memoryNever not even without other requests.
	memoryFree memory = iota
	memoryTight
	memoryShort
	memoryNever
)

type (
	// Router chooses by forecast. It is safe for concurrent use.
	Router struct {
		ejector *ejector.Ejector
		// plain routes requests for pools without an engine.
		plain *occupancy.Router

		mu sync.Mutex
		// slowdowns holds the last measured slowdown of each group.
		slowdowns map[carawaybeam.GroupID]slowdown
		counts    Counts
		// The others are used within one call of Route, and kept so that it does not
		// allocate.
		groups  map[carawaybeam.GroupID]groupLoad
		indices []int
		options []option
	}

	// slowdown is how many times longer the passes of a group take than its engines need
	// for the running requests alone.
	slowdown struct {
		factor float64
		at     time.Time
	}

	// groupLoad is the state of a group according to the reports of its ranks.
	groupLoad struct {
		// reported and expected are the most requests that run on one rank, when the reports
		// were made and now.
		reported, expected int
		stepTime           time.Duration
		// failing is the number of ranks in backoff.
		failing int
		// factor is the slowdown, or 0 if it cannot be known.
		factor float64
	}

	// option is a candidate and its forecast.
	option struct {
		candidate *carawaybeam.Candidate
		group     groupLoad
		// gap is the event gap with one more request, or 0 if unknown. first is the time
		// to the first event, and wait the part of it that is spent waiting for a slot.
		gap, first, wait time.Duration
		// tight is set if the memory suffices only as long as the running requests take no more.
		tight bool
		// class is compared before cost. It is even if both targets are kept.
		class int
		cost  float64
	}

	// lottery draws one of several options with probabilities in proportion to their weights.
	lottery struct {
		drawn *option
		sum   float64
		count int
	}

	// memory is how a candidate can hold a request.
	memory int

	// Counts are totals since the start.
	Counts struct {
		// Decisions is the number of decisions, Remote how many of them chose another data
		// centre, and Late how many had no candidate that keeps the targets.
		Decisions uint64 `json:"decisions"`
		Remote    uint64 `json:"remote"`
		Late      uint64 `json:"late"`
		// NoMemory is the number of requests for which no candidate had memory, and
		// Oversized how many of them no candidate could ever hold.
		NoMemory  uint64 `json:"noMemory"`
		Oversized uint64 `json:"oversized"`
	}

	// State is the state dump of a Router.
	State struct {
		Counts
		// BackingOff lists the backend servers in backoff after failures.
		BackingOff []carawaybeam.BackendID `json:"resting"`
		// Slowdowns is how many times longer passes of each group take than its engines
		// need for the running requests alone.
		Slowdowns map[carawaybeam.GroupID]float64 `json:"slowdowns"`
	}
)

var _ carawaybeam.StateDumper = (*Router)(nil)

func init() {
	carawaybeam.Routers.Register("balanced", func() carawaybeam.Router { return New() })
}

// New returns a Router that has seen no failures.
func New() *Router {
	return &Router{
		ejector:   ejector.New(),
		plain:     occupancy.New(),
		slowdowns: make(map[carawaybeam.GroupID]slowdown),
		groups:    make(map[carawaybeam.GroupID]groupLoad),
	}
}

// Route returns the candidate with the best forecast. It returns a backend server that the
// request has tried only if no other one accepts requests, and false only if no candidate
// has the memory for the request. Without an engine there is nothing to forecast, and the router
// "occupancy" decides.
func (r *Router) Route(
	now time.Time,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	random *rand.Rand,
) (carawaybeam.RouteDecision, bool) {
	if request.Engine == nil {
		return r.plain.Route(now, request, candidates, random)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Decisions++
	r.indices = sample(r.indices[:0], &request, candidates, random)
	oversized := r.fit(&request, candidates)
	if len(r.options) == 0 && len(r.indices) < len(candidates) {
		// Candidates outside of the sample may hold the request.
		r.indices = r.indices[:0]
		for i := range candidates {
			r.indices = append(r.indices, i)
		}
		oversized = r.fit(&request, candidates)
	}
	if len(r.options) == 0 {
		oversized = oversized && len(r.indices) > 0
		if len(r.indices) > 0 {
			r.counts.NoMemory++
		}
		if oversized {
			r.counts.Oversized++
		}
		return carawaybeam.RouteDecision{Pool: request.Pool, Oversized: oversized}, false
	}
	r.measureGroups(now, &request, random.Float64() < probeShare)
	leniency := 1 - targetSpread*random.Float64()
	for i := range r.options {
		o := &r.options[i]
		o.group = r.groupOf(o.candidate)
		o.forecast(&request, leniency)
		o.class += 4 * r.penalty(now, &request, o)
		if o.tight {
			o.class += 2
		}
	}
	best := choose(&request, r.options, random)
	if best.candidate.DataCentre != request.DataCentre {
		r.counts.Remote++
	}
	if best.class%2 != 0 {
		r.counts.Late++
	}
	return best.decision(&request), true
}

// fit sets options to the candidates at indices that can hold the request now. It reports whether none of them
// ever can.
func (r *Router) fit(request *carawaybeam.RouteRequest, candidates []carawaybeam.Candidate) (oversized bool) {
	r.options = r.options[:0]
	oversized = true
	for _, i := range r.indices {
		c := &candidates[i]
		m := memoryOf(request, c)
		oversized = oversized && m == memoryNever
		if m <= memoryTight {
			r.options = append(r.options, option{candidate: c, tight: m == memoryTight})
		}
	}
	return oversized
}

// memoryOf compares the memory of a candidate with the prompt and the expected answer of the request.
func memoryOf(request *carawaybeam.RouteRequest, c *carawaybeam.Candidate) memory {
	total := c.MemoryTotal
	if total <= 0 {
		total = request.Engine.Memory
	}
	need := max(0, request.Prompt) + max(0, request.Answer)
	free := total - c.MemoryUsed - c.OwnMemory
	others := max(0, forecaster.Running(c)-c.OwnRunning)
	growth := c.OwnRemaining + carawaybeam.Tokens(others)*request.Engine.MeanAnswer
	switch {
	case total <= 0 || need <= free-growth:
		return memoryFree
	case need <= free:
		return memoryTight
	case need <= total:
		return memoryShort
	}
	return memoryNever
}

// measureGroups determines the load and the slowdown of the groups of all options. A probing
// decision takes groups that were not measured recently for ones at their usual speed.
func (r *Router) measureGroups(now time.Time, request *carawaybeam.RouteRequest, probing bool) {
	clear(r.groups)
	for i := range r.options {
		c := r.options[i].candidate
		if c.Group == "" {
			continue
		}
		g := r.groups[c.Group]
		g.add(c)
		if r.ejector.IsBackingOff(now, c.Backend) {
			g.failing++
		}
		r.groups[c.Group] = g
	}
	if len(r.slowdowns) > maxGroups {
		clear(r.slowdowns)
	}
	for id, g := range r.groups {
		g.setFactor(request.Engine)
		if g.stepTime > 0 && g.factor > 0 {
			r.slowdowns[id] = slowdown{factor: g.factor, at: now}
		} else if last, ok := r.slowdowns[id]; ok && !probing && now.Sub(last.at) < slowdownRetention {
			g.factor = last.factor
		}
		r.groups[id] = g
	}
}

// groupOf returns the load of the group of a candidate, which is a group of its own if its group
// is unknown.
func (r *Router) groupOf(c *carawaybeam.Candidate) groupLoad {
	if c.Group != "" {
		return r.groups[c.Group]
	}
	var g groupLoad
	g.add(c)
	return g
}

// add adds a rank to its group.
func (g *groupLoad) add(c *carawaybeam.Candidate) {
	slots := forecaster.Slots(c)
	g.reported = max(g.reported, min(c.Load.Running, slots))
	g.expected = max(g.expected, min(forecaster.Running(c), slots))
	g.stepTime = max(g.stepTime, c.StepTime)
}

// setFactor sets the slowdown from the step time. It is 1 for a group without a step time.
func (g *groupLoad) setFactor(engine *carawaybeam.EngineProfile) {
	usual := forecaster.PassTime(engine, g.reported)
	switch {
	case usual <= 0:
		g.factor = 0
	case g.stepTime <= 0:
		g.factor = 1
	default:
		g.factor = g.stepTime.Seconds() / usual
	}
}

// forecast sets the forecast of an option with one more request. leniency is the fraction of the
// targets that is compared with the forecast.
func (o *option) forecast(request *carawaybeam.RouteRequest, leniency float64) {
	c, engine := o.candidate, request.Engine
	slots := forecaster.Slots(c)
	running := forecaster.Running(c)
	if o.group.factor == 0 {
		o.group.setFactor(engine)
	}
	o.gap = o.group.stepTime
	if o.group.factor > 0 {
		most := max(o.group.expected, min(running+1, slots))
		o.gap = time.Duration(o.group.factor * forecaster.PassTime(engine, most) * float64(time.Second))
	}
	o.wait = forecaster.WaitTime(request, c, o.gap)
	o.first = forecaster.PromptTime(request) + o.gap + o.wait + c.Distance
	keepsGap := request.EventGap <= 0 || float64(o.gap) <= leniency*float64(request.EventGap)
	keepsTarget := request.Target <= 0 || float64(o.first) <= leniency*float64(request.Target)
	if keepsGap && keepsTarget {
		o.cost = workOf(request, c) / float64(slots)
		if c.Cold {
			o.cost += forecaster.ColdCost
		}
		return
	}
	o.class = 1
	o.cost = (o.first + time.Duration(eventsOf(request)*float64(o.gap))).Seconds()
}

// workOf returns the expected remaining work of a candidate as a number of requests of mean
// length. The requests of other entries count as ones of mean length: for the wide spread of
// lengths, what remains of a running answer is about as long as a whole one.
func workOf(request *carawaybeam.RouteRequest, c *carawaybeam.Candidate) float64 {
	running := forecaster.Running(c)
	if request.Engine.MeanAnswer <= 0 {
		return float64(running)
	}
	return float64(running-c.OwnRunning) + float64(c.OwnRemaining)/float64(request.Engine.MeanAnswer)
}

// eventsOf returns how many events the client is expected to receive yet.
func eventsOf(request *carawaybeam.RouteRequest) float64 {
	if request.Engine.StepsPerPass <= 0 {
		return 1
	}
	remaining := request.Remaining
	if remaining <= 0 {
		remaining = request.Engine.MeanAnswer
	}
	return max(1, float64(remaining)/float64(request.Engine.StepsPerPass))
}

// penalty returns a rank that is compared before the forecast. It is 0 for a
// candidate that accepts requests, is not in backoff and was not tried.
func (r *Router) penalty(now time.Time, request *carawaybeam.RouteRequest, o *option) int {
	c := o.candidate
	penalty := 0
	if c.ClosedFor > 0 {
		penalty += 4
	}
	if slices.Contains(request.Tried, c.Backend) {
		penalty += 2
	}
	if o.group.failing >= minFailing || r.ejector.IsBackingOff(now, c.Backend) {
		penalty++
	}
	return penalty
}

// choose returns one of the options of the best class at random. Better ones are more probable. An
// option in another data centre is chosen if those there are better by the cost of the distance.
func choose(request *carawaybeam.RouteRequest, options []option, random *rand.Rand) *option {
	best := &options[0]
	for i := range options {
		o := &options[i]
		if o.class < best.class || o.class == best.class && o.cost < best.cost {
			best = o
		}
	}
	// spread is by how much the cost rises until an option is 1/e as probable.
	spread := nearRequests / float64(forecaster.Slots(best.candidate))
	if best.class%2 != 0 {
		spread = nearEnd * best.cost
	}
	var own, remote lottery
	for i := range options {
		o := &options[i]
		if o.class != best.class {
			continue
		}
		weight := 1.0
		if o.cost > best.cost {
			weight = math.Exp((best.cost - o.cost) / spread)
		}
		if o.candidate.DataCentre == request.DataCentre {
			own.add(o, weight, random)
		} else {
			remote.add(o, weight, random)
		}
	}
	// Decisions differ in the cost of the distance, so that not all of them turn to another data
	// centre at once.
	distance := (0.5 + random.Float64()) * forecaster.RemoteRequests / nearRequests
	if own.drawn == nil || remote.drawn != nil && remote.mean() > own.mean()*math.Exp(distance) {
		return remote.drawn
	}
	return own.drawn
}

// add lets an option take part in the draw.
func (l *lottery) add(o *option, weight float64, random *rand.Rand) {
	l.count++
	if l.sum += weight; random.Float64()*l.sum <= weight {
		l.drawn = o
	}
}

// mean returns the mean weight.
func (l *lottery) mean() float64 { return l.sum / float64(l.count) }

// decision returns the decision for an option.
func (o *option) decision(request *carawaybeam.RouteRequest) carawaybeam.RouteDecision {
	c := o.candidate
	unloaded := forecaster.PromptTime(request) + o.gap
	return carawaybeam.RouteDecision{
		Backend:   c.Backend,
		Pool:      request.Pool,
		Idle:      forecaster.Occupancy(c) < forecaster.MaxIdleOccupancy,
		ClosedFor: c.ClosedFor,
		EventGap:  o.gap,
		Crowded:   o.isCrowded(request),
		Unloaded:  unloaded,
		Expected:  unloaded + o.wait,
	}
}

// isCrowded reports whether the event gap exceeds its target with another request, but not with
// fewer.
func (o *option) isCrowded(request *carawaybeam.RouteRequest) bool {
	if request.EventGap <= 0 || o.group.factor <= 0 || o.candidate.Slots <= 0 {
		return false
	}
	fewest := forecaster.FewestUseful(o.candidate)
	fewestGap := o.group.factor * forecaster.PassTime(request.Engine, fewest)
	return forecaster.Running(o.candidate) >= fewest && o.gap > request.EventGap &&
		fewestGap <= request.EventGap.Seconds()
}

// Observe starts a backoff after a failure and ends it after a success.
func (r *Router) Observe(now time.Time, decision carawaybeam.RouteDecision, outcome carawaybeam.RouteOutcome) {
	r.ejector.Observe(now, decision.Backend, outcome.Failed)
	r.plain.Observe(now, decision, outcome)
}

// slowFactor is how many times slower than the fastest group a group is that counts as slow, and
// recoveredFactor below how many it has recovered.
const (
	slowFactor      = 2
	recoveredFactor = 1.5
)

// SlowGroups updates the groups that count as slow, as a set, and returns those that were added to it and
// removed from it, in order.
func (s State) SlowGroups(slow map[carawaybeam.GroupID]struct{}) (added, removed []carawaybeam.GroupID) {
	fastest := math.Inf(1)
	for _, factor := range s.Slowdowns {
		fastest = min(fastest, factor)
	}
	for id, factor := range s.Slowdowns {
		_, known := slow[id]
		switch {
		case !known && factor >= slowFactor*fastest:
			slow[id] = struct{}{}
			added = append(added, id)
		case known && factor < recoveredFactor*fastest:
			delete(slow, id)
			removed = append(removed, id)
		}
	}
	for id := range slow {
		if _, known := s.Slowdowns[id]; !known {
			delete(slow, id)
			removed = append(removed, id)
		}
	}
	slices.Sort(added)
	slices.Sort(removed)
	return added, removed
}

// State returns the state dump as a State.
func (r *Router) State() any { return r.Dump() }

// Dump returns the state dump.
func (r *Router) Dump() State {
	now := time.Now()
	state := State{
		BackingOff: r.ejector.BackingOff(now),
		Slowdowns:  make(map[carawaybeam.GroupID]float64),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state.Counts = r.counts
	for id, s := range r.slowdowns {
		if now.Sub(s.at) < slowdownRetention {
			state.Slowdowns[id] = s.factor
		}
	}
	return state
}
