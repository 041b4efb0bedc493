// Package assembler runs entries and agents in one process, connected by an
// in-memory network, store and backend servers, for tests in a testing/synctest
// bubble. The entries and agents are the production code.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/agent"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
)

// settleTime is how long New waits for the entries to link to the agents.
const settleTime = time.Second

// Pool is the pool to which all backend servers belong.
const Pool = carawaybeam.PoolID("desk")

type (
	// Options configures an Assembler.
	Options struct {
		Entries int
		Agents  int
		// Concurrency is the maximum number of attempts in flight on one
		// backend server.
		Concurrency int
		// PartTime is the time that a backend server takes for one part of an
		// answer.
		PartTime time.Duration
		// Restart is how long a backend server stays down after a poison
		// request crashed it. If it is 0, the server stays down until
		// Backend.Recover.
		Restart time.Duration
		// DataCentres is the number of data centres over which the VMs are spread. If it
		// is 0, they have none.
		DataCentres int
		// Evacuations makes the entries follow the evacuations in the store.
		Evacuations bool
	}

	// Slot is a VM with a backend server and an agent. Agent and Executor are
	// nil while the agent is stopped.
	Slot struct {
		VM       carawaybeam.VM
		Backend  *Backend
		Agent    *agent.Agent
		Executor *executor.Executor

		// mu guards leaving and the assignments of Agent and Executor.
		mu sync.Mutex
		// leaving is when the graceful stop of the agent began, or the zero
		// time.
		leaving time.Time
	}

	// Assembler holds the network, the store, the entries and the VMs. Tests
	// use its fields directly.
	Assembler struct {
		Network *linker.Network
		Store   *storer.Storer
		Entries []*Entry
		Slots   []*Slot
		options Options
	}
)

// New starts an Assembler and returns once its entries have had time to link to
// its agents.
func New(options Options) *Assembler {
	a := &Assembler{Network: &linker.Network{}, Store: storer.New(), options: options}
	for i := range options.Agents {
		a.addSlot(i)
	}
	a.PublishVMs()
	for range options.Entries {
		a.StartEntry()
	}
	time.Sleep(settleTime)
	return a
}

// Close stops all entries and agents and waits for their goroutines, as a
// testing/synctest bubble requires.
func (a *Assembler) Close() error {
	errs := make([]error, 0, len(a.Entries)+len(a.Slots)+1)
	for _, e := range a.Entries {
		errs = append(errs, e.Close())
	}
	errs = append(errs, a.Network.Close())
	for _, s := range a.Slots {
		errs = append(errs, s.closeAgent())
	}
	return errors.Join(errs...)
}

// DataCentre returns the name of a data centre, of which the first has number 0.
func DataCentre(number int) carawaybeam.DataCentre {
	return carawaybeam.DataCentre(fmt.Sprintf("dc-%d", number))
}

func (a *Assembler) addSlot(i int) {
	s := &Slot{
		VM: carawaybeam.VM{
			ID:      carawaybeam.VMID(fmt.Sprintf("vm-%d", i)),
			State:   carawaybeam.VMLive,
			Role:    carawaybeam.RoleAgent,
			Address: carawaybeam.Address(fmt.Sprintf("10.0.0.%d:7000", i)),
			Pool:    Pool,
		},
		Backend: NewBackend(a.options.PartTime, a.options.Restart),
	}
	if a.options.DataCentres > 0 {
		s.VM.DataCentre = DataCentre(i % a.options.DataCentres)
	}
	a.Slots = append(a.Slots, s)
	a.StartAgent(i)
}

// PublishVMs sets the platform's list to the VMs of all slots.
func (a *Assembler) PublishVMs() {
	vms := make([]carawaybeam.VM, 0, len(a.Slots))
	for _, s := range a.Slots {
		vms = append(vms, s.VM)
	}
	a.Store.SetVMs(vms)
}

// RemoveVM sets the platform's list to the live VMs without that of slot i.
func (a *Assembler) RemoveVM(i int) {
	vms := make([]carawaybeam.VM, 0, len(a.Slots))
	for n, s := range a.Slots {
		if n != i && s.VM.State == carawaybeam.VMLive {
			vms = append(vms, s.VM)
		}
	}
	a.Store.SetVMs(vms)
}

// StartAgent starts a new incarnation of the agent of slot i.
func (a *Assembler) StartAgent(i int) {
	s := a.Slots[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	id := carawaybeam.BackendID(fmt.Sprintf("desk-%d", i))
	incarnation := carawaybeam.NewIncarnation()
	s.Executor = executor.New(executor.Options{
		Backend:     s.Backend,
		BackendID:   id,
		Incarnation: incarnation,
		Concurrency: a.options.Concurrency,
		Log:         zerolog.Nop(),
	})
	s.Agent = agent.New(agent.Options{
		BackendID:   id,
		Incarnation: incarnation,
		Backend:     s.Backend,
		Executor:    s.Executor,
		Log:         zerolog.Nop(),
	})
	a.Network.Listen(s.VM.Address, s.Agent)
}

// KillAgent stops the agent of slot i abruptly: its links are cut, its answers
// in flight end and its ledger is lost. The backend server keeps running.
func (a *Assembler) KillAgent(i int) error {
	s := a.Slots[i]
	a.Network.Unlisten(s.VM.Address)
	s.Backend.CutAnswers()
	return s.closeAgent()
}

func (s *Slot) running() *agent.Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Agent
}

func (s *Slot) closeAgent() error {
	s.mu.Lock()
	stopped, ledger := s.Agent, s.Executor
	s.Agent, s.Executor = nil, nil
	s.mu.Unlock()
	if stopped == nil {
		return nil
	}
	return errors.Join(stopped.Close(), ledger.Close())
}

// DrainAgent drains the agent of slot i and returns when that is done. The
// agent keeps listening.
func (a *Assembler) DrainAgent(ctx context.Context, i int) error {
	return a.Slots[i].Agent.Drain(ctx)
}

// StopAgent drains the agent of slot i and then ends it. It returns nil at once
// if the agent is not running, and also if the agent was killed during the
// drain.
func (a *Assembler) StopAgent(ctx context.Context, i int) error {
	s := a.Slots[i]
	stopping := s.running()
	if stopping == nil {
		return nil
	}
	s.mu.Lock()
	s.leaving = time.Now()
	s.mu.Unlock()
	err := stopping.Drain(ctx)
	if s.running() != stopping {
		return nil
	}
	a.Network.Unlisten(s.VM.Address)
	return errors.Join(err, s.closeAgent())
}
