// Command cbagent runs an agent next to a backend server. It is the only client of the
// backend server and records which requests ran there. In an installation where entries
// send requests directly to backend servers, it only reports the state of a rank.
package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/agent"
	"github.com/carawaybeam/carawaybeam/certifier"
	"github.com/carawaybeam/carawaybeam/clock"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/dumper"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/granter"
	"github.com/carawaybeam/carawaybeam/loader"
	"github.com/carawaybeam/carawaybeam/messenger"
	_ "github.com/carawaybeam/carawaybeam/registrar"
	"github.com/carawaybeam/carawaybeam/replicator"
	"github.com/carawaybeam/carawaybeam/starter"
)

const (
	program = "cbagent"

	// connectTimeout is the timeout for connecting to the backend server, which is
	// on the same VM.
	connectTimeout = time.Second
)

// daemon is the running agent of a backend server.
type daemon struct {
	settings   loader.Agent
	log        zerolog.Logger
	executor   *executor.Executor
	agent      *agent.Agent
	links      *messenger.Listener
	configurer *configurer.Configurer
	closers    starter.Closers
	// granter is nil if the backend server does not belong to a group.
	granter *granter.Granter
	// shutDown starts the graceful stop.
	shutDown func()
}

// state is the state dump of an agent.
type state struct {
	Executor executor.State          `json:"executor"`
	Links    messenger.TrafficState  `json:"links"`
	Classes  []configurer.ClassState `json:"classes"`
	// Group is nil if the backend server does not belong to a group.
	Group *granter.State `json:"group,omitempty"`
}

func main() {
	reload := starter.ReloadSignal()
	flags := starter.ParseFlags(program, os.Args[1:])
	settings, err := loader.LoadAgent(flags.Settings)
	if err != nil {
		starter.Fail(program, starter.ExitSettings, err)
	}
	if flags.Check {
		return
	}
	stop, cancel := starter.StopSignal()
	defer cancel()
	if settings.Reporting.Enabled() {
		if err := runReporting(stop, reload, flags.Settings, settings, starter.NewLog(settings.Process)); err != nil {
			starter.Fail(program, starter.ExitStart, err)
		}
		return
	}
	d := &daemon{settings: settings, log: starter.NewLog(settings.Process), shutDown: cancel}
	if err := d.start(); err != nil {
		starter.Fail(program, starter.ExitStart, err)
	}
	d.log.Info().Msg("agent: started")
	<-stop.Done()
	if err := d.stop(); err != nil {
		starter.Fail(program, starter.ExitStop, err)
	}
	d.log.Info().Msg("agent: stopped")
}

// start starts all parts in the order of their dependencies.
func (d *daemon) start() error {
	// The port for links serves as a lock: a second agent of the same backend server
	// cannot listen on it.
	links, err := d.listenLinks()
	if err != nil {
		return err
	}
	newBackend, err := carawaybeam.Backends.Lookup(d.settings.Backend.Protocol)
	if err != nil {
		return err
	}
	backend, err := newBackend(carawaybeam.BackendOptions{URL: d.settings.Backend.URL, ConnectTimeout: connectTimeout})
	if err != nil {
		return err
	}
	incarnation := carawaybeam.NewIncarnation()
	watchdog := clock.NewWatchdog(clock.SinceBoot)
	d.closers.Add(watchdog)
	d.executor = executor.New(executor.Options{
		Backend:     backend,
		BackendID:   d.settings.Backend.ID,
		Incarnation: incarnation,
		Concurrency: d.settings.Backend.Concurrency,
		Suspended:   watchdog.Suspended,
		Log:         d.log,
	})
	d.closers.Add(d.executor)
	d.configurer = configurer.New()
	if err := d.startGroup(incarnation); err != nil {
		return err
	}
	d.agent = agent.New(agent.Options{
		Configurer:  d.configurer,
		BackendID:   d.settings.Backend.ID,
		Incarnation: incarnation,
		Backend:     backend,
		Executor:    d.executor,
		Answerer: replicator.Answerer{
			Stop: d.shutDown,
			Dump: func() ([]byte, error) { return d.dumpOptions().Dump() },
		},
		Group: d.rankHandler(),
		Log:   d.log,
	})
	d.closers.Add(d.agent)
	d.links = messenger.New(links, d.agent)
	d.closers.Add(d.links)
	return d.listenAdmin()
}

// listenLinks listens for links, over TLS if the settings enable it.
func (d *daemon) listenLinks() (net.Listener, error) {
	listener, err := starter.Listen("links", d.settings.Links)
	if err != nil {
		return nil, err
	}
	listener = starter.RetryAccept(listener, d.log)
	if !d.settings.LinkTLS.Enabled() {
		return listener, nil
	}
	c, err := certifier.New(certifier.Files(d.settings.LinkTLS), d.log)
	if err != nil {
		return nil, err
	}
	return certifier.Listen(listener, c.Server(certifier.RoleEntry, certifier.RoleAgent), d.log), nil
}

func (d *daemon) listenAdmin() error {
	admin, err := starter.Listen("operators", d.settings.Admin)
	if err != nil {
		return err
	}
	operators := dumper.New(admin, d.dumpOptions())
	d.closers.Add(operators)
	g := &gauges{executor: d.executor, scope: operators.Scope()}
	d.closers.Add(starter.Repeat(gaugeInterval, g.publish))
	return nil
}

func (d *daemon) dumpOptions() dumper.Options {
	return dumper.Options{
		Process: d.settings.Process,
		Ready:   d.agent.Ready,
		State:   d.state,
		Log:     d.log,
	}
}

// state returns the state dump.
func (d *daemon) state() any {
	return state{
		Executor: d.executor.State(),
		Links:    d.links.Traffic().State(),
		Classes:  d.configurer.ClassStates(),
		Group:    d.groupState(),
	}
}

// stop refuses new requests, waits for running ones for at most starter.DrainTimeout
// and closes all parts.
func (d *daemon) stop() error {
	d.log.Info().Msg("agent: draining")
	ctx, cancel := context.WithTimeout(context.Background(), starter.DrainTimeout)
	defer cancel()
	drained := d.agent.Drain(ctx)
	if err := d.closers.Close(); err != nil {
		d.log.Warn().Err(err).Msg("agent: a part did not close cleanly")
	}
	return drained
}
