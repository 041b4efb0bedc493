package hedger_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/hedger"
)

const (
	fast = 100 * time.Millisecond
	slow = 5 * time.Second
)

var (
	began = time.Date(2026, time.December, 5, 0, 0, 0, 0, time.UTC)
	kind  = hedger.Kind{Pool: "pool", Route: "route"}
)

// scene is a Hedger on a clock of its own.
type scene struct {
	*hedger.Hedger
	now time.Time
}

func newScene(settings hedger.Settings) *scene {
	return &scene{Hedger: hedger.New(began, settings), now: began}
}

// answer lets the attempts of n requests per second be answered for some seconds, each with a latency
// from the function.
func (s *scene) answer(seconds, n int, latency func(i int) time.Duration) {
	for i := range seconds * n {
		s.now = s.now.Add(time.Second / time.Duration(n))
		s.CountRequest(s.now, kind.Pool)
		s.Observe(s.now, kind, latency(i), false)
	}
}

func (s *scene) delay() time.Duration {
	delay, _ := s.Delay(s.now, kind)
	return delay
}

// check checks a request that may have a second attempt by itself.
func (s *scene) check() hedger.Reason {
	return s.Check(s.now, hedger.Request{Kind: kind, Idempotent: true, AttemptsLeft: 1})
}

func constant(latency time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return latency }
}

// near reports whether a duration is within the precision of the histograms.
func near(got, want time.Duration) bool {
	return math.Abs(float64(got-want)) <= 0.07*float64(want)
}

// offer returns an offer of an idle pool that no rule forbids.
func offer() hedger.Offer {
	return hedger.Offer{Elapsed: time.Second, Slots: 100, Found: true, Retry: func() bool { return true }}
}

// TestDelay guards against second attempts after a fixed time, or from too few latencies.
func TestDelay(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 0.05})
	s.answer(1, 19, constant(fast))
	s.now = s.now.Add(time.Second)
	_, known := s.Delay(s.now, kind)
	is.True(!known)
	s.answer(20, 50, func(i int) time.Duration {
		if i%10 == 0 {
			return time.Second
		}
		return fast
	})
	s.now = s.now.Add(time.Second)
	is.True(near(s.delay(), time.Second)) // One of ten is above the 95th percentile.
	s.SetSettings(hedger.Settings{Ratio: 0.05, MinDelay: 3 * time.Second})
	is.Equal(s.delay(), 3*time.Second)
	s.SetSettings(hedger.Settings{Ratio: 0.05})
	s.answer(70, 50, constant(fast))
	is.True(near(s.delay(), fast)) // Old latencies are forgotten.
	s.now = s.now.Add(5 * time.Minute)
	_, known = s.Delay(s.now, kind)
	is.True(!known)
}

// TestSmallRatioIsForTheSlowest guards against a small budget that is used up by requests which are
// barely slower than most.
func TestSmallRatioIsForTheSlowest(t *testing.T) {
	is := is.New(t)
	latency := func(i int) time.Duration { return 100 * time.Millisecond << max(0, i%100-93) }
	for ratio, want := range map[float64]time.Duration{
		0.2: 200 * time.Millisecond, 0.03: 800 * time.Millisecond, 0.001: 3200 * time.Millisecond,
	} {
		s := newScene(hedger.Settings{Ratio: ratio})
		s.answer(20, 50, latency)
		s.now = s.now.Add(time.Second)
		is.True(near(s.delay(), want))
	}
}

// TestOneSlowServerOfMany guards against second attempts that wait for the slow server, or that lower
// the delay of all requests by the attempts which they cancel.
func TestOneSlowServerOfMany(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 0.1})
	s.answer(20, 50, func(i int) time.Duration { return fast + time.Duration(i%10)*time.Millisecond })
	sent := 0
	for i := range 60 * 50 {
		s.now = s.now.Add(20 * time.Millisecond)
		s.CountRequest(s.now, kind.Pool)
		if i%30 != 0 {
			s.Observe(s.now, kind, fast+time.Duration(i%10)*time.Millisecond, false)
			continue
		}
		delay := s.delay()
		is.True(near(delay, fast+9*time.Millisecond))
		is.Equal(s.check(), hedger.Permitted)
		offered := offer()
		offered.Elapsed = delay
		for s.Take(s.now, kind, offered) == hedger.NotSooner {
			offered.Elapsed += offered.Elapsed / 2
		}
		// These latencies hardly differ, so that another answer takes as long as the usual one.
		is.True(offered.Elapsed < 3*fast+3*9*time.Millisecond)
		sent++
		s.ObserveCancelled(s.now, kind, offered.Elapsed+fast)
		s.CountEnd(kind.Route, true, false)
	}
	is.Equal(sent, 100)
	is.Equal(s.Counts()[kind.Route].Sent, uint64(100))
	is.Equal(s.Counts()[kind.Route].Won, uint64(100))
}

// TestAllSlow guards against second attempts that add to the load of backend servers which are slow as
// a whole: within a second they stop, and the delay grows with the latency.
func TestAllSlow(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 0.5})
	s.answer(60, 50, constant(fast))
	permitted := 0
	for range 50 {
		s.now = s.now.Add(20 * time.Millisecond)
		s.CountRequest(s.now, kind.Pool)
		if s.check() == hedger.Permitted && s.Take(s.now, kind, offer()) == hedger.Permitted {
			permitted++
		}
	}
	is.True(permitted <= hedger.Burst+13) // Half of the second, of which half has earned one.
	is.Equal(s.check(), hedger.Slow)
	for range 70 * 50 {
		s.now = s.now.Add(20 * time.Millisecond)
		s.Observe(s.now, kind, slow, true)
	}
	is.True(near(s.delay(), slow))
	s.answer(2, 50, constant(slow))
	is.Equal(s.check(), hedger.Permitted) // They are not slower than usual any more.
}

// TestFewRequestsOfASlowPool guards against judging a pool by the last second where that has a single
// request, which is late itself.
func TestFewRequestsOfASlowPool(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 0.5})
	s.answer(55, 1, constant(fast))
	for range 5 {
		s.now = s.now.Add(2 * time.Second)
		s.Observe(s.now, kind, fast, false)
	}
	s.now = s.now.Add(2 * time.Second)
	is.Equal(s.check(), hedger.Permitted)
	for range 4 {
		s.now = s.now.Add(2 * time.Second)
		s.check()
	}
	is.Equal(s.check(), hedger.Slow)
}

// TestSuppressed guards against a second attempt beside a rule that forbids it, and one that is not
// counted under its reason.
func TestSuppressed(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 0.5})
	s.answer(20, 50, constant(fast))
	requests := map[hedger.Reason]func(*hedger.Request){
		hedger.Unsafe:   func(r *hedger.Request) { r.Idempotent = false },
		hedger.Started:  func(r *hedger.Request) { r.Started = true },
		hedger.Stopping: func(r *hedger.Request) { r.Stopping = true },
		hedger.Suspect:  func(r *hedger.Request) { r.Suspect = true },
		hedger.Attempts: func(r *hedger.Request) { r.AttemptsLeft = 0 },
		hedger.Deadline: func(r *hedger.Request) { r.Late = true },
	}
	for reason, change := range requests {
		r := hedger.Request{Kind: kind, Idempotent: true, AttemptsLeft: 1}
		change(&r)
		is.Equal(s.Check(s.now, r), reason)
		is.Equal(s.Counts()[kind.Route].Suppressed[reason], uint64(1))
	}
	offers := map[hedger.Reason]func(*hedger.Offer){
		hedger.Full:        func(o *hedger.Offer) { o.Used = 91 },
		hedger.NoServer:    func(o *hedger.Offer) { o.Found = false },
		hedger.LockStep:    func(o *hedger.Offer) { o.Found, o.LockStep = false, true },
		hedger.NotSooner:   func(o *hedger.Offer) { o.Expected = o.Elapsed },
		hedger.RetryBudget: func(o *hedger.Offer) { o.Retry = func() bool { return false } },
	}
	for reason, change := range offers {
		o := offer()
		change(&o)
		is.Equal(s.Take(s.now, kind, o), reason)
		is.Equal(s.Counts()[kind.Route].Suppressed[reason], uint64(1))
	}
	crowded := offer()
	crowded.Crowded = true
	is.Equal(s.Take(s.now, kind, crowded), hedger.Full)
	for range hedger.Burst {
		is.Equal(s.Take(s.now, kind, offer()), hedger.Permitted)
	}
	is.Equal(s.Take(s.now, kind, offer()), hedger.Budget)
	is.Equal(s.Counts()[kind.Route].Sent, uint64(hedger.Burst))
}

// TestEvenTraffic guards against a burst beside the ratio in every window of even traffic.
func TestEvenTraffic(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 0.05})
	var sent []time.Time
	for range 60 * 20 {
		s.answer(1, 1, constant(fast))
		s.now = s.now.Add(-950 * time.Millisecond)
		// No second attempts are asked for in the first seconds, so that their requests earn a burst.
		if s.now.Sub(began) < 20*time.Second {
			continue
		}
		for s.Take(s.now, kind, offer()) == hedger.Permitted {
			sent = append(sent, s.now)
		}
	}
	is.True(len(sent) > 20)
	for i := range sent {
		if i >= 10 { // 200 requests in the window earn 10.
			is.True(sent[i].Sub(sent[i-10]) >= 10*time.Second)
		}
	}
}

// TestOff guards against second attempts that operators have not asked for.
func TestOff(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{})
	is.True(!s.Enabled(kind.Route))
	s.answer(20, 50, constant(fast))
	s.SetSettings(hedger.Settings{Ratio: 0.5, ExceptRoutes: []carawaybeam.RouteID{"other"}})
	is.True(s.Enabled(kind.Route))
	is.True(!s.Enabled("other"))
	is.Equal(s.Take(s.now, kind, offer()), hedger.Budget) // Requests have earned nothing meanwhile.
}

// TestMemoryIsBounded guards against memory that grows with the number of routes and pools, and
// against more second attempts after one was forgotten.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 1})
	s.answer(20, 50, constant(fast))
	for i := range 1000 {
		other := hedger.Kind{
			Pool: carawaybeam.PoolID(fmt.Sprint("pool-", i)), Route: carawaybeam.RouteID(fmt.Sprint("route-", i)),
		}
		s.Observe(s.now, other, fast, false)
		s.Check(s.now, hedger.Request{Kind: other})
	}
	state := s.State(s.now)
	is.Equal(len(state.Kinds), 256)
	is.Equal(len(state.Earned), 256)
	is.Equal(len(state.Routes), 65)
	is.Equal(state.Routes[hedger.OtherRoutes].Suppressed[hedger.Unsafe], uint64(1000-64))
	is.Equal(s.Take(s.now, kind, offer()), hedger.Budget)
}

// BenchmarkRequest measures what a request costs that is answered before its delay.
func BenchmarkRequest(b *testing.B) {
	for name, ratio := range map[string]float64{"off": 0, "on": 0.05} {
		b.Run(name, func(b *testing.B) {
			s := newScene(hedger.Settings{Ratio: ratio})
			s.answer(20, 50, constant(fast))
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				s.now = s.now.Add(time.Millisecond)
				if !s.Enabled(kind.Route) {
					continue
				}
				s.CountRequest(s.now, kind.Pool)
				if _, known := s.Delay(s.now, kind); known {
					s.Observe(s.now, kind, time.Duration(random.IntN(int(fast))), false)
				}
			}
		})
	}
}

// TestNarrowLatencies guards against second attempts that cannot be sooner: those of attempts which take
// longer than most of their kind, but will end before another one could.
func TestNarrowLatencies(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 0.05})
	s.answer(20, 50, func(i int) time.Duration { return 180*time.Millisecond + time.Duration(i%200)*time.Millisecond })
	o := offer()
	o.Expected = 150 * time.Millisecond
	o.Elapsed = s.delay()
	is.Equal(s.Take(s.now, kind, o), hedger.NotSooner)
	o.Expected = 0 // A backend server that does not report is expected to take the usual time.
	is.Equal(s.Take(s.now, kind, o), hedger.NotSooner)
	o.Elapsed *= 2 // No answer took so long.
	is.Equal(s.Take(s.now, kind, o), hedger.Permitted)
}

// TestLongTail guards against requests with a long tail that are not sent again because their kind is
// usually answered soon, or because earlier second attempts won.
func TestLongTail(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 0.05})
	s.answer(20, 50, func(i int) time.Duration {
		if i%20 == 0 {
			return 10 * fast
		}
		return fast
	})
	o := offer()
	o.Elapsed = 2 * fast
	is.Equal(s.Take(s.now, kind, o), hedger.Permitted)
	s = newScene(hedger.Settings{Ratio: 0.05})
	s.answer(20, 50, constant(fast))
	for range 5 {
		s.ObserveCancelled(s.now, kind, 3*fast)
	}
	s.now = s.now.Add(time.Second)
	is.True(near(s.delay(), fast))
	is.Equal(s.Take(s.now, kind, o), hedger.Permitted)
}

// TestFewRequests guards against a kind that an entry gets too rarely to ever have second attempts, and
// against latencies of it that are never forgotten.
func TestFewRequests(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 0.05})
	for range 60 {
		s.now = s.now.Add(2 * time.Second)
		s.Observe(s.now, kind, fast, false)
	}
	s.now = s.now.Add(time.Second)
	delay, known := s.Delay(s.now, kind)
	is.True(known)
	is.True(near(delay, fast))
	s.now = s.now.Add(5 * time.Minute)
	_, known = s.Delay(s.now, kind)
	is.True(!known)
}

// TestSparsePeriodLasts guards against a period that ends before it has enough latencies because the one before
// it lasted longer than usual: the quantiles would be those of too few.
func TestSparsePeriodLasts(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 0.05})
	for i := range 200 {
		s.now = s.now.Add(2900 * time.Millisecond)
		s.Observe(s.now, kind, fast, false)
		if i >= 60 {
			// Two periods of 20 latencies each, and the current one.
			is.True(s.State(s.now).Kinds[0].Samples >= 40)
		}
	}
}

// TestCheckedAgain guards against an attempt that counts as late each time it is checked, which would make its
// pool seem slow as a whole.
func TestCheckedAgain(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 0.05})
	s.answer(20, 50, constant(fast))
	for i := range 100 {
		is.Equal(s.Check(s.now, hedger.Request{
			Kind: kind, Idempotent: true, AttemptsLeft: 1, Again: i > 0,
		}), hedger.Permitted)
	}
}

// TestWholeAnswers guards against the time to the first event as the forecast of a whole answer.
func TestWholeAnswers(t *testing.T) {
	is := is.New(t)
	s := newScene(hedger.Settings{Ratio: 0.05})
	s.answer(20, 50, constant(fast))
	o := offer()
	o.Expected, o.Elapsed = time.Millisecond, 3*fast/2
	is.Equal(s.Take(s.now, kind, o), hedger.Permitted)
	o.Whole = true
	is.Equal(s.Take(s.now, kind, o), hedger.NotSooner)
}
