// Package launcher builds the programs and runs them as real processes on
// loopback addresses: a platform, backend servers with their agents behind
// forwarders, and entries. It is for tests only.
package launcher

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/carawaybeam/carawaybeam/fakes/forwarder"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const (
	// Token is the bearer token of the only organisation.
	Token = "org-token"
	// OperatorToken is the bearer token of operators.
	OperatorToken = "operator-token"

	stopTimeout   = 60 * time.Second
	readyInterval = 50 * time.Millisecond
)

type (
	// Process is one program that was started. It can be started again after it
	// has ended.
	Process struct {
		program string
		args    []string
		output  io.Writer

		mu      sync.Mutex
		command *exec.Cmd
		ended   chan struct{}
		err     error
	}

	// Slot is a backend server and its agent, which entries reach through a
	// forwarder.
	Slot struct {
		Backend *Process
		Agent   *Process
		Links   *forwarder.Forwarder
		// URL is the base URL of the backend server.
		URL string
		// Admin is the base URL of the agent's admin port.
		Admin string
		vm    string
	}

	// Entry is the process of one entry.
	Entry struct {
		*Process

		// URL is the base URL for callers.
		URL string
		// Admin is the base URL of the admin port.
		Admin string
	}

	// Fleet holds all processes of a test.
	Fleet struct {
		directory string
		programs  string
		platform  *Process
		storeURL  string
		// entrySettings are added to the settings of the entries.
		entrySettings string
		Slots         []*Slot
		Entries       []*Entry
	}

	// Options configures Start.
	Options struct {
		// Directory is where the programs and settings are written.
		Directory string
		// Module is the root directory of the module.
		Module   string
		Services int
		Engines  int
		Entries  int
		// ServiceDelay is how long a plain service takes for each request,
		// TokenTime how long an engine takes for each token.
		ServiceDelay, TokenTime time.Duration
		// EntrySettings are added to the settings of the entries.
		EntrySettings string
	}
)

var errNotReady = errors.New("entries were not linked to all agents before the context ended")

// Start builds the programs, starts all processes and waits until every entry
// is linked to every agent. Also after an error, the Fleet must be closed.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{
		directory:     options.Directory,
		programs:      filepath.Join(options.Directory, "bin"),
		entrySettings: options.EntrySettings,
	}
	if err := Build(ctx, options.Module, f.programs); err != nil {
		return f, err
	}
	for i := range options.Services + options.Engines {
		if err := f.addSlot(i, options); err != nil {
			return f, err
		}
	}
	if err := f.startEntries(options.Entries); err != nil {
		return f, err
	}
	return f, f.waitReady(ctx, len(f.Slots))
}

// startEntries starts the platform, with the VMs of the entries and slots, and
// then n entries.
func (f *Fleet) startEntries(n int) error {
	links, err := freeAddresses(n)
	if err != nil {
		return err
	}
	if err := f.startPlatform(links); err != nil {
		return err
	}
	for i, address := range links {
		if err := f.addEntry(i, address); err != nil {
			return err
		}
	}
	return nil
}

// Build compiles the programs of the module into a directory. The error
// contains the output of the compiler.
func Build(ctx context.Context, module, directory string) error {
	if err := statSources(module); err != nil {
		return err
	}
	command := exec.CommandContext(ctx, "go", "build", "-o", directory+"/", "./cmd/...")
	command.Dir = module
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w: %s", err, output)
	}
	return nil
}

// statSources calls os.Stat on all Go sources of the module except tests. The
// go command then records them as inputs of the test and does not reuse a
// cached result after one has changed.
func statSources(module string) error {
	return filepath.WalkDir(module, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != module && strings.HasPrefix(entry.Name(), ".") {
			return fs.SkipDir
		}
		if !entry.IsDir() && filepath.Ext(path) == ".go" && !strings.HasSuffix(path, "_test.go") {
			_, err = os.Stat(path)
		}
		return err
	})
}

const (
	// addressBits is the number of bits of the process ID in an address.
	// addressesPerProcess is the number of IP addresses that one process uses.
	addressBits         = 14
	addressesPerProcess = 250
)

// addresses is the number of addresses handed out so far.
var addresses atomic.Uint32

// FreeAddress returns an address with a free port on an IP address in
// 127.64.0.0/10 that depends on the process ID and a counter. So neither
// another fleet nor the local port of a connection, which is on 127.0.0.1,
// takes the port before it is used.
func FreeAddress() (string, error) {
	pid := os.Getpid() & (1<<addressBits - 1)
	last := 1 + addresses.Add(1)%addressesPerProcess
	return probeAddress(fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>8, pid&0xff, last))
}

// probeAddress listens at an address, closes the listener and returns the
// address with its port. It holds syscall.ForkLock because a child process has
// a copy of each open listener between fork and exec, which would keep the port
// in use.
func probeAddress(address string) (string, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// Listen listens at an address whose previous listener may just have been
// closed. Like probeAddress it holds syscall.ForkLock.
func Listen(address string) (net.Listener, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	return net.Listen("tcp", address)
}

func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		var err error
		if addresses[i], err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

func (f *Fleet) addSlot(i int, options Options) error {
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	links, forwarded, err := forwarder.Listen(addresses[1])
	if err != nil {
		return err
	}
	pool, role, backendArgs := "desk", "service", []string{"-delay", options.ServiceDelay.String()}
	if i >= options.Services {
		pool, role, backendArgs = "drafting", "engine", []string{"-tokenTime", options.TokenTime.String()}
	}
	s := &Slot{
		URL: "http://" + addresses[0], Admin: "http://" + addresses[2], Links: links,
	}
	s.vm = fmt.Sprintf(
		"[[vm]]\nid = \"vm-%d\"\ndataCentre = \"dc\"\nrole = \"agent\"\naddress = %q\npool = %q\n",
		i, forwarded, pool,
	)
	f.Slots = append(f.Slots, s)
	settings, err := f.write(fmt.Sprintf("agent-%d.toml", i), fmt.Sprintf(
		"process = \"agent-%d\"\ndataCentre = \"dc\"\nlinks = %q\nadmin = %q\n\n"+
			"[backend]\nid = \"backend-%d\"\nprotocol = %q\nurl = %q\nconcurrency = 64\n",
		i, addresses[1], addresses[2], i, role, s.URL,
	))
	if err != nil {
		return err
	}
	s.Backend, err = f.start("cbfake", append([]string{"-role", role, "-listen", addresses[0]}, backendArgs...)...)
	if err != nil {
		return err
	}
	s.Agent, err = f.start("cbagent", "-settings", settings)
	return err
}

const classes = `
[class.bookings]
kind = "service"
pool = "desk"
idempotent = false
targets = { completed = "5s", completion = "99.9%" }

[class.lookups]
kind = "service"
pool = "desk"
idempotent = true
targets = { completed = "5s", completion = "99.9%" }

[class.drafting]
kind = "model"
pool = "drafting"
idempotent = true
targets = { firstToken = "1.3s", betweenTokens = "67ms", completed = "15s", completion = "99.9%" }
`

func hashToken(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

func (f *Fleet) startPlatform(entries []string) error {
	seed := classes + fmt.Sprintf("\n[organisation.org]\ntokenHash = %q\n\n", hashToken(Token))
	for i, address := range entries {
		seed += fmt.Sprintf(
			"[[vm]]\nid = \"vm-entry-%d\"\ndataCentre = \"dc\"\nrole = \"entry\"\naddress = %q\n\n", i, address,
		)
	}
	for _, s := range f.Slots {
		seed += s.vm + "\n"
	}
	path, err := f.write("platform.toml", seed)
	if err != nil {
		return err
	}
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	f.storeURL = "http://" + address
	f.platform, err = f.start("cbfake", "-role", "platform", "-listen", address, "-seed", path)
	return err
}

func (f *Fleet) addEntry(i int, links string) error {
	addresses, err := freeAddresses(2)
	if err != nil {
		return err
	}
	settings, err := f.write(fmt.Sprintf("entry-%d.toml", i), fmt.Sprintf(
		"process = \"entry-%d\"\ndataCentre = \"dc\"\ncallers = %q\nlinks = %q\nadmin = %q\n\n"+
			"[store]\nprotocol = \"rest\"\nurl = %q\n\n[vmList]\nprotocol = \"rest\"\nurl = %q\n\n"+
			"[operators]\ntokenHash = %q\n%s",
		i, addresses[0], links, addresses[1], f.storeURL, f.storeURL, hashToken(OperatorToken), f.entrySettings,
	))
	if err != nil {
		return err
	}
	process, err := f.start("cbentry", "-settings", settings)
	if err != nil {
		return err
	}
	f.Entries = append(
		f.Entries,
		&Entry{Process: process, URL: "http://" + addresses[0], Admin: "http://" + addresses[1]},
	)
	return nil
}

func (f *Fleet) write(name, text string) (string, error) {
	path := filepath.Join(f.directory, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

func (f *Fleet) start(program string, args ...string) (*Process, error) {
	return Run(nil, filepath.Join(f.programs, program), args...)
}

// Run starts a program. Its output goes to the writer, or is discarded if that
// is nil.
func Run(output io.Writer, program string, args ...string) (*Process, error) {
	p := &Process{program: program, args: args, output: output}
	return p, p.Start()
}

// waitReady waits until each entry is linked to the given number of agents.
func (f *Fleet) waitReady(ctx context.Context, agents int) error {
	for _, e := range f.Entries {
		for e.linked(ctx) < agents {
			select {
			case <-time.After(readyInterval):
			case <-ctx.Done():
				return errNotReady
			}
		}
	}
	return nil
}

func (e *Entry) linked(ctx context.Context) int {
	var dump struct {
		Ready bool `json:"ready"`
		State struct {
			Members []struct {
				Linked bool `json:"linked"`
			} `json:"members"`
		} `json:"state"`
	}
	if FetchJSON(ctx, e.Admin+"/state", &dump) != nil || !dump.Ready {
		return 0
	}
	linked := 0
	for _, member := range dump.State.Members {
		if member.Linked {
			linked++
		}
	}
	return linked
}

// FetchJSON requests the URL and decodes the JSON response into result,
// whatever its status.
func FetchJSON(ctx context.Context, url string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := verifier.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return json.NewDecoder(bytes.NewReader(data)).Decode(result)
}

// SetStoreFault sets the fault of the platform's store. The order is the JSON
// of a storer.Fault.
func (f *Fleet) SetStoreFault(ctx context.Context, order string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.storeURL+"/fault", bytes.NewBufferString(order))
	if err != nil {
		return err
	}
	response, err := verifier.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Close stops all processes, entries first. It returns the errors of those that
// did not exit cleanly.
func (f *Fleet) Close() error {
	var errs []error
	for _, e := range f.Entries {
		errs = append(errs, e.Stop())
	}
	for _, s := range f.Slots {
		errs = append(errs, s.Agent.Stop(), s.Links.Close(), s.Backend.Stop())
	}
	return errors.Join(append(errs, f.platform.Stop())...)
}

// Start starts the program. It can be called again after the process has ended.
//
// The process has a group of its own. Otherwise the kernel would wake it from SIGSTOP when the leader of
// the group of the test ends, for example a shell that has started the test in the background. It is killed when
// the test ends.
func (p *Process) Start() error {
	command, ended := exec.Command(p.program, p.args...), make(chan struct{})
	command.Stdout, command.Stderr = p.output, p.output
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	go func() {
		// Pdeathsig is sent when the thread that started the process ends, so that this
		// one has to last.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		if err := command.Start(); err != nil {
			started <- err
			return
		}
		started <- nil
		err := command.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(ended)
	}()
	if err := <-started; err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.ended = command, ended
	return nil
}

func (p *Process) current() (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command, p.ended
}

// PID returns the identifier of the process.
func (p *Process) PID() int {
	command, _ := p.current()
	return command.Process.Pid
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	command, _ := p.current()
	return command.Process.Signal(signal)
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() error {
	command, ended := p.current()
	err := command.Process.Kill()
	<-ended
	return err
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} {
	_, ended := p.current()
	return ended
}

// Err returns the error with which the process has ended, or nil.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Stop sends SIGTERM and waits until the process has ended. It returns an error
// if the exit code is not 0. A process that has not ended after stopTimeout is
// killed.
func (p *Process) Stop() error {
	if p == nil {
		return nil
	}
	command, ended := p.current()
	if command == nil {
		return nil
	}
	if err := command.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(stopTimeout):
		return errors.Join(fmt.Errorf("%s did not exit in time after SIGTERM", p.program), p.Kill())
	}
}
