package precedence

import (
	"math"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/deadline"
)

const (
	// maxCells is the maximum number of cells of a pool. Further ones are not measured until
	// one was unused for cellRetention, so that the remembered ones stay known.
	maxCells      = 512
	cellRetention = time.Minute

	// maxWorkBucket is the largest index of a bucket of work. Work in a bucket differs by a factor
	// of up to two.
	maxWorkBucket = 24

	// minCellTimes is the number of response times from which a cell is compared with, and
	// settledTimes the number from which the shortest median is kept. Earlier medians are too
	// far off for that.
	minCellTimes = 16
	settledTimes = 64

	// medianStep is by which fraction a settled median follows a response time. The median of
	// exponentially distributed times is then off by 9% (standard deviation).
	medianStep = 0.02

	// medianMargin is the margin of a median of one response time, as a fraction. That of more times
	// is smaller by their square root, up to settledTimes. With more, the steps of the median and
	// keeping the shortest one leave an error: with less margin a service that was not slow had up
	// to 0.16 of the requests of a tenth of the load refused.
	medianMargin = 2.5

	// maxMedianStep bounds the steps of a median that is not settled.
	maxMedianStep = 0.25

	// leastRise is the fraction by which the shortest median rises in a second, so that it
	// follows servers that have become slower for good.
	leastRise = 0.01

	// usualDecay is the time constant of the mean response time of all requests.
	usualDecay = 3 * time.Second

	// maxSamples is the number of response times of a kind that are compared. sampleWindow is the time over
	// which they are taken. A longer one lets less urgent requests queue for longer before they
	// are refused. At an entry with fewer than minSamples in that time it is longer, up to
	// maxSampleWindow.
	maxSamples      = 64
	minSamples      = 6
	sampleWindow    = 300 * time.Millisecond
	maxSampleWindow = time.Second

	// maxWaitRise is how many times longer the wait may be taken to be than it was for the
	// requests that ended.
	maxWaitRise = 2

	// smallShare is the share, at twice the allowed wait, down to which the requests of
	// organisations within the fair level are admitted.
	smallShare = -2

	// ownWait and urgentWait are the parts of the allowed wait from which on fewer requests are
	// admitted, for waits of the kind and of more urgent ones.
	ownWait    = 0.5
	urgentWait = 0.25

	// minEnded bounds the rate of ended requests, per second, from which the wait is computed.
	minEnded = 0.1

	// medianDeviations is how many standard deviations the number of times above a value may
	// differ from half by chance. With 2, requests were refused in
	// TestLongerRequestsOfOneRoute.
	medianDeviations = 3
)

type (
	// cellKey identifies the requests whose response times are compared with each other.
	cellKey struct {
		route  carawaybeam.RouteID
		unit   carawaybeam.WorkUnit
		bucket int8
	}

	// cell measures the response times of requests of a route with similar work, in seconds
	// per unit of work.
	cell struct {
		// median follows the median, and least is the shortest one lately, without a wait.
		median, least float64
		times         int
		at            time.Time
	}

	// serviceTimes measures how long admitted requests of a pool take.
	serviceTimes struct {
		// usual is the mean in seconds.
		usual mean
		cells map[cellKey]*cell
		// searched is when an unused cell was last looked for.
		searched time.Time
		// probed is when a request was last sent that was forecast to end too late.
		probed time.Time
	}

	// sample is by how many seconds a response took longer than usual at best.
	sample struct {
		at     time.Time
		excess float64
	}

	// samples holds the last response times of a kind.
	samples struct {
		ring [maxSamples]sample
		next int
		// computed is the excess at computedAt, until another response ends.
		computed   time.Duration
		computedAt time.Time
		// inFlight is the number of admitted requests that have not ended. ended counts the
		// recent ends, and expected is the mean time that their routes and work let expect.
		inFlight int
		ended    sum
		expected mean
		// credit is the sum of the shares of the requests since the last admitted one.
		credit float64
		// waitLimit is the shortest wait that is allowed for a request of the kind lately.
		waitLimit   time.Duration
		waitLimitAt time.Time
	}
)

// workOf returns the work of a request, which is 1 if it is unknown.
func workOf(request *carawaybeam.AdmitRequest) float64 {
	if work := request.Contention.Work; request.Contention.Unit != carawaybeam.WorkUnknown && work > 1 {
		return min(work, 1<<maxWorkBucket)
	}
	return 1
}

func cellKeyOf(request *carawaybeam.AdmitRequest) cellKey {
	_, exponent := math.Frexp(workOf(request))
	return cellKey{
		route: request.Contention.Route, unit: request.Contention.Unit,
		bucket: int8(min(exponent, maxWorkBucket)),
	}
}

// observe adds a response time, also to those of its kind.
func (t *serviceTimes) observe(
	now time.Time,
	known *samples,
	request *carawaybeam.AdmitRequest,
	took time.Duration,
) {
	failed := request.Contention.Failed
	if !failed || !t.usual.at.IsZero() && took.Seconds() >= t.usual.value {
		t.usual.observe(now, took.Seconds(), usualDecay)
	}
	if request.Contention.Engine != nil {
		return // Model engines report their load.
	}
	c := t.cell(now, cellKeyOf(request))
	if c == nil {
		return
	}
	if failed && (c.times < minCellTimes || took.Seconds() < c.median*workOf(request)) {
		return // Failures may come sooner than any response.
	}
	if c.times >= minCellTimes {
		known.add(now, took.Seconds(), c.expected()*workOf(request))
	} else {
		// Nothing tells that it is slow. Without these, requests whose work is stated too low would be
		// most of the samples when longer ones than before arrive.
		known.add(now, took.Seconds(), took.Seconds())
	}
	if !failed {
		c.observe(now, took.Seconds()/workOf(request))
	}
}

// cell returns the cell of a key, which it creates if necessary, or nil if there is no place for it.
func (t *serviceTimes) cell(now time.Time, key cellKey) *cell {
	if c, ok := t.cells[key]; ok {
		return c
	}
	if len(t.cells) >= maxCells && !t.dropUnused(now) {
		return nil
	}
	if t.cells == nil {
		t.cells = make(map[cellKey]*cell)
	}
	c := &cell{}
	t.cells[key] = c
	return c
}

// dropUnused forgets the cells that were unused for cellRetention, and reports whether there were any. It
// looks for them once a second at most.
func (t *serviceTimes) dropUnused(now time.Time) bool {
	if now.Sub(t.searched) < time.Second {
		return false
	}
	t.searched = now
	before := len(t.cells)
	for key, c := range t.cells {
		if now.Sub(c.at) > cellRetention {
			delete(t.cells, key)
		}
	}
	return len(t.cells) < before
}

// observe adds a response time per unit of work.
func (c *cell) observe(now time.Time, value float64) {
	value = max(value, 1e-12)
	c.times++
	step := clamp(1/float64(c.times), medianStep, maxMedianStep)
	switch {
	case c.times == 1:
		c.median = value
	case value > c.median:
		c.median = min(value, c.median*(1+step))
	default:
		c.median = max(value, c.median/(1+step))
	}
	if c.times < settledTimes {
		c.least = c.median
	} else {
		c.least = min(c.median, c.least*(1+leastRise*max(0, now.Sub(c.at).Seconds())))
	}
	c.at = now
}

// expected returns the time of a unit of work without a wait, with a margin for the error of the median.
func (c *cell) expected() float64 {
	return c.least * (1 + medianMargin/math.Sqrt(float64(min(c.times, settledTimes))))
}

// end counts a request that has ended. The kind may have been forgotten and created anew since then.
func (s *samples) end(now time.Time) {
	s.inFlight = max(0, s.inFlight-1)
	s.ended.add(now, 1, sampleWindow)
}

// add adds a response time and the one that was to be expected, in seconds.
func (s *samples) add(now time.Time, took, expected float64) {
	s.expected.observe(now, expected, sampleWindow)
	s.ring[s.next] = sample{at: now, excess: took - expected}
	s.next = (s.next + 1) % maxSamples
	s.computedAt = time.Time{}
}

// excess returns by how much requests take longer now than their routes and their work let expect at best, as
// far as that is more than chance: a lower confidence bound of the median.
//
// Unlike the mean, the median hardly depends on a few long responses. A wait at the servers delays all
// of them.
func (s *samples) excess(now time.Time) time.Duration {
	if !s.computedAt.Equal(now) {
		s.computed, s.computedAt = s.computeExcess(now), now
	}
	return s.computed
}

func (s *samples) computeExcess(now time.Time) time.Duration {
	var values [maxSamples]float64
	n := 0
	for n < maxSamples {
		last := &s.ring[(s.next+maxSamples-1-n)%maxSamples]
		age := now.Sub(last.at)
		if last.at.IsZero() || age > maxSampleWindow || age > sampleWindow && n >= minSamples {
			break
		}
		values[n] = last.excess
		n++
	}
	if n < minSamples {
		return 0
	}
	slices.Sort(values[:n])
	deviation := math.Sqrt(float64(n)) / 2 // That of a binomial distribution.
	bound := max(0, int(float64(n)/2-medianDeviations*deviation))
	return time.Duration(max(0, values[bound]) * float64(time.Second))
}

// expectedWait returns the wait of a request that is admitted now, by Little's law. The response times of requests
// that ended tell of the queue at the time of their admission.
func (s *samples) expectedWait(now time.Time) time.Duration {
	perSecond := s.ended.get(now, sampleWindow) / sampleWindow.Seconds()
	wait := float64(s.inFlight)/max(perSecond, minEnded) - s.expected.value
	return time.Duration(max(0, wait) * float64(time.Second))
}

// limitWait remembers the wait that is allowed for a request.
func (s *samples) limitWait(now time.Time, limit time.Duration) {
	if limit > 0 && (s.waitLimit == 0 || limit <= s.waitLimit || now.Sub(s.waitLimitAt) > gapRetention) {
		s.waitLimit, s.waitLimitAt = limit, now
	}
}

// serviceWaitLimit returns the wait that is allowed for a request, and whether it is decided by the
// response times of the kinds, since the backend servers do not report their load, this entry has
// requests there, and others are more urgent. The more urgent requests there are, the less wait is
// allowed.
func (p *pool) serviceWaitLimit(
	now time.Time,
	request carawaybeam.AdmitRequest,
	k *kind,
	c capacity,
) (time.Duration, bool) {
	if request.Contention.Engine != nil || c.running <= 0 || isReported(request) {
		return 0, false
	}
	limit := deadline.MaxWait(request)
	k.samples.limitWait(now, limit)
	urgent := p.urgentShare(now, k)
	if urgent <= 0 || limit <= 0 {
		return 0, false
	}
	return time.Duration((1 - urgent) * float64(limit)), true
}

// serviceReason returns why a request is refused for the response times, or "". While only a share of
// the requests of the kind is admitted, the first are those of organisations whose requests are all
// within the fair level and those that come back when they were told.
func (p *pool) serviceReason(
	now time.Time,
	request carawaybeam.AdmitRequest,
	k *kind,
	u *usage,
	limit time.Duration,
) carawaybeam.RefusalReason {
	share := 0.0
	if request.Expected-request.Unloaded <= limit {
		share = p.admittedShare(now, k, limit)
	}
	if share >= 1 || p.isStarved(now, k, u) {
		return ""
	}
	level := k.shares.level(now)
	switch {
	case u.isWithin(now, level) && share > smallShare:
		return ""
	case share <= 0:
		return carawaybeam.RefusedWait
	case inWindow(now, request.Fingerprint):
		return ""
	case u.admitted.get(now, workDecay) > level:
		return carawaybeam.RefusedShare
	case k.samples.takeTurn(share):
		return ""
	}
	return carawaybeam.RefusedWait
}

// admittedShare returns which share of the requests of a kind is admitted for the waits of the kind
// and of the more urgent ones, which may be negative. From a part of the allowed wait on, the
// share falls to 0. If it fell at once, all entries together would admit too many and too few requests in
// turns, since waits are seen when requests end.
func (p *pool) admittedShare(now time.Time, last *kind, limit time.Duration) float64 {
	urgentShare := p.urgentShare(now, last)
	share := 1.0
	for _, k := range p.kinds {
		if k.priority > last.priority {
			break
		}
		allowed, from := limit, ownWait
		if k != last {
			allowed, from = time.Duration((1-urgentShare)*float64(k.samples.waitLimit)), urgentWait
			if allowed <= 0 || k.offered.perSecond(now) < minDemand {
				continue
			}
		}
		excess := k.samples.excess(now)
		if excess.Seconds() <= from*allowed.Seconds() {
			continue
		}
		wait := min(k.samples.expectedWait(now), maxWaitRise*excess)
		share = min(share, (1-wait.Seconds()/allowed.Seconds())/(1-from))
	}
	return share
}

// serviceForecast returns the time in which a plain service is expected to answer, by the shortest
// median of the route and the work and the present wait, or 0 if that is unknown.
func (p *pool) serviceForecast(now time.Time, request *carawaybeam.AdmitRequest, k *kind) time.Duration {
	if request.Contention.Engine != nil {
		return 0
	}
	c, ok := p.times.cells[cellKeyOf(request)]
	if !ok || c.times < settledTimes {
		return 0
	}
	return time.Duration(c.least*workOf(request)*float64(time.Second)) + k.samples.excess(now)
}

// mustRefuse reports whether a request of a plain service cannot end in time. One in probeInterval is
// sent nevertheless, since nothing else tells whether the service has become faster.
func (p *pool) mustRefuse(now time.Time, forecast, timeLeft time.Duration) bool {
	if timeLeft <= 0 || forecast <= timeLeft {
		return false
	}
	if now.Sub(p.times.probed) < probeInterval {
		return true
	}
	p.times.probed = now
	return false
}

// takeTurn reports whether the next request of the kind is one of the share that is admitted.
func (s *samples) takeTurn(share float64) bool {
	s.credit = min(1, s.credit+share)
	if s.credit < 1 {
		return false
	}
	s.credit = 0
	return true
}
