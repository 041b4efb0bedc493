package main

import (
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/loader"
)

// TestReloadBeforeStart checks that a change of the settings while a process starts does not
// end it, and is in force afterwards.
func TestReloadBeforeStart(t *testing.T) {
	is := is.New(t)
	limit := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(limit) })
	e := newDirectEntry(loader.Entry{Direct: loader.Direct{MemoryMB: 100}})
	file := filepath.Join(t.TempDir(), "settings.toml")
	is.NoErr(os.WriteFile(file, []byte(`process = "entry"
dataCentre = "kitami"
callers = "127.0.0.1:0"
links = "127.0.0.1:0"
admin = "127.0.0.1:0"

[store]
protocol = "objects"
url = "http://127.0.0.1:1"

[direct]
dialect = "objects"
readiness = "127.0.0.1:0"
maxKeyAge = "3s"
stopWithin = "10s"
memoryMB = 100

[direct.retries]
ratio = 0.1
reserve = 5
window = "2s"
`), 0o600))
	is.NoErr(e.reload(file))
	is.Equal(time.Duration(e.maxKeyAge.Load()), 3*time.Second)
}
