package soaker

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/carawaybeam/carawaybeam/fakes/forwarder"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/platform/hoster"
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
)

// movesTo tells which pool a route moves to.
var movesTo = map[string]string{"desk": "annex", "annex": "desk"}

// entryActs disturb one entry, agentActs an agent or what ranks do with orders,
// storeActs the store, and hostActs a backend server. configActs change the configuration, which disturbs nothing.
var (
	entryActs = map[string]act{
		"kill":  func(_ context.Context, s *Soaker, f fault) { s.restart(s.entries[f.target], syscall.SIGKILL) },
		"stop":  func(_ context.Context, s *Soaker, f fault) { s.restart(s.entries[f.target], syscall.SIGTERM) },
		"pause": func(_ context.Context, s *Soaker, f fault) { pause(s.entries[f.target], f.lasts) },
		"reload": func(_ context.Context, s *Soaker, f fault) {
			_ = s.entries[f.target].running(false).Signal(syscall.SIGHUP)
		},
		"storeCut": linkFault(func(s *Soaker, f fault) *forwarder.Forwarder { return s.entries[f.target].link },
			forwarder.Fault{Refuse: true}, true),
		"storeSilent": linkFault(func(s *Soaker, f fault) *forwarder.Forwarder { return s.entries[f.target].link },
			forwarder.Fault{LoseAnswers: true}, false),
		"storeDeaf": linkFault(func(s *Soaker, f fault) *forwarder.Forwarder { return s.entries[f.target].link },
			forwarder.Fault{LoseRequests: true}, false),
	}
	agentActs = map[string]act{
		"agentKill":  func(_ context.Context, s *Soaker, f fault) { s.restart(s.agents[f.target], syscall.SIGKILL) },
		"agentStop":  func(_ context.Context, s *Soaker, f fault) { s.restart(s.agents[f.target], syscall.SIGTERM) },
		"agentPause": func(_ context.Context, s *Soaker, f fault) { pause(s.agents[f.target], f.lasts) },
		"orderLate": func(_ context.Context, s *Soaker, f fault) {
			s.group.Delay(f.target, lateOrder)
			time.Sleep(f.lasts)
			s.group.Delay(f.target, 0)
		},
	}
	storeActs = map[string]act{
		"storeDown":        storeFault(storer.Fault{Mode: storer.FaultDown}),
		"storeSlow":        storeFault(storer.Fault{Mode: storer.FaultSlow, Delay: storeDelay}),
		"storeLostAnswer":  storeFault(storer.Fault{Mode: storer.FaultLostAnswer}),
		"storeLateWrite":   storeFault(storer.Fault{Mode: storer.FaultLateWrite, Delay: lateWrite}),
		"storeSilentWatch": storeFault(storer.Fault{Mode: storer.FaultSilentWatch}),
	}
	hostActs = map[string]act{
		"crash":     crashServer,
		"leave":     func(ctx context.Context, s *Soaker, f fault) { leaveServer(ctx, s, f, true) },
		"vanish":    func(ctx context.Context, s *Soaker, f fault) { leaveServer(ctx, s, f, false) },
		"truncate":  behave(hoster.Truncating),
		"babble":    behave(hoster.Babbling),
		"repeat":    behave(hoster.Repeating),
		"linkCut":   linkFault(hostLink, forwarder.Fault{Refuse: true}, true),
		"linkReset": linkFault(hostLink, forwarder.Fault{}, true),
		"linkSlow":  linkFault(hostLink, forwarder.Fault{Delay: linkDelay}, false),
		"linkMute":  linkFault(hostLink, forwarder.Fault{LoseAnswers: true}, false),
		"linkDeaf":  linkFault(hostLink, forwarder.Fault{LoseRequests: true}, false),
	}
	configActs = map[string]act{
		"move": func(ctx context.Context, s *Soaker, _ fault) {
			s.reconfigure(ctx, func(c *hoster.Configuration) {
				c.Routes = slices.Clone(c.Routes)
				c.Routes[movedRoute].Pool = movesTo[c.Routes[movedRoute].Pool]
			})
		},
		"withdrawKey": func(ctx context.Context, s *Soaker, _ fault) {
			key := s.ids.next("key")
			s.reconfigure(ctx, func(c *hoster.Configuration) {
				c.Keys = maps.Clone(c.Keys)
				c.Keys[movedKey] = key
			})
		},
	}
)

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
	type choice struct {
		kind    string
		targets int
	}
	var choices []choice
	for _, group := range []struct {
		acts    map[string]act
		targets int
	}{
		{entryActs, options.Entries},
		{agentActs, hoster.GroupRanks},
		{storeActs, 0},
		{hostActs, len(startPools)},
		{configActs, 0},
	} {
		for kind := range group.acts {
			choices = append(choices, choice{kind, group.targets})
		}
	}
	slices.SortFunc(choices, func(a, b choice) int { return strings.Compare(a.kind, b.kind) })
	n := minFaults + random.IntN(moreFaults)
	faults := make([]fault, 0, n+len(pairs[0]))
	for range n {
		chosen := choices[random.IntN(len(choices))]
		f := fault{
			at:     time.Duration(random.Int64N(int64(options.Span))),
			lasts:  minLasts + time.Duration(random.Int64N(int64(moreLasts))),
			kind:   chosen.kind,
			target: everything,
		}
		if chosen.targets > 0 {
			f.target = random.IntN(chosen.targets)
		}
		faults = append(faults, f)
	}
	return append(faults, newPair(random, options)...)
}

func newPair(random *rand.Rand, options Options) []fault {
	kinds := pairs[options.Seed%uint64(len(pairs))]
	at := time.Duration(random.Int64N(int64(options.Span / 2)))
	pair := make([]fault, len(kinds))
	for i, kind := range kinds {
		pair[i] = fault{at: at, lasts: cutLasts, kind: kind, target: everything}
		switch {
		case entryActs[kind] != nil:
			pair[i].target = random.IntN(options.Entries)
		case agentActs[kind] != nil:
			pair[i].target = random.IntN(hoster.GroupRanks)
		case hostActs[kind] != nil:
			pair[i].target = random.IntN(len(startPools))
		}
		at += time.Duration(random.Int64N(int64(pairGap)))
	}
	return pair
}

// disturb carries out a fault and notes whom it concerned, and when.
func (s *Soaker) disturb(ctx context.Context, f fault) {
	began := time.Now()
	d := disturbance{kind: f.kind, from: began, entry: everything}
	run, ok := entryActs[f.kind]
	if ok {
		d.entry = f.target
	} else if run, ok = agentActs[f.kind]; ok {
		d.server = true
	} else if run, ok = hostActs[f.kind]; ok {
		d.server = true
	} else if run, ok = storeActs[f.kind]; ok {
		d.store = true
	} else {
		run, d.planned = configActs[f.kind], true
	}
	// A fault concerns its target from its beginning on, also before its end is
	// known.
	index := s.evidence.disturbed(d)
	run(ctx, s, f)
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

func hostLink(s *Soaker, f fault) *forwarder.Forwarder { return s.hosts[f.target].link }

// linkFault puts a fault on a link for its time, and cuts the connections that
// are there if asked to.
func linkFault(link func(*Soaker, fault) *forwarder.Forwarder, what forwarder.Fault, cut bool) act {
	return func(_ context.Context, s *Soaker, f fault) {
		l := link(s, f)
		l.Set(what)
		if cut {
			l.Cut()
		}
		time.Sleep(f.lasts)
		l.Set(forwarder.Fault{})
	}
}

func storeFault(what storer.Fault) act {
	return func(_ context.Context, s *Soaker, f fault) {
		s.platform.Store.Order(what)
		time.Sleep(f.lasts)
		s.platform.Store.Order(storer.Fault{})
	}
}

// reconfigure changes the configuration as soon as the store takes it.
func (s *Soaker) reconfigure(ctx context.Context, change func(*hoster.Configuration)) {
	if err := s.configure(ctx, change); err != nil {
		s.evidence.note("platform: " + err.Error())
	}
}

func behave(b hoster.Behaviour) act {
	return func(_ context.Context, s *Soaker, f fault) {
		_, _, life := s.hosts[f.target].current()
		life.Behave(b)
		time.Sleep(f.lasts)
		life.Behave(hoster.Sound)
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
	if err := s.revive(ctx, h, s.ids.next(pool), pool); err != nil {
		s.evidence.note("backend server does not start: " + err.Error())
	}
}

func (s *Soaker) closeServer(h *host, life *hoster.Server) {
	if err := life.Close(); err != nil {
		s.evidence.note("backend server does not close: " + err.Error())
	}
	h.link.Cut()
}
