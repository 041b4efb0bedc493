package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/carawaybeam/carawaybeam/loader"
	_ "github.com/carawaybeam/carawaybeam/registrar"
)

const (
	// smallPoolSize is the number of agents of each pool in the small demo.
	smallPoolSize = 3
	// smallEntries is the number of entries in the small demo.
	smallEntries = 2

	readyInterval = 50 * time.Millisecond
	stopTimeout   = 20 * time.Second
)

type (
	// fleet is the set of running processes of an example.
	fleet struct {
		directory string
		programs  string
		processes []*process
		entries   []loader.Entry
		services  []string
		agents    int
	}

	process struct {
		name    string
		command *exec.Cmd
	}

	// processError reports a process that wasn't ready in time or did not stop
	// cleanly.
	processError struct {
		name  string
		cause error
	}
)

func (e *processError) Error() string { return e.name + ": " + e.cause.Error() }

func (e *processError) Unwrap() error { return e.cause }

// start starts the fake platform, the agents with their fake backend servers and
// the entries, in this order, and waits until all entries are ready.
func (f *fleet) start(ctx context.Context, full bool) error {
	entries, err := filepath.Glob(filepath.Join(f.directory, "entry-*.toml"))
	if err != nil {
		return err
	}
	if !full {
		entries = entries[:min(smallEntries, len(entries))]
	}
	if err := f.startPlatform(entries); err != nil {
		return err
	}
	if err := f.startAgents(full); err != nil {
		return err
	}
	for _, file := range entries {
		if err := f.startEntry(file); err != nil {
			return err
		}
	}
	return f.waitReady(ctx)
}

func (f *fleet) startPlatform(entries []string) error {
	if len(entries) == 0 {
		return fmt.Errorf("%s contains no settings file entry-*.toml", f.directory)
	}
	settings, err := loader.LoadEntry(entries[0])
	if err != nil {
		return err
	}
	seed := filepath.Join(f.directory, "platform.toml")
	return f.startFake("platform", settings.Store.URL, "-seed", seed)
}

func (f *fleet) startFake(role, base string, args ...string) error {
	parsed, err := url.Parse(base)
	if err != nil {
		return err
	}
	args = append([]string{"-role", role, "-listen", parsed.Host}, args...)
	return f.startProcess(role+" "+parsed.Host, "cbfake", args...)
}

func (f *fleet) startAgents(full bool) error {
	files, err := filepath.Glob(filepath.Join(f.directory, "agent-*.toml"))
	if err != nil {
		return err
	}
	started := make(map[string]int)
	for _, file := range files {
		pool := file[:strings.LastIndex(file, "-")]
		if !full && started[pool] == smallPoolSize {
			continue
		}
		started[pool]++
		if err := f.startAgent(file); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startAgent(file string) error {
	settings, err := loader.LoadAgent(file)
	if err != nil {
		return err
	}
	if settings.Backend.Protocol == "service" {
		f.services = append(f.services, settings.Backend.URL)
	}
	if err := f.startFake(settings.Backend.Protocol, settings.Backend.URL); err != nil {
		return err
	}
	f.agents++
	return f.startProcess(settings.Process, "cbagent", "-settings", file)
}

func (f *fleet) startEntry(file string) error {
	settings, err := loader.LoadEntry(file)
	if err != nil {
		return err
	}
	f.entries = append(f.entries, settings)
	return f.startProcess(settings.Process, "cbentry", "-settings", file)
}

func (f *fleet) startProcess(name, program string, args ...string) error {
	command := exec.Command(filepath.Join(f.programs, program), args...)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return err
	}
	f.processes = append(f.processes, &process{name: name, command: command})
	return nil
}

// waitReady waits until each entry is ready and linked to every agent.
func (f *fleet) waitReady(ctx context.Context) error {
	for _, settings := range f.entries {
		for !f.linked(ctx, settings) {
			select {
			case <-time.After(readyInterval):
			case <-ctx.Done():
				return &processError{name: settings.Process, cause: errors.New("not ready in time")}
			}
		}
	}
	return nil
}

// linked reports whether an entry is ready and linked to every agent.
func (f *fleet) linked(ctx context.Context, settings loader.Entry) bool {
	var dump struct {
		Ready bool `json:"ready"`
		State struct {
			Members []struct {
				Linked bool `json:"linked"`
			} `json:"members"`
		} `json:"state"`
	}
	if _, err := fetch(ctx, http.MethodGet, "http://"+string(settings.Admin)+"/state", nil, nil, &dump); err != nil {
		return false
	}
	linked := 0
	for _, member := range dump.State.Members {
		if member.Linked {
			linked++
		}
	}
	return dump.Ready && linked == f.agents
}

// Close stops the processes in the reverse order of their start. It returns an
// error for each process that did not stop cleanly.
func (f *fleet) Close() error {
	var errs []error
	for i := len(f.processes) - 1; i >= 0; i-- {
		errs = append(errs, f.processes[i].stop())
	}
	return errors.Join(errs...)
}

func (p *process) stop() error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return &processError{name: p.name, cause: err}
	}
	exited := make(chan error, 1)
	go func() { exited <- p.command.Wait() }()
	select {
	case err := <-exited:
		if err != nil {
			return &processError{name: p.name, cause: err}
		}
		return nil
	case <-time.After(stopTimeout):
		return &processError{
			name:  p.name,
			cause: errors.Join(errors.New("did not stop in time"), p.command.Process.Kill()),
		}
	}
}
