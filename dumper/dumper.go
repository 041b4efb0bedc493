// Package dumper serves the admin port of a process over HTTP: liveness and readiness
// checks, metrics and a dump of the process's state.
package dumper

import (
	"context"
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
	"golang.org/x/sync/semaphore"

	"github.com/carawaybeam/carawaybeam/keeper"
)

const (
	// pathAlive and pathReady are the paths of the checks.
	pathAlive = "/healthz"
	pathReady = "/readyz"

	// reportInterval is how often the reported metrics are updated.
	reportInterval = time.Second

	// readTimeout is the maximum time for reading a request, and writeTimeout that for writing
	// the answer. idleTimeout is how long a connection may be idle between two requests.
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
	idleTimeout  = 10 * time.Second

	// headerTimeout and headerBytes are the maximum time for reading the header of a request and its
	// maximum size.
	headerTimeout = 2 * time.Second
	headerBytes   = 16 << 10

	// maxConnections is the maximum number of connections. Those with the least progress are closed
	// for new ones, and half as many may be closing.
	maxConnections = 192

	// maxAnswers is the maximum number of answers, other than to checks, that are produced at the
	// same time. A state dump takes megabytes. Up to maxWaiting further requests wait for answerWait, and others
	// are refused: a connection whose request waits cannot be closed for a check.
	maxAnswers = 8
	maxWaiting = 64
	answerWait = 2 * time.Second
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
		keeper  *keeper.Keeper
		answers *semaphore.Weighted
		// places holds the requests that produce or wait for an answer.
		places *semaphore.Weighted
		scope  tally.Scope
		// closer stops the reporting of metrics.
		closer io.Closer
	}

	// answerWriter writes an answer within writeTimeout from its beginning.
	answerWriter struct {
		http.ResponseWriter
		headWritten bool
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
	d := &Dumper{
		options: options, answers: semaphore.NewWeighted(maxAnswers),
		places: semaphore.NewWeighted(maxAnswers + maxWaiting),
	}
	reporter := prometheus.NewReporter(prometheus.Options{OnRegisterError: d.registerError})
	d.scope, d.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "carawaybeam",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	router := echo.New()
	router.Use(d.limitAnswers)
	router.GET(pathAlive, func(c *echo.Context) error { return c.NoContent(http.StatusOK) })
	router.GET(pathReady, d.serveReady)
	router.GET("/state", d.serveState)
	router.GET("/metrics", echo.WrapHandler(reporter.HTTPHandler()))
	if options.Routes != nil {
		options.Routes(router)
	}
	d.keeper = keeper.New(listener, keeper.Options{
		Component:     "dumper",
		Handler:       router,
		IdleLimit:     func() time.Duration { return idleTimeout },
		HeaderTimeout: headerTimeout,
		ReadTimeout:   readTimeout,
		HeaderBytes:   headerBytes,
		Bound:         maxConnections,
		Checks:        true,
		Scope:         d.scope,
		Log:           options.Log,
	})
	return d
}

// Scope returns the scope in which the process creates its metrics.
func (d *Dumper) Scope() tally.Scope { return d.scope }

// Close closes the admin port, aborts its requests and stops the reporting of metrics.
func (d *Dumper) Close() error {
	return errors.Join(d.keeper.Close(), d.closer.Close())
}

// limitAnswers bounds the number of answers that are produced at the same time, except those to checks.
func (d *Dumper) limitAnswers(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		if path := c.Request().URL.Path; path == pathAlive || path == pathReady {
			return next(c)
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), answerWait)
		defer cancel()
		if !d.places.TryAcquire(1) {
			return refuse(c)
		}
		defer d.places.Release(1)
		if d.answers.Acquire(ctx, 1) != nil {
			return refuse(c)
		}
		defer d.answers.Release(1)
		c.SetResponse(&answerWriter{ResponseWriter: c.Response()})
		return next(c)
	}
}

func refuse(c *echo.Context) error {
	c.Response().Header().Set("Retry-After", "1")
	return c.NoContent(http.StatusServiceUnavailable)
}

// WriteHeader writes the head of the answer and begins the time for writing it.
func (w *answerWriter) WriteHeader(status int) {
	w.headWritten = true
	// If it fails, the answer has the time that is usual for one write.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped ResponseWriter, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

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
