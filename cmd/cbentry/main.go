// Command cbentry runs an entry: it accepts requests of callers, chooses a backend
// server for each and returns the answers.
package main

import (
	"context"
	"errors"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/assessor"
	"github.com/carawaybeam/carawaybeam/binder"
	"github.com/carawaybeam/carawaybeam/certifier"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/dumper"
	"github.com/carawaybeam/carawaybeam/evacuator"
	"github.com/carawaybeam/carawaybeam/finisher"
	"github.com/carawaybeam/carawaybeam/keeper"
	"github.com/carawaybeam/carawaybeam/loader"
	"github.com/carawaybeam/carawaybeam/locator"
	"github.com/carawaybeam/carawaybeam/messenger"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/recorder"
	_ "github.com/carawaybeam/carawaybeam/registrar"
	"github.com/carawaybeam/carawaybeam/replicator"
	"github.com/carawaybeam/carawaybeam/reserver"
	"github.com/carawaybeam/carawaybeam/server"
	"github.com/carawaybeam/carawaybeam/starter"
	"github.com/carawaybeam/carawaybeam/tracker"
)

const (
	program = "cbentry"

	// maxDumpedMembers is the maximum number of members in the state dump.
	maxDumpedMembers = 1000
)

// entry is the running daemon in an installation with agents.
type entry struct {
	settings    loader.Entry
	log         zerolog.Logger
	store       carawaybeam.Store
	lister      carawaybeam.Lister
	configurer  *configurer.Configurer
	recorder    *recorder.Recorder
	tracker     *tracker.Tracker
	replicator  *replicator.Replicator
	dispatcher  *dispatcher.Dispatcher
	quarantiner *quarantiner.Quarantiner
	assessor    *assessor.Assessor
	finisher    *finisher.Finisher
	locator     *locator.Locator
	server      *server.Server
	// evacuator is nil if evacuations are not followed.
	evacuator *evacuator.Evacuator
	// bodies and answers bound the memory for bodies of requests and for held answers.
	bodies, answers *reserver.Reserver
	// serving is server once it has been created.
	serving  atomic.Pointer[server.Server]
	traffic  messenger.Traffic
	listener *messenger.Listener
	security *certifier.Certifier
	leaving  atomic.Bool
	closers  starter.Closers
	// shutDown starts the graceful stop.
	shutDown func()
}

// state is the state dump of an entry.
type state struct {
	DataCentre    carawaybeam.DataCentre    `json:"dataCentre"`
	ConfigVersion carawaybeam.ConfigVersion `json:"configVersion"`
	Links         messenger.TrafficState    `json:"links"`
	Policies      dispatcher.PolicyState    `json:"policies"`
	Dispatcher    dispatcher.State          `json:"dispatcher"`
	administrator.EntryTargets
	// Complete is the store version up to which the entry has all changes.
	Complete carawaybeam.ConfigVersion `json:"complete"`
	StoreEra carawaybeam.StoreEra      `json:"storeEra,omitempty"`
	// Evacuations is nil if evacuations are not followed.
	Evacuations *evacuator.State `json:"evacuations,omitempty"`
	// Invalid describes objects of the configuration that cannot be decoded.
	Invalid []string                `json:"invalid,omitempty"`
	Classes []configurer.ClassState `json:"classes"`
	Peers   []replicator.PeerState  `json:"peers"`
	// BodyMemory and AnswerMemory are what bodies of requests and held answers take, and Clients the
	// connections of clients.
	BodyMemory   reserver.State `json:"bodyMemory"`
	AnswerMemory reserver.State `json:"answerMemory"`
	Clients      keeper.State   `json:"clients"`
	// Homes is nil unless the configuration has home regions.
	Homes *locator.State `json:"homes,omitempty"`

	Members []memberState `json:"members"`
	// OmittedMembers is the number of members beyond maxDumpedMembers.
	OmittedMembers int `json:"omittedMembers"`
}

// memberState is one backend server in the state dump.
type memberState struct {
	VM          carawaybeam.VMID        `json:"vm"`
	Backend     carawaybeam.BackendID   `json:"backend"`
	Pool        carawaybeam.PoolID      `json:"pool"`
	DataCentre  carawaybeam.DataCentre  `json:"dataCentre"`
	Incarnation carawaybeam.Incarnation `json:"incarnation"`
	Linked      bool                    `json:"linked"`
	Leaving     bool                    `json:"leaving"`
	Running     int                     `json:"running"`
	Waiting     int                     `json:"waiting"`
	ReportAgeMs int64                   `json:"reportAgeMs"`
}

func main() {
	reload := starter.ReloadSignal()
	flags := starter.ParseFlags(program, os.Args[1:])
	settings, err := loader.LoadEntry(flags.Settings)
	if err != nil {
		starter.Fail(program, starter.ExitSettings, err)
	}
	if flags.Check {
		return
	}
	stop, cancel := starter.StopSignal()
	defer cancel()
	if settings.Direct.Enabled() {
		runDirect(stop, reload, flags.Settings, settings)
		return
	}
	e := &entry{
		settings: settings, log: starter.NewLog(settings.Process), shutDown: cancel,
		bodies:  reserver.New(memoryShare(settings.Limits.MemoryMB, linkedBodyShare), maxBodyWait),
		answers: reserver.New(memoryShare(settings.Limits.MemoryMB, linkedAnswerShare), maxBodyWait),
	}
	if err := e.start(); err != nil {
		starter.Fail(program, starter.ExitStart, err)
	}
	e.log.Info().Msg("entry: started")
	<-stop.Done()
	if err := e.stop(); err != nil {
		starter.Fail(program, starter.ExitStop, err)
	}
	e.log.Info().Msg("entry: stopped")
}

// start starts all parts in the order of their dependencies.
func (e *entry) start() error {
	err := e.connect()
	if err != nil {
		return err
	}
	e.configurer = configurer.New()
	e.recorder = recorder.New(recorder.Options{Process: e.settings.Process})
	incarnation := carawaybeam.NewIncarnation()
	if e.security, err = e.linkSecurity(); err != nil {
		return err
	}
	e.quarantiner = quarantiner.New(quarantiner.Complete)
	e.assessor = assessor.New()
	e.finisher = finisher.New()
	if err := e.followEvacuations(); err != nil {
		return err
	}
	e.locator = locator.New(locator.Options{Regions: e.settings.Regions, Log: e.log})
	e.tracker = tracker.New(e.trackEvacuations(tracker.Options{
		Process:     e.settings.Process,
		Incarnation: incarnation,
		DataCentre:  e.settings.DataCentre,
		Lister:      e.lister,
		Dialer:      e.dialer(certifier.RoleAgent),
		Config:      e.configurer,
		Quarantiner: e.quarantiner,
		Log:         e.log,
	}))
	e.closers.Add(e.tracker)
	e.reviewEvacuations()
	if err := e.startReplication(incarnation); err != nil {
		return err
	}
	if err := e.controlGroups(incarnation); err != nil {
		return err
	}
	if err := e.makeDispatcher(); err != nil {
		return err
	}
	return e.listen()
}

// connect creates the clients of the platform's store and list of VMs.
func (e *entry) connect() error {
	var err error
	if e.store, err = e.settings.Store.OpenStore(e.log); err != nil {
		return err
	}
	newLister, err := carawaybeam.Listers.Lookup(e.settings.VMList.Protocol)
	if err != nil {
		return err
	}
	e.lister, err = newLister(carawaybeam.ListerOptions{
		URL:     e.settings.VMList.URL,
		Timeout: time.Duration(e.settings.VMList.Timeout),
	})
	return err
}

// newPolicies returns the router and the limiter that the settings name.
func newPolicies(policies loader.Policies) (carawaybeam.Router, carawaybeam.Limiter, error) {
	newRouter, err := carawaybeam.Routers.Lookup(policies.Router)
	if err != nil {
		return nil, nil, err
	}
	newLimiter, err := carawaybeam.Limiters.Lookup(policies.Limiter)
	if err != nil {
		return nil, nil, err
	}
	return newRouter(), newLimiter(), nil
}

func (e *entry) makeDispatcher() error {
	router, limiter, err := newPolicies(e.settings.Policies)
	if err != nil {
		return err
	}
	newRetrier, err := carawaybeam.Retriers.Lookup(e.settings.Policies.Retrier)
	if err != nil {
		return err
	}
	keyBinder := binder.New(e.store)
	e.closers.Add(keyBinder)
	e.dispatcher = dispatcher.New(e.withEvacuations(dispatcher.Options{
		DataCentre:     e.settings.DataCentre,
		Members:        e.tracker,
		Binder:         keyBinder,
		ConfigObserver: e.configurer,
		Configuration:  e.configurer,
		Router:         e.recorder.Router(router),
		Limiter:        e.recorder.Limiter(limiter),
		Retrier:        e.recorder.Retrier(newRetrier()),
		Quarantiner:    e.quarantiner,
		Assessor:       e.assessor,
		Recorder:       e.recorder,
		Finisher:       e.finisher,
		Region:         e.locator.Region,
		HomeRefused:    e.locator.CountRefused,
		Log:            e.log,
	}))
	e.closers.Add(e.dispatcher)
	e.closers.Add(starter.Repeat(homesInterval, e.reviewHomes))
	return nil
}

func (e *entry) listen() error {
	admin, err := starter.Listen("operators", e.settings.Admin)
	if err != nil {
		return err
	}
	operators := dumper.New(admin, e.dumpOptions())
	e.closers.Add(operators)
	g := &gauges{entry: e, scope: operators.Scope()}
	e.closers.Add(starter.Repeat(gaugeInterval, g.set))
	callers, err := starter.Listen("callers", e.settings.Callers)
	if err != nil {
		return err
	}
	callerTLS, err := e.callerTLS()
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	bound := e.limitMemory()
	e.server = server.New(callers, server.Options{
		Configuration: e.configurer,
		Dispatcher:    meteredDispatcher{Dispatcher: e.dispatcher, scope: operators.Scope()},
		BodyBytes:     e.settings.Limits.BodyBytes,
		HeaderBytes:   e.settings.Limits.HeaderBytes,
		ReadTimeout:   time.Duration(e.settings.Limits.ReadTimeout),
		WriteTimeout:  time.Duration(e.settings.Limits.WriteTimeout),
		Bodies:        e.bodies,
		Answers:       e.answers,
		Connections:   bound,
		Ready:         e.ready,
		TLS:           callerTLS,
		Scope:         operators.Scope(),
		Log:           e.log,
	})
	e.serving.Store(e.server)
	e.closers.Add(e.server)
	return nil
}

// stop refuses new requests, waits for running ones for at most starter.DrainTimeout
// and closes all parts.
func (e *entry) stop() error {
	e.log.Info().Msg("entry: draining")
	e.leaving.Store(true)
	end := time.Now().Add(starter.DrainTimeout)
	e.finisher.Stop(end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	drained := e.server.Drain(ctx)
	if err := e.closers.Close(); err != nil {
		e.log.Warn().Err(err).Msg("entry: a part did not close cleanly")
	}
	return drained
}

func (e *entry) ready() bool {
	return e.configurer.Ready() && e.tracker.Ready() && (e.evacuator == nil || e.evacuator.Loaded())
}

func (e *entry) dumpOptions() dumper.Options {
	return dumper.Options{
		Process: e.settings.Process,
		Ready:   e.ready,
		State:   e.state,
		Routes:  e.routes,
		Log:     e.log,
	}
}

// state returns the state dump. Its members are sorted by VM, and are at most
// maxDumpedMembers.
func (e *entry) state() any {
	s := state{
		DataCentre:    e.settings.DataCentre,
		ConfigVersion: e.configurer.Version(),
		Links:         e.traffic.State().Plus(e.listener.Traffic().State()),
		Policies:      e.dispatcher.PolicyState(),
		Complete:      e.configurer.Complete(),
		StoreEra:      carawaybeam.StoreVersion(e.configurer.Complete()).Era(),
		Classes:       e.configurer.ClassStates(),
		Peers:         e.replicator.Peers(),
		Dispatcher:    e.dispatcher.State(),
		EntryTargets:  e.targets(),
		BodyMemory:    e.bodies.State(),
		AnswerMemory:  e.answers.State(),
		Clients:       e.clients(),
		Evacuations:   e.evacuationState(),
	}
	for _, invalid := range e.configurer.Invalid() {
		s.Invalid = append(s.Invalid, invalid.Error())
	}
	if homes, ok := e.homes(); ok {
		s.Homes = &homes
	}
	members := e.tracker.All()
	slices.SortFunc(members, func(a, b tracker.Member) int {
		return strings.Compare(string(a.VM.ID), string(b.VM.ID))
	})
	s.OmittedMembers = max(0, len(members)-maxDumpedMembers)
	for _, m := range members[:len(members)-s.OmittedMembers] {
		s.Members = append(s.Members, memberState{
			VM:          m.VM.ID,
			Backend:     m.Backend,
			Pool:        m.VM.Pool,
			DataCentre:  m.VM.DataCentre,
			Incarnation: m.Incarnation,
			Linked:      m.Linked,
			Leaving:     m.Leaving,
			Running:     m.Load.Running,
			Waiting:     m.Load.Waiting,
			ReportAgeMs: time.Since(m.ReportedAt).Milliseconds(),
		})
	}
	return s
}
