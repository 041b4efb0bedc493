// Package acceptor takes clients' requests over HTTP in a platform's dialect and
// writes their answers as they come.
package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/starter"
)

const (
	// noticeTime is how long a leaving process goes on taking connections. The
	// balancer asks once a second and takes a VM out after two refusals.
	noticeTime = 2500 * time.Millisecond

	// sweepInterval is how often idle connections are looked through.
	sweepInterval = time.Second
)

type (
	// Forwarder serves one request.
	Forwarder interface {
		Serve(
			ctx context.Context,
			arrived time.Time,
			request *carawaybeam.ClientRequest,
			w forwarder.AnswerWriter,
		) *carawaybeam.RequestError
		// Limits returns the bounds on clients, and false while there are none.
		Limits() (carawaybeam.ClientLimits, bool)
	}

	// Options is what an Acceptor is made from.
	Options struct {
		Dialect   carawaybeam.Dialect
		Forwarder Forwarder
		// BodyBytes and HeaderBytes bound a request where the configuration does
		// not bound it more closely.
		BodyBytes   int64
		HeaderBytes int
		// ReadTimeout bounds the time in which a client sends its request.
		ReadTimeout time.Duration
		// WriteTimeout bounds the time in which a client takes one part of its
		// answer.
		WriteTimeout time.Duration
		Log          zerolog.Logger
	}

	// Acceptor serves clients from one listener.
	Acceptor struct {
		options Options
		http    *http.Server
		ctx     context.Context
		cancel  context.CancelFunc
		wait    sync.WaitGroup
		leaving atomic.Bool

		mu sync.Mutex
		// idle holds since when each connection without a request is idle.
		idle map[net.Conn]time.Time
	}
)

// New returns an Acceptor that serves clients from the listener until Close.
func New(listener net.Listener, options Options) *Acceptor {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Acceptor{options: options, ctx: ctx, cancel: cancel, idle: make(map[net.Conn]time.Time)}
	a.http = &http.Server{
		Handler:           http.HandlerFunc(a.serve),
		ReadHeaderTimeout: options.ReadTimeout,
		MaxHeaderBytes:    options.HeaderBytes,
		ErrorLog:          starter.NewConnectionLog(options.Log, "acceptor"),
		ConnState:         a.note,
	}
	a.wait.Go(func() {
		if err := a.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			a.options.Log.Error().Err(err).Msg("acceptor: clients are no longer served")
		}
	})
	a.wait.Go(a.sweep)
	return a
}

// Drain waits until the balancer has had time to notice that the process leaves,
// then takes no more connections and waits until the running requests have
// ended, or ctx ends.
func (a *Acceptor) Drain(ctx context.Context) error {
	a.leaving.Store(true)
	timer := time.NewTimer(noticeTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return a.http.Shutdown(ctx)
}

// Close cuts off what runs and waits.
func (a *Acceptor) Close() error {
	a.cancel()
	err := a.http.Close()
	a.wait.Wait()
	return err
}

// note follows which connections are idle.
func (a *Acceptor) note(conn net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateIdle {
		a.idle[conn] = time.Now()
	} else {
		delete(a.idle, conn)
	}
}

// sweep closes connections that have been idle for longer than clients may.
func (a *Acceptor) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-a.ctx.Done():
			return
		}
		limits, ok := a.options.Forwarder.Limits()
		if !ok || limits.IdleTimeout <= 0 {
			continue
		}
		a.mu.Lock()
		for conn, since := range a.idle {
			if time.Since(since) > limits.IdleTimeout {
				// A connection that is closed already needs no second close.
				_ = conn.Close()
			}
		}
		a.mu.Unlock()
	}
}

func (a *Acceptor) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if a.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	answer := &answerWriter{w: w, control: http.NewResponseController(w), timeout: a.options.WriteTimeout}
	request, failure := a.read(w, r)
	if failure == nil {
		failure = a.options.Forwarder.Serve(r.Context(), arrived, &request, answer)
	} else {
		a.options.Log.Info().Str("request", string(request.ID)).Str("reason", string(failure.Reason)).
			Str("detail", failure.Detail).Msg("acceptor: request is refused")
	}
	if failure == nil {
		return
	}
	if answer.begun {
		// An answer that ends early must not look complete.
		panic(http.ErrAbortHandler)
	}
	a.writeFailure(w, failure)
}

// read reads a request and its body.
func (a *Acceptor) read(w http.ResponseWriter, r *http.Request) (carawaybeam.ClientRequest, *carawaybeam.RequestError) {
	request, err := a.options.Dialect.DecodeRequest(r)
	if err != nil {
		return request, carawaybeam.NotRun(carawaybeam.ReasonBadRequest, err.Error(), 0)
	}
	limit := a.options.BodyBytes
	if limits, ok := a.options.Forwarder.Limits(); ok && limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	if r.ContentLength > limit {
		return request, carawaybeam.NotRun(carawaybeam.ReasonTooLarge, "body is too large", 0)
	}
	request.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return request, carawaybeam.NotRun(carawaybeam.ReasonTooLarge, "body is too large", 0)
	}
	if err != nil {
		return request, carawaybeam.NotRun(carawaybeam.ReasonBadRequest, "body could not be read: "+err.Error(), 0)
	}
	return request, nil
}

func (a *Acceptor) writeFailure(w http.ResponseWriter, failure *carawaybeam.RequestError) {
	status, header := a.options.Dialect.EncodeFailure(failure)
	for name, values := range header {
		w.Header()[name] = values
	}
	body := string(failure.Reason) + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A client that has gone needs no answer.
	_, _ = io.WriteString(w, body)
}
