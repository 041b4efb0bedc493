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
	// A run has minFaults random faults, up to extraFaults-1 more, and one pair.
	minFaults   = 4
	extraFaults = 7

	minDuration   = 300 * time.Millisecond
	extraDuration = 4 * time.Second

	// pairDuration is how long each fault of a pair lasts. It exceeds the time for
	// which a withdrawn key may be used.
	pairDuration = keyBound + 3*time.Second
	// maxPairGap limits the time from the first fault of a pair to the second.
	maxPairGap = time.Second

	// A run has up to maxCrashingRequests requests and maxCrashingParts parts of prompts
	// that crash backend servers. They are drawn from the random numbers of the stream
	// crashingStream.
	maxCrashingRequests = 2
	maxCrashingParts    = 2
	crashingStream      = 1 << 32

	// linkDelay is the delay of a slow link, storeDelay that of a slow store, and
	// lateWriteDelay the time after which a late write takes effect.
	linkDelay      = 150 * time.Millisecond
	storeDelay     = 700 * time.Millisecond
	lateWriteDelay = 2 * time.Second

	// orderDelay is how late a rank carries out orders during the fault orderLate.
	orderDelay = 3 * time.Second

	// announcementExpiry is how long the platform keeps the announcement of a crashed
	// backend server.
	announcementExpiry = 3600 * time.Millisecond

	// leavingTime is how long a leaving backend server still serves requests. It
	// exceeds the time in which entries must stop using the server.
	leavingTime = drainBound + time.Second

	// crashDowntime is how long a backend server that was crashed by a request stays
	// down.
	crashDowntime = 1500 * time.Millisecond

	// addressReuseDelay is how long an address stays unused after a planned stop of
	// its backend server.
	addressReuseDelay = 2 * time.Second

	// noTarget is the target of a fault that affects all entries.
	noTarget = -1
)

type (
	// fault is one scheduled fault. at is its start within Options.FaultWindow.
	fault struct {
		at, duration time.Duration
		kind         string
		target       int
	}

	// action injects a fault, and returns after it has ended.
	action func(ctx context.Context, s *Soaker, f fault)

	// scope is the part of the system that a fault affects.
	scope int

	// faultKind is a kind of fault: what it affects and how it is carried out.
	faultKind struct {
		scope scope
		act   action
	}
)

const (
	onEntry scope = iota
	// onAgent affects an agent, or how the rank beside it carries out orders.
	onAgent
	onStore
	onServer
	// onConfig is a change of the configuration. It excuses no violation.
	onConfig
	// onCaller is a misbehaving caller. It excuses no violation.
	onCaller
	// onWriter is another writer of the platform's store. It excuses no violation.
	onWriter
	// onDataCentre is an order of the operator for a data centre. It excuses no violation.
	onDataCentre
)

// targets returns the number of possible targets of a fault, or 0 if it has no single
// target.
func (s scope) targets(options Options) int {
	switch s {
	case onEntry:
		return options.Entries
	case onAgent:
		return emulator.GroupRanks
	case onServer:
		return len(startPools)
	case onCaller:
		return len(paths)
	case onDataCentre:
		return len(dataCentres)
	}
	return 0
}

// pickTarget returns a random target, or noTarget if the fault has no single target.
func (s scope) pickTarget(random *rand.Rand, options Options) int {
	if n := s.targets(options); n > 0 {
		return random.IntN(n)
	}
	return noTarget
}

// otherPool maps the pool of a route to the pool that the route moves to.
var otherPool = map[string]string{"desk": "annex", "annex": "desk"}

// kinds holds all kinds of faults by name.
var kinds = map[string]faultKind{
	"kill":  {onEntry, func(_ context.Context, s *Soaker, f fault) { s.restart(s.entries[f.target], syscall.SIGKILL) }},
	"stop":  {onEntry, func(_ context.Context, s *Soaker, f fault) { s.restart(s.entries[f.target], syscall.SIGTERM) }},
	"pause": {onEntry, func(_ context.Context, s *Soaker, f fault) { pauseProcess(s.entries[f.target], f.duration) }},
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
	"agentPause": {
		onAgent,
		func(_ context.Context, s *Soaker, f fault) { pauseProcess(s.agents[f.target], f.duration) },
	},
	"orderLate": {onAgent, func(_ context.Context, s *Soaker, f fault) {
		s.group.DelayOrders(f.target, orderDelay)
		time.Sleep(f.duration)
		s.group.DelayOrders(f.target, 0)
	}},
	"storeDown":          {onStore, storeFault(storer.Fault{Mode: storer.FaultDown})},
	"storeSlow":          {onStore, storeFault(storer.Fault{Mode: storer.FaultSlow, Delay: storeDelay})},
	"storeLostAnswer":    {onStore, storeFault(storer.Fault{Mode: storer.FaultLostAnswer})},
	"storeLateWrite":     {onStore, storeFault(storer.Fault{Mode: storer.FaultLateWrite, Delay: lateWriteDelay})},
	"storeSilentWatch":   {onStore, storeFault(storer.Fault{Mode: storer.FaultSilentWatch})},
	"crash":              {onServer, crashServer},
	"leave":              {onServer, func(ctx context.Context, s *Soaker, f fault) { leaveServer(ctx, s, f, true) }},
	"vanish":             {onServer, func(ctx context.Context, s *Soaker, f fault) { leaveServer(ctx, s, f, false) }},
	"truncate":           {onServer, behaviourFault(emulator.Truncating)},
	"babble":             {onServer, behaviourFault(emulator.SendingGarbage)},
	"repeat":             {onServer, behaviourFault(emulator.Repeating)},
	"nameLimit":          {onServer, nameLimit},
	"nameLeaving":        {onServer, nameLeaving},
	"refuseFor":          {onServer, refuseFor},
	"linkCut":            {onServer, linkFault(hostLink, forwarder.Fault{Refuse: true}, true)},
	"linkReset":          {onServer, linkFault(hostLink, forwarder.Fault{}, true)},
	"linkSlow":           {onServer, linkFault(hostLink, forwarder.Fault{Delay: linkDelay}, false)},
	"linkMute":           {onServer, linkFault(hostLink, forwarder.Fault{LoseAnswers: true}, false)},
	"linkDeaf":           {onServer, linkFault(hostLink, forwarder.Fault{LoseRequests: true}, false)},
	"idleLimit":          {onConfig, changeLimits(changeIdleLimit, false)},
	"idleLimitBrief":     {onConfig, lowerIdleLimitBriefly},
	"idleLimitSeries":    {onConfig, changeLimits(changeIdleLimit, true)},
	"routeTimeout":       {onConfig, changeLimits(changeRouteTimeout, false)},
	"routeTimeoutSeries": {onConfig, changeLimits(changeRouteTimeout, true)},
	"sizeLimits":         {onConfig, changeLimits(changeSizeLimits, false)},
	"oddEntries":         {onWriter, announceForeign(oddAnnouncement)},
	"foreignEntries":     {onWriter, announceForeign(foreignAnnouncement)},
	"stutter":            {onEntry, stutter},
	"evacuate":           {onDataCentre, evacuate(false)},
	"evacuateAgain":      {onDataCentre, evacuate(true)},
	"storeBack":          {onStore, comeBack},
	"coldRestart":        {onDataCentre, restartAll},
	"chill":              {onDataCentre, chill},
	"stalledBodies":      {onCaller, stallBodies},
	"slowReaders":        {onCaller, readSlowly},
	"crashingRequest": {onCaller, func(ctx context.Context, s *Soaker, f fault) {
		s.runCrashingCaller(ctx, paths[f.target])
	}},
	"crashingPart": {onCaller, func(ctx context.Context, s *Soaker, f fault) {
		s.runCrashingPart(ctx, f.target)
	}},
	"conditionalCaller": {onCaller, func(ctx context.Context, s *Soaker, f fault) {
		s.runConditionalCaller(ctx, paths[f.target])
	}},
	"crashingCrowd": {onCaller, func(ctx context.Context, s *Soaker, f fault) {
		s.runCrashingCrowd(ctx, paths[f.target])
	}},
	"move": {onConfig, func(ctx context.Context, s *Soaker, _ fault) {
		s.reconfigure(ctx, func(c *emulator.Configuration) {
			c.Routes = slices.Clone(c.Routes)
			c.Routes[changedRoute].Pool = otherPool[c.Routes[changedRoute].Pool]
		})
	}},
	"withdrawKey": {onConfig, func(ctx context.Context, s *Soaker, _ fault) {
		key := s.newName("key")
		s.reconfigure(ctx, func(c *emulator.Configuration) {
			c.Keys = maps.Clone(c.Keys)
			c.Keys[changedOrganisation] = key
		})
	}},
}

// pairs are faults that put a promise at risk in combination: the second begins while
// the first is in effect.
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

// newSchedule returns the faults of a run: random ones, with equal probability for each
// kind except those of callers, limits and signals, one pair, requests that crash backend
// servers, faults that concern limits, evacuations or cold backend servers, and signals of backend
// servers. Consecutive seeds use the pairs in turn.
func newSchedule(random *rand.Rand, options Options) []fault {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(kinds)), func(name string) bool {
		return kinds[name].scope == onCaller || slices.Contains(limitKinds, name) ||
			slices.Contains(signalKinds, name) || slices.Contains(evacuationKinds, name) ||
			slices.Contains(coldKinds, name) ||
			kinds[name].scope == onWriter
	})
	n := minFaults + random.IntN(extraFaults)
	faults := make([]fault, 0, n+len(pairs[0]))
	for range n {
		faults = append(faults, newFault(random, options, names))
	}
	faults = append(faults, newPair(random, options, pairs)...)
	faults = append(faults, newCrashingRequests(options)...)
	faults = append(faults, newLimitFaults(options)...)
	faults = append(faults, newSignalFaults(options)...)
	faults = append(faults, newForeignFaults(options)...)
	faults = append(faults, newEvacuations(options)...)
	faults = append(faults, newColdFaults(options)...)
	return append(faults, newClientFaults(options)...)
}

// newFault returns a random fault of one of the kinds.
func newFault(random *rand.Rand, options Options, names []string) fault {
	f := fault{kind: names[random.IntN(len(names))]}
	f.at = time.Duration(random.Int64N(int64(options.FaultWindow)))
	f.duration = minDuration + time.Duration(random.Int64N(int64(extraDuration)))
	f.target = kinds[f.kind].scope.pickTarget(random, options)
	return f
}

// newCrashingRequests returns up to maxCrashingRequests requests that crash backend
// servers, and up to maxCrashingParts parts of prompts that do so. They do not depend on
// the other faults of the seed.
func newCrashingRequests(options Options) []fault {
	random := rand.New(rand.NewPCG(options.Seed, crashingStream))
	requests := make([]fault, 0, maxCrashingRequests+maxCrashingParts)
	count := random.IntN(maxCrashingRequests + 1)
	for _, target := range random.Perm(len(paths))[:count] {
		requests = append(requests, fault{
			at: time.Duration(random.Int64N(int64(options.FaultWindow))), kind: "crashingRequest", target: target,
		})
	}
	for part := range random.IntN(maxCrashingParts + 1) {
		requests = append(requests, fault{
			at: time.Duration(random.Int64N(int64(options.FaultWindow))), kind: "crashingPart", target: part,
		})
	}
	return requests
}

// newPair returns one of the pairs, at a random time.
func newPair(random *rand.Rand, options Options, pairs [][2]string) []fault {
	names := pairs[options.Seed%uint64(len(pairs))]
	at := time.Duration(random.Int64N(int64(options.FaultWindow / 2)))
	pair := make([]fault, len(names))
	for i, name := range names {
		pair[i] = fault{
			at:       at,
			duration: pairDuration,
			kind:     name,
			target:   kinds[name].scope.pickTarget(random, options),
		}
		at += time.Duration(random.Int64N(int64(maxPairGap)))
	}
	return pair
}

// injectFault carries out a fault and records its target and the time of its effect.
func (s *Soaker) injectFault(ctx context.Context, f fault) {
	chosen := kinds[f.kind]
	// The fault is recorded before it begins, as its target is affected from the
	// beginning on.
	index := s.history.faultBegan(
		injectedFault{kind: f.kind, scope: chosen.scope, target: f.target, beganAt: time.Now()},
	)
	chosen.act(ctx, s, f)
	s.history.faultEnded(index, time.Now())
}

// restart ends a process by a signal and starts it again. It does nothing if the
// process is being restarted already.
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
	time.Sleep(restartDelay)
	if err := s.startDaemon(e); err != nil {
		s.history.addProblem(e.name + " failed to restart: " + err.Error())
	}
}

func pauseProcess(e *daemon, duration time.Duration) {
	process := e.running(false)
	if process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	time.Sleep(duration)
	_ = process.Signal(syscall.SIGCONT)
}

func entryLink(s *Soaker, f fault) *forwarder.Forwarder { return s.entries[f.target].link }

func hostLink(s *Soaker, f fault) *forwarder.Forwarder { return s.hosts[f.target].link }

// linkFault returns an action that sets a fault on a link for its duration. If cut is
// set, it also cuts the open connections.
func linkFault(link func(*Soaker, fault) *forwarder.Forwarder, set forwarder.Fault, cut bool) action {
	return func(_ context.Context, s *Soaker, f fault) {
		l := link(s, f)
		l.SetFault(set)
		if cut {
			l.Cut()
		}
		time.Sleep(f.duration)
		l.SetFault(forwarder.Fault{})
	}
}

func storeFault(set storer.Fault) action {
	return func(_ context.Context, s *Soaker, f fault) {
		s.platform.Store.SetFault(set)
		time.Sleep(f.duration)
		s.platform.Store.SetFault(storer.Fault{})
	}
}

// reconfigure changes the configuration, with retries until the store acknowledges the
// change. It records a problem if the context ends first.
func (s *Soaker) reconfigure(ctx context.Context, change func(*emulator.Configuration)) {
	if err := s.configure(ctx, change); err != nil {
		s.history.addProblem("request to the platform failed: " + err.Error())
	}
}

func behaviourFault(b emulator.Behaviour) action {
	return func(_ context.Context, s *Soaker, f fault) {
		_, _, server := s.hosts[f.target].current()
		server.SetBehaviour(b)
		time.Sleep(f.duration)
		server.SetBehaviour(emulator.Correct)
	}
}

// crashServer ends a backend server and starts it again under the same name. If it is
// down for longer than announcementExpiry, the platform drops its announcement
// meanwhile.
func crashServer(ctx context.Context, s *Soaker, f fault) {
	h := s.hosts[f.target]
	if !h.changing.TryLock() {
		return
	}
	defer h.changing.Unlock()
	id, pool, server := h.current()
	s.closeServer(h, server)
	time.Sleep(min(f.duration, announcementExpiry))
	if f.duration > announcementExpiry {
		if _, err := server.Withdraw(ctx); err != nil {
			s.history.addProblem("request to the platform failed: " + err.Error())
		}
		time.Sleep(f.duration - announcementExpiry)
	}
	if err := s.startServer(ctx, h, id, pool); err != nil {
		s.history.addProblem("backend server failed to start: " + err.Error())
	}
}

// crashedByRequest ends a backend server that a request has crashed, and starts another
// one at its address. The platform drops the announcement of the first one later.
func (s *Soaker) crashedByRequest(ctx context.Context, h *host, server *emulator.Server) {
	h.changing.Lock()
	defer h.changing.Unlock()
	_, pool, current := h.current()
	if current != server {
		return
	}
	index := s.history.faultBegan(
		injectedFault{kind: "crashedByRequest", scope: onServer, target: h.index, beganAt: time.Now()},
	)
	defer func() { s.history.faultEnded(index, time.Now()) }()
	s.closeServer(h, server)
	s.wait.Go(func() {
		time.Sleep(announcementExpiry)
		if _, err := server.Withdraw(ctx); err != nil {
			s.history.addProblem("request to the platform failed: " + err.Error())
		}
	})
	time.Sleep(max(crashDowntime, s.options.CrashDowntime))
	if err := s.startServer(ctx, h, s.newName(pool), pool); err != nil {
		s.history.addProblem("backend server failed to start: " + err.Error())
	}
}

// leaveServer stops a backend server as planned, and starts another one at its address.
// If announced is set, the server announces first that it leaves. Otherwise its
// announcement is withdrawn.
func leaveServer(ctx context.Context, s *Soaker, f fault, announced bool) {
	h := s.hosts[f.target]
	if !h.changing.TryLock() {
		return
	}
	defer h.changing.Unlock()
	id, pool, server := h.current()
	leave := server.Withdraw
	if announced {
		leave = func(ctx context.Context) (time.Time, error) { return server.Announce(ctx, true) }
	}
	accepted, err := leave(ctx)
	if err != nil {
		s.history.addProblem("request to the platform failed: " + err.Error())
		return
	}
	s.history.leavingAccepted(id, accepted)
	time.Sleep(leavingTime)
	if _, err := server.Withdraw(ctx); err != nil {
		s.history.addProblem("request to the platform failed: " + err.Error())
	}
	s.closeServer(h, server)
	time.Sleep(addressReuseDelay)
	if err := s.startServer(ctx, h, s.newName(pool), pool); err != nil {
		s.history.addProblem("backend server failed to start: " + err.Error())
	}
}

// closeServer ends a backend server, so that its address refuses connections. The caller
// holds h.changing.
func (s *Soaker) closeServer(h *host, server *emulator.Server) {
	if err := server.Close(); err != nil {
		s.history.addProblem("backend server failed to close: " + err.Error())
	}
	h.down = true
	if err := h.link.Suspend(); err != nil {
		s.history.addProblem("link failed to close: " + err.Error())
	}
	h.link.Cut()
}
