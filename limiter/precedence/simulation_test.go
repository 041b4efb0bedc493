package precedence_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/deadline"
	"github.com/carawaybeam/carawaybeam/limiter/precedence"
	"github.com/carawaybeam/carawaybeam/router/occupancy"
)

const (
	simRanks = 24
	simSlots = 10
	simTick  = 10 * time.Millisecond

	// simPrompt is how much of each engine step is spent on prompts.
	simPrompt = 9 * time.Millisecond

	// stepWindow is the time over which the mean duration of steps is reported.
	stepWindow = 600 * time.Millisecond

	// patience is how long clients wait for the first event.
	patience = 2 * time.Second

	// warmUp is the time at the start whose requests are not counted.
	warmUp = 4 * time.Second
)

var (
	simEngine = &carawaybeam.EngineProfile{
		Slots: simSlots, PromptRate: 61400, StepsPerPass: 5, MeanAnswer: 97,
		StepTime: 4550 * time.Microsecond, SequenceTime: 1090 * time.Microsecond,
	}

	// urgent, usual and patient are kinds of requests of one pool.
	urgent = simKind{
		priority: 0, target: 500 * time.Millisecond, gap: 150 * time.Millisecond, timeout: 8 * time.Second,
	}
	usual = simKind{
		priority: 2, target: 700 * time.Millisecond, gap: 150 * time.Millisecond, timeout: 9 * time.Second,
	}
	patient = simKind{
		priority: 5, target: time.Second, gap: 170 * time.Millisecond, timeout: 12 * time.Second,
	}
)

type (
	simKind struct {
		priority             int
		target, gap, timeout time.Duration
	}

	// source is a stream of requests of one kind and organisation.
	source struct {
		kind         simKind
		organisation string
		// rate returns the requests per second.
		rate func(at time.Duration) float64
		// events is the mean number of events, or 0 for the mean of the engine.
		events float64
		// weights are the relative numbers of requests at each entry, or nil.
		weights []float64
	}

	// load is a load pattern.
	load struct {
		sources []source
		length  time.Duration
		entries int
		seed    uint64
		// groups is the number of groups into which the ranks are divided, 0 for one.
		groups int
		// slow returns by which factor steps of the first group take longer.
		slow func(at time.Duration) float64
		// returns is how often clients come back after a refusal.
		returns int
	}

	// call is one request of a client.
	call struct {
		source       *source
		fingerprint  uint64
		arrived      time.Duration
		deadline     time.Duration
		events, left int
		returns      int
		late         bool
		begun        bool
		entry        *simEntry
		rank         int
		refused      bool
	}

	simRank struct {
		running, waiting []*call
		// reports are (time, running, waiting), the newest last.
		reports []simReport
	}

	simReport struct {
		at               time.Duration
		running, waiting int
		step             time.Duration
	}

	simEntry struct {
		limiter carawaybeam.Limiter
		gaps    *precedence.Gaps
		router  carawaybeam.Router
		random  *rand.Rand
		// own[rank] is the number of own requests, history the changes by time.
		own     [simRanks]int
		changes [simRanks][]change
		// delay is the age of the reports.
		delay time.Duration
	}

	change struct {
		at    time.Duration
		delta int
	}

	// outcome counts the requests of a kind or an organisation.
	outcome struct {
		inTime, late, cut, refused int
		// tries and admitted count the first tries, and returns and readmitted those after a
		// refusal.
		tries, admitted, returns, readmitted int
	}

	// secondOf is the requests of a kind that arrived in one second.
	secondOf struct{ priority, second int }

	// simGroup is ranks that make all steps together.
	simGroup struct {
		index   int
		ranks   []*simRank
		steps   []simReport
		stepEnd time.Duration
		took    time.Duration
	}

	simulation struct {
		load            load
		random          *rand.Rand
		now             time.Duration
		entries         []*simEntry
		ranks           [simRanks]simRank
		groups          []simGroup
		pending         []*call
		kinds           map[int]*outcome
		orgs            map[string]*outcome
		lengths         map[bool]*outcome
		seconds         map[secondOf]*outcome
		occupied, ticks float64
	}
)

func (o outcome) all() int { return o.inTime + o.late + o.cut + o.refused }

// served is the part of the requests that was served whole.
func (o outcome) served() float64 { return float64(o.inTime+o.late) / max(1, float64(o.all())) }

// good is the part of the requests that was served in time.
func (o outcome) good() float64 { return float64(o.inTime) / max(1, float64(o.all())) }

func (o outcome) String() string {
	return fmt.Sprintf("%d in time, %d late, %d cut off, %d refused (%.2f in time)",
		o.inTime, o.late, o.cut, o.refused, o.good())
}

func (o *outcome) try(returns, admitted bool) {
	tries, successes := &o.tries, &o.admitted
	if returns {
		tries, successes = &o.returns, &o.readmitted
	}
	*tries++
	if admitted {
		*successes++
	}
}

// add adds the requests of another outcome.
func (o *outcome) add(other outcome) {
	o.inTime += other.inTime
	o.late += other.late
	o.cut += other.cut
	o.refused += other.refused
	o.tries += other.tries
	o.admitted += other.admitted
	o.returns += other.returns
	o.readmitted += other.readmitted
}

// merge adds the outcomes of another simulation of the same load.
func (s *simulation) merge(other *simulation) {
	for priority, o := range other.kinds {
		if s.kinds[priority] == nil {
			s.kinds[priority] = &outcome{}
		}
		s.kinds[priority].add(*o)
	}
	for organisation, o := range other.orgs {
		if s.orgs[organisation] == nil {
			s.orgs[organisation] = &outcome{}
		}
		s.orgs[organisation].add(*o)
	}
	for long, o := range other.lengths {
		s.lengths[long].add(*o)
	}
	for key, o := range other.seconds {
		if s.seconds[key] == nil {
			s.seconds[key] = &outcome{}
		}
		s.seconds[key].add(*o)
	}
	s.occupied += other.occupied
	s.ticks += other.ticks
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// wave swings by a part of the mean, with a crest at the given time.
func wave(mean, part float64, period, crest time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		return mean * (1 + part*math.Cos(2*math.Pi*(at-crest).Seconds()/period.Seconds()))
	}
}

// burst adds a rate between two times.
func burst(base, extra float64, from, until time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return base + extra
		}
		return base
	}
}

func newPrecedence() carawaybeam.Limiter { return precedence.New() }

// seededDeadline is the limiter "deadline" with retry times of the same range from a seed, so that runs repeat.
type seededDeadline struct {
	deadline.Limiter
	random *rand.Rand
}

func newDeadline() carawaybeam.Limiter {
	return seededDeadline{random: rand.New(rand.NewPCG(9, 9))}
}

func (l seededDeadline) Admit(now time.Time, request carawaybeam.AdmitRequest) carawaybeam.AdmitDecision {
	decision := l.Limiter.Admit(now, request)
	if !decision.Admitted {
		decision.RetryAfter = 200*time.Millisecond + time.Duration(l.random.Int64N(int64(time.Second)))
	}
	return decision
}

// simulate plays a load against a group of ranks, through entries with limiters of their own.
func simulate(l load, newLimiter func() carawaybeam.Limiter) *simulation {
	s := &simulation{
		load: l, random: rand.New(rand.NewPCG(l.seed, 77)), kinds: make(map[int]*outcome),
		orgs: make(map[string]*outcome), lengths: map[bool]*outcome{false: {}, true: {}},
		seconds: make(map[secondOf]*outcome),
	}
	for i := range max(1, l.entries) {
		s.entries = append(s.entries, &simEntry{
			limiter: newLimiter(),
			gaps:    precedence.NewGaps(),
			router:  occupancy.New(),
			random:  rand.New(rand.NewPCG(l.seed, uint64(i))),
			delay:   time.Duration(60+s.random.IntN(140)) * time.Millisecond,
		})
	}
	s.groups = make([]simGroup, max(1, l.groups))
	for i := range s.ranks {
		g := &s.groups[groupOf(l, i)]
		g.index, g.ranks = groupOf(l, i), append(g.ranks, &s.ranks[i])
	}
	for s.now = 0; s.now < l.length; s.now += simTick {
		s.tick()
	}
	return s
}

func (s *simulation) tick() {
	for i := range s.groups {
		if s.now >= s.groups[i].stepEnd {
			s.endStep(&s.groups[i])
		}
	}
	s.abandon()
	for i := range s.ranks {
		r := &s.ranks[i]
		r.reports = append(r.reports, simReport{
			at: s.now, running: len(r.running), waiting: len(r.waiting),
			step: s.groups[groupOf(s.load, i)].meanStep(s.now),
		})
		if len(r.reports) > 40 {
			r.reports = r.reports[1:]
		}
		s.occupied += float64(len(r.running))
	}
	s.ticks++
	for i := range s.load.sources {
		source := &s.load.sources[i]
		for n := poisson(s.random, source.rate(s.now)*simTick.Seconds()); n > 0; n-- {
			s.arrive(s.newCall(source))
		}
	}
	due := s.pending
	s.pending = nil
	for _, c := range due {
		if c.arrived > s.now {
			s.pending = append(s.pending, c)
		} else {
			s.arrive(c)
		}
	}
}

func poisson(random *rand.Rand, mean float64) int {
	n, p, limit := 0, random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= random.Float64()
	}
	return n
}

func (s *simulation) newCall(source *source) *call {
	mean := source.events
	if mean == 0 {
		mean = 19
	}
	// Lengths spread widely: half of the answers have between 0.5 and 1.4 times the mean.
	events := max(1, int(mean*math.Exp(0.7*s.random.NormFloat64()-0.245)))
	return &call{
		source: source, fingerprint: s.random.Uint64(), arrived: s.now,
		deadline: s.now + source.kind.timeout, events: events, left: events, returns: s.load.returns,
	}
}

// expectedEvents returns the expected number of events. The clients' estimates are far off at times.
func (c *call) expectedEvents() float64 {
	hint := float64(c.events) * math.Exp(0.8*(float64(c.fingerprint%1000)/500-1))
	return math.Sqrt(19.4 * hint)
}

// nextStep returns how long the step takes that begins now.
func (s *simulation) nextStep(g *simGroup) time.Duration {
	most := 0
	for _, r := range g.ranks {
		most = max(most, len(r.running))
	}
	if most == 0 {
		return simTick
	}
	step := simEngine.StepTime + simPrompt + time.Duration(most)*simEngine.SequenceTime
	took := time.Duration(simEngine.StepsPerPass) * step * 115 / 100
	if s.load.slow != nil && g.index == 0 {
		took = time.Duration(float64(took) * s.load.slow(s.now))
	}
	return took
}

// endStep ends a step. Running streams get an event, and the most urgent waiting ones take free
// slots.
func (s *simulation) endStep(g *simGroup) {
	idle := true
	for _, r := range g.ranks {
		for _, c := range r.running {
			idle = false
			if !c.begun {
				c.begun = true
				c.late = s.now-c.arrived > c.source.kind.target
			} else {
				c.late = c.late || g.took > c.source.kind.gap
			}
			if c.left--; c.left == 0 {
				s.end(c, true)
			}
		}
		r.running = slices.DeleteFunc(r.running, func(c *call) bool { return c.left == 0 })
		slices.SortStableFunc(
			r.waiting,
			func(a, b *call) int { return a.source.kind.priority - b.source.kind.priority },
		)
		n := min(simSlots-len(r.running), len(r.waiting))
		r.running = append(r.running, r.waiting[:n]...)
		r.waiting = slices.Clone(r.waiting[n:])
	}
	if !idle {
		g.steps = append(g.steps, simReport{at: s.now, step: g.took})
	}
	g.took = s.nextStep(g)
	g.stepEnd = s.now + g.took
}

// abandon ends requests whose clients do not wait any longer.
func (s *simulation) abandon() {
	for i := range s.ranks {
		r := &s.ranks[i]
		gone := func(c *call) bool {
			if c.deadline > s.now && (c.begun || s.now-c.arrived < patience) {
				return false
			}
			s.end(c, false)
			return true
		}
		r.running = slices.DeleteFunc(r.running, gone)
		r.waiting = slices.DeleteFunc(r.waiting, gone)
	}
}

func (s *simulation) end(c *call, whole bool) {
	c.entry.add(s.now, c.rank, -1)
	c.entry.limiter.Release(at(s.now), s.admitRequest(c, carawaybeam.RouteDecision{}, nil), s.now-c.arrived)
	s.count(c, func(o *outcome) {
		switch {
		case !whole:
			o.cut++
		case c.late:
			o.late++
		default:
			o.inTime++
		}
	})
}

func (s *simulation) count(c *call, add func(*outcome)) {
	if c.deadline-c.source.kind.timeout < warmUp {
		return
	}
	if s.kinds[c.source.kind.priority] == nil {
		s.kinds[c.source.kind.priority] = &outcome{}
	}
	if s.orgs[c.source.organisation] == nil {
		s.orgs[c.source.organisation] = &outcome{}
	}
	add(s.kinds[c.source.kind.priority])
	add(s.orgs[c.source.organisation])
	add(s.lengths[c.events > 19])
	second := (c.deadline - c.source.kind.timeout) / time.Second
	key := secondOf{priority: c.source.kind.priority, second: int(second)}
	if s.seconds[key] == nil {
		s.seconds[key] = &outcome{}
	}
	add(s.seconds[key])
}

// groupOf returns the index of the group of a rank.
func groupOf(l load, rank int) int { return rank * max(1, l.groups) / simRanks }

// meanStep returns the mean time of the steps that ended in stepWindow.
func (g *simGroup) meanStep(now time.Duration) time.Duration {
	var sum time.Duration
	count := 0
	for i := len(g.steps) - 1; i >= 0 && (count == 0 || g.steps[i].at > now-stepWindow); i-- {
		sum += g.steps[i].step
		count++
	}
	return sum / time.Duration(max(1, count))
}

func (e *simEntry) add(now time.Duration, rank, delta int) {
	e.own[rank] += delta
	changes := e.changes[rank]
	for len(changes) > 0 && changes[0].at < now-time.Second {
		changes = changes[1:]
	}
	e.changes[rank] = append(changes, change{at: now, delta: delta})
}

// candidates returns the ranks as the entry sees them, from reports that are some time old.
func (s *simulation) candidates(e *simEntry) []carawaybeam.Candidate {
	candidates := make([]carawaybeam.Candidate, simRanks)
	for i := range candidates {
		report := simReport{}
		for _, r := range s.ranks[i].reports {
			if r.at <= s.now-e.delay {
				report = r
			}
		}
		reported := e.own[i]
		for _, c := range e.changes[i] {
			if c.at > report.at {
				reported -= c.delta
			}
		}
		candidates[i] = carawaybeam.Candidate{
			Backend: carawaybeam.BackendID(rune('A' + i)), Slots: simSlots, StepTime: report.step,
			DataCentre: carawaybeam.DataCentre(rune('0' + groupOf(s.load, i))),
			Load:       carawaybeam.Load{Running: report.running, Waiting: report.waiting},
			OwnRunning: e.own[i], OwnReported: reported, ReportAge: e.delay,
		}
	}
	return candidates
}

func at(now time.Duration) time.Time { return time.Unix(1000, 0).Add(now) }

// entryOf returns the entry to which a client sends a request.
func (s *simulation) entryOf(c *call) *simEntry {
	weights := c.source.weights
	if weights == nil || c.refused {
		return s.entries[s.random.IntN(len(s.entries))]
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	drawn := s.random.Float64() * total
	for i, w := range weights {
		if drawn -= w; drawn < 0 {
			return s.entries[i]
		}
	}
	return s.entries[0]
}

func (s *simulation) arrive(c *call) {
	e := s.entryOf(c)
	candidates := s.candidates(e)
	k := c.source.kind
	probe := false
	if _, weighs := e.limiter.(*precedence.Limiter); weighs { // As in the forwarder.
		candidates, probe = e.gaps.Promising(
			at(s.now), simEngine, candidates, c.expectedEvents(), c.deadline-s.now, true,
		)
	}
	decision, _ := e.router.Route(at(s.now), carawaybeam.RouteRequest{
		Prompt: 700, Engine: simEngine, Target: k.target, EventGap: k.gap, DataCentre: "0",
	}, candidates, e.random)
	admit := s.admitRequest(c, decision, candidates)
	admit.Contention.Probe = probe
	for i := range candidates {
		if candidates[i].Backend == decision.Backend {
			admit.Contention.Gap = e.gaps.Sustained(at(s.now), simEngine, &candidates[i])
		}
	}
	answer := e.limiter.Admit(at(s.now), admit)
	s.count(c, func(o *outcome) { o.try(c.refused, answer.Admitted) })
	if answer.Admitted {
		c.entry, c.rank = e, int(decision.Backend[0]-'A')
		e.add(s.now, c.rank, 1)
		s.ranks[c.rank].waiting = append(s.ranks[c.rank].waiting, c)
		return
	}
	if c.returns == 0 || answer.RetryAfter == 0 || answer.RetryAfter > (c.deadline-s.now)/3 {
		s.count(c, func(o *outcome) { o.refused++ })
		return
	}
	c.refused = true
	c.returns--
	c.arrived = s.now + answer.RetryAfter
	s.pending = append(s.pending, c)
}

func (s *simulation) admitRequest(
	c *call,
	decision carawaybeam.RouteDecision,
	candidates []carawaybeam.Candidate,
) carawaybeam.AdmitRequest {
	k := c.source.kind
	return carawaybeam.AdmitRequest{
		Class: carawaybeam.Class{
			Pool: "pool", Targets: carawaybeam.Targets{FirstToken: k.target, Completed: k.timeout},
		},
		Organisation: carawaybeam.OrganisationID(c.source.organisation), Fingerprint: c.fingerprint, Prompt: 700,
		Expected: decision.Expected, Unloaded: decision.Unloaded, Idle: decision.Idle,
		EventGap: decision.EventGap, EventGapTarget: k.gap, Crowded: decision.Crowded,
		Priority: k.priority,
		Contention: carawaybeam.Contention{
			Several: true, MustComplete: true, TimeLeft: c.deadline - s.now,
			Events: c.expectedEvents(), Engine: simEngine, Chosen: decision.Backend, Candidates: candidates,
		},
	}
}

// total returns the outcome of all requests.
func (s *simulation) total() outcome {
	var all outcome
	for _, o := range s.kinds {
		all.add(*o)
	}
	return all
}

// between returns the outcome of the requests that arrived in seconds from and later, before until.
func (s *simulation) between(from, until int) outcome {
	var all outcome
	for key, o := range s.seconds {
		if key.second >= from && key.second < until {
			all.add(*o)
		}
	}
	return all
}

// kind returns the outcome of the requests of a kind.
func (s *simulation) kind(k simKind) outcome {
	if o := s.kinds[k.priority]; o != nil {
		return *o
	}
	return outcome{}
}

func (s *simulation) String() string {
	var text strings.Builder
	for _, k := range []simKind{urgent, usual, patient} {
		if o := s.kinds[k.priority]; o != nil {
			fmt.Fprintf(&text, "priority %d: %v; ", k.priority, o)
		}
	}
	fmt.Fprintf(&text, "occupancy %.2f", s.occupied/s.ticks/simRanks/simSlots)
	return text.String()
}
