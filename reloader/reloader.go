// Package reloader reads the settings of a process anew when it is told to, or
// when it notices that the file has changed.
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

// lookInterval is how often the file is looked at, since it may change without a
// signal.
const lookInterval = 2 * time.Second

type (
	// Options is what a Reloader is made from.
	Options struct {
		// File is the path of the settings.
		File string
		// Apply reads the file and puts it in force. After an error the settings
		// before stay in force.
		Apply func(file string) error
		// Signals tells to read the file. Nil stands for SIGHUP.
		Signals chan os.Signal
		Log     zerolog.Logger
	}

	// Reloader follows the settings until Close.
	Reloader struct {
		options Options
		done    chan struct{}
		wait    sync.WaitGroup
		// content is what was last applied.
		content []byte
	}
)

// New returns a Reloader for a file that has been applied once.
func New(options Options) *Reloader {
	r := &Reloader{options: options, done: make(chan struct{})}
	if options.Signals == nil {
		r.options.Signals = make(chan os.Signal, 1)
		signal.Notify(r.options.Signals, syscall.SIGHUP)
	}
	r.content = r.read()
	r.wait.Go(r.follow)
	return r
}

// Close ends the work and waits. The signal stays caught, since it must not end a
// process that stops.
func (r *Reloader) Close() error {
	close(r.done)
	r.wait.Wait()
	return nil
}

func (r *Reloader) follow() {
	ticker := time.NewTicker(lookInterval)
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
			r.options.Log.Error().Err(err).Str("cause", cause).Msg("reloader: settings are refused, those before stay")
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
