package precedence

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/deadline"
)

const (
	// maxKinds is the maximum number of priorities of a pool that are told apart.
	maxKinds = 16

	// minDemand is the number of requests per second of this entry below which a kind
	// reserves nothing.
	minDemand = 0.1

	// reportAge is the mean age of the reports.
	reportAge = 130 * time.Millisecond

	// reserveTime is the time for whose requests capacity is kept free: the greatest age of
	// the reports by which other entries admit requests, and half of it for the way.
	reserveTime = 300 * time.Millisecond

	// reserveDeviations is how many standard deviations of a Poisson process are added to the
	// expected number of requests in reserveTime.
	reserveDeviations = 1.5

	// maxReserve bounds what is kept free, as a fraction of the places. Without a bound a
	// pool with few places would take none of the less urgent requests.
	maxReserve = 0.5

	// returnShare is the largest fraction of the capacity of a kind to which refused requests
	// are invited back. The rest is left to new ones, which can still be in time.
	returnShare = 0.5

	// returnReserve is the part of what is kept for more urgent requests that is also kept from refused
	// ones that come back when they were told. With all of it, 0.57 of them were admitted in
	// TestClientsComeBack, and 0.44 of the new ones; with half of it 0.66 and 0.42.
	returnReserve = 0.5

	// leastCapacity is the fraction of the freed slots that is taken as the capacity for a
	// kind when more urgent ones need all of them.
	leastCapacity = 0.1

	// gapRetention is how long the tightest gap target of a kind is remembered.
	gapRetention = 10 * time.Second

	// closedSpread is the time over which clients come back to a group that has formed again. It is
	// that of package deadline.
	closedSpread = time.Second

	// endMargin is the part of the time left in which answers of mean length shall end.
	endMargin = 0.8

	// minRefused is how many requests of a kind must have been refused lately for less urgent
	// ones to be held back to its share. overtaking is how many requests more than that share
	// are admitted, since few requests have no exact share.
	minRefused = 1
	overtaking = 1

	// overtakingDecay is the time constant over which these shares are compared. It is short, so that
	// less urgent requests are not held back when a slow group has recovered.
	overtakingDecay = 2500 * time.Millisecond

	// requestCost is the cost of a request beside its tokens, as in package fair.
	requestCost = 50
)

type (
	// pool is what an entry knows of the requests for a pool with several priorities.
	pool struct {
		used time.Time
		// kinds are sorted by priority, the most urgent one first.
		kinds []*kind
		// occupancies are the numbers of requests on the fullest backend server of each data
		// centre.
		occupancies map[carawaybeam.DataCentre]mean
		// centres are the data centres of the candidates of the current request, and
		// centreOf is the index of each candidate's.
		centres  []centre
		centreOf []int
		// poolRunning and ownRunning are the numbers of running requests of all entries and
		// of this one.
		poolRunning, ownRunning mean
		times                   serviceTimes
		// forgotten takes the response times of forgotten kinds. No decision reads it.
		forgotten samples
	}

	// centre is a data centre of the candidates of a request.
	centre struct {
		dc carawaybeam.DataCentre
		// most is the number of requests on its fullest backend server, and occupancy its
		// mean lately.
		most, occupancy float64
	}

	// kind is the requests for a pool with one priority.
	kind struct {
		priority int
		used     time.Time
		// offered counts the requests that the pool can serve, for which places are kept.
		// offeredLately and admittedLately are compared between kinds.
		offered                       rate
		offeredLately, admittedLately sum
		// offeredNow and admittedNow are the same over a shorter time.
		offeredNow, admittedNow sum
		// gap is the tightest gap target lately, seen at gapAt. endGap is the gap with
		// which answers of mean length end in time.
		gap, endGap time.Duration
		gapAt       time.Time
		endGapMean  mean
		shares      *shares
		// samples are the response times if the backend servers do not report their load.
		samples samples
		// nextReturn is the earliest time to which the next refused request is invited, and
		// returnRate the rate per second at which the refused requests of all entries come
		// back until then.
		nextReturn time.Time
		returnRate float64
	}

	// thresholds are the numbers of free places above which a request is admitted.
	thresholds struct {
		// urgent is kept for more urgent kinds, returns beside that for refused requests of
		// the kind, and others beside these for organisations with less than their share.
		urgent, returns, others float64
	}
)

func newPool() *pool {
	return &pool{
		occupancies: make(map[carawaybeam.DataCentre]mean),
	}
}

// kindOf returns the kind of a priority, which it creates if necessary.
func (p *pool) kindOf(now time.Time, priority int) *kind {
	i, ok := slices.BinarySearchFunc(p.kinds, priority, func(k *kind, wanted int) int {
		return cmp.Compare(k.priority, wanted) // A difference of configured priorities may overflow.
	})
	if !ok {
		if len(p.kinds) >= maxKinds {
			oldest := slices.MinFunc(p.kinds, func(a, b *kind) int { return a.used.Compare(b.used) })
			p.kinds = slices.DeleteFunc(p.kinds, func(k *kind) bool { return k == oldest })
			return p.kindOf(now, priority)
		}
		p.kinds = slices.Insert(p.kinds, i, &kind{priority: priority, shares: newShares()})
	}
	p.kinds[i].used = now
	return p.kinds[i]
}

// knownSamples returns the response times of a priority, or unused ones if it was forgotten since its requests
// were admitted. A response must not displace another kind.
func (p *pool) knownSamples(priority int) *samples {
	for _, k := range p.kinds {
		if k.priority == priority {
			return &k.samples
		}
	}
	return &p.forgotten
}

// meanEvents returns the mean number of events of an answer, or 0 if unknown.
func meanEvents(request carawaybeam.AdmitRequest) float64 {
	engine := request.Contention.Engine
	if engine == nil || engine.StepsPerPass <= 0 {
		return 0
	}
	return float64(engine.MeanAnswer) / float64(engine.StepsPerPass)
}

// observe counts a request, whether or not the pool can serve it, and updates the gaps that it needs.
func (k *kind) observe(now time.Time, request carawaybeam.AdmitRequest) {
	k.offeredLately.add(now, 1, shareDecay)
	k.offeredNow.add(now, 1, overtakingDecay)
	if gap := request.EventGapTarget; gap > 0 && (k.gap == 0 || gap <= k.gap || now.Sub(k.gapAt) > gapRetention) {
		k.gap, k.gapAt = gap, now
	}
	left := request.Contention.TimeLeft - request.Unloaded
	if events := meanEvents(request); events > 0 && left > 0 {
		k.endGapMean.observe(now, endMargin*left.Seconds()/events, slowDecay)
		k.endGap = time.Duration(k.endGapMean.value * float64(time.Second))
	}
}

// admit decides about a request and counts it.
func (p *pool) admit(now time.Time, request carawaybeam.AdmitRequest) carawaybeam.AdmitDecision {
	k := p.kindOf(now, request.Priority)
	k.observe(now, request)
	u := k.shares.usageOf(request.Organisation)
	cost := requestCost + float64(request.Prompt)
	if engine := request.Contention.Engine; engine != nil {
		cost += request.Contention.Events * float64(engine.StepsPerPass)
	} else if request.Contention.Unit == carawaybeam.WorkTokens {
		cost = requestCost + request.Contention.Work
	}
	u.offer(now, cost)
	decision := p.decide(now, request, k, u)
	if decision.Admitted {
		k.samples.inFlight++
		k.admittedLately.add(now, 1, shareDecay)
		k.admittedNow.add(now, 1, overtakingDecay)
		k.shares.admit(now, u, cost)
	}
	return decision
}

func (p *pool) decide(
	now time.Time,
	request carawaybeam.AdmitRequest,
	k *kind,
	u *usage,
) carawaybeam.AdmitDecision {
	switch {
	case request.ClosedFor > 0:
		decision := carawaybeam.AdmitDecision{Refusal: carawaybeam.Refusal{Reason: carawaybeam.RefusedClosed}}
		if spare := maxRetryAfter(request) - request.ClosedFor; spare >= 0 {
			decision.RetryAfter = request.ClosedFor + rand.N(min(spare, closedSpread)+1)
		}
		return decision
	case isTooLate(request):
		return refuseTooLate(request)
	case request.Contention.Probe:
		return carawaybeam.AdmitDecision{Admitted: true}
	}
	if forecast := p.serviceForecast(now, &request, k); p.mustRefuse(now, forecast, request.Contention.TimeLeft) {
		decision := refuseTooLate(request)
		decision.Refusal.Forecast = forecast
		return decision
	}
	k.offered.add(now)
	c := p.observe(now, request)
	p.binding(now, request, &c, k)
	kept := p.thresholds(now, request, k, c)
	reason := p.reason(now, request, k, u, c, kept)
	if reason == "" {
		return carawaybeam.AdmitDecision{Admitted: true}
	}
	refusal := carawaybeam.Refusal{
		Reason: reason, Forecast: forecast(request), Free: p.available(now, c), Kept: kept.of(reason),
		Share: u.fraction(now, k.shares.level(now)),
	}
	return carawaybeam.AdmitDecision{
		RetryAfter: p.retryAfter(now, request, k, c, refusal), Refusal: refusal,
	}
}

// reason returns why a request is refused, or "" if it is admitted.
func (p *pool) reason(
	now time.Time,
	request carawaybeam.AdmitRequest,
	k *kind,
	u *usage,
	c capacity,
	kept thresholds,
) carawaybeam.RefusalReason {
	if limit, ok := p.serviceWaitLimit(now, request, k, c); ok {
		if reason := p.serviceReason(now, request, k, u, limit); reason != "" {
			return reason
		}
	} else if !p.begins(now, request, c) {
		return carawaybeam.RefusedWait
	}
	if p.isStarved(now, k, u) {
		return ""
	}
	free := p.available(now, c)
	returns := inWindow(now, request.Fingerprint)
	// At plain services the reservation for urgent requests is often the most that is reserved, so that nothing is
	// left to reserve for organisations below their share.
	if returns || request.Contention.Engine == nil && u.isWithin(now, k.shares.level(now)) {
		kept.urgent *= returnReserve
	}
	switch {
	case c.limited && c.chosenFree < 1 && free < 1:
		return carawaybeam.RefusedCrowded
	case isShort(free, kept.urgent) || isSlow(request) && p.overtakes(now, k):
		return carawaybeam.RefusedPriority
	case returns:
		return ""
	case isShort(free, kept.urgent+kept.returns):
		return carawaybeam.RefusedReturns
	case u.admitted.get(now, workDecay) > k.shares.level(now) && isShort(free, kept.all()):
		return carawaybeam.RefusedShare
	}
	return ""
}

// isSlow reports whether gaps are longer than their target, so that urgent requests may be refused
// although places are free.
func isSlow(request carawaybeam.AdmitRequest) bool {
	return request.EventGapTarget > 0 && request.EventGap > request.EventGapTarget
}

// isShort reports whether less is free than is kept. Less than half a request is not kept.
func isShort(free, kept float64) bool { return kept >= 0.5 && free < kept }

// begins reports whether the answer is expected to begin in time, as in package deadline.
func (p *pool) begins(now time.Time, request carawaybeam.AdmitRequest, c capacity) bool {
	limit := deadline.MaxWait(request)
	wait := request.Expected - request.Unloaded
	if short := -p.available(now, c); short > 0 {
		wait = max(wait, time.Duration(short/max(1, p.freed(request, c))*float64(time.Second)))
	}
	return request.Idle || wait <= limit
}

// isReported reports whether backend servers report their load.
func isReported(request carawaybeam.AdmitRequest) bool {
	for i := range request.Contention.Candidates {
		if load := request.Contention.Candidates[i].Load; load.Running+load.Waiting > 0 {
			return true
		}
	}
	return false
}

// urgentShare returns which part of the requests is more urgent than the kind, at most nine tenths.
func (p *pool) urgentShare(now time.Time, k *kind) float64 {
	var urgent, all float64
	for _, other := range p.kinds {
		requests := other.offered.perSecond(now)
		all += requests
		if other.priority < k.priority {
			urgent += requests
		}
	}
	if urgent < minDemand {
		return 0
	}
	return min(1-leastCapacity, urgent/all)
}

// isStarved reports whether the kind or the organisation is admitted much less often than all
// requests are.
func (p *pool) isStarved(now time.Time, k *kind, u *usage) bool {
	var offered, admitted float64
	for _, other := range p.kinds {
		offered += other.offeredLately.get(now, shareDecay)
		admitted += other.admittedLately.get(now, shareDecay)
	}
	least := starvation * admitted / max(offered, 1)
	return lags(k.offeredLately.get(now, shareDecay), k.admittedLately.get(now, shareDecay), least) ||
		lags(u.offeredLately.get(now, shareDecay), u.admittedLately.get(now, shareDecay), least)
}

// overtakes reports whether the kind would be admitted more often than a more urgent one that was
// refused lately, such as for its shorter deadline while a group is slow.
func (p *pool) overtakes(now time.Time, k *kind) bool {
	offered, admitted := k.offeredNow.get(now, overtakingDecay), k.admittedNow.get(now, overtakingDecay)
	for _, other := range p.kinds {
		if other.priority >= k.priority {
			break
		}
		urgentOffered := other.offeredNow.get(now, overtakingDecay)
		urgentAdmitted := other.admittedNow.get(now, overtakingDecay)
		if urgentOffered-urgentAdmitted < minRefused {
			continue
		}
		if admitted+1 > overtaking+urgentAdmitted/urgentOffered*offered {
			return true
		}
	}
	return false
}

// lags reports whether another admitted request leaves the admitted share at or below the least
// one.
func lags(offered, admitted, least float64) bool { return admitted+1 <= least*offered }

// available returns how many places are free, less those that the other entries are estimated to
// have taken since the reports: as many as this entry, scaled by their requests, but no more than
// arrive in that time.
func (p *pool) available(now time.Time, c capacity) float64 {
	if c.own <= 0 {
		return c.free
	}
	arrived := 0.0
	for _, k := range p.kinds {
		arrived += k.offered.perSecond(now)
	}
	return c.free - min((p.scale()-1)*c.own, arrived*p.scale()*reportAge.Seconds())
}

// need returns how many requests are expected in a time, with a margin for chance.
func need(perSecond float64, within time.Duration) float64 {
	expected := perSecond * within.Seconds()
	return expected + reserveDeviations*math.Sqrt(expected)
}

// thresholds returns what is kept free from requests of a kind.
func (p *pool) thresholds(
	now time.Time,
	request carawaybeam.AdmitRequest,
	k *kind,
	c capacity,
) thresholds {
	var (
		kept  thresholds
		limit = maxReserve * c.places
		scale = p.scale()
		// The places of shorter answers become free sooner than the reports tell of them.
		within = reserveTime
	)
	if took := p.took(request, c); took > 0 {
		within = min(within, took)
	}
	for _, other := range p.kinds {
		if other.priority >= k.priority {
			break
		}
		if perSecond := other.offered.perSecond(now); perSecond >= minDemand {
			kept.urgent += need(perSecond*scale, within) + other.returns(now)
		}
	}
	kept.urgent = min(kept.urgent, limit)
	kept.returns = min(k.returns(now), limit-kept.urgent)
	level := k.shares.level(now)
	if !math.IsInf(level, 1) {
		kept.others = min(need(k.offered.perSecond(now)*scale*k.shares.within, within), limit-kept.urgent-kept.returns)
	}
	return kept
}

// returns returns how many refused requests are expected to come back in reserveTime.
func (k *kind) returns(now time.Time) float64 {
	if !k.nextReturn.After(now) {
		return 0
	}
	return k.returnRate * reserveTime.Seconds()
}

func (t thresholds) all() float64 { return t.urgent + t.returns + t.others }

// of returns what was kept free from a request that was refused for the reason.
func (t thresholds) of(reason carawaybeam.RefusalReason) float64 {
	switch reason {
	case carawaybeam.RefusedReturns:
		return t.urgent + t.returns
	case carawaybeam.RefusedShare:
		return t.all()
	}
	return t.urgent
}

// retryAfter returns after which time a refused request is expected to find room, or 0 if that is
// later than the client comes back. Refused requests are invited one after the other at a part of
// the rate at which places become free for their kind, so that they find them.
func (p *pool) retryAfter(
	now time.Time,
	request carawaybeam.AdmitRequest,
	k *kind,
	c capacity,
	refusal carawaybeam.Refusal,
) time.Duration {
	capacity := p.capacityOf(now, request, k, c)
	k.returnRate = returnShare * capacity
	wait := max(minRetryAfter, request.Expected-request.Unloaded-deadline.MaxWait(request))
	if short := refusal.Kept - refusal.Free; short > 0 {
		wait = max(wait, time.Duration(short/capacity*float64(time.Second)))
	}
	due := now.Add(wait)
	if k.nextReturn.After(due) {
		due = k.nextReturn
	}
	after := withinReach(request, due.Sub(now))
	if after == 0 {
		return 0
	}
	k.nextReturn = due.Add(time.Duration(p.scale() / k.returnRate * float64(time.Second)))
	if window := nextWindow(due, request.Fingerprint).Sub(now); withinReach(request, window) > 0 {
		return window
	}
	return after
}

// capacityOf returns how many requests per second of a kind the pool can take beside the more
// urgent ones.
func (p *pool) capacityOf(
	now time.Time,
	request carawaybeam.AdmitRequest,
	k *kind,
	c capacity,
) float64 {
	freed := p.freed(request, c)
	if freed <= 0 {
		return 1
	}
	left := freed
	for _, other := range p.kinds {
		if other.priority < k.priority {
			left -= other.offered.perSecond(now) * p.scale()
		}
	}
	return max(left, leastCapacity*freed, 1)
}

// freed returns how many requests per second end in the pool, or 0 if unknown.
func (p *pool) freed(request carawaybeam.AdmitRequest, c capacity) float64 {
	took := p.took(request, c)
	if took <= 0 {
		return 0
	}
	return c.running / took.Seconds()
}

// took returns the mean time of an answer, or 0 if unknown.
func (p *pool) took(request carawaybeam.AdmitRequest, c capacity) time.Duration {
	if took := time.Duration(meanEvents(request) * float64(c.gap)); took > 0 {
		return took
	}
	return time.Duration(p.times.usual.value * float64(time.Second))
}

// withinReach returns the time after which a client comes back, or 0 if it does not come back so
// late.
func withinReach(request carawaybeam.AdmitRequest, after time.Duration) time.Duration {
	if after > maxRetryAfter(request) {
		return 0
	}
	return after
}
