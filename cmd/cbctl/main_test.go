package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/labstack/echo/v5"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/applier"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/messenger"
	"github.com/carawaybeam/carawaybeam/tracker"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const drafting = `
[class.drafting]
kind = "model"
pool = "drafting"
idempotent = true

[class.drafting.targets]
firstToken = "1.3s"
betweenTokens = "67ms"
completed = "30s"
completion = "99.9%"
`

// noPeers is the Replicator of an entry without peers.
type noPeers struct{}

func (noPeers) AwaitHeld(context.Context, carawaybeam.ConfigVersion, int) int { return 0 }

// testEntry is the admin port of an entry that uses a simulated store.
type testEntry struct {
	store *storer.Storer
	admin string
	dir   string
}

func newTestEntry(t *testing.T, vms ...carawaybeam.VM) *testEntry {
	t.Helper()
	store := storer.New()
	store.SetVMs(vms)
	held := configurer.New()
	members := tracker.New(tracker.Options{
		Process: "entry", Lister: store.VMList(), Dialer: messenger.Dialer{}, Config: held, Log: zerolog.Nop(),
	})
	router := echo.New()
	administrator.New(administrator.Options{
		TokenHash: configurer.HashToken("secret"),
		Applier: applier.New(applier.Options{
			Store: store, Configurer: held, Replicator: noPeers{}, Log: zerolog.Nop(),
		}),
		Configurer: held,
		Tracker:    members,
		Dialer:     messenger.Dialer{},
	}).Route(router)
	server := httptest.NewServer(router)
	t.Cleanup(func() {
		server.Close()
		_ = members.Close()
	})
	t.Setenv(envToken, "secret")
	return &testEntry{store: store, admin: strings.TrimPrefix(server.URL, "http://"), dir: t.TempDir()}
}

// run executes cbctl against the entry. It returns the exit code and the text of
// standard output and standard error together.
func (b *testEntry) run(args ...string) (code int, out string) {
	var buffer bytes.Buffer
	code = run(append([]string{"-admin", b.admin, "-by", "ann", "-timeout", "12s"}, args...), &buffer, &buffer)
	return code, buffer.String()
}

// file writes the text to a file, which each call overwrites, and returns its path.
func (b *testEntry) file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(b.dir, "objects.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestClassIsAppliedChangedAndDeleted(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t)
	code, out := b.run("class", "apply", b.file(t, drafting))
	is.Equal(code, exitDone)
	is.True(strings.Contains(out, "accepted as version 1"))
	code, out = b.run("class", "apply", b.file(t, drafting))
	is.Equal(code, exitDone)
	is.True(strings.Contains(out, "unchanged"))
	code, _ = b.run("class", "set", "drafting", "targets.firstToken=1.2s")
	is.Equal(code, exitDone)
	code, out = b.run("class", "get", "drafting")
	is.Equal(code, exitDone)
	is.True(strings.Contains(out, `"firstToken": "1.2s"`))
	is.True(strings.Contains(out, `"changedBy": "ann"`))
	code, out = b.run("class", "list")
	is.Equal(code, exitDone)
	is.True(strings.Contains(out, "changed by ann"))
	code, _ = b.run("class", "delete", "drafting")
	is.Equal(code, exitDone)
	code, _ = b.run("class", "get", "drafting")
	is.Equal(code, exitNotFound)
}

func TestExitCodesShowResultOfChange(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t)
	file := b.file(t, drafting)
	code, _ := b.run("class", "apply", file)
	is.Equal(code, exitDone)
	code, out := b.run("class", "set", "drafting", "weights=3")
	is.Equal(code, exitRefused)
	is.True(strings.Contains(out, "not for operators to set"))
	code, out = b.run("class", "set", "drafting", "targets.firstToken=40s")
	is.Equal(code, exitRefused)
	is.True(strings.Contains(out, "less than targets.completed"))
	code, _ = b.run("class", "apply", b.file(t, "[vm.a]\nid = \"x\"\n"))
	is.Equal(code, exitRefused)
	code, _ = b.run("class")
	is.Equal(code, exitUsage)
	b.store.SetFault(storer.Fault{Mode: storer.FaultDown})
	code, _ = b.run("class", "set", "drafting", "targets.firstToken=1s")
	is.Equal(code, exitUnavailable)
	b.store.SetFault(storer.Fault{})
	t.Setenv(envToken, "wrong")
	code, out = b.run("class", "list")
	is.Equal(code, exitFailed)
	is.True(strings.Contains(out, "token is missing or wrong"))
}

func TestConflictNamesOtherOperatorAndVersion(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t)
	code, _ := b.run("class", "apply", b.file(t, drafting))
	is.Equal(code, exitDone)
	stale := client{admin: b.admin, token: "secret", operator: "bob", http: verifier.NewClient(0)}
	old := carawaybeam.StoreVersion(1)
	code, _ = b.run("class", "set", "drafting", "targets.firstToken=1s")
	is.Equal(code, exitDone)
	object, err := stale.get("class", "drafting")
	is.NoErr(err)
	document := bytes.Replace(object.Document, []byte(`"1s"`), []byte(`"2s"`), 1)
	result := stale.change("class", "drafting", document, &old)
	is.Equal(result.Status, applier.StatusConflict)
	text := describe(result)
	is.True(strings.Contains(text, "has changed since version 1"))
	is.True(strings.Contains(text, "to version 2 by ann at "))
}

func TestUncertainChangeIsSettled(t *testing.T) {
	is := is.New(t)
	b := newTestEntry(t)
	code, _ := b.run("class", "apply", b.file(t, drafting))
	is.Equal(code, exitDone)
	b.store.SetFault(storer.Fault{Mode: storer.FaultLostAnswer})
	code, out := b.run("-json", "class", "set", "drafting", "targets.firstToken=1s")
	is.Equal(code, exitUncertain)
	var result applier.Result
	is.NoErr(json.Unmarshal([]byte(out[:strings.Index(out, "cbctl:")]), &result))
	is.True(strings.Contains(describe(result), settleCommand(result)))
	b.store.SetFault(storer.Fault{})
	args := strings.Fields(settleCommand(result))[1:]
	code, out = b.run(args...)
	is.Equal(code, exitDone)
	is.True(strings.Contains(out, "accepted as version 2"))
}
