// Package reloader reloads the settings of a process on a signal or when the file
// has changed.
package reloader

import (
	"bytes"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// pollInterval is the interval at which the file is checked for changes, as it may
// change without a signal.
const pollInterval = 2 * time.Second

type (
	// Options configures a Reloader.
	Options struct {
		// File is the path of the settings file.
		File string
		// Apply reads the file and applies the settings. If it returns an error,
		// it must leave the previous settings in force.
		Apply func(file string) error
		// Signals triggers a reload. If it is nil, SIGHUP does.
		Signals chan os.Signal
		Log     zerolog.Logger
	}

	// Reloader reloads the settings until Close.
	Reloader struct {
		options Options
		done    chan struct{}
		wait    sync.WaitGroup
		// content is the content of the file at the last reload.
		content []byte
	}
)

// New returns a Reloader for a file that has already been applied.
func New(options Options) *Reloader {
	r := &Reloader{options: options, done: make(chan struct{})}
	if options.Signals == nil {
		r.options.Signals = make(chan os.Signal, 1)
		signal.Notify(r.options.Signals, syscall.SIGHUP)
	}
	r.content = r.read()
	r.wait.Go(r.run)
	return r
}

// Close stops the Reloader and waits for its goroutine. SIGHUP is still ignored
// afterwards, so that it does not kill a process during its shutdown. The error is
// always nil.
func (r *Reloader) Close() error {
	close(r.done)
	r.wait.Wait()
	return nil
}

func (r *Reloader) run() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		cause := "change"
		select {
		case <-r.options.Signals:
			cause = "signal"
		case <-ticker.C:
		case <-r.done:
			return
		}
		content := r.read()
		if content == nil || cause == "change" && bytes.Equal(content, r.content) {
			continue
		}
		r.content = content
		if err := r.options.Apply(r.options.File); err != nil {
			r.options.Log.Error().
				Err(err).
				Str("cause", cause).
				Msg("reloader: settings are invalid, keeping the previous ones")
			continue
		}
		r.options.Log.Info().Str("cause", cause).Str("file", r.options.File).Msg("reloader: settings are in force")
	}
}

// read returns the content of the file, or nil if it cannot be read.
func (r *Reloader) read() []byte {
	content, err := os.ReadFile(r.options.File)
	if err != nil {
		r.options.Log.Error().Err(err).Msg("reloader: settings cannot be read")
		return nil
	}
	return content
}
