package main

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/acceptor"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/clock"
	"github.com/carawaybeam/carawaybeam/collector"
	"github.com/carawaybeam/carawaybeam/configurer/adopter"
	"github.com/carawaybeam/carawaybeam/discoverer"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/dumper"
	"github.com/carawaybeam/carawaybeam/enroller"
	"github.com/carawaybeam/carawaybeam/follower"
	"github.com/carawaybeam/carawaybeam/loader"
	"github.com/carawaybeam/carawaybeam/logkeeper"
	"github.com/carawaybeam/carawaybeam/pooler"
	"github.com/carawaybeam/carawaybeam/readier"
	"github.com/carawaybeam/carawaybeam/reloader"
	"github.com/carawaybeam/carawaybeam/retrier/quota"
	"github.com/carawaybeam/carawaybeam/starter"
)

const (
	// stopMargin is how long before it is killed a stopping process ends what
	// still runs.
	stopMargin = 500 * time.Millisecond

	// configPause is the least time between two watches of the configuration. It
	// is short beside the seconds in which a change has to be in force.
	configPause = 50 * time.Millisecond

	// instanceWait is how long a watch of the backend servers waits, and
	// instancePause the least time between two. Both are short beside the seconds
	// in which a leaving one gets no more work.
	instanceWait  = 4 * time.Second
	instancePause = 200 * time.Millisecond

	// rollWait is how long a watch of the enrolled entries waits, and rollPause
	// the least time between two. Entries come and go seldom, and a late word of
	// one does no harm.
	rollWait  = 30 * time.Second
	rollPause = 2 * time.Second

	// maxReportAge is the age up to which a reported load counts.
	maxReportAge = time.Second

	// formTime is how long a group takes to form once all its ranks are there, and
	// rankReturnTime the least time in which a rank that has stopped returns. The
	// users' clients come back after a third of what they have left at most.
	formTime       = 600 * time.Millisecond
	rankReturnTime = 2 * time.Second

	// chronicleBytes bounds the log lines that are kept for operators, those of a
	// few thousand requests.
	chronicleBytes = 1 << 20

	// maxReadyAge is the age of the configuration up to which an entry takes new
	// clients.
	maxReadyAge = 4 * time.Second
)

// directEntry is the running daemon where entries call backend servers
// themselves.
type directEntry struct {
	settings  loader.Entry
	log       zerolog.Logger
	store     carawaybeam.Store
	dialect   carawaybeam.Dialect
	adopter   *adopter.Adopter
	config    *follower.Follower
	curator   *discoverer.Discoverer
	instances *follower.Follower
	pooler    *pooler.Pooler
	router    carawaybeam.Router
	retrier   *quota.Retrier
	acceptor  *acceptor.Acceptor
	roll      *enroller.EntrySet
	collector *collector.Collector
	chronicle *logkeeper.LogKeeper
	// maxKeyAge is that of the settings in force.
	maxKeyAge atomic.Int64
	leaving   atomic.Bool
	closers   starter.Closers
}

// directState is the state dump.
type directState struct {
	DataCentre  carawaybeam.DataCentre    `json:"dataCentre"`
	Config      carawaybeam.ConfigVersion `json:"config"`
	ConfigAgeMs int64                     `json:"configAgeMs"`
	Connections pooler.State              `json:"connections"`
	Retries     any                       `json:"retries"`
	Entries     []enroller.Entry          `json:"entries"`
	// Pools holds the number of backend servers that take work.
	Pools  map[carawaybeam.PoolID]int `json:"pools"`
	Groups map[string][]rankState     `json:"groups"`
	// DroppedLogLines counts log lines that were not written.
	DroppedLogLines uint64 `json:"droppedLogLines"`
	Router          any    `json:"router,omitempty"`
}

// rankState is one rank in the state dump.
type rankState struct {
	carawaybeam.RankState
	Address carawaybeam.Address
	AgeMs   int64
}

// runDirect runs the daemon until the signal to stop.
func runDirect(stop context.Context, file string, settings loader.Entry) {
	e := &directEntry{settings: settings, chronicle: logkeeper.New(chronicleBytes)}
	e.log = starter.NewLog(settings.Process, e.chronicle)
	e.closers.Add(reloader.New(reloader.Options{File: file, Apply: e.reload, Log: e.log}))
	e.apply(settings.Direct)
	if err := e.start(); err != nil {
		starter.Fail(program, starter.ExitStart, err)
	}
	e.log.Info().Str("dialect", settings.Direct.Dialect).Str("callers", string(settings.Callers)).
		Msg("entry: started")
	<-stop.Done()
	e.stop()
	e.log.Info().Msg("entry: stopped")
}

// reload puts the settings in force that can change while the process runs.
func (e *directEntry) reload(file string) error {
	settings, err := loader.LoadEntry(file)
	if err != nil {
		return err
	}
	e.apply(settings.Direct)
	e.retrier.SetBound(boundOf(settings.Direct.Retries))
	return nil
}

func (e *directEntry) apply(settings loader.Direct) {
	starter.LimitMemory(settings.MemoryMB)
	e.maxKeyAge.Store(int64(settings.MaxKeyAge))
}

func boundOf(settings loader.Retries) quota.Bound {
	return quota.Bound{Ratio: settings.Ratio, Window: time.Duration(settings.Window), Reserve: settings.Reserve}
}

// start makes all parts, those first on which others depend.
func (e *directEntry) start() error {
	newDialect, err := carawaybeam.Dialects.Lookup(e.settings.Direct.Dialect)
	if err != nil {
		return err
	}
	e.dialect = newDialect()
	if e.store, err = e.settings.Store.OpenStore(); err != nil {
		return err
	}
	e.follow()
	if err := e.collect(); err != nil {
		return err
	}
	return e.listen()
}

// follow keeps the configuration and the backend servers up to date.
func (e *directEntry) follow() {
	kind, name := e.dialect.RoutingObject()
	e.adopter = adopter.New(adopter.Options{Name: name, Decode: e.dialect.DecodeRouting, Log: e.log})
	e.config = follower.New(follower.Options{
		Store: e.store, Kind: kind, Sink: e.adopter, Clock: clock.SinceBoot, MinInterval: configPause, Log: e.log,
	})
	e.closers.Add(e.config)
	e.curator = discoverer.New(discoverer.Options{
		Decode:      e.dialect.DecodeInstance,
		SinceOutage: e.config.SinceOutage,
		Log:         e.log,
	})
	e.instances = follower.New(follower.Options{
		Store: e.store, Kind: e.dialect.InstanceKind(), Sink: e.curator, Clock: clock.SinceBoot,
		Wait: instanceWait, MinInterval: instancePause, Log: e.log,
	})
	e.closers.Add(e.instances)
}

// collect takes the statuses of ranks, and conducts the groups that they form.
func (e *directEntry) collect() error {
	conn, err := net.ListenPacket("udp", string(e.settings.Links))
	if err != nil {
		return &starter.ListenError{Purpose: "statuses", Address: e.settings.Links, Cause: err}
	}
	e.collector = collector.New(collector.Options{Conn: conn, Log: e.log})
	e.closers.Add(e.collector)
	e.roll = enroller.NewEntrySet(e.log)
	e.closers.Add(follower.New(follower.Options{
		Store: e.store, Kind: carawaybeam.KindEntry, Sink: e.roll, Clock: clock.SinceBoot,
		Wait: rollWait, MinInterval: rollPause, Log: e.log,
	}))
	e.closers.Add(enroller.New(enroller.Options{
		Store: e.store,
		Entry: e.enrolled(),
		Log:   e.log,
	}))
	newEngine, err := carawaybeam.RankEngines.Lookup(e.settings.Direct.Dialect)
	if err != nil {
		return err
	}
	newPlanner, err := carawaybeam.Planners.Lookup(e.settings.Policies.Planner)
	if err != nil {
		return err
	}
	e.closers.Add(newConductors(e, newEngine, newPlanner))
	return nil
}

// enrolled returns the entry as others see it.
func (e *directEntry) enrolled() enroller.Entry {
	return enroller.Entry{
		Name:          e.settings.Process,
		StatusAddress: e.settings.Links,
		AdminAddress:  e.settings.Admin,
		DataCentre:    e.settings.DataCentre,
	}
}

// report returns what an agent reported of the backend server beside it.
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
	}, true
}

// closedFor returns how long the group of a rank is expected to take no requests,
// or 0 while it takes some.
func (e *directEntry) closedFor(status collector.Status) time.Duration {
	if status.Group == "" || status.Open && !status.IsStalled(time.Now()) {
		return 0
	}
	if e.collector.ReportingRanks(status.Group, maxReportAge) == status.Size {
		return formTime
	}
	return rankReturnTime
}

func (e *directEntry) listen() error {
	router, limiter, err := newPolicies(e.settings.Policies)
	if err != nil {
		return err
	}
	e.router = router
	e.retrier = quota.New(quota.Options{Bound: boundOf(e.settings.Direct.Retries), Entries: e.roll.Len})
	e.pooler = pooler.New(pooler.Options{DecodeReply: e.dialect.DecodeReply})
	e.closers.Add(e.pooler)
	admin, err := starter.Listen("operators", e.settings.Admin)
	if err != nil {
		return err
	}
	dumping := dumper.Options{Process: e.settings.Process, Ready: e.ready, State: e.state, Log: e.log}
	viewer := administrator.NewViewer(administrator.ViewerOptions{
		Entry: e.enrolled(), Entries: e.roll.Entries, Dump: dumping.Dump, LogLines: e.chronicle.Lines,
	})
	dumping.Routes = viewer.Route
	operators := dumper.New(admin, dumping)
	e.closers.Add(operators)
	e.closers.Add(starter.Repeat(gaugeInterval, func() { e.setGauges(operators.Scope()) }))
	readiness, err := starter.Listen("the balancer", e.settings.Direct.Readiness)
	if err != nil {
		return err
	}
	e.closers.Add(readier.New(readiness, e.ready, e.log))
	callers, err := starter.Listen("callers", e.settings.Callers)
	if err != nil {
		return err
	}
	e.acceptor = acceptor.New(callers, acceptor.Options{
		Dialect: e.dialect,
		Forwarder: newMeteredForwarder(operators.Scope(), forwarder.New(forwarder.Options{
			DataCentre:    e.settings.DataCentre,
			Configuration: e.adopter,
			ConfigAge:     e.config.Age,
			MaxKeyAge:     func() time.Duration { return time.Duration(e.maxKeyAge.Load()) },
			Members:       e.curator,
			Report:        e.report,
			Sender:        e.pooler,
			Encode:        e.dialect.EncodeForwarding,
			Router:        e.router,
			Limiter:       limiter,
			Retrier:       e.retrier,
			Log:           e.log,
		})),
		BodyBytes:    e.settings.Limits.BodyBytes,
		HeaderBytes:  e.settings.Limits.HeaderBytes,
		ReadTimeout:  time.Duration(e.settings.Limits.ReadTimeout),
		WriteTimeout: time.Duration(e.settings.Limits.WriteTimeout),
		Log:          e.log,
	})
	e.closers.Add(e.acceptor)
	return nil
}

// ready tells whether the entry takes new clients.
func (e *directEntry) ready() bool {
	age, known := e.config.Age()
	return !e.leaving.Load() && known && age <= maxReadyAge && e.adopter.Current() != nil && e.curator.Loaded()
}

// stop takes no new clients, finishes what runs and closes all parts.
func (e *directEntry) stop() {
	e.log.Info().Msg("entry: draining")
	e.leaving.Store(true)
	ctx, cancel := context.WithTimeout(
		context.Background(), time.Duration(e.settings.Direct.StopWithin)-stopMargin,
	)
	defer cancel()
	if err := e.acceptor.Drain(ctx); err != nil {
		e.log.Warn().Err(err).Msg("entry: requests were cut off at the end of the stop")
	}
	if err := e.closers.Close(); err != nil {
		e.log.Warn().Err(err).Msg("entry: a part did not close cleanly")
	}
}

func (e *directEntry) state() any {
	state := directState{
		DataCentre:  e.settings.DataCentre,
		Connections: e.pooler.State(),
		Retries:     e.retrier.State(),
		Entries:     e.roll.Entries(),
		Pools:       e.curator.Pools(),
		Groups:      make(map[string][]rankState),

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
	if age, known := e.config.Age(); known {
		state.ConfigAgeMs = age.Milliseconds()
	}
	if dumping, ok := e.router.(carawaybeam.StateDumper); ok {
		state.Router = dumping.State()
	}
	return state
}
