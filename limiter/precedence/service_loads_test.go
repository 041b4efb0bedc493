package precedence_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/precedence"
)

const (
	// mixChange is when the mix of requests changes, or the service turns slow.
	mixChange = 8 * time.Second

	// serviceLength is the length of the loads of plain services. Requests that arrive in
	// serviceWarmUp are not counted.
	serviceLength = 24 * time.Second
	serviceWarmUp = 4 * time.Second

	// tokenTime is the time that the service spends on a unit of work.
	tokenTime = time.Millisecond
)

type (
	// serviceSource is requests of one route to a plain service.
	serviceSource struct {
		route    carawaybeam.RouteID
		priority int
		target   time.Duration
		rate     func(at time.Duration) float64
		// work is the median of the work of a request at a time.
		work func(at time.Duration) float64
		// organisation is empty for one that all other sources share.
		organisation carawaybeam.OrganisationID
		// unstated is set if the clients do not state the work.
		unstated bool
	}

	// serviceLoad is a load pattern of a plain service that does not report its load.
	serviceLoad struct {
		sources []serviceSource
		slots   int
		entries int
		// slow returns how many times longer the service takes.
		slow func(at time.Duration) float64
		// ordered is set if the service takes the most urgent waiting request first, rather
		// than the one that has waited for longest.
		ordered bool
		seed    uint64
	}

	// serviceResult counts the requests of a route.
	serviceResult struct{ all, refused, inTime, tooLate int }

	serviceJob struct {
		source        *serviceSource
		arrived, ends time.Duration
		work          float64
		entry         int
		request       carawaybeam.AdmitRequest
	}

	serviceSimulation struct {
		load             serviceLoad
		random           *rand.Rand
		now              time.Duration
		limiters         []carawaybeam.Limiter
		own              []int
		running, waiting []*serviceJob
		results          map[carawaybeam.RouteID]*serviceResult
	}
)

func (r serviceResult) good() float64 { return float64(r.inTime) / max(1, float64(r.all)) }

func (r serviceResult) refusedShare() float64 { return float64(r.refused) / max(1, float64(r.all)) }

// stepTo changes from one value to another at mixChange.
func stepTo(before, after float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < mixChange {
			return before
		}
		return after
	}
}

// playService plays a load of a plain service, and returns the results by route.
func playService(
	l serviceLoad,
	newLimiter func() carawaybeam.Limiter,
) map[carawaybeam.RouteID]*serviceResult {
	const tick = 2 * time.Millisecond
	s := &serviceSimulation{
		load: l, random: rand.New(rand.NewPCG(l.seed, 21)), own: make([]int, l.entries),
		results: make(map[carawaybeam.RouteID]*serviceResult),
	}
	for range l.entries {
		s.limiters = append(s.limiters, newLimiter())
	}
	for i := range l.sources {
		s.results[l.sources[i].route] = &serviceResult{}
	}
	for ; s.now < serviceLength; s.now += tick {
		s.running = s.end(s.running, func(j *serviceJob) bool { return j.ends <= s.now })
		s.waiting = s.end(s.waiting, func(j *serviceJob) bool { return s.now-j.arrived > 3*j.source.target })
		for i := range l.sources {
			source := &l.sources[i]
			for range poisson(s.random, source.rate(s.now)*tick.Seconds()) {
				s.arrive(source)
			}
		}
		for len(s.running) < l.slots && len(s.waiting) > 0 {
			j := s.waiting[0]
			slow := 1.0
			if l.slow != nil {
				slow = l.slow(s.now)
			}
			j.ends = s.now + time.Duration(slow*j.work*float64(tokenTime))
			s.running = append(s.running, j)
			s.waiting = s.waiting[1:]
		}
	}
	return s.results
}

// end releases the requests that have ended, and returns the others.
func (s *serviceSimulation) end(jobs []*serviceJob, ended func(*serviceJob) bool) []*serviceJob {
	return slices.DeleteFunc(jobs, func(j *serviceJob) bool {
		if !ended(j) {
			return false
		}
		s.own[j.entry]--
		took := s.now - j.arrived
		s.limiters[j.entry].Release(at(s.now), j.request, took)
		if j.arrived >= serviceWarmUp && took <= j.source.target {
			s.results[j.source.route].inTime++
		}
		return true
	})
}

func (s *serviceSimulation) arrive(source *serviceSource) {
	entry := s.random.IntN(len(s.limiters))
	work := source.work(s.now) * math.Exp(0.4*s.random.NormFloat64())
	organisation := source.organisation
	if organisation == "" {
		organisation = "all"
	}
	request := carawaybeam.AdmitRequest{
		Class: carawaybeam.Class{
			Pool: "service", Targets: carawaybeam.Targets{Completed: source.target},
		},
		Idle: true, Priority: source.priority, Fingerprint: s.random.Uint64(), Organisation: organisation,
		Contention: carawaybeam.Contention{
			Several: true, MustComplete: true, TimeLeft: 3 * source.target, Route: source.route, Chosen: "a",
			Candidates: []carawaybeam.Candidate{{Backend: "a", Slots: s.load.slots, OwnRunning: s.own[entry]}},
		},
	}
	// The estimate is right at the median, and often far off.
	estimate := work * math.Exp(0.7*s.random.NormFloat64())
	if !source.unstated {
		request.Contention.Unit, request.Contention.Work = carawaybeam.WorkTokens, estimate
	}
	result, counts := s.results[source.route], s.now >= serviceWarmUp
	decision := s.limiters[entry].Admit(at(s.now), request)
	if counts {
		result.all++
	}
	if !decision.Admitted {
		if counts {
			result.refused++
			if decision.Refusal.Reason == carawaybeam.RefusedTooLate {
				result.tooLate++
			}
		}
		return
	}
	s.own[entry]++
	place := len(s.waiting)
	for s.load.ordered && place > 0 && s.waiting[place-1].source.priority > source.priority {
		place--
	}
	s.waiting = slices.Insert(s.waiting, place, &serviceJob{
		source: source, arrived: s.now, work: work, entry: entry, request: request,
	})
}

// checkNothingRefused fails if a request is refused although the service is not slow and has free slots.
func checkNothingRefused(t *testing.T, l serviceLoad) {
	t.Helper()
	l.slots = 400
	for _, entries := range []int{1, 5} {
		for seed := range uint64(loadSeeds) {
			l.entries, l.seed = entries, seed
			results := playService(l, newPrecedence)
			for route, r := range results {
				if r.refused > 0 {
					t.Errorf("%d entries, seed %d: %d of %d requests of route %s were refused (%d as too late)",
						entries, seed, r.refused, r.all, route, r.tooLate)
				}
			}
		}
	}
}

// checkProtection fails if the urgent requests of a service that lacks capacity are late where refusing less urgent
// ones keeps them in time, or if the less urgent ones are starved.
func checkProtection(t *testing.T, l serviceLoad, least float64) {
	t.Helper()
	before, after := make(map[int]*serviceResult), make(map[int]*serviceResult)
	for _, k := range []int{0, 4} {
		before[k], after[k] = &serviceResult{}, &serviceResult{}
	}
	for seed := range uint64(loadSeeds) {
		l.seed = seed
		with, without := playService(l, newPrecedence), playService(l, newDeadline)
		for i := range l.sources {
			source := &l.sources[i]
			after[source.priority].add(*with[source.route])
			before[source.priority].add(*without[source.route])
		}
	}
	t.Logf("%d entries, urgent in time %.3f with deadline, %.3f with precedence (refused %.3f); "+
		"patient %.3f and %.3f (refused %.3f)", l.entries,
		before[0].good(), after[0].good(), after[0].refusedShare(),
		before[4].good(), after[4].good(), after[4].refusedShare())
	atLeast(t, "urgent in time", after[0].good(), least)
	// If the service takes the urgent ones first, both are the same but for chance.
	atLeast(t, "urgent in time beside deadline", after[0].good(), before[0].good()-0.001)
	atMost(t, "urgent refused beside patient refused", after[0].refusedShare(), after[4].refusedShare())
	all := after[0].refusedShare()*float64(after[0].all) + after[4].refusedShare()*float64(after[4].all)
	all /= float64(after[0].all + after[4].all)
	atLeast(t, "patient admitted, a quarter of all", 1-after[4].refusedShare(), (1-all)/4)
}

func (r *serviceResult) add(other serviceResult) {
	r.all += other.all
	r.refused += other.refused
	r.inTime += other.inTime
	r.tooLate += other.tooLate
}

// serviceMix is urgent requests, and less urgent ones of a route with short responses and of one with long ones.
func serviceMix() []serviceSource {
	return []serviceSource{
		{route: "urgent", priority: 0, target: 300 * time.Millisecond, rate: constant(100), work: stepTo(40, 40)},
		{route: "short", priority: 4, target: 300 * time.Millisecond, rate: constant(150), work: stepTo(30, 30)},
		{route: "long", priority: 4, target: 1500 * time.Millisecond, rate: constant(8), work: stepTo(450, 450)},
	}
}

// TestLongRequestsBecomeMoreFrequent guards against long requests that become more frequent being
// taken for a slow service.
func TestLongRequestsBecomeMoreFrequent(t *testing.T) {
	t.Parallel()

	sources := serviceMix()
	sources[2].rate = stepTo(8, 150)
	checkNothingRefused(t, serviceLoad{sources: sources})
	sources[1].rate = stepTo(150, 5)
	checkNothingRefused(t, serviceLoad{sources: sources})
	for i := range sources {
		sources[i].unstated = true // The route alone tells them apart.
	}
	checkNothingRefused(t, serviceLoad{sources: sources})
}

// TestLongerRequestsOfOneRoute guards against longer requests of the same kind being taken for a slow service.
func TestLongerRequestsOfOneRoute(t *testing.T) {
	t.Parallel()

	for _, longer := range []float64{90, 300, 450} {
		sources := serviceMix()[:2]
		sources[1].target = 700 * time.Millisecond
		sources[1].work = stepTo(30, longer)
		checkNothingRefused(t, serviceLoad{sources: sources})
	}
}

// TestFewLessUrgentRequests guards against the error of a median, or different response times of requests whose work
// is unknown, being taken for a slow service. Of less urgent requests that are a tenth of all, little wait is allowed.
func TestFewLessUrgentRequests(t *testing.T) {
	t.Parallel()

	for _, work := range []float64{40, 100, 200} {
		sources := serviceMix()[:2]
		sources[0].rate, sources[1].rate = constant(400), constant(40)
		for i := range sources {
			sources[i].work, sources[i].target = stepTo(work, work), 500*time.Millisecond
			sources[i].unstated = true
		}
		checkNothingRefused(t, serviceLoad{sources: sources})
	}
}

// TestBurstOfOneRoute guards against a burst of one route, urgent or not, that the service sustains being taken for a
// slow service. A route whose first requests are the burst has no earlier times to compare with.
func TestBurstOfOneRoute(t *testing.T) {
	t.Parallel()

	for i := range serviceMix() {
		for _, base := range []float64{0, 8} {
			sources := serviceMix()
			sources[i].rate = burst(base, 250, mixChange, mixChange+6*time.Second)
			checkNothingRefused(t, serviceLoad{sources: sources})
		}
	}
}

// slowService is a load that a service of 60 slots sustains unless it is slow. The urgent requests
// alone are sustained then too.
func slowService(entries int, ordered bool) serviceLoad {
	return serviceLoad{
		sources: []serviceSource{
			{route: "urgent", priority: 0, target: 500 * time.Millisecond, rate: constant(100), work: stepTo(40, 40)},
			{route: "short", priority: 4, target: time.Second, rate: constant(300), work: stepTo(30, 30)},
			{route: "long", priority: 4, target: 2 * time.Second, rate: constant(60), work: stepTo(200, 200)},
		},
		slots: 60, entries: entries, ordered: ordered, slow: slowSteps(4, mixChange, mixChange+10*time.Second),
	}
}

// TestServiceTurnsSlowForAll guards against urgent requests being late while a service that is four
// times slower takes less urgent ones.
func TestServiceTurnsSlowForAll(t *testing.T) {
	t.Parallel()

	checkProtection(t, slowService(1, false), 0.8)
	checkProtection(t, slowService(1, true), 0.9)
}

// TestServiceBehindFiveEntries guards against entries that see a fifth of the requests each, and
// little of each route, either missing that the service is slow or taking chance for it.
func TestServiceBehindFiveEntries(t *testing.T) {
	t.Parallel()

	checkProtection(t, slowService(5, false), 0.8)
	checkProtection(t, slowService(5, true), 0.9)
	sources := serviceMix()
	for i := range sources {
		sources[i].rate = constant(10)
	}
	sources[2].rate = stepTo(2, 15)
	checkNothingRefused(t, serviceLoad{sources: sources})
}

// TestServiceEndsTooLate guards against requests being sent to a plain service that cannot end before
// their deadline, and against all of a route being refused for ever because its times are not measured
// any more: requirement (e).
func TestServiceEndsTooLate(t *testing.T) {
	is := is.New(t)
	limiter := newPrecedence()
	now := at(0)
	request := func(work float64, left time.Duration) carawaybeam.AdmitRequest {
		return carawaybeam.AdmitRequest{
			Class: carawaybeam.Class{Pool: "desk", Targets: carawaybeam.Targets{Completed: time.Second}},
			Idle:  true, Contention: carawaybeam.Contention{
				Several:      true,
				MustComplete: true,
				TimeLeft:     left,
				Route:        "route",
				Unit:         carawaybeam.WorkTokens,
				Work:         work,
				Candidates:   []carawaybeam.Candidate{{Backend: "a", Slots: 60, OwnRunning: 1}},
			},
		}
	}
	for range 100 {
		for _, work := range []float64{20, 300} {
			now = now.Add(10 * time.Millisecond)
			r := request(work, time.Second)
			is.True(limiter.Admit(now, r).Admitted)
			took := time.Duration(work) * time.Millisecond
			limiter.Release(now.Add(took), r, took)
		}
	}
	now = now.Add(2 * time.Second)
	is.True(limiter.Admit(now, request(300, 200*time.Millisecond)).Admitted) // It measures the service.
	admitted := 0
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		is.True(limiter.Admit(now, request(20, 200*time.Millisecond)).Admitted)
		is.True(limiter.Admit(now, request(300, 400*time.Millisecond)).Admitted)
		d := limiter.Admit(now, request(300, 200*time.Millisecond))
		if d.Admitted {
			admitted++
			continue
		}
		is.Equal(d.Refusal.Reason, carawaybeam.RefusedTooLate)
		is.Equal(d.RetryAfter, 0*time.Second)
		is.True(d.Refusal.Forecast > 250*time.Millisecond)
	}
	is.Equal(admitted, 2) // In 2 s.
}

// TestFullTableOfServiceTimes guards against routes beyond the bound of the table displacing the times
// of others, whose waits would not be seen any more, and against a table that grows.
func TestFullTableOfServiceTimes(t *testing.T) {
	is := is.New(t)
	type job struct {
		request carawaybeam.AdmitRequest
		arrived time.Time
		took    time.Duration
	}
	var (
		limiter  = precedence.New()
		now      = at(0)
		route    carawaybeam.RouteID
		inFlight []job
	)
	serve := func(took time.Duration, priority int) carawaybeam.AdmitDecision {
		now = now.Add(5 * time.Millisecond)
		inFlight = slices.DeleteFunc(inFlight, func(j job) bool {
			ended := now.Sub(j.arrived) >= j.took
			if ended {
				limiter.Release(now, j.request, now.Sub(j.arrived))
			}
			return ended
		})
		r := carawaybeam.AdmitRequest{
			Class: carawaybeam.Class{Pool: "desk", Targets: carawaybeam.Targets{Completed: 400 * time.Millisecond}},
			Idle:  true, Priority: priority, Contention: carawaybeam.Contention{
				Several: true, MustComplete: true, TimeLeft: time.Second, Route: route,
				Candidates: []carawaybeam.Candidate{{Backend: "a", Slots: 600, OwnRunning: 8}},
			},
		}
		d := limiter.Admit(now, r)
		if d.Admitted {
			inFlight = append(inFlight, job{request: r, arrived: now, took: took})
		}
		return d
	}
	for i := range 400 {
		route = "known"
		is.True(serve(50*time.Millisecond, i%2).Admitted)
	}
	for i := range 10_000 {
		route = carawaybeam.RouteID(fmt.Sprint("route-", i))
		is.True(serve(50*time.Millisecond, i%2).Admitted)
	}
	is.Equal(limiter.State().(precedence.State).Pools[0].Times, 512)
	refused := 0
	for i := range 400 {
		route = "known"
		if d := serve(900*time.Millisecond, i%2); !d.Admitted {
			refused++
		}
	}
	is.True(refused > 50)
}

// TestServiceFullOfUrgentRequests guards against less urgent requests being starved while the urgent
// ones alone are more than a plain service sustains: requirement (b).
func TestServiceFullOfUrgentRequests(t *testing.T) {
	t.Parallel()

	for _, ordered := range []bool{false, true} {
		for _, entries := range []int{1, 5} {
			l := slowService(entries, ordered)
			l.slow, l.slots = nil, 20
			l.sources[0].rate = constant(700)
			for seed := range uint64(2) {
				l.seed = seed
				results := playService(l, newPrecedence)
				var all, less serviceResult
				all.add(*results["urgent"])
				for _, route := range []carawaybeam.RouteID{"short", "long"} {
					all.add(*results[route])
					less.add(*results[route])
				}
				t.Logf("ordered %v, %d entries: refused %.3f of the less urgent requests, %.3f of all",
					ordered, entries, less.refusedShare(), all.refusedShare())
				atLeast(t, "less urgent requests admitted", 1-less.refusedShare(), (1-all.refusedShare())/4)
			}
		}
	}
}

// TestOrganisationsAtService guards against a large organisation crowding out small ones of its
// priority while a plain service is slow: requirement (c).
func TestOrganisationsAtService(t *testing.T) {
	t.Parallel()

	for _, entries := range []int{1, 5} {
		l := slowService(entries, false)
		l.sources[1].organisation, l.sources[2].organisation = "large", "large"
		small := make([]carawaybeam.RouteID, 0, 4)
		for i := range 4 {
			route := carawaybeam.RouteID(fmt.Sprint("small-", i))
			small = append(small, route)
			l.sources = append(l.sources, serviceSource{
				route: route, priority: 4, target: time.Second, rate: constant(10), work: stepTo(30, 30),
				organisation: carawaybeam.OrganisationID(route),
			})
		}
		var allSmall, allLarge serviceResult
		for seed := range uint64(loadSeeds) {
			l.seed = seed
			results := playService(l, newPrecedence)
			large := *results["short"]
			large.add(*results["long"])
			allLarge.add(large)
			for _, route := range small {
				allSmall.add(*results[route])
				atMost(t, string(route)+" refused beside large", results[route].refusedShare(), large.refusedShare())
			}
		}
		t.Logf(
			"%d entries: refused %.3f of small, %.3f of large",
			entries,
			allSmall.refusedShare(),
			allLarge.refusedShare(),
		)
		atLeast(t, "large refused", allLarge.refusedShare(), 0.1)
		atMost(t, "small refused, part of large", allSmall.refusedShare()/allLarge.refusedShare(), 0.5)
	}
}

// TestRandomSlowServices guards against urgent requests of a plain service being late while less urgent ones are
// admitted, or being refused more often, behind four to eight entries. They are compared with the same urgent requests
// without any others.
func TestRandomSlowServices(t *testing.T) {
	t.Parallel()

	var together, alone serviceResult
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 31))
		l := slowService(4+random.IntN(5), random.IntN(4) == 0)
		l.seed = seed
		l.slow = slowSteps(2+1.5*random.Float64(), mixChange, mixChange+12*time.Second)
		for i := range l.sources {
			l.sources[i].rate = constant(l.sources[i].rate(0) * (0.8 + 0.7*random.Float64()))
		}
		results := playService(l, newPrecedence)
		l.sources = l.sources[:1]
		urgent, only := *results["urgent"], *playService(l, newPrecedence)["urgent"]
		together.add(urgent)
		alone.add(only)
		least := min(results["short"].refusedShare(), results["long"].refusedShare())
		atMost(t, "urgent refused beside less urgent refused", urgent.refusedShare(), least)
		t.Logf("seed %d, %d entries, ordered %t: urgent %.3f in time, %.3f alone; refused %.3f, short %.3f, long %.3f",
			seed, l.entries, l.ordered, urgent.good(), only.good(), urgent.refusedShare(),
			results["short"].refusedShare(), results["long"].refusedShare())
	}
	t.Logf("urgent %.3f in time, %.3f alone", together.good(), alone.good())
	atLeast(t, "urgent in time, part of those alone", together.good()/alone.good(), 0.93)
}
