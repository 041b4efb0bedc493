// Package soaker implements the soak test. It runs real entry and agent processes
// against emulators of the users' platform, injects faults chosen by a seed, and checks
// the requests that callers sent and backend servers ran against the promises. It is
// used for testing only.
package soaker

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaybeam/carawaybeam/fakes/forwarder"
	"github.com/carawaybeam/carawaybeam/fakes/launcher"
	"github.com/carawaybeam/carawaybeam/platform/emulator"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const (
	// warmUpTime is how long callers run before the fault window and settleTime how
	// long after it. In the finalTime after that every request must be served.
	warmUpTime = 2 * time.Second
	settleTime = 17 * time.Second
	finalTime  = 2 * time.Second

	// readyTimeout limits the time until all entries are ready.
	readyTimeout = 20 * time.Second

	// restartDelay is the time between the end of a process and its restart.
	restartDelay = 500 * time.Millisecond

	pollInterval = 100 * time.Millisecond

	// changedRoute is the index of the route whose pool the fault move changes, and
	// changedOrganisation the organisation whose key the fault withdrawKey changes.
	changedRoute        = 2
	changedOrganisation = "crews"

	// rankedPool is the pool whose backend servers are ranks of a group.
	rankedPool = "drafting"
)

// Time limits of the promises, as the users set them for their deployments.
const (
	stableWindow = 3 * time.Second
	configBound  = 2 * time.Second
	drainBound   = 2 * time.Second
	keyBound     = 5 * time.Second
	stopBound    = 8 * time.Second
	// answerMargin is how much later than the timeout of its route a request may be
	// answered.
	answerMargin = 500 * time.Millisecond

	// A request that has crashed provenCrashes backend servers may be run at most
	// maxLateRuns times later than stableWindow after that.
	// For a part of a prompt the number is provenPartCrashes.
	provenCrashes     = 3
	provenPartCrashes = 5
	maxLateRuns       = 3
)

// startPools holds the pool of the first backend server of each host.
var startPools = []string{"desk", "desk", "desk", rankedPool, rankedPool, rankedPool, "annex", "annex"}

type (
	// Options configures a run.
	Options struct {
		// Programs is the directory with the programs. Directory is where settings
		// and logs are written.
		Programs, Directory string
		// EntryTemplate and AgentTemplate are the templates of the settings files.
		EntryTemplate, AgentTemplate string
		Seed                         uint64
		Entries, Callers             int
		// IdleCallers is the number of callers that keep one connection each and leave
		// it idle, up to the idle limit and beyond it.
		IdleCallers int
		// CrashDowntime is how long a backend server that was crashed by a request stays
		// down, if that is longer than the default.
		CrashDowntime time.Duration
		// FaultWindow is the period in which faults begin.
		FaultWindow time.Duration
	}

	// Result is the result of a run.
	Result struct {
		Requests, Served, Faults int
		// Crashes is the number of runs that crashed a backend server.
		Crashes int
		// Limited is the number of requests that backend servers got while they named a
		// limit.
		Limited int
		// Evacuations is the number of evacuations that the store acknowledged.
		Evacuations int
		// Cold is the number of requests that backend servers got while they were cold.
		Cold int
		// MapChanges is the number of changes of the expert map, added up over all
		// ranks.
		MapChanges int
		// Violations describes the violations of promises that were found, up to a
		// limit.
		Violations []string
	}

	// Soaker holds the processes, emulators and history of one run.
	Soaker struct {
		options  Options
		schedule []fault
		// agentPort is the port on which all agents receive requests.
		agentPort string
		// cold is set if backend servers are cold for some time in the run.
		cold     bool
		platform *emulator.Platform
		journal  emulator.Journal
		entries  []*daemon
		agents   []*daemon
		group    *emulator.Group
		// stop is closed when the run ends.
		stop  chan struct{}
		hosts []*host
		web   http.Server
		// store is the address of the store.
		store    string
		wait     sync.WaitGroup
		lastName atomic.Uint64

		history history

		// evacuating is held, by data centre, while a fault evacuates it.
		evacuating [2]sync.Mutex

		// configuring is held while the configuration is being changed.
		configuring sync.Mutex
		config      emulator.Configuration
	}

	// daemon is an entry or an agent, with its link to the store.
	daemon struct {
		index        int
		name         string
		program      string
		callers      string
		readiness    string
		settingsFile string
		log          *os.File
		link         *forwarder.Forwarder

		// changing is held while the process is being restarted.
		changing sync.Mutex

		mu      sync.Mutex
		process *launcher.Process
		// stopping is set while the process is expected to end.
		stopping bool
		ready    bool
	}

	// host is a fixed address at which backend servers run, one after another. linkAddress
	// is the address of the link that leads to it.
	host struct {
		index       int
		address     string
		link        *forwarder.Forwarder
		linkAddress string

		// changing is held while one server is replaced by the next.
		changing sync.Mutex
		// down is set while the link refuses connections. It is used by the holder
		// of changing.
		down bool

		// rank is the number of the rank, or -1 if the server is not a rank of a group.
		rank int

		mu     sync.Mutex
		id     string
		pool   string
		server *emulator.Server
	}
)

// newName returns a name with the prefix that is unique in the run.
func (s *Soaker) newName(prefix string) string {
	return fmt.Sprintf("%s-%d", prefix, s.lastName.Add(1))
}

// Prepare builds the programs of the module and reads its settings templates. It returns
// options with the directory of the programs and the templates set.
func Prepare(ctx context.Context, module, programs string) (Options, error) {
	options := Options{Programs: programs}
	if err := launcher.Build(ctx, module, programs); err != nil {
		return options, err
	}
	for name, text := range map[string]*string{
		"entry-platform.toml": &options.EntryTemplate, "agent.toml": &options.AgentTemplate,
	} {
		data, err := os.ReadFile(filepath.Join(module, "deploy", name))
		if err != nil {
			return options, err
		}
		*text = string(data)
	}
	return options, nil
}

// Run runs the soak test with one seed and stops everything that it started. The error
// is about the run itself. Violations of promises are in the result.
func Run(ctx context.Context, options Options) (Result, error) {
	return run(ctx, options, newSchedule(rand.New(rand.NewPCG(options.Seed, 0)), options))
}

// run runs the soak test with the faults of a schedule.
func run(ctx context.Context, options Options, schedule []fault) (Result, error) {
	s := &Soaker{
		options:  options,
		schedule: schedule, cold: hasCold(schedule),
		platform: emulator.New(),
		group:    emulator.NewGroup("g"),
		stop:     make(chan struct{}),
	}
	s.wait.Go(func() { s.group.Run(s.stop) })
	err := s.start(ctx)
	if err == nil {
		s.runLoad(ctx)
	}
	result := s.check()
	if len(result.Violations) > 0 {
		err = errors.Join(err, s.writeHistory())
	}
	return result, errors.Join(err, s.close())
}

func (s *Soaker) start(ctx context.Context) error {
	if err := s.serveStore(); err != nil {
		return err
	}
	s.config = emulator.Configuration{
		Version: 1,
		Routes: []emulator.Route{
			{Prefix: "/book/", Kind: "unsafe", Pool: "desk"},
			{Prefix: "/look/", Kind: "safe", Pool: "desk"},
			{Prefix: "/move/", Kind: "safe", Pool: "desk"},
			{Prefix: "/stream/", Kind: "stream", Pool: rankedPool},
		},
		Pools:      []string{"desk", rankedPool, "annex"},
		RankedPool: rankedPool,
		Keys:       map[string]string{"crews": "key-1", "office": "key-0"},

		RouteTimeout: firstRouteTimeout,
		Limits: emulator.ClientLimits{
			HeaderBytes: 1 << 14, BodyBytes: 1 << 22, HeaderTimeout: firstRouteTimeout, IdleTimeout: firstIdleLimit,
		},
	}
	if s.cold {
		s.config.ColdRate, s.config.ColdStart = coldRate, coldTime
	}
	if err := s.configure(ctx, func(*emulator.Configuration) {}); err != nil {
		return err
	}
	for _, pool := range startPools {
		if err := s.addHost(ctx, pool); err != nil {
			return err
		}
	}
	for i := range s.options.Entries {
		if err := s.addEntry(i); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

func (s *Soaker) serveStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.store = listener.Addr().String()
	s.web.Handler = s.platform.Handler()
	s.wait.Go(func() { _ = s.web.Serve(listener) })
	return nil
}

func (s *Soaker) addHost(ctx context.Context, pool string) error {
	h := &host{rank: -1}
	if pool == rankedPool {
		h.rank = len(s.agents)
	}
	var err error
	if h.address, err = launcher.FreeAddress(); err != nil {
		return err
	}
	if h.linkAddress, err = launcher.FreeAddress(); err != nil {
		return err
	}
	listener, err := launcher.Listen(h.linkAddress)
	if err != nil {
		return err
	}
	h.index, h.link = len(s.hosts), forwarder.New(listener, h.address)
	s.hosts = append(s.hosts, h)
	if err := s.startServer(ctx, h, s.newName(pool), pool); err != nil || h.rank < 0 {
		return err
	}
	return s.addAgent(h)
}

// startServer starts a backend server on a host and announces it to the platform.
func (s *Soaker) startServer(ctx context.Context, h *host, id, pool string) error {
	listener, err := launcher.Listen(h.address)
	if err != nil {
		return err
	}
	if err := s.resumeLink(h); err != nil {
		return err
	}
	server := emulator.ServerOptions{
		Platform: s.platform, Journal: &s.journal, ID: id, Pool: pool, AnnouncedAddress: h.linkAddress,
		DataCentre: dataCentres[dataCentreOf(h.index)],
		Crash:      func(server *emulator.Server) { s.wait.Go(func() { s.crashedByRequest(ctx, h, server) }) },
	}
	if h.rank >= 0 {
		server.Group, server.Rank = s.group, h.rank
	}
	started := emulator.NewServer(server, listener)
	h.mu.Lock()
	h.id, h.pool, h.server = id, pool, started
	h.mu.Unlock()
	restarted := s.history.serverStarted(id, h.index)
	if s.cold {
		started.SetCold(s.history.startedCold(id, time.Now(), restarted))
	}
	_, err = started.Announce(ctx, false)
	return err
}

// resumeLink makes the link to a host accept connections again after its backend server
// had ended.
func (s *Soaker) resumeLink(h *host) error {
	if !h.down {
		return nil
	}
	listener, err := launcher.Listen(h.linkAddress)
	if err != nil {
		return err
	}
	h.down = false
	h.link.Resume(listener)
	return nil
}

func (h *host) current() (id, pool string, server *emulator.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.id, h.pool, h.server
}

func (s *Soaker) addEntry(i int) error {
	e := &daemon{index: i, name: fmt.Sprintf("entry-%d", i), program: "cbentry"}
	s.entries = append(s.entries, e)
	for _, address := range []*string{&e.callers, &e.readiness} {
		var err error
		if *address, err = launcher.FreeAddress(); err != nil {
			return err
		}
	}
	return s.addProcess(
		e,
		s.options.EntryTemplate,
		emulator.ProcessSettings{
			Callers: e.callers, Readiness: e.readiness, DataCentre: dataCentres[dataCentreOf(i)],
			NamesCold: s.cold,
		},
	)
}

// addAgent starts the agent of a rank.
func (s *Soaker) addAgent(h *host) error {
	e := &daemon{index: s.options.Entries + h.rank, name: fmt.Sprintf("agent-%d", h.rank), program: "cbagent"}
	s.agents = append(s.agents, e)
	ip, _, err := net.SplitHostPort(h.linkAddress)
	if err != nil {
		return err
	}
	return s.addProcess(e, s.options.AgentTemplate, emulator.ProcessSettings{
		IP: ip, Rank: h.linkAddress, DataCentre: dataCentres[dataCentreOf(h.index)],
	})
}

// addProcess writes the settings file of a process and starts the process.
func (s *Soaker) addProcess(e *daemon, template string, p emulator.ProcessSettings) error {
	var ports [2]string
	for i := range ports {
		address, err := launcher.FreeAddress()
		if err != nil {
			return err
		}
		var ip string
		if ip, ports[i], err = net.SplitHostPort(address); err != nil {
			return err
		}
		p.IP = cmp.Or(p.IP, ip)
	}
	// Entries reach all agents on one port, at the addresses of their ranks.
	s.agentPort = cmp.Or(s.agentPort, ports[0])
	var err error
	if e.link, p.Store, err = forwarder.Listen(s.store); err != nil {
		return err
	}
	p.Name, p.Admin, p.Links, p.MaxKeyAge, p.StopWithin = e.name, s.agentPort, ports[1], keyBound, stopBound
	e.settingsFile = filepath.Join(s.options.Directory, e.name+".toml")
	if err := os.WriteFile(e.settingsFile, []byte(emulator.FillTemplate(template, p)), 0o600); err != nil {
		return err
	}
	if e.log, err = os.Create(filepath.Join(s.options.Directory, e.name+".log")); err != nil {
		return err
	}
	return s.startDaemon(e)
}

// startDaemon starts a process and records a problem if it ends unexpectedly.
func (s *Soaker) startDaemon(e *daemon) error {
	process, err := launcher.Run(e.log, filepath.Join(s.options.Programs, e.program), "-settings", e.settingsFile)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.process, e.stopping = process, false
	e.mu.Unlock()
	s.wait.Go(func() {
		<-process.Ended()
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.process == process && !e.stopping {
			s.history.addProblem(e.name + " ended unexpectedly")
		}
	})
	return nil
}

// running returns the process. If stopping is set, it also marks the process as
// expected to end.
func (d *daemon) running(stopping bool) *launcher.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = d.stopping || stopping
	return d.process
}

func (s *Soaker) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	s.wait.Go(func() { s.watchReadiness() })
	for {
		ready := 0
		for _, e := range s.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(s.entries) {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("only %d of %d entries are ready: %w", ready, len(s.entries), ctx.Err())
		}
	}
}

func (d *daemon) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// watchReadiness polls the readiness of the entries, as the platform does, until the
// run ends.
func (s *Soaker) watchReadiness() {
	client := verifier.NewClient(time.Second)
	defer client.CloseIdleConnections()
	for {
		for _, e := range s.entries {
			response, err := client.Get("http://" + e.readiness + "/ready")
			ready := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			e.mu.Lock()
			e.ready = ready
			e.mu.Unlock()
		}
		select {
		case <-time.After(pollInterval):
		case <-s.stop:
			return
		}
	}
}

// configure changes the configuration and records when it was accepted.
func (s *Soaker) configure(ctx context.Context, change func(*emulator.Configuration)) error {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	change(&s.config)
	s.config.Version++
	sentAt := time.Now()
	at, err := s.platform.Configure(ctx, s.config)
	if err != nil {
		return err
	}
	s.history.configAccepted(acceptedConfig{
		sentAt: sentAt, at: at, pool: s.config.Routes[changedRoute].Pool, key: s.config.Keys[changedOrganisation],
		routeTimeout: s.config.RouteTimeout, idleLimit: s.config.Limits.IdleTimeout,
	})
	return nil
}

// runLoad runs the callers and injects the faults of the schedule.
func (s *Soaker) runLoad(ctx context.Context) {
	began := time.Now()
	faultsEnd := began.Add(warmUpTime + s.options.FaultWindow)
	finalStart := faultsEnd.Add(settleTime)
	s.history.setFinalPhase(finalStart)
	var callers, faults sync.WaitGroup
	for n := range s.options.Callers {
		seed := rand.NewPCG(s.options.Seed, uint64(n+1))
		callers.Go(func() { s.runCaller(ctx, rand.New(seed), n, finalStart.Add(finalTime)) })
	}
	for n := range s.options.IdleCallers {
		seed := rand.NewPCG(s.options.Seed, idleStream+uint64(n))
		callers.Go(func() { s.runIdleCaller(ctx, rand.New(seed), n, finalStart.Add(finalTime)) })
	}
	for _, f := range s.schedule {
		faults.Go(func() {
			time.Sleep(time.Until(began.Add(warmUpTime + f.at)))
			s.injectFault(ctx, f)
		})
	}
	faults.Wait()
	callers.Wait()
}

// close stops everything that was started.
func (s *Soaker) close() error {
	close(s.stop)
	daemons := slices.Concat(s.entries, s.agents)
	errs := make([]error, len(daemons))
	var stopping sync.WaitGroup
	for i, e := range daemons {
		if process := e.running(true); process != nil {
			stopping.Go(func() { errs[i] = process.Stop() })
		}
	}
	stopping.Wait()
	for _, e := range daemons {
		if e.link != nil {
			errs = append(errs, e.link.Close())
		}
		if e.log != nil {
			errs = append(errs, e.log.Close())
		}
	}
	for _, h := range s.hosts {
		errs = append(errs, h.link.Close())
		if _, _, server := h.current(); server != nil {
			_ = server.Close()
		}
	}
	errs = append(errs, s.web.Close())
	s.wait.Wait()
	return errors.Join(errs...)
}
