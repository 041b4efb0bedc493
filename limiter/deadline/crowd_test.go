package deadline_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/deadline"
	"github.com/carawaybeam/carawaybeam/router/occupancy"
)

const (
	crowdSlots = 10

	// slowFrom and slowUntil bound the time in which a rank of the group is slow, and
	// slowness how many times slower it makes all of them.
	slowFrom  = 3 * time.Second
	slowUntil = 9 * time.Second
	slowness  = 5

	crowdTarget = 500 * time.Millisecond
	crowdGap    = 150 * time.Millisecond

	// promptTime is how much of each engine step is spent on prompts.
	promptTime = 11 * time.Millisecond
)

var crowdEngine = &carawaybeam.EngineProfile{
	Slots: crowdSlots, PromptRate: 61400, StepsPerPass: 5, MeanAnswer: 97,
	StepTime: 4550 * time.Microsecond, SequenceTime: 1090 * time.Microsecond,
}

type (
	// stream is one answer. It ends with its last event, and is late if it begins late
	// or a gap between two of its events is too long.
	stream struct {
		arrived time.Duration
		events  int
		late    bool
	}

	// crowd is a group of ranks that make all steps together. Each step takes longer
	// the more streams run.
	crowd struct {
		running [ranks][]*stream
		waiting [ranks][]*stream
		steps   []step
	}

	// step is a step of the group that has ended.
	step struct {
		at, took time.Duration
	}
)

// nextStep returns how long a step that begins at the given time takes.
func (c *crowd) nextStep(at time.Duration) time.Duration {
	most := 0
	for _, running := range c.running {
		most = max(most, len(running))
	}
	engineStep := crowdEngine.StepTime + promptTime + time.Duration(most)*crowdEngine.SequenceTime
	took := time.Duration(crowdEngine.StepsPerPass) * engineStep * 115 / 100
	if at >= slowFrom && at < slowUntil {
		return slowness * took
	}
	return took
}

// advance ends a step. Running streams have got an event, and queued ones take free slots.
// It calls ended with each stream that has ended.
func (c *crowd) advance(s step, ended func(*stream)) {
	c.steps = append(c.steps, s)
	for i := range c.running {
		for _, running := range c.running[i] {
			running.late = running.late || s.took > crowdGap
			if running.events--; running.events == 0 {
				ended(running)
			}
		}
		c.running[i] = slices.DeleteFunc(c.running[i], func(s *stream) bool { return s.events == 0 })
		for len(c.running[i]) < crowdSlots && len(c.waiting[i]) > 0 {
			next := c.waiting[i][0]
			c.waiting[i] = c.waiting[i][1:]
			next.late = s.at-next.arrived > crowdTarget-s.took
			c.running[i] = append(c.running[i], next)
		}
	}
}

// meanStep returns the mean duration of the steps that ended within a period.
func (c *crowd) meanStep(now, period time.Duration) time.Duration {
	var sum time.Duration
	count := 0
	for i := len(c.steps) - 1; i >= 0 && (count == 0 || c.steps[i].at > now-period); i-- {
		sum += c.steps[i].took
		count++
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// TestCrowdBehindSlowRank offers a group nearly as many streams as its slots allow. A rank is slow for
// some seconds, so that all slots fill up. With all slots in use the gaps between events
// are too long, although the group keeps up. Within a few seconds the group must be back at an
// occupancy at which most streams are in time.
func TestCrowdBehindSlowRank(t *testing.T) {
	const (
		length   = 30 * time.Second
		tick     = 5 * time.Millisecond
		recovery = 4 * time.Second
		// rate is a little less than the rate at which streams end with all slots
		// in use.
		rate = ranks * 3.3
	)
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		router, limiter := occupancy.New(), deadline.Limiter{}
		var c crowd
		var inTime, late, refused int
		stepEnd := c.nextStep(0)
		took := stepEnd
		for at := time.Duration(0); at < length; at += tick {
			if at >= stepEnd {
				c.advance(step{at: at, took: took}, func(s *stream) {
					switch {
					case s.arrived < slowUntil+recovery:
					case s.late:
						late++
					default:
						inTime++
					}
				})
				took = c.nextStep(at)
				stepEnd = at + took
			}
			if random.Float64() >= rate*tick.Seconds() {
				continue
			}
			candidates := make([]carawaybeam.Candidate, ranks)
			for i := range candidates {
				candidates[i] = carawaybeam.Candidate{
					Backend: carawaybeam.BackendID(rune('a' + i)), Slots: crowdSlots,
					StepTime: c.meanStep(at, 600*time.Millisecond),
					Load:     carawaybeam.Load{Running: len(c.running[i]), Waiting: len(c.waiting[i])},
				}
			}
			decision, _ := router.Route(time.Unix(0, 0).Add(at), carawaybeam.RouteRequest{
				Prompt: 700, Engine: crowdEngine, Target: crowdTarget, EventGap: crowdGap,
			}, candidates, random)
			if !limiter.Admit(time.Unix(0, 0).Add(at), carawaybeam.AdmitRequest{
				Class:    carawaybeam.Class{Targets: carawaybeam.Targets{FirstToken: crowdTarget}},
				Expected: decision.Expected, Unloaded: decision.Unloaded, Idle: decision.Idle,
				EventGap: decision.EventGap, EventGapTarget: crowdGap, Crowded: decision.Crowded,
			}).Admitted {
				if at >= slowUntil+recovery {
					refused++
				}
				continue
			}
			chosen := decision.Backend[0] - 'a'
			events := 10 + random.IntN(20)
			c.waiting[chosen] = append(c.waiting[chosen], &stream{arrived: at, events: events})
		}
		if all := inTime + late + refused; inTime*3 < all*2 {
			t.Errorf("seed %d: %d streams were in time, %d late, %d refused, want two thirds in time",
				seed, inTime, late, refused)
		}
	}
}
