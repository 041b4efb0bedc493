package soaker

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/carawaybeam/carawaybeam/fakes/forwarder"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

const (
	// minFaults and moreFaults bound the number of faults in a run.
	minFaults  = 4
	moreFaults = 7

	minLasts  = 300 * time.Millisecond
	moreLasts = 4 * time.Second

	// cutLasts is how long an entry is cut off in a pair, longer than a withdrawn
	// key may be used.
	cutLasts = keyBound + 3*time.Second
	// pairGap is the longest time from the first fault of a pair to the second.
	pairGap = time.Second

	// linkDelay is the delay of a slow link, storeDelay that of a slow store and
	// lateWrite the time in which a late write takes effect.
	linkDelay  = 150 * time.Millisecond
	storeDelay = 700 * time.Millisecond
	lateWrite  = 2 * time.Second

	// lateOrder is how late a rank carries out orders while they are late.
	lateOrder = 3 * time.Second

	// expiry is how long the platform keeps the announcement of a backend server
	// that has crashed.
	expiry = 3600 * time.Millisecond

	// servesOn is how long a leaving backend server still serves, longer than
	// the time in which entries must stop using it.
	servesOn = drainBound + time.Second

	// reuseAfter is how long an address stays unused after a planned stop.
	reuseAfter = 2 * time.Second

	// everything marks a fault that concerns all entries.
	everything = -1
)

type (
	// fault is one order of a script.
	fault struct {
		at, lasts time.Duration
		kind      string
		target    int
	}

	// act carries out a fault until its time is over.
	act func(ctx context.Context, s *Soaker, f fault)

	// scope tells what a fault disturbs.
	scope int

	// kind is a kind of fault.
	kind struct {
		scope scope
		act   act
	}
)

const (
	onEntry scope = iota
	// onAgent is an agent, or what the rank beside it does with orders.
	onAgent
	onStore
	onServer
	// onConfig is a change of the configuration, which disturbs nothing.
	onConfig
)

// targets returns how many targets a fault may choose from, or 0 if there is no
// choice.
func (s scope) targets(options Options) int {
	switch s {
	case onEntry:
		return options.Entries
	case onAgent:
		return emulator.GroupRanks
	case onServer:
		return len(startPools)
	}
	return 0
}

// draw returns a target by chance, or everything if there is no choice.
func (s scope) draw(random *rand.Rand, options Options) int {
	if n := s.targets(options); n > 0 {
		return random.IntN(n)
	}
	return everything
}

// movesTo tells which pool a route moves to.
var movesTo = map[string]string{"desk": "annex", "annex": "desk"}

// kinds holds all kinds of faults by name.
var kinds = map[string]kind{
	"kill":  {onEntry, func(_ context.Context, s *Soaker, f fault) { s.restart(s.entries[f.target], syscall.SIGKILL) }},
	"stop":  {onEntry, func(_ context.Context, s *Soaker, f fault) { s.restart(s.entries[f.target], syscall.SIGTERM) }},
	"pause": {onEntry, func(_ context.Context, s *Soaker, f fault) { pause(s.entries[f.target], f.lasts) }},
	"reload": {onEntry, func(_ context.Context, s *Soaker, f fault) {
		_ = s.entries[f.target].running(false).Signal(syscall.SIGHUP)
	}},
	"storeCut":    {onEntry, linkFault(entryLink, forwarder.Fault{Refuse: true}, true)},
	"storeSilent": {onEntry, linkFault(entryLink, forwarder.Fault{LoseAnswers: true}, false)},
	"storeDeaf":   {onEntry, linkFault(entryLink, forwarder.Fault{LoseRequests: true}, false)},
	"agentKill": {
		onAgent,
		func(_ context.Context, s *Soaker, f fault) { s.restart(s.agents[f.target], syscall.SIGKILL) },
	},
	"agentStop": {
		onAgent,
		func(_ context.Context, s *Soaker, f fault) { s.restart(s.agents[f.target], syscall.SIGTERM) },
	},
	"agentPause": {onAgent, func(_ context.Context, s *Soaker, f fault) { pause(s.agents[f.target], f.lasts) }},
	"orderLate": {onAgent, func(_ context.Context, s *Soaker, f fault) {
		s.group.DelayOrders(f.target, lateOrder)
		time.Sleep(f.lasts)
		s.group.DelayOrders(f.target, 0)
	}},
	"storeDown":        {onStore, storeFault(storer.Fault{Mode: storer.FaultDown})},
	"storeSlow":        {onStore, storeFault(storer.Fault{Mode: storer.FaultSlow, Delay: storeDelay})},
	"storeLostAnswer":  {onStore, storeFault(storer.Fault{Mode: storer.FaultLostAnswer})},
	"storeLateWrite":   {onStore, storeFault(storer.Fault{Mode: storer.FaultLateWrite, Delay: lateWrite})},
	"storeSilentWatch": {onStore, storeFault(storer.Fault{Mode: storer.FaultSilentWatch})},
	"crash":            {onServer, crashServer},
	"leave":            {onServer, func(ctx context.Context, s *Soaker, f fault) { leaveServer(ctx, s, f, true) }},
	"vanish":           {onServer, func(ctx context.Context, s *Soaker, f fault) { leaveServer(ctx, s, f, false) }},
	"truncate":         {onServer, behave(emulator.Truncating)},
	"babble":           {onServer, behave(emulator.SendingGarbage)},
	"repeat":           {onServer, behave(emulator.Repeating)},
	"linkCut":          {onServer, linkFault(hostLink, forwarder.Fault{Refuse: true}, true)},
	"linkReset":        {onServer, linkFault(hostLink, forwarder.Fault{}, true)},
	"linkSlow":         {onServer, linkFault(hostLink, forwarder.Fault{Delay: linkDelay}, false)},
	"linkMute":         {onServer, linkFault(hostLink, forwarder.Fault{LoseAnswers: true}, false)},
	"linkDeaf":         {onServer, linkFault(hostLink, forwarder.Fault{LoseRequests: true}, false)},
	"move": {onConfig, func(ctx context.Context, s *Soaker, _ fault) {
		s.reconfigure(ctx, func(c *emulator.Configuration) {
			c.Routes = slices.Clone(c.Routes)
			c.Routes[movedRoute].Pool = movesTo[c.Routes[movedRoute].Pool]
		})
	}},
	"withdrawKey": {onConfig, func(ctx context.Context, s *Soaker, _ fault) {
		key := s.next("key")
		s.reconfigure(ctx, func(c *emulator.Configuration) {
			c.Keys = maps.Clone(c.Keys)
			c.Keys[movedKey] = key
		})
	}},
}

// pairs are faults that strain a promise together: the second comes while the
// first lasts.
var pairs = [][2]string{
	{"storeCut", "withdrawKey"},
	{"storeDeaf", "withdrawKey"},
	{"storeCut", "leave"},
	{"storeSilent", "move"},
	{"leave", "stop"},
	{"move", "kill"},
	{"repeat", "linkSlow"},
	{"linkMute", "stop"},
	{"crash", "storeDown"},
	{"orderLate", "kill"},
	{"agentPause", "pause"},
}

// newScript returns the faults of a run: some by chance, each kind as likely as
// any other, and a pair, which seeds behind each other take in turn.
func newScript(random *rand.Rand, options Options) []fault {
	names := slices.Sorted(maps.Keys(kinds))
	n := minFaults + random.IntN(moreFaults)
	faults := make([]fault, 0, n+len(pairs[0]))
	for range n {
		f := fault{kind: names[random.IntN(len(names))]}
		f.at = time.Duration(random.Int64N(int64(options.FaultWindow)))
		f.lasts = minLasts + time.Duration(random.Int64N(int64(moreLasts)))
		f.target = kinds[f.kind].scope.draw(random, options)
		faults = append(faults, f)
	}
	return append(faults, newPair(random, options)...)
}

func newPair(random *rand.Rand, options Options) []fault {
	names := pairs[options.Seed%uint64(len(pairs))]
	at := time.Duration(random.Int64N(int64(options.FaultWindow / 2)))
	pair := make([]fault, len(names))
	for i, name := range names {
		pair[i] = fault{at: at, lasts: cutLasts, kind: name, target: kinds[name].scope.draw(random, options)}
		at += time.Duration(random.Int64N(int64(pairGap)))
	}
	return pair
}

// disturb carries out a fault and notes whom it concerned, and when.
func (s *Soaker) disturb(ctx context.Context, f fault) {
	chosen := kinds[f.kind]
	// A fault concerns its target from its beginning on, also before its end is
	// known.
	index := s.evidence.disturbed(disturbance{kind: f.kind, scope: chosen.scope, target: f.target, from: time.Now()})
	chosen.act(ctx, s, f)
	s.evidence.calmed(index, time.Now())
}

// restart ends a process by a signal and starts it again.
// One that is being restarted is left alone.
func (s *Soaker) restart(e *daemon, signal syscall.Signal) {
	if !e.changing.TryLock() {
		return
	}
	defer e.changing.Unlock()
	process := e.running(true)
	if process.Signal(signal) != nil {
		return
	}
	select {
	case <-process.Ended():
	case <-time.After(stopBound):
		_ = process.Kill()
	}
	time.Sleep(processPatience)
	if err := s.startDaemon(e); err != nil {
		s.evidence.note(e.name + " does not start: " + err.Error())
	}
}

func pause(e *daemon, lasts time.Duration) {
	process := e.running(false)
	if process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	time.Sleep(lasts)
	_ = process.Signal(syscall.SIGCONT)
}

func entryLink(s *Soaker, f fault) *forwarder.Forwarder { return s.entries[f.target].link }

func hostLink(s *Soaker, f fault) *forwarder.Forwarder { return s.hosts[f.target].link }

// linkFault puts a fault on a link for its time, and cuts the connections that
// are there if asked to.
func linkFault(link func(*Soaker, fault) *forwarder.Forwarder, what forwarder.Fault, cut bool) act {
	return func(_ context.Context, s *Soaker, f fault) {
		l := link(s, f)
		l.SetFault(what)
		if cut {
			l.Cut()
		}
		time.Sleep(f.lasts)
		l.SetFault(forwarder.Fault{})
	}
}

func storeFault(what storer.Fault) act {
	return func(_ context.Context, s *Soaker, f fault) {
		s.platform.Store.SetFault(what)
		time.Sleep(f.lasts)
		s.platform.Store.SetFault(storer.Fault{})
	}
}

// reconfigure changes the configuration as soon as the store takes it.
func (s *Soaker) reconfigure(ctx context.Context, change func(*emulator.Configuration)) {
	if err := s.configure(ctx, change); err != nil {
		s.evidence.note("platform: " + err.Error())
	}
}

func behave(b emulator.Behaviour) act {
	return func(_ context.Context, s *Soaker, f fault) {
		_, _, life := s.hosts[f.target].current()
		life.SetBehaviour(b)
		time.Sleep(f.lasts)
		life.SetBehaviour(emulator.Correct)
	}
}

// crashServer ends a backend server and starts it again under its own name. The
// platform drops its announcement meanwhile if that takes long.
func crashServer(ctx context.Context, s *Soaker, f fault) {
	h := s.hosts[f.target]
	if !h.changing.TryLock() {
		return
	}
	defer h.changing.Unlock()
	id, pool, life := h.current()
	s.closeServer(h, life)
	time.Sleep(min(f.lasts, expiry))
	if f.lasts > expiry {
		if _, err := life.Withdraw(ctx); err != nil {
			s.evidence.note("platform: " + err.Error())
		}
		time.Sleep(f.lasts - expiry)
	}
	if err := s.revive(ctx, h, id, pool); err != nil {
		s.evidence.note("backend server does not start: " + err.Error())
	}
}

// leaveServer takes a backend server out as planned, with or without telling that
// it leaves, and starts another one at its address.
func leaveServer(ctx context.Context, s *Soaker, f fault, told bool) {
	h := s.hosts[f.target]
	if !h.changing.TryLock() {
		return
	}
	defer h.changing.Unlock()
	id, pool, life := h.current()
	leave := life.Withdraw
	if told {
		leave = func(ctx context.Context) (time.Time, error) { return life.Announce(ctx, true) }
	}
	accepted, err := leave(ctx)
	if err != nil {
		s.evidence.note("platform: " + err.Error())
		return
	}
	s.evidence.left(id, accepted)
	time.Sleep(servesOn)
	if _, err := life.Withdraw(ctx); err != nil {
		s.evidence.note("platform: " + err.Error())
	}
	s.closeServer(h, life)
	time.Sleep(reuseAfter)
	if err := s.revive(ctx, h, s.next(pool), pool); err != nil {
		s.evidence.note("backend server does not start: " + err.Error())
	}
}

func (s *Soaker) closeServer(h *host, life *emulator.Server) {
	if err := life.Close(); err != nil {
		s.evidence.note("backend server does not close: " + err.Error())
	}
	h.link.Cut()
}
