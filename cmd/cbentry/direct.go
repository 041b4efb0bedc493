package main

import (
	"context"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/acceptor"
	"github.com/carawaybeam/carawaybeam/allocator"
	"github.com/carawaybeam/carawaybeam/clock"
	"github.com/carawaybeam/carawaybeam/collector"
	"github.com/carawaybeam/carawaybeam/configurer/adopter"
	"github.com/carawaybeam/carawaybeam/detector"
	"github.com/carawaybeam/carawaybeam/discoverer"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/dumper"
	"github.com/carawaybeam/carawaybeam/enroller"
	"github.com/carawaybeam/carawaybeam/evacuator"
	"github.com/carawaybeam/carawaybeam/finisher"
	"github.com/carawaybeam/carawaybeam/follower"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/hedger"
	"github.com/carawaybeam/carawaybeam/keeper"
	"github.com/carawaybeam/carawaybeam/loader"
	"github.com/carawaybeam/carawaybeam/locator"
	"github.com/carawaybeam/carawaybeam/logkeeper"
	"github.com/carawaybeam/carawaybeam/orderer"
	"github.com/carawaybeam/carawaybeam/overseer"
	"github.com/carawaybeam/carawaybeam/pooler"
	"github.com/carawaybeam/carawaybeam/publisher"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/reloader"
	"github.com/carawaybeam/carawaybeam/reserver"
	"github.com/carawaybeam/carawaybeam/retrier/quota"
	"github.com/carawaybeam/carawaybeam/starter"
	"github.com/carawaybeam/carawaybeam/subscriber"
	"github.com/carawaybeam/carawaybeam/throttler"
	"github.com/carawaybeam/carawaybeam/warmer"
)

const (
	// stopMargin is the time before the platform kills a stopping process at which
	// the process aborts the requests that are still running.
	stopMargin = 500 * time.Millisecond

	// configInterval is the minimum time between two watches of the configuration.
	// It is short compared to the seconds within which a change must be in force.
	configInterval = 50 * time.Millisecond

	// instanceWait is the time that one watch of the backend servers waits for a
	// change, instanceInterval the minimum time between two watches. Both are short
	// compared to the seconds within which a leaving backend server must receive
	// no more requests.
	instanceWait     = 4 * time.Second
	instanceInterval = 200 * time.Millisecond

	// crashesWait is the time that one watch of the records of crashes waits for a
	// change, crashesInterval the minimum time between two watches. Both are short
	// compared to the seconds within which a crashed backend server returns.
	crashesWait     = 4 * time.Second
	crashesInterval = 100 * time.Millisecond

	// entriesWait is the time that one watch of the enrolled entries waits for a
	// change, entriesInterval the minimum time between two watches. Entries seldom
	// start or stop, and learning of it late does no harm.
	entriesWait     = 30 * time.Second
	entriesInterval = 2 * time.Second

	// limitsWait is the time that one watch of the shares of limits waits for a change,
	// limitsInterval the minimum time between two watches. An entry without a share
	// sends nothing meanwhile.
	limitsWait     = 30 * time.Second
	limitsInterval = time.Second

	// The backoffs after a failed call. The configuration, on which the use of keys
	// depends, is tried again most often, and its first success ends the others.
	instanceBackoff = time.Second
	crashesBackoff  = 2 * time.Second
	limitsBackoff   = 2 * time.Second
	entriesBackoff  = 4 * time.Second

	// maxReportAge is the age above which a reported load is ignored.
	maxReportAge = time.Second

	// formationTime is how long a group takes to form once all its ranks are
	// running, rankRestartTime the least time that a stopped rank needs to return.
	// Clients retry after at most a third of their remaining time.
	formationTime   = 600 * time.Millisecond
	rankRestartTime = 2 * time.Second

	// bodyMemoryShare and answerMemoryShare are the shares of the memory of the process that
	// bodies of requests and whole answers may take.
	bodyMemoryShare   = 0.4
	answerMemoryShare = 0.15

	// maxBodyWait is how long a request waits until there is memory for its body. Clients turn
	// elsewhere if their request is not read within a second. A request waits for memory for
	// its answer until its deadline.
	maxBodyWait = 500 * time.Millisecond

	// logBytes is the size of the log lines that are kept for operators. It is
	// enough for a few thousand requests.
	logBytes = 1 << 20

	// maxReadyAge is the age of the configuration above which an entry accepts no
	// new clients.
	maxReadyAge = 4 * time.Second
)

// directEntry is the running daemon in an installation where entries send requests
// directly to backend servers instead of to agents.
type directEntry struct {
	settings         loader.Entry
	log              zerolog.Logger
	store            carawaybeam.Store
	dialect          carawaybeam.Dialect
	adopter          *adopter.Adopter
	configFollower   *follower.Follower
	discoverer       *discoverer.Discoverer
	detector         *detector.Detector
	quarantiner      *quarantiner.Quarantiner
	publisher        *publisher.Publisher
	crashFollower    *follower.Follower
	allocator        *allocator.Allocator
	throttler        *throttler.Throttler
	limitFollower    atomic.Pointer[follower.Follower]
	outage           *follower.Outage
	instanceFollower atomic.Pointer[follower.Follower]
	pooler           *pooler.Pooler
	router           carawaybeam.Router
	limiter          carawaybeam.Limiter
	retrier          *quota.Retrier
	hedger           *hedger.Hedger
	finisher         *finisher.Finisher
	// bodies and answers bound the memory for bodies of requests and for whole answers.
	bodies, answers *reserver.Reserver
	evacuator       *evacuator.Evacuator
	warmer          *warmer.Warmer
	locator         *locator.Locator
	acceptor        *acceptor.Acceptor
	entries         *enroller.EntrySet
	collector       *collector.Collector
	orderer         *orderer.Orderer
	logKeeper       *logkeeper.LogKeeper
	// maxKeyAge is the time.Duration from the settings in force.
	maxKeyAge atomic.Int64
	leaving   atomic.Bool
	// accepting is acceptor once it has been created.
	accepting atomic.Pointer[acceptor.Acceptor]
	closers   starter.Closers

	// streams bounds what clients may leave unread of their streams.
	streams forwarder.StreamOptions
	// overseer measures the load of the process. It is nil if the settings do not ask for it.
	overseer *overseer.Overseer
	overload forwarder.Overload
	// slowGroups holds the groups that were logged as slow. Only setRouterGauges uses it.
	slowGroups map[carawaybeam.GroupID]struct{}
}

// directState is the state dump of a directEntry.
type directState struct {
	DataCentre  carawaybeam.DataCentre    `json:"dataCentre"`
	Config      carawaybeam.ConfigVersion `json:"config"`
	ConfigAgeMs int64                     `json:"configAgeMs"`
	StoreEra    carawaybeam.StoreEra      `json:"storeEra,omitempty"`
	Connections pooler.State              `json:"connections"`
	Crashes     detector.State            `json:"crashes"`
	Quarantine  quarantiner.State         `json:"quarantine"`
	// Restrictions is what backend servers say of the requests that they take.
	Restrictions throttler.State  `json:"restrictions"`
	Retries      any              `json:"retries"`
	Entries      []enroller.Entry `json:"entries"`
	// Pools holds the number of backend servers that accept requests.
	Pools  map[carawaybeam.PoolID]int `json:"pools"`
	Groups map[string][]rankState     `json:"groups"`
	// BodyMemory and AnswerMemory are what bodies of requests and whole answers take.
	BodyMemory   reserver.State `json:"bodyMemory"`
	AnswerMemory reserver.State `json:"answerMemory"`
	// Streams is what clients leave unread of their streams.
	Streams streamState `json:"streams"`
	// Overload is nil if the settings do not ask for it.
	Overload *overseer.State `json:"overload,omitempty"`
	// Clients is the state of the connections of clients.
	Clients keeper.State `json:"clients"`
	// DroppedLogLines is the number of log lines that were not written.
	DroppedLogLines uint64 `json:"droppedLogLines"`
	Router          any    `json:"router,omitempty"`
	Limiter         any    `json:"limiter,omitempty"`
	// Evacuations is nil unless the entry obeys evacuations.
	Evacuations *evacuator.State `json:"evacuations,omitempty"`
	Warmth      *warmer.State    `json:"coldServers,omitempty"`
	// Homes is nil unless the configuration has home regions.
	Homes *locator.State `json:"homes,omitempty"`
	// Hedging is nil unless operators allow second attempts.
	Hedging *hedger.State `json:"secondAttempts,omitempty"`
}

// rankState is one rank in the state dump.
type rankState struct {
	carawaybeam.RankState
	Address carawaybeam.Address
	AgeMs   int64
}

// runDirect runs the daemon until it receives the signal to stop.
func runDirect(stop context.Context, reload chan os.Signal, file string, settings loader.Entry) {
	e := newDirectEntry(settings)
	e.closers.Add(reloader.New(reloader.Options{File: file, Apply: e.reload, Signals: reload, Log: e.log}))
	if err := e.start(); err != nil {
		starter.Fail(program, starter.ExitStart, err)
	}
	e.log.Info().Str("dialect", settings.Direct.Dialect).Str("callers", string(settings.Callers)).
		Msg("entry: started")
	<-stop.Done()
	e.stop()
	e.log.Info().Msg("entry: stopped")
}

// newDirectEntry returns a directEntry with the settings in force. Settings can be
// reloaded before it is started.
func newDirectEntry(settings loader.Entry) *directEntry {
	e := &directEntry{
		settings:    settings,
		logKeeper:   logkeeper.New(logBytes),
		quarantiner: quarantiner.New(quarantiner.Partial),
		finisher:    finisher.New(),
		bodies:      reserver.New(memoryShare(settings.Direct.MemoryMB, bodyMemoryShare), maxBodyWait),
		answers:     reserver.New(memoryShare(settings.Direct.MemoryMB, answerMemoryShare), 0),
		streams:     newStreamOptions(settings.Direct),
	}
	e.log = starter.NewLog(settings.Process, e.logKeeper)
	e.entries = enroller.NewEntrySet(e.log)
	e.locator = locator.New(locator.Options{Regions: settings.Regions, Log: e.log})
	e.retrier = quota.New(quota.Options{
		Bound: retryBound(settings.Direct.Retries), Entries: e.entries.Len, Started: time.Now(),
	})
	e.hedger = hedger.New(time.Now(), hedgingSettings(settings.Direct.Hedging))
	e.apply(settings.Direct)
	return e
}

// reload applies the settings that can change while the process is running.
func (e *directEntry) reload(file string) error {
	settings, err := loader.LoadEntry(file)
	if err != nil {
		return err
	}
	e.apply(settings.Direct)
	e.retrier.SetBound(retryBound(settings.Direct.Retries))
	e.hedger.SetSettings(hedgingSettings(settings.Direct.Hedging))
	return nil
}

func (e *directEntry) apply(settings loader.Direct) {
	starter.LimitMemory(settings.MemoryMB)
	e.maxKeyAge.Store(int64(settings.MaxKeyAge))
}

// memoryShare returns a share of the memory of the process.
func memoryShare(megabytes int, share float64) carawaybeam.Bytes {
	return carawaybeam.Bytes(share * float64(megabytes) * (1 << 20))
}

func retryBound(settings loader.Retries) quota.Bound {
	return quota.Bound{Ratio: settings.Ratio, Window: time.Duration(settings.Window), Reserve: settings.Reserve}
}

// start starts all parts in the order of their dependencies.
func (e *directEntry) start() error {
	newDialect, err := carawaybeam.Dialects.Lookup(e.settings.Direct.Dialect)
	if err != nil {
		return err
	}
	e.dialect = newDialect()
	e.pooler = pooler.New(pooler.Options{DecodeReply: e.dialect.DecodeReply})
	e.closers.Add(e.pooler)
	if e.store, err = e.settings.Store.OpenStore(e.log); err != nil {
		return err
	}
	e.overload = e.startOverseer()
	e.newWarmer()
	e.startFollowers()
	e.startEvacuator()
	e.startPublisher()
	e.startThrottler()
	if err := e.startCoordinators(); err != nil {
		return err
	}
	return e.listen()
}

// startFollowers starts to follow the configuration and the announcements of backend
// servers in the store.
func (e *directEntry) startFollowers() {
	e.outage = follower.NewOutage()
	kind, name := e.dialect.RoutingObject()
	e.adopter = adopter.New(adopter.Options{Name: name, Decode: e.dialect.DecodeRouting, Log: e.log})
	e.configFollower = follower.New(follower.Options{
		Store: e.store, Kind: kind, Sink: e.adopter, Clock: clock.SinceBoot, MinInterval: configInterval,
		Outage: e.outage, Log: e.log,
	})
	e.closers.Add(e.configFollower)
	e.discoverer = discoverer.New(discoverer.Options{
		Decode:      e.decodeAnnouncement,
		SinceOutage: e.configFollower.SinceOutage,
		Announced:   func(instance carawaybeam.Instance) { e.detector.Announced(instance) },
		Log:         e.log,
	})
	e.detector = detector.New(detector.Options{
		Probe: e.pooler.Probe, InUse: e.discoverer.InUse, Quarantiner: e.quarantiner, Log: e.log,
	})
	e.closers.Add(e.detector)
	instances := follower.New(follower.Options{
		Store: e.store, Kind: e.dialect.InstanceKind(), Sink: e.discoverer, Clock: clock.SinceBoot,
		Wait: instanceWait, MinInterval: instanceInterval, MaxBackoff: instanceBackoff, Outage: e.outage, Log: e.log,
		MaxWait: e.maxInstanceWait,
	})
	e.instanceFollower.Store(instances)
	e.closers.Add(instances)
}

// startPublisher starts to share the requests that crash backend servers with the other
// entries.
func (e *directEntry) startPublisher() {
	e.publisher = publisher.New(publisher.Options{
		Store: e.store, Name: e.settings.Process, Quarantiner: e.quarantiner, Log: e.log,
	})
	e.closers.Add(e.publisher)
	e.crashFollower = follower.New(follower.Options{
		Store: e.store, Kind: carawaybeam.KindCrashes, Sink: e.publisher, Clock: clock.SinceBoot,
		Wait: crashesWait, MinInterval: crashesInterval, MaxBackoff: crashesBackoff, Outage: e.outage, Log: e.log,
	})
	e.closers.Add(e.crashFollower)
}

// startThrottler starts to share the limits that backend servers name with the other entries.
func (e *directEntry) startThrottler() {
	e.allocator = allocator.New(allocator.Options{
		Store: e.store, Name: e.settings.Process, Clock: clock.SinceBoot, Entries: e.entries.Len,
		Era: e.limitsEra, Age: e.limitsAge, Log: e.log,
	})
	limits := follower.New(follower.Options{
		Store: e.store, Kind: carawaybeam.KindLimit, Sink: e.allocator, Clock: clock.SinceBoot,
		Wait: limitsWait, MinInterval: limitsInterval, MaxBackoff: limitsBackoff, Outage: e.outage, Log: e.log,
	})
	e.limitFollower.Store(limits)
	e.closers.Add(limits)
	e.closers.Add(e.allocator)
	e.throttler = throttler.New(throttler.Options{Shares: e.allocator, InUse: e.discoverer.Uses, Log: e.log})
}

// limitsEra returns the era of the store in which the shares of limits were read last.
func (e *directEntry) limitsEra() carawaybeam.StoreEra {
	limits := e.limitFollower.Load()
	if limits == nil {
		return 0
	}
	era, _ := limits.Era()
	return era
}

// limitsAge returns how long ago the shares of limits were known to be the newest.
func (e *directEntry) limitsAge() (time.Duration, bool) {
	limits := e.limitFollower.Load()
	if limits == nil {
		return 0, false
	}
	return limits.Age()
}

// crashesShared reports whether the entry has shared the crashes that count against a
// request, and is following those of other entries.
func (e *directEntry) crashesShared(fingerprint quarantiner.Fingerprint) bool {
	sinceOutage, hadOutage := e.crashFollower.SinceOutage()
	return e.publisher.Published(fingerprint) && (!hadOutage || sinceOutage > 0)
}

// conductsTrial reports whether this entry is the one that tries a suspect request.
func (e *directEntry) conductsTrial(fingerprint quarantiner.Fingerprint) bool {
	return e.entries.Elects(fingerprint.String(), e.settings.Process)
}

// startCoordinators starts to collect the statuses of ranks, enrols the entry to
// receive them, and starts to coordinate the groups of the ranks.
func (e *directEntry) startCoordinators() error {
	conn, err := net.ListenPacket("udp", string(e.settings.Links))
	if err != nil {
		return &starter.ListenError{Purpose: "statuses", Address: e.settings.Links, Cause: err}
	}
	e.orderer = orderer.New(orderer.Options{
		Sender: e.settings.Process + "/" + string(carawaybeam.NewIncarnation()),
		Send: func(address carawaybeam.Address, frame *framer.Frame) error {
			return e.collector.Send(address, frame)
		},
		Log: e.log,
	})
	e.collector = collector.New(collector.Options{Conn: conn, Results: e.orderer.Deliver, Log: e.log})
	e.closers.Add(e.collector)
	e.closers.Add(follower.New(follower.Options{
		Store: e.store, Kind: carawaybeam.KindEntry, Sink: e.entries, Clock: clock.SinceBoot,
		Wait: entriesWait, MinInterval: entriesInterval, MaxBackoff: entriesBackoff, Outage: e.outage, Log: e.log,
	}))
	e.closers.Add(enroller.New(enroller.Options{
		Store:   e.store,
		Entry:   e.enrolled(),
		Entries: e.entries,
		Log:     e.log,
	}))
	if port := e.settings.Direct.AgentPort; port > 0 {
		e.closers.Add(subscriber.New(subscriber.Options{
			DataCentre: e.settings.DataCentre,
			Instances:  e.reportingInstances,
			Reported: func(address carawaybeam.Address) time.Time {
				status, _ := e.collector.Status(address)
				return status.Received
			},
			Send:      e.collector.SendTo,
			AgentPort: port,
			Log:       e.log,
		}))
	}
	newEngine, err := carawaybeam.RankEngines.Lookup(e.settings.Direct.Dialect)
	if err != nil {
		return err
	}
	newPlanner, err := carawaybeam.Planners.Lookup(e.settings.Policies.Planner)
	if err != nil {
		return err
	}
	e.closers.Add(newCoordinators(e, newEngine, newPlanner))
	return nil
}

// reportingInstances returns the backend servers next to which agents run, which are those
// with an engine.
func (e *directEntry) reportingInstances() []carawaybeam.Instance {
	config := e.adopter.Current()
	if config == nil {
		return nil
	}
	return slices.DeleteFunc(e.discoverer.Known(), func(instance carawaybeam.Instance) bool {
		pool := config.Pool(instance.Pool)
		return pool == nil || pool.Engine == nil
	})
}

// enrolled returns the description with which the entry is enrolled.
func (e *directEntry) enrolled() enroller.Entry {
	return enroller.Entry{
		Name:          e.settings.Process,
		StatusAddress: e.settings.Links,
		AdminAddress:  e.settings.Admin,
		DataCentre:    e.settings.DataCentre,
	}
}

// report returns the last report of the agent next to a backend server. It returns
// false if there is none that is recent enough.
func (e *directEntry) report(address carawaybeam.Address) (forwarder.Report, bool) {
	status, ok := e.collector.Status(address)
	if !ok || time.Since(status.Received) > maxReportAge {
		return forwarder.Report{}, false
	}
	return forwarder.Report{
		Load:      carawaybeam.Load{Running: status.Running, Waiting: status.Waiting},
		At:        status.Received,
		StepTime:  status.StepTime,
		ClosedFor: e.closedFor(status),

		Group:       status.Group,
		MemoryUsed:  status.MemoryUsed,
		MemoryTotal: status.MemoryTotal,
	}, true
}

// closedFor returns how long the group of a rank is expected to refuse requests, or 0
// while it accepts them.
func (e *directEntry) closedFor(status collector.Status) time.Duration {
	if status.Group == "" || status.Open && !status.IsStalled(time.Now()) {
		return 0
	}
	if e.collector.ReportingRanks(status.Group, maxReportAge) == status.Size {
		return formationTime
	}
	return rankRestartTime
}

func (e *directEntry) listen() error {
	var err error
	if e.router, e.limiter, err = newPolicies(e.settings.Policies); err != nil {
		return err
	}
	admin, err := starter.Listen("operators", e.settings.Admin)
	if err != nil {
		return err
	}
	dumpOptions := dumper.Options{Process: e.settings.Process, Ready: e.ready, State: e.state, Log: e.log}
	dumpOptions.Routes = e.newViewer(dumpOptions.Dump).Route
	operators := dumper.New(admin, dumpOptions)
	e.closers.Add(operators)
	e.closers.Add(starter.Repeat(gaugeInterval, func() { e.setGauges(operators.Scope()) }))
	if err := e.listenReadiness(); err != nil {
		return err
	}
	callers, err := starter.Listen("callers", e.settings.Callers)
	if err != nil {
		return err
	}
	e.acceptor = acceptor.New(callers, acceptor.Options{
		Dialect:      e.dialect,
		Forwarder:    newMeteredForwarder(operators.Scope(), forwarder.New(e.forwarderOptions())),
		BodyBytes:    e.settings.Limits.BodyBytes,
		HeaderBytes:  e.settings.Limits.HeaderBytes,
		Memory:       e.bodies,
		Connections:  e.connectionBound(),
		ReadTimeout:  time.Duration(e.settings.Limits.ReadTimeout),
		WriteTimeout: time.Duration(e.settings.Limits.WriteTimeout),
		Scope:        operators.Scope(),
		Log:          e.log,
	})
	e.accepting.Store(e.acceptor)
	e.closers.Add(e.acceptor)
	return nil
}

// forwarderOptions returns the options of the forwarder of clients' requests.
func (e *directEntry) forwarderOptions() forwarder.Options {
	return e.withHedger(e.withExclusions(forwarder.Options{
		DataCentre:    e.settings.DataCentre,
		Configuration: e.adopter,
		ConfigAge:     e.configFollower.Age,
		MaxKeyAge:     func() time.Duration { return time.Duration(e.maxKeyAge.Load()) },
		Members:       e.discoverer,
		Report:        e.report,
		Sender:        e.pooler,
		Encode:        e.dialect.EncodeForwarding,
		Detector:      e.detector,
		Quarantiner:   e.quarantiner,
		CrashesShared: e.crashesShared,
		ConductsTrial: e.conductsTrial,
		Entries:       e.entries.Len,
		Finisher:      e.finisher,
		Memory:        e.answers,
		Throttler:     e.throttler,
		Router:        e.router,
		Limiter:       e.limiter,
		Retrier:       e.retrier,
		Admission:     e.admission(),
		Streams:       e.streams,
		Overload:      e.overload,
		Log:           e.log,
	}))
}

// ready reports whether the entry accepts new clients.
func (e *directEntry) ready() bool {
	age, known := e.configFollower.Age()
	return !e.leaving.Load() && known && age <= maxReadyAge && e.adopter.Current() != nil &&
		e.discoverer.Loaded() && e.publisher.Loaded() && (e.evacuator == nil || e.evacuator.Loaded())
}

// stop refuses new clients, waits for running requests until stopMargin before the
// end of the time to stop, and closes all parts.
func (e *directEntry) stop() {
	e.log.Info().Msg("entry: draining")
	e.leaving.Store(true)
	end := time.Now().Add(time.Duration(e.settings.Direct.StopWithin) - stopMargin)
	e.finisher.Stop(end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := e.acceptor.Drain(ctx); err != nil {
		e.log.Warn().Err(err).Msg("entry: requests were still running at the end of the time to stop and were aborted")
	}
	if err := e.closers.Close(); err != nil {
		e.log.Warn().Err(err).Msg("entry: a part did not close cleanly")
	}
}

// state returns the state dump.
func (e *directEntry) state() any {
	state := directState{
		DataCentre:  e.settings.DataCentre,
		Connections: e.pooler.State(),
		Crashes:     e.detector.State(),
		Quarantine:  e.quarantiner.State(),

		Restrictions: e.throttler.State(),
		Retries:      e.retrier.State(),
		Entries:      e.entries.Entries(),
		Pools:        e.discoverer.Pools(),
		Groups:       make(map[string][]rankState),

		BodyMemory:      e.bodies.State(),
		AnswerMemory:    e.answers.State(),
		Streams:         e.streamState(),
		Overload:        e.overloadState(),
		Clients:         e.clients(),
		DroppedLogLines: starter.DroppedLines(),
	}
	for _, group := range e.collector.Groups() {
		for _, s := range e.collector.Statuses(group) {
			state.Groups[string(group)] = append(state.Groups[string(group)], rankState{
				RankState: s.RankState, Address: s.Address, AgeMs: time.Since(s.Received).Milliseconds(),
			})
		}
	}
	if current := e.adopter.Current(); current != nil {
		state.Config = current.Version()
	}
	if age, known := e.configFollower.Age(); known {
		state.ConfigAgeMs = age.Milliseconds()
	}
	state.StoreEra, _ = e.configFollower.Era()
	e.addExclusions(&state)
	e.addHedging(&state)
	if stateDumper, ok := e.router.(carawaybeam.StateDumper); ok {
		state.Router = stateDumper.State()
	}
	if stateDumper, ok := e.limiter.(carawaybeam.StateDumper); ok {
		state.Limiter = stateDumper.State()
	}
	return state
}
