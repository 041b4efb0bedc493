package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/generator"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
)

const (
	// linkTimeout is the maximum time until the links of all entries are
	// stable.
	linkTimeout = 2 * time.Minute

	// stableTime is how long the number of links of an entry must not change
	// for them to be stable.
	stableTime = 3 * time.Second

	pollInterval = 100 * time.Millisecond

	// hostsPerSubnet is the number of loopback addresses used for each value
	// of the third byte.
	hostsPerSubnet = 250

	entrySettings = `process = "entry-%d"
dataCentre = "dc-%d"
callers = "%s:8080"
links = "%s:7000"
admin = "%s:9000"

[store]
url = "%s"

[vmList]
url = "%s"
`
	agentSettings = `process = "agent-%d"
dataCentre = "dc-%d"
links = "%s:7000"
admin = "%s:9000"

[backend]
id = "backend-%d"
url = "%s"
`
)

type (
	// fleet is a set of real entry and agent processes. The fake store and the
	// fake backend server run in the present process.
	fleet struct {
		size      size
		directory string
		programs  string
		store     *storer.Storer
		storeURL  string
		engineURL string
		servers   []*http.Server
		entries   []*process
		agents    []*process
	}

	process struct {
		name    string
		admin   string
		command *exec.Cmd
	}

	// linkTimeoutError reports an entry whose links don't become stable.
	linkTimeoutError struct {
		process string
		links   int
	}
)

func (e *linkTimeoutError) Error() string {
	return fmt.Sprintf("%s: links not stable in time, %d linked now", e.process, e.links)
}

// newFleet starts the fake servers and the processes, and stops them again if one
// fails to start.
func newFleet(ctx context.Context, s size, programs string) (*fleet, error) {
	directory, err := os.MkdirTemp("", program)
	if err != nil {
		return nil, err
	}
	f := &fleet{size: s, directory: directory, programs: programs, store: storer.New()}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context) error {
	var err error
	if f.storeURL, err = f.serve(f.store.Handler()); err != nil {
		return err
	}
	engine := generator.New(generator.Options{Slots: 1})
	if f.engineURL, err = f.serve(engine.Handler()); err != nil {
		return err
	}
	if err := f.seedStore(ctx); err != nil {
		return err
	}
	if err := f.startAgents(); err != nil {
		return err
	}
	return f.startEntries()
}

// serve starts an HTTP server on a free port and returns its URL.
func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// seedStore writes classes, organisations and VMs to the store.
func (f *fleet) seedStore(ctx context.Context) error {
	for i := range f.size.classes {
		if err := f.putClass(ctx, i, 0, 0); err != nil {
			return err
		}
	}
	for i := range f.size.organisations {
		hash := sha256.Sum256(fmt.Appendf(nil, "token-%d", i))
		document := configurer.OrganisationDocument{TokenHash: hex.EncodeToString(hash[:])}
		if err := f.put(ctx, carawaybeam.KindOrganisation, fmt.Sprintf("organisation-%d", i), document, 0); err != nil {
			return err
		}
	}
	vms := make([]carawaybeam.VM, 0, f.size.agents+f.size.entries)
	for i := range f.size.agents {
		vms = append(vms, carawaybeam.VM{
			ID:         carawaybeam.VMID(fmt.Sprintf("vm-agent-%d", i)),
			State:      carawaybeam.VMLive,
			DataCentre: dataCentre(i),
			Role:       carawaybeam.RoleAgent,
			Address:    carawaybeam.Address(agentIP(i) + ":7000"),
			Pool:       "pool",
		})
	}
	for i := range f.size.entries {
		vms = append(vms, carawaybeam.VM{
			ID:         carawaybeam.VMID(fmt.Sprintf("vm-entry-%d", i)),
			State:      carawaybeam.VMLive,
			DataCentre: dataCentre(i),
			Role:       carawaybeam.RoleEntry,
			Address:    carawaybeam.Address(entryIP(i) + ":7000"),
		})
	}
	f.store.SetVMs(append(vms, f.listedVMs()...))
	return nil
}

// listedVMs returns VMs in the state leaving, which no longer run but are still in
// the VM list. No process listens on their addresses.
func (f *fleet) listedVMs() []carawaybeam.VM {
	vms := make([]carawaybeam.VM, 0, f.size.listed)
	for i := range f.size.listed {
		vms = append(vms, carawaybeam.VM{
			ID:         carawaybeam.VMID(fmt.Sprintf("vm-listed-%d", i)),
			State:      carawaybeam.VMLeaving,
			DataCentre: dataCentre(i),
			Role:       carawaybeam.RoleAgent,
			Address:    carawaybeam.Address(fmt.Sprintf("127.3.%d.%d:7000", 1+i/hostsPerSubnet, 1+i%hostsPerSubnet)),
			Pool:       carawaybeam.PoolID(fmt.Sprintf("pool-%d", i/listedPoolSize)),
		})
	}
	return vms
}

// listedPoolSize is the number of VMs of listedVMs in each pool.
const listedPoolSize = 124

// dataCentres is the number of data centres that processes are distributed over.
const dataCentres = 3

func dataCentre(i int) carawaybeam.DataCentre {
	return carawaybeam.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres))
}

func agentIP(i int) string {
	return fmt.Sprintf("127.1.%d.%d", 1+i/hostsPerSubnet, 1+i%hostsPerSubnet)
}

func entryIP(i int) string { return fmt.Sprintf("127.2.1.%d", 1+i) }

// putClass writes a class. One target depends on the round, so that each round
// changes the object.
func (f *fleet) putClass(ctx context.Context, i, round int, expect carawaybeam.StoreVersion) error {
	return f.put(ctx, carawaybeam.KindClass, fmt.Sprintf("class-%d", i), configurer.ClassDocument{
		Kind: carawaybeam.WorkModel,
		Pool: "pool",
		Targets: configurer.TargetsDocument{
			FirstToken:    "1.3s",
			BetweenTokens: "67ms",
			Completed:     fmt.Sprintf("%ds", 30+round%30),
			Completion:    "99.9%",
		},
	}, expect)
}

func (f *fleet) put(
	ctx context.Context,
	kind carawaybeam.StoreKind,
	name string,
	document any,
	expect carawaybeam.StoreVersion,
) error {
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	_, err = f.store.Put(ctx, carawaybeam.Object{Kind: kind, Name: name, Value: value}, expect)
	return err
}

// startChanges changes a class perSecond times per second until the returned
// function is called.
func (f *fleet) startChanges(perSecond int) func() {
	if perSecond == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for round := 1; ; round++ {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			object, err := f.store.Get(ctx, carawaybeam.KindClass, "class-0")
			if err == nil {
				_ = f.putClass(ctx, 0, round, object.Version)
			}
		}
	})
	return func() {
		cancel()
		wait.Wait()
	}
}

func (f *fleet) startAgents() error {
	for i := range f.size.agents {
		ip := agentIP(i)
		settings := fmt.Sprintf(agentSettings, i, i%dataCentres, ip, ip, i, f.engineURL)
		p, err := f.startProcess("cbagent", fmt.Sprintf("agent-%d", i), ip+":9000", settings)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, p)
	}
	return nil
}

func (f *fleet) startEntries() error {
	for i := range f.size.entries {
		ip := entryIP(i)
		settings := fmt.Sprintf(entrySettings, i, i%dataCentres, ip, ip, ip, f.storeURL, f.storeURL)
		p, err := f.startProcess("cbentry", fmt.Sprintf("entry-%d", i), ip+":9000", settings)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, p)
	}
	return nil
}

func (f *fleet) startProcess(name, id, admin, settings string) (*process, error) {
	file := filepath.Join(f.directory, id+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	command := exec.Command(filepath.Join(f.programs, name), "-settings", file)
	if err := command.Start(); err != nil {
		return nil, err
	}
	return &process{name: id, admin: admin, command: command}, nil
}

// waitLinked waits until the number of links of each entry is stable. It can't
// wait for a certain number, as an entry links to a subset of many agents.
func (f *fleet) waitLinked(ctx context.Context) error {
	deadline := time.Now().Add(linkTimeout)
	for _, p := range f.entries {
		if err := p.waitLinked(ctx, deadline); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) waitLinked(ctx context.Context, deadline time.Time) error {
	links, changed := 0, time.Now()
	for links == 0 || time.Since(changed) < stableTime {
		if time.Now().After(deadline) {
			return &linkTimeoutError{process: p.name, links: links}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
		if now := p.links(ctx); now != links {
			links, changed = now, time.Now()
		}
	}
	return nil
}

// Close stops all processes and fake servers and removes the settings files. It
// returns the errors of processes that did not exit cleanly.
func (f *fleet) Close() error {
	all := append(append([]*process{}, f.entries...), f.agents...)
	for _, p := range all {
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
	errs := make([]error, 0, len(all)+1)
	for _, p := range all {
		errs = append(errs, p.command.Wait())
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	return errors.Join(append(errs, os.RemoveAll(f.directory))...)
}
