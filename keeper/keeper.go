// Package keeper serves HTTP on the connections of clients. It ends connections that are idle
// for too long or that a stopping process no longer serves, and records which side ended each
// connection, and why.
//
// Only the goroutine that reads a connection may end it as idle, after a last read that found
// nothing. A request is therefore either read and served, or not read at all. Closing a
// connection from another goroutine would cut requests that had just been read.
package keeper

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam/reserver"
	"github.com/carawaybeam/carawaybeam/shedder"
	"github.com/carawaybeam/carawaybeam/starter"
)

// answerTime is how long Close waits until the requests in flight have been answered.
const answerTime = 250 * time.Millisecond

type (
	// Options configures a Keeper.
	Options struct {
		// Component is the prefix of the log messages.
		Component string
		Handler   http.Handler
		// IdleLimit returns how long a connection may be idle, or 0 for any time. A
		// connection is kept for the longer of the limits at the beginning and at the
		// end of its idle time, so that a change of the limit ends none that a client
		// may still use.
		IdleLimit func() time.Duration
		// HeaderTimeout is how long a client may take to send the header of a
		// request, and HeaderBytes its maximum size.
		HeaderTimeout time.Duration
		HeaderBytes   int
		// ReadTimeout is how long a client may take to send a whole request, or 0
		// for any time.
		ReadTimeout time.Duration
		// DrainDelay is how long a Keeper that drains still accepts connections. In
		// this time the load balancer in front of the process detects that it is no
		// longer ready.
		DrainDelay time.Duration
		// TLS is the configuration for clients that connect over TLS, or nil.
		TLS *tls.Config
		// MaxRequests is the maximum number of requests on one connection, or 0 for any number.
		MaxRequests int
		// Bound is the maximum number of connections, or 0 for any number. Near it, those
		// with the least progress are closed for new ones.
		Bound shedder.Bound
		// Checks is set if the listener offers readiness checks, which have no other place to go. New
		// connections then wait longer for room, and more connections may be ending meanwhile.
		Checks bool
		// Memory bounds the memory for headers of many fields. If nil, it is not bounded.
		Memory *reserver.Reserver
		// Scope receives the metrics.
		Scope tally.Scope
		Log   zerolog.Logger
	}

	// Keeper serves clients on one listener.
	Keeper struct {
		options  Options
		listener net.Listener
		http     *http.Server
		// cancel cancels the context of all requests.
		cancel context.CancelFunc
		// leaving is set when Drain begins, and draining when idle connections end.
		leaving, draining atomic.Bool
		// stopped is closed when no more connections are accepted, and drained when
		// all connections have ended after that.
		stopped, drained chan struct{}

		mu    sync.Mutex
		conns map[*conn]struct{}
		// removed receives a value when a connection has ended, unless there is one in it.
		removed chan struct{}
		// ending is the number of connections that are being closed for others.
		ending int
		// victims are the connections that may be closed for others, as they were ranked at scanned, and
		// ranked are the connections to which they refer.
		victims []shedder.Victim
		ranked  []*conn
		scanned time.Time
		// lateAt is when a new connection last waited in vain for others to end. Only Accept uses it.
		lateAt time.Time
		counts
	}

	// Arrival tells when a request arrived.
	Arrival struct {
		// Accepted is when its connection was accepted, and Began when the first byte of
		// the request was read.
		Accepted, Began time.Time
	}

	// responseWriter writes the answer to one request.
	responseWriter struct {
		http.ResponseWriter
		keeper      *Keeper
		conn        *conn
		headWritten bool
		// last is set if the connection is to take no further request.
		last bool
	}

	// connListener accepts connections of the type *conn.
	connListener struct {
		net.Listener
		keeper *Keeper
	}
)

// New returns a Keeper that serves clients on the listener until Close.
func New(listener net.Listener, options Options) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		options:  options,
		listener: listener,
		cancel:   cancel,
		stopped:  make(chan struct{}),
		drained:  make(chan struct{}),
		conns:    make(map[*conn]struct{}),
		removed:  make(chan struct{}, 1),
	}
	k.http = &http.Server{
		Handler:           http.HandlerFunc(k.serveHTTP),
		ReadHeaderTimeout: options.HeaderTimeout,
		ReadTimeout:       options.ReadTimeout,
		// Without a value of its own, the server would end idle connections after
		// ReadTimeout.
		IdleTimeout:    -1,
		MaxHeaderBytes: options.HeaderBytes,
		ErrorLog:       starter.NewConnectionLog(options.Log, options.Component),
		BaseContext:    func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, unwrap(c))
		},
		ConnState: trackState,
	}
	k.prepareListener()
	var conns net.Listener = connListener{Listener: listener, keeper: k}
	if options.TLS != nil {
		conns = tls.NewListener(conns, options.TLS)
	}
	go k.serve(conns)
	return k
}

func (k *Keeper) serve(conns net.Listener) {
	err := k.http.Serve(conns)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		k.options.Log.Error().Err(err).Msg(k.options.Component + ": clients are no longer served")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.stopped)
	k.checkDrained()
}

// serveHTTP passes a request to the handler. It answers a request whose handler panics.
func (k *Keeper) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	answer := &responseWriter{ResponseWriter: w, keeper: k, conn: c, last: k.isLast(r)}
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			abort(c, r)
		}
		k.logPanic("", cause)
		if answer.headWritten {
			abort(c, r)
		}
		http.Error(answer, "the entry failed", http.StatusInternalServerError)
	}()
	if !k.fits(r) {
		refuseHeader(answer, r)
		return
	}
	k.options.Handler.ServeHTTP(answer, r)
	if r.ContentLength != 0 {
		// The server may read the rest of the body before or behind the answer.
		beginBody(r.Context())
	}
}

// abort ends the connection of a request before the end of its answer, by a panic. A client of HTTP/1.0
// takes the end of the connection for that of the answer unless the connection is reset.
func abort(c *conn, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) && c != nil {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			// If it fails, the connection has ended.
			_ = tcp.SetLinger(0)
		}
	}
	panic(http.ErrAbortHandler)
}

// WriteHeader writes the head of the answer. The answers of a process that is leaving close
// their connections, and so do those behind a request whose read was ended.
func (w *responseWriter) WriteHeader(status int) {
	w.headWritten = true
	if w.last || w.keeper.leaving.Load() || w.conn != nil && w.conn.readEnded.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written to the client.
func (w *responseWriter) FlushError() error {
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the ResponseWriter of the HTTP server, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// ArrivalOf returns when the request with the context arrived, or the zero value if it did not
// come over a connection of a Keeper.
func ArrivalOf(ctx context.Context) Arrival {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil {
		return Arrival{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return Arrival{Accepted: c.accepted, Began: c.began}
}

// Leaving reports whether the Keeper has been told to stop.
func (k *Keeper) Leaving() bool { return k.leaving.Load() }

// Drain stops the Keeper gracefully. For the time DrainDelay it serves on, and each answer
// closes its connection. Drain then closes the listener, ends each connection as it becomes
// idle, and waits until the last one has ended or ctx is done, in which case it returns the
// error of ctx.
func (k *Keeper) Drain(ctx context.Context) error {
	k.leaving.Store(true)
	timer := time.NewTimer(k.options.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return k.endIdle(ctx)
}

// endReads ends the reads of requests that have not arrived as a whole.
func (k *Keeper) endReads() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.endRead()
	}
}

// endIdle ends all connections as they become idle.
func (k *Keeper) endIdle(ctx context.Context) error {
	err := k.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	k.draining.Store(true)
	k.mu.Lock()
	for c := range k.conns {
		c.wake()
	}
	k.mu.Unlock()
	select {
	case <-k.drained:
		return err
	case <-ctx.Done():
		return errors.Join(err, ctx.Err())
	}
}

// Close cancels all requests in flight, also those whose bodies are still being read, and closes
// the listener. It leaves the handlers a short time to answer them before it closes the remaining
// connections.
func (k *Keeper) Close() error {
	k.leaving.Store(true)
	k.cancel()
	k.endReads()
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	inUse := errors.Is(k.endIdle(ctx), context.DeadlineExceeded)
	err := k.http.Close()
	<-k.stopped
	if inUse {
		k.options.Log.Warn().Msg(k.options.Component + ": connections were closed that had not ended by themselves")
	}
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Accept waits for the next connection.
func (l connListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, keeper: l.keeper, accepted: time.Now(), idle: true, fresh: true}
		if c.idleSince = c.accepted; l.keeper.admit(c) {
			return c, nil
		}
		// The client has sent nothing that was read.
		_ = accepted.Close()
	}
}

// remove removes a connection that has ended.
func (k *Keeper) remove(c *conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forget(c)
	select {
	case k.removed <- struct{}{}:
	default:
	}
	k.checkDrained()
}

// checkDrained closes drained once the last connection has ended. The caller holds mu.
func (k *Keeper) checkDrained() {
	if isClosed(k.stopped) && len(k.conns) == 0 && !isClosed(k.drained) {
		close(k.drained)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// unwrap returns the accepted connection of an HTTP server's connection.
func unwrap(served net.Conn) *conn {
	if secure, ok := served.(*tls.Conn); ok {
		served = secure.NetConn()
	}
	c, _ := served.(*conn)
	return c
}

// trackState follows the state that the HTTP server gives to a connection.
func trackState(served net.Conn, state http.ConnState) {
	c := unwrap(served)
	switch state {
	case http.StateIdle:
		c.setIdle()
	case http.StateActive:
		c.endIdle()
	}
}

// idleLimit returns the idle limit in force.
func (k *Keeper) idleLimit() time.Duration {
	if k.options.IdleLimit == nil {
		return 0
	}
	return k.options.IdleLimit()
}
