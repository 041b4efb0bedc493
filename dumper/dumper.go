// Package dumper serves the admin port of a process over HTTP: liveness and readiness
// checks, metrics and a dump of the process's state.
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
	// reportInterval is how often the reported metrics are updated.
	reportInterval = time.Second

	// readTimeout is the maximum time for reading a request.
	readTimeout = 10 * time.Second
)

type (
	// Options configures a Dumper.
	Options struct {
		// Process is the name of the process in the state dump.
		Process string
		// Ready reports whether the process can serve requests.
		Ready func() bool
		// State returns the state for the dump, whose fields are encoded as JSON.
		State func() any
		// Routes adds further routes to the admin port. It may be nil.
		Routes func(*echo.Echo)
		Log    zerolog.Logger
	}

	// Dumper serves the admin port of a process.
	Dumper struct {
		options Options
		http    *http.Server
		scope   tally.Scope
		// closer stops the reporting of metrics.
		closer io.Closer
		// done is closed when the listener is no longer served.
		done chan struct{}
	}

	// dump is the state dump.
	dump struct {
		Process string    `json:"process"`
		Time    time.Time `json:"time"`
		Ready   bool      `json:"ready"`
		State   any       `json:"state"`
	}
)

// New returns a Dumper that serves the admin port on the listener until Close.
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

// Scope returns the scope in which the process creates its metrics.
func (d *Dumper) Scope() tally.Scope { return d.scope }

// Close closes the admin port, aborts its requests and stops the reporting of metrics.
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
	d.options.Log.Warn().Err(err).Msg("dumper: cannot register a metric")
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

// Dump returns the state dump as JSON.
func (o Options) Dump() ([]byte, error) {
	data, err := json.MarshalIndent(dump{
		Process: o.Process,
		Time:    time.Now().UTC(),
		Ready:   o.Ready(),
		State:   o.State(),
	}, "", "  ")
	return append(data, '\n'), err
}
