package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/booker"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/starter"
)

// waitTimeout is the timeout of each wait of these tests. How long a wait takes does
// not affect whether a test passes.
const waitTimeout = 30 * time.Second

// programs builds the daemons once and returns their folder.
var programs = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "carawaybeam")
	if err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-o", directory+"/", "../cbentry", "../cbagent")
	build.Stderr = os.Stderr
	return directory, build.Run()
})

func TestMain(m *testing.M) {
	code := m.Run()
	if directory, err := programs(); err == nil {
		_ = os.RemoveAll(directory)
	}
	os.Exit(code)
}

// addresses is the number of addresses handed out so far.
var addresses atomic.Uint32

// freeAddress returns a free address. Its IP address is used for nothing else, so that
// its port cannot be taken by the local port of a connection, which is on 127.0.0.1.
func freeAddress(t *testing.T) string {
	t.Helper()
	ip := fmt.Sprintf("127.32.%d.%d", os.Getpid()&0xff, 1+addresses.Add(1)%250)
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func entrySettings(callers, admin, platform string) string {
	return fmt.Sprintf(`process = "entry"
dataCentre = "kitami"
callers = %q
links = "127.0.0.1:0"
admin = %q

[store]
url = %q

[vmList]
url = %q
`, callers, admin, platform, platform)
}

func agentSettings(links, admin, engine string) string {
	return fmt.Sprintf(`process = "agent"
dataCentre = "kitami"
links = %q
admin = %q

[backend]
id = "desk-1"
protocol = "service"
url = %q
`, links, admin, engine)
}

// run runs a program until it exits and returns its exit code and standard error.
func run(t *testing.T, program string, args ...string) (int, string) {
	t.Helper()
	directory, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(directory, program), args...)
	var messages bytes.Buffer
	command.Stderr = &messages
	err = command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return command.ProcessState.ExitCode(), messages.String()
}

// start starts a program and stops it gracefully at the end of the test. The test fails
// if the program exits with an error.
func start(t *testing.T, program, settings string) *os.Process {
	t.Helper()
	directory, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(filepath.Join(directory, program), "-settings", write(t, settings))
	var messages bytes.Buffer
	command.Stderr = &messages
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGTERM)
		if err := command.Wait(); err != nil {
			t.Errorf("%s: %v\n%s", program, err, messages.String())
		}
	})
	return command.Process
}

// await polls until the condition holds. It fails the test after waitTimeout.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// bookingResponse holds parts of the response to a booking, which may be a refusal.
type bookingResponse struct {
	status     int
	retryAfter string
	outcome    carawaybeam.Outcome
}

func book(t *testing.T, entry string) bookingResponse {
	t.Helper()
	url := "http://" + entry + "/services/bookings/bookings"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(`{"number":"B-1"}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer town-token")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return bookingResponse{}
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Outcome carawaybeam.Outcome `json:"outcome"`
	}
	_ = json.NewDecoder(response.Body).Decode(&body)
	return bookingResponse{
		status:     response.StatusCode,
		retryAfter: response.Header.Get("Retry-After"),
		outcome:    body.Outcome,
	}
}

// platform returns a store with one class, one organisation and one agent.
func platform(t *testing.T, agent string) *storer.Storer {
	t.Helper()
	s := storer.New()
	put(t, s, carawaybeam.KindClass, "bookings", configurer.ClassDocument{
		Kind: carawaybeam.WorkService, Pool: "desk",
		Targets: configurer.TargetsDocument{Completed: "5s", Completion: "99.9%"},
	})
	put(t, s, carawaybeam.KindOrganisation, "town", configurer.OrganisationDocument{
		// The SHA-256 of "town-token".
		TokenHash: "61ec939519f8c571784469077ef64354b170355624018d87a10c062ebe297a6e",
	})
	s.SetVMs([]carawaybeam.VM{{
		ID: "vm-1", State: carawaybeam.VMLive, Role: carawaybeam.RoleAgent,
		Address: carawaybeam.Address(agent), Pool: "desk", DataCentre: "kitami",
	}})
	return s
}

func put(t *testing.T, s *storer.Storer, kind carawaybeam.StoreKind, name string, document any) {
	t.Helper()
	value, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(t.Context(), carawaybeam.Object{Kind: kind, Name: name, Value: value}, 0); err != nil {
		t.Fatal(err)
	}
}

func TestWrongSettingsAreRefused(t *testing.T) {
	good := entrySettings("127.0.0.1:0", "127.0.0.1:0", "http://127.0.0.1:1")
	tests := []struct {
		name, settings, message string
	}{
		{"unknown key", strings.Replace(good, "process", "name", 1), ":1: name: no such setting"},
		{"wrong address", strings.Replace(good, `"127.0.0.1:0"`, `"kitami:80"`, 1), ":3: callers: want an IP address"},
		{"wrong plug-in", good + "\n[policies]\nrouter = \"best\"\n", ":14: policies.router: no plug-in"},
		{"no TOML", good + "\n[", ": "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			code, messages := run(t, "cbentry", "-check", "-settings", write(t, test.settings))
			is.Equal(code, starter.ExitSettings)
			is.True(strings.Contains(messages, "settings.toml"))
			is.True(strings.Contains(messages, test.message)) // line and key of the wrong setting
		})
	}
	is := is.New(t)
	code, messages := run(t, "cbentry", "-check", "-settings", write(t, good))
	is.Equal(messages, "")
	is.Equal(code, 0)
}

func TestTakenPortIsReported(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	taken := listener.Addr().String()
	code, messages := run(
		t,
		"cbentry",
		"-settings",
		write(t, entrySettings(taken, "127.0.0.1:0", "http://127.0.0.1:1")),
	)
	is.Equal(code, starter.ExitStart)
	is.True(strings.Contains(messages, "cannot listen for callers on "+taken))
	code, messages = run(t, "cbagent", "-settings", write(t, agentSettings(taken, "127.0.0.1:0", "http://127.0.0.1:1")))
	is.Equal(code, starter.ExitStart)
	is.True(strings.Contains(messages, "cannot listen for links on "+taken))
}

func TestEntryWaitsForTheStore(t *testing.T) {
	is := is.New(t)
	store, callers, admin, links := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	start(t, "cbentry", entrySettings(callers, admin, "http://"+store))
	await(t, "the admin port answers", func() bool { return status("http://"+admin+"/healthz") == http.StatusOK })
	is.Equal(status("http://"+admin+"/readyz"), http.StatusServiceUnavailable)
	refused := book(t, callers)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.outcome, carawaybeam.OutcomeNotRun)
	is.True(refused.retryAfter != "")

	listener, err := net.Listen("tcp", store)
	is.NoErr(err)
	server := &http.Server{Handler: platform(t, links).Handler()}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	await(t, "the entry is ready", func() bool { return status("http://"+admin+"/readyz") == http.StatusOK })
}

func TestAgentWithoutBackendServerRunsNothing(t *testing.T) {
	is := is.New(t)
	callers, admin, agentAdmin, links, service := freeAddress(
		t,
	), freeAddress(
		t,
	), freeAddress(
		t,
	), freeAddress(
		t,
	), freeAddress(
		t,
	)
	store := httptest.NewServer(platform(t, links).Handler())
	t.Cleanup(store.Close)
	start(t, "cbagent", agentSettings(links, agentAdmin, "http://"+service))
	start(t, "cbentry", entrySettings(callers, admin, store.URL))
	await(t, "the entry is ready", func() bool { return status("http://"+admin+"/readyz") == http.StatusOK })
	await(t, "the agent answers", func() bool { return status("http://"+agentAdmin+"/readyz") != 0 })
	is.Equal(status("http://"+agentAdmin+"/readyz"), http.StatusServiceUnavailable)
	refused := book(t, callers)
	is.Equal(refused.status/100, 5)
	is.Equal(refused.outcome, carawaybeam.OutcomeNotRun)
	is.True(refused.retryAfter != "")

	desk := booker.New(0)
	listener, err := net.Listen("tcp", service)
	is.NoErr(err)
	server := &http.Server{Handler: desk.Handler()}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	await(t, "the booking runs", func() bool { return book(t, callers).status == http.StatusOK })
	is.Equal(desk.Counts().Bookings["B-1"], 1)

	var dump struct {
		State administrator.EntryTargets `json:"state"`
	}
	response, err := http.Get("http://" + admin + "/state")
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.NoErr(json.NewDecoder(response.Body).Decode(&dump))
	is.Equal(len(dump.State.Targets), 1)
	is.Equal(dump.State.Targets[0].Class, carawaybeam.ClassID("bookings"))
	is.True(dump.State.Targets[0].Requests >= 2) // the refused requests and the one that ran
}

// TestHangupDoesNotEndProcess checks that SIGHUP does not end a process that has no settings
// to reload, and with it the requests that it serves.
func TestHangupDoesNotEndProcess(t *testing.T) {
	for program, settings := range map[string]func(address, admin, url string) string{
		"cbentry": entrySettings,
		"cbagent": agentSettings,
	} {
		t.Run(program, func(t *testing.T) {
			is := is.New(t)
			admin := freeAddress(t)
			process := start(t, program, settings(freeAddress(t), admin, "http://"+freeAddress(t)))
			live := func() bool { return status("http://"+admin+"/healthz") == http.StatusOK }
			await(t, "the admin port answers", live)
			is.NoErr(process.Signal(syscall.SIGHUP))
			time.Sleep(200 * time.Millisecond)
			is.True(live())
		})
	}
}
