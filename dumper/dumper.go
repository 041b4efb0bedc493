// Package dumper serves the admin port of a process: its health, its metrics
// and, on request, a dump of its state.
package dumper

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// reportInterval is how often metrics are brought up to date.
	reportInterval = time.Second

	// readTimeout bounds the time in which a request arrives.
	readTimeout = 10 * time.Second
)

type (
	// Options is what a Dumper is made from.
	Options struct {
		// Process names the process in the dump.
		Process string
		// Ready tells whether the process can do its work.
		Ready func() bool
		// State returns the parts of the state dump by name.
		State func() any
		// Routes adds further routes, or is nil.
		Routes func(*echo.Echo)
		Log    zerolog.Logger
	}

	// Dumper serves the admin port.
	Dumper struct {
		options Options
		http    *http.Server
		scope   tally.Scope
		closer  io.Closer
		done    chan struct{}
	}

	dump struct {
		Process string    `json:"process"`
		Time    time.Time `json:"time"`
		Ready   bool      `json:"ready"`
		State   any       `json:"state"`
	}
)

// New returns a Dumper that serves the listener until Close.
func New(listener net.Listener, options Options) *Dumper {
	d := &Dumper{options: options, done: make(chan struct{})}
	reporter := prometheus.NewReporter(prometheus.Options{OnRegisterError: d.registerError})
	d.scope, d.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "carawaybeam",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	router := echo.New()
	router.GET("/healthz", func(c *echo.Context) error { return c.NoContent(http.StatusOK) })
	router.GET("/readyz", d.serveReady)
	router.GET("/state", d.serveState)
	router.GET("/metrics", echo.WrapHandler(reporter.HTTPHandler()))
	if options.Routes != nil {
		options.Routes(router)
	}
	d.http = &http.Server{Handler: router, ReadTimeout: readTimeout}
	go d.serve(listener)
	return d
}

// Scope returns the scope under which metrics appear.
func (d *Dumper) Scope() tally.Scope { return d.scope }

// Close ends the admin port and waits.
func (d *Dumper) Close() error {
	err := d.http.Close()
	<-d.done
	return errors.Join(err, d.closer.Close())
}

func (d *Dumper) serve(listener net.Listener) {
	defer close(d.done)
	if err := d.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		d.options.Log.Error().Err(err).Msg("dumper: admin port is no longer served")
	}
}

func (d *Dumper) registerError(err error) {
	d.options.Log.Warn().Err(err).Msg("dumper: metric is not registered")
}

func (d *Dumper) serveReady(c *echo.Context) error {
	if !d.options.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (d *Dumper) serveState(c *echo.Context) error {
	data, err := d.options.Dump()
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, data)
}

// Dump returns the state dump in JSON.
func (o Options) Dump() ([]byte, error) {
	data, err := json.MarshalIndent(dump{
		Process: o.Process,
		Time:    time.Now().UTC(),
		Ready:   o.Ready(),
		State:   o.State(),
	}, "", "  ")
	return append(data, '\n'), err
}
