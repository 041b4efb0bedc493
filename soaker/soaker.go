// Package soaker runs real entries against stand-ins of the users' platform,
// disturbs them by a seed, and holds what callers and backend servers have seen
// against the promises. It serves tests only.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaybeam/carawaybeam/fakes/forwarder"
	"github.com/carawaybeam/carawaybeam/fakes/launcher"
	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

const (
	// warmTime is how long callers run before the first fault, settleTime how
	// long after the last one, and finalTime the time at the end in which every
	// request has to be served.
	warmTime   = 2 * time.Second
	settleTime = 14 * time.Second
	finalTime  = 2 * time.Second

	// readyPatience bounds the start of a fleet.
	readyPatience = 20 * time.Second

	// processPatience is how long an ended process stays down.
	processPatience = 500 * time.Millisecond

	pollInterval = 100 * time.Millisecond

	// movedRoute is the route, and movedKey the organisation whose key, that faults
	// change.
	movedRoute = 2
	movedKey   = "crews"

	// rankedPool is the pool whose backend servers are ranks of a group.
	rankedPool = "drafting"
)

// Bounds of the promises, as the users state them for their deployments.
const (
	stableWindow = 3 * time.Second
	configBound  = 2 * time.Second
	drainBound   = 2 * time.Second
	keyBound     = 5 * time.Second
	stopBound    = 8 * time.Second
	answerBound  = emulator.RouteTimeout + 500*time.Millisecond
)

// startPools names the pool of the first backend server on each host.
var startPools = []string{"desk", "desk", "desk", rankedPool, rankedPool, rankedPool, "annex", "annex"}

type (
	// Options tells what to run.
	Options struct {
		// Programs is the directory of the programs, and Directory takes settings
		// and logs.
		Programs, Directory string
		// EntryTemplate and AgentTemplate are the texts of the settings.
		EntryTemplate, AgentTemplate string
		Seed                         uint64
		Entries, Callers             int
		// FaultWindow is how long faults come.
		FaultWindow time.Duration
	}

	// Result is what a run has shown.
	Result struct {
		Requests, Served, Faults int
		// MapChanges counts the changes of the expert map by all ranks.
		MapChanges int
		// Violations tells each broken promise.
		Violations []string
	}

	// Soaker is one run.
	Soaker struct {
		options  Options
		platform *emulator.Platform
		journal  emulator.Journal
		entries  []*daemon
		agents   []*daemon
		group    *emulator.Group
		// stop is closed as the run ends.
		stop  chan struct{}
		hosts []*host
		web   http.Server
		// store is the address of the store.
		store string
		wait  sync.WaitGroup
		names atomic.Uint64

		evidence evidence

		mu     sync.Mutex
		config emulator.Configuration
	}

	// daemon is an entry or an agent, with its link to the store.
	daemon struct {
		index     int
		name      string
		program   string
		callers   string
		readiness string
		file      string
		log       *os.File
		link      *forwarder.Forwarder

		// changing is held while one process ends and the next begins.
		changing sync.Mutex

		mu      sync.Mutex
		process *launcher.Process
		// stopping is set while the process is expected to end.
		stopping bool
		ready    bool
	}

	// host is a machine on which backend servers live one after another.
	host struct {
		address string
		link    *forwarder.Forwarder
		reached string

		// changing is held while one life ends and the next begins.
		changing sync.Mutex

		// rank is the number of the rank, or -1.
		rank int

		mu   sync.Mutex
		id   string
		pool string
		life *emulator.Server
	}
)

// next returns a name that nobody had before.
func (s *Soaker) next(prefix string) string { return fmt.Sprintf("%s-%d", prefix, s.names.Add(1)) }

// Prepare builds the programs of a module and returns the options that follow from it.
func Prepare(ctx context.Context, module, programs string) (Options, error) {
	options := Options{Programs: programs}
	if err := launcher.Build(ctx, module, programs); err != nil {
		return options, err
	}
	for name, text := range map[string]*string{
		"entry.toml": &options.EntryTemplate, "agent.toml": &options.AgentTemplate,
	} {
		data, err := os.ReadFile(filepath.Join(module, "deploy", name))
		if err != nil {
			return options, err
		}
		*text = string(data)
	}
	return options, nil
}

// Run plays one seed and ends all that it started.
func Run(ctx context.Context, options Options) (Result, error) {
	s := &Soaker{options: options, platform: emulator.New(), group: emulator.NewGroup("g"), stop: make(chan struct{})}
	s.wait.Go(func() { s.group.Run(s.stop) })
	err := s.start(ctx)
	if err == nil {
		s.play(ctx)
	}
	return s.judge(), errors.Join(err, s.close())
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
	if h.link, h.reached, err = forwarder.Listen(h.address); err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	if err := s.revive(ctx, h, s.next(pool), pool); err != nil || h.rank < 0 {
		return err
	}
	return s.addAgent(h)
}

// revive starts a life of a backend server on a host, and announces it.
func (s *Soaker) revive(ctx context.Context, h *host, id, pool string) error {
	listener, err := launcher.Listen(h.address)
	if err != nil {
		return err
	}
	server := emulator.ServerOptions{
		Platform: s.platform, Journal: &s.journal, ID: id, Pool: pool, AnnouncedAddress: h.reached,
	}
	if h.rank >= 0 {
		server.Group, server.Rank = s.group, h.rank
	}
	life := emulator.NewServer(server, listener)
	h.mu.Lock()
	h.id, h.pool, h.life = id, pool, life
	h.mu.Unlock()
	_, err = life.Announce(ctx, false)
	return err
}

func (h *host) current() (id, pool string, life *emulator.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.id, h.pool, h.life
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
		emulator.ProcessSettings{Callers: e.callers, Readiness: e.readiness},
	)
}

// addAgent starts the agent beside a rank.
func (s *Soaker) addAgent(h *host) error {
	e := &daemon{index: s.options.Entries + h.rank, name: fmt.Sprintf("agent-%d", h.rank), program: "cbagent"}
	s.agents = append(s.agents, e)
	return s.addProcess(e, s.options.AgentTemplate, emulator.ProcessSettings{Rank: h.reached})
}

// addProcess fills in the settings of a process and starts it.
func (s *Soaker) addProcess(e *daemon, template string, p emulator.ProcessSettings) error {
	var ports [2]string
	for i := range ports {
		address, err := launcher.FreeAddress()
		if err != nil {
			return err
		}
		if p.IP, ports[i], err = net.SplitHostPort(address); err != nil {
			return err
		}
	}
	var err error
	if e.link, p.Store, err = forwarder.Listen(s.store); err != nil {
		return err
	}
	p.Name, p.Admin, p.Links, p.MaxKeyAge, p.StopWithin = e.name, ports[0], ports[1], keyBound, stopBound
	e.file = filepath.Join(s.options.Directory, e.name+".toml")
	if err := os.WriteFile(e.file, []byte(emulator.FillTemplate(template, p)), 0o600); err != nil {
		return err
	}
	if e.log, err = os.Create(filepath.Join(s.options.Directory, e.name+".log")); err != nil {
		return err
	}
	return s.startDaemon(e)
}

// startDaemon starts a process and notes when it ends by itself.
func (s *Soaker) startDaemon(e *daemon) error {
	process, err := launcher.Run(e.log, filepath.Join(s.options.Programs, e.program), "-settings", e.file)
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
			s.evidence.note(e.name + " ended by itself")
		}
	})
	return nil
}

// running returns the process, and expects it to end if asked to.
func (d *daemon) running(ends bool) *launcher.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = d.stopping || ends
	return d.process
}

func (s *Soaker) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyPatience)
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
			return fmt.Errorf("%d of %d entries are ready: %w", ready, len(s.entries), ctx.Err())
		}
	}
}

func (d *daemon) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// watchReadiness asks the entries whether they take new callers, as the platform
// does, until the run ends.
func (s *Soaker) watchReadiness() {
	client := http.Client{Timeout: time.Second}
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

// configure changes the configuration and notes when it was accepted.
func (s *Soaker) configure(ctx context.Context, change func(*emulator.Configuration)) error {
	s.mu.Lock()
	change(&s.config)
	s.config.Version++
	config := s.config
	s.mu.Unlock()
	at, err := s.platform.Configure(ctx, config)
	if err != nil {
		return err
	}
	s.evidence.accepted(version{at: at, pool: config.Routes[movedRoute].Pool, key: config.Keys[movedKey]})
	return nil
}

// play lets callers run while the faults of the seed come.
func (s *Soaker) play(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 0))
	began := time.Now()
	faultsEnd := began.Add(warmTime + s.options.FaultWindow)
	finalBegins := faultsEnd.Add(settleTime)
	s.evidence.setFinal(finalBegins)
	var callers, faults sync.WaitGroup
	for n := range s.options.Callers {
		seed := rand.NewPCG(s.options.Seed, uint64(n+1))
		callers.Go(func() { s.call(ctx, rand.New(seed), n, finalBegins.Add(finalTime)) })
	}
	for _, f := range newScript(random, s.options) {
		faults.Go(func() {
			time.Sleep(time.Until(began.Add(warmTime + f.at)))
			s.disturb(ctx, f)
		})
	}
	faults.Wait()
	callers.Wait()
}

// close ends all that was started.
func (s *Soaker) close() error {
	close(s.stop)
	var errs []error
	for _, e := range append(s.entries, s.agents...) {
		if process := e.running(true); process != nil {
			errs = append(errs, process.Stop())
		}
		if e.link != nil {
			errs = append(errs, e.link.Close())
		}
		if e.log != nil {
			errs = append(errs, e.log.Close())
		}
	}
	for _, h := range s.hosts {
		errs = append(errs, h.link.Close())
		if _, _, life := h.current(); life != nil {
			_ = life.Close()
		}
	}
	errs = append(errs, s.web.Close())
	s.wait.Wait()
	return errors.Join(errs...)
}
