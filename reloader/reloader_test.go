package reloader_test

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam/reloader"
)

// TestSignalReloads checks that the settings are reloaded on SIGHUP, which would end
// the process by default, and on a change of the file without a signal.
func TestSignalReloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		file := filepath.Join(t.TempDir(), "settings.toml")
		is.NoErr(os.WriteFile(file, []byte("a"), 0o600))
		var applied []string
		var refuse error
		signals := make(chan os.Signal, 1)
		r := reloader.New(reloader.Options{
			File:    file,
			Signals: signals,
			Log:     zerolog.Nop(),
			Apply: func(path string) error {
				content, err := os.ReadFile(path)
				applied = append(applied, string(content))
				return errors.Join(err, refuse)
			},
		})
		// At odd seconds the file is not being checked.
		time.Sleep(9 * time.Second)
		synctest.Wait()
		is.Equal(len(applied), 0)

		signals <- syscall.SIGHUP
		synctest.Wait()
		is.Equal(applied, []string{"a"})

		is.NoErr(os.WriteFile(file, []byte("b"), 0o600))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.Equal(applied, []string{"a", "b"})

		refuse = errors.New("unknown key")
		is.NoErr(os.WriteFile(file, []byte("c"), 0o600))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.Equal(applied, []string{"a", "b", "c"})
		is.NoErr(r.Close())
	})
}
