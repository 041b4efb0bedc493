package applier_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/agent"
	"github.com/carawaybeam/carawaybeam/applier"
	"github.com/carawaybeam/carawaybeam/binder"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/replicator"
	"github.com/carawaybeam/carawaybeam/retrier/proof"
	"github.com/carawaybeam/carawaybeam/router/leastinflight"
	"github.com/carawaybeam/carawaybeam/tracker"
	"github.com/carawaybeam/carawaybeam/watcher"
)

const (
	// linkDelay is the one-way latency of a frame.
	linkDelay = 5 * time.Millisecond

	// storeDelay is the duration of a call to the store.
	storeDelay = 2 * time.Millisecond
)

var errCut = errors.New("cut off")

type (
	// entryNode is one incarnation of an entry, with all components that handle
	// the configuration.
	entryNode struct {
		vm         carawaybeam.VM
		ctx        context.Context
		kill       context.CancelFunc
		store      *cutStore
		dialer     *cutDialer
		configurer *configurer.Configurer
		tracker    *tracker.Tracker
		replicator *replicator.Replicator
		watcher    *watcher.Watcher
		applier    *applier.Applier
		dispatcher *dispatcher.Dispatcher
	}

	agentNode struct {
		vm       carawaybeam.VM
		agent    *agent.Agent
		executor *executor.Executor
	}

	// fleet is a set of entries and agents in one synctest bubble.
	fleet struct {
		network *linker.Network
		store   *storer.Storer
		silence atomic.Pointer[silence]
		vms     []carawaybeam.VM
		// entries holds nil for an entry that is down.
		entries []atomic.Pointer[entryNode]
		agents  []*agentNode
	}

	// silence drops all frames on the links to an address, or on all links if
	// the address is empty, until the given time.
	silence struct {
		address carawaybeam.Address
		until   time.Time
	}

	// cutStore is one entry's access to the store, which can be cut off.
	cutStore struct {
		carawaybeam.Store
		cut atomic.Bool
	}

	// cutDialer is one entry's access to the network, whose links to other
	// entries can be cut off.
	cutDialer struct {
		network *linker.Network
		entries map[carawaybeam.Address]bool
		mu      sync.Mutex
		cut     bool
		links   []carawaybeam.Link
	}
)

// err sleeps for the duration of a call and returns an error if the store is cut
// off.
func (s *cutStore) err() error {
	time.Sleep(storeDelay)
	if !s.cut.Load() {
		return nil
	}
	return &carawaybeam.StoreError{Failure: carawaybeam.StoreUnavailable, Detail: errCut.Error()}
}

func (s *cutStore) Get(ctx context.Context, k carawaybeam.StoreKind, name string) (carawaybeam.Object, error) {
	if err := s.err(); err != nil {
		return carawaybeam.Object{}, err
	}
	return s.Store.Get(ctx, k, name)
}

func (s *cutStore) List(
	ctx context.Context,
	k carawaybeam.StoreKind,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	if err := s.err(); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, k)
}

func (s *cutStore) Put(
	ctx context.Context,
	o carawaybeam.Object,
	expect carawaybeam.StoreVersion,
) (carawaybeam.StoreVersion, error) {
	if err := s.err(); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, o, expect)
}

func (s *cutStore) Watch(
	ctx context.Context,
	kinds []carawaybeam.StoreKind,
	since carawaybeam.StoreVersion,
	wait time.Duration,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	if err := s.err(); err != nil {
		return nil, 0, err
	}
	objects, version, err := s.Store.Watch(ctx, kinds, since, wait)
	if cutErr := s.err(); cutErr != nil {
		return nil, 0, cutErr
	}
	return objects, version, err
}

func (d *cutDialer) Dial(ctx context.Context, address carawaybeam.Address) (carawaybeam.Link, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut && d.entries[address] {
		return nil, errCut
	}
	link, err := d.network.Dial(ctx, address)
	if err == nil && d.entries[address] {
		d.links = append(d.links, link)
	}
	return link, err
}

func (d *cutDialer) setCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = cut
	for _, link := range d.links {
		_ = link.Close()
	}
	d.links = nil
}

// newFleet starts the agents, and the entries in three data centres. It returns
// after the time in which they connect.
func newFleet(entries, agents int) *fleet {
	f := &fleet{
		network: &linker.Network{},
		store:   storer.New(),
		entries: make([]atomic.Pointer[entryNode], entries),
	}
	for i := range entries {
		f.vms = append(f.vms, carawaybeam.VM{
			ID: carawaybeam.VMID(fmt.Sprintf("entry-%d", i)), State: carawaybeam.VMLive,
			DataCentre: carawaybeam.DataCentre(fmt.Sprintf("dc-%d", i%3)), Role: carawaybeam.RoleEntry,
			Address: carawaybeam.Address(fmt.Sprintf("10.0.1.%d:7000", i)),
		})
	}
	for i := range agents {
		vm := carawaybeam.VM{
			ID: carawaybeam.VMID(fmt.Sprintf("agent-%d", i)), State: carawaybeam.VMLive, Role: carawaybeam.RoleAgent,
			Address: carawaybeam.Address(fmt.Sprintf("10.0.2.%d:7000", i)), Pool: assembler.Pool,
		}
		f.vms = append(f.vms, vm)
		f.agents = append(f.agents, f.newAgent(vm))
	}
	f.network.SetInjector(f.deliver)
	f.store.SetVMs(f.vms)
	for i := range f.entries {
		f.startEntry(i)
	}
	time.Sleep(2 * time.Second)
	return f
}

// running returns the entries that are not down.
func (f *fleet) running() []*entryNode {
	var running []*entryNode
	for i := range f.entries {
		if n := f.entries[i].Load(); n != nil {
			running = append(running, n)
		}
	}
	return running
}

// deliver delays frames by the latency between the two most distant data centres,
// and drops those on a silent link.
func (f *fleet) deliver(address carawaybeam.Address, _ linker.Direction, _ *framer.Frame) linker.Decision {
	s := f.silence.Load()
	silent := s != nil && (s.address == "" || s.address == address) && time.Now().Before(s.until)
	return linker.Decision{Drop: silent, Latency: linkDelay}
}

func (f *fleet) newAgent(vm carawaybeam.VM) *agentNode {
	backend := assembler.NewBackend(10*time.Millisecond, time.Second)
	incarnation := carawaybeam.NewIncarnation()
	id := carawaybeam.BackendID(vm.ID)
	e := executor.New(executor.Options{
		Backend: backend, BackendID: id, Incarnation: incarnation, Concurrency: 100, Log: zerolog.Nop(),
	})
	a := agent.New(agent.Options{
		BackendID: id, Incarnation: incarnation, Backend: backend, Executor: e, Log: zerolog.Nop(),
	})
	f.network.Listen(vm.Address, a)
	return &agentNode{vm: vm, agent: a, executor: e}
}

// startEntry starts a new incarnation of an entry, without any configuration.
func (f *fleet) startEntry(i int) {
	n := &entryNode{vm: f.vms[i]}
	addresses := make(map[carawaybeam.Address]bool)
	for _, vm := range f.vms[:len(f.entries)] {
		addresses[vm.Address] = true
	}
	n.ctx, n.kill = context.WithCancel(context.Background())
	n.store = &cutStore{Store: f.store}
	n.dialer = &cutDialer{network: f.network, entries: addresses}
	n.configurer = configurer.New()
	incarnation := carawaybeam.NewIncarnation()
	n.tracker = tracker.New(tracker.Options{
		Process: string(n.vm.ID), Incarnation: incarnation, DataCentre: n.vm.DataCentre,
		Lister: f.store.VMList(), Dialer: n.dialer, Config: n.configurer, Log: zerolog.Nop(),
	})
	n.replicator = replicator.New(replicator.Options{
		Process: string(n.vm.ID), Incarnation: incarnation, DataCentre: n.vm.DataCentre, Address: n.vm.Address,
		Configurer: n.configurer, Dialer: n.dialer, Entries: n.tracker.Entries, List: n.tracker, Log: zerolog.Nop(),
	})
	n.watcher = watcher.New(watcher.Options{
		Store: n.store, Configurer: n.configurer, IsWatcher: n.replicator.IsWatcher, Log: zerolog.Nop(),
	})
	n.applier = applier.New(applier.Options{
		Store: n.store, Configurer: n.configurer, Replicator: n.replicator, Log: zerolog.Nop(),
	})
	n.dispatcher = dispatcher.New(dispatcher.Options{
		Members: n.tracker, Binder: binder.New(n.store), ConfigObserver: n.configurer, Configuration: n.configurer,
		Router: leastinflight.Router{}, Limiter: unlimited.Limiter{}, Retrier: proof.Retrier{}, Log: zerolog.Nop(),
	})
	f.network.Listen(n.vm.Address, n.replicator)
	f.entries[i].Store(n)
}

// stopEntry ends an entry abruptly, as if it was killed.
func (f *fleet) stopEntry(i int) error {
	n := f.entries[i].Swap(nil)
	if n == nil {
		return nil
	}
	n.kill()
	f.network.Unlisten(n.vm.Address)
	return errors.Join(n.watcher.Close(), n.replicator.Close(), n.dispatcher.Close(), n.tracker.Close())
}

// cutPeers cuts an entry off from all other entries, or reconnects it.
func (f *fleet) cutPeers(i int, cut bool) {
	n := f.entries[i].Load()
	if n == nil {
		return
	}
	n.dialer.setCut(cut)
	if cut {
		f.network.Unlisten(n.vm.Address)
		return
	}
	f.network.Listen(n.vm.Address, n.replicator)
}

func (f *fleet) close() error {
	errs := make([]error, 0, len(f.entries)+2*len(f.agents)+1)
	f.store.SetFault(storer.Fault{})
	for i := range f.entries {
		errs = append(errs, f.stopEntry(i))
	}
	errs = append(errs, f.network.Close())
	for _, a := range f.agents {
		errs = append(errs, a.agent.Close(), a.executor.Close())
	}
	return errors.Join(errs...)
}
