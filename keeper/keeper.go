// Package keeper accepts the connections of an HTTP server's clients, ends those that are
// idle for too long, and records which side ended each connection, and why.
//
// A connection is idle until a byte of the next request has been read. Only the goroutine
// that reads it may end it as idle, after a last read that found nothing. A request is
// therefore either read and served, or not read at all; closing a connection from another
// goroutine would cut requests that had just been read.
package keeper

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// lastReadTime is how long the last read of an idle connection waits.
	lastReadTime = time.Millisecond

	// firstRequestTime is how long a new connection may take to send its first request
	// while the Keeper is draining.
	firstRequestTime = time.Second
)

const (
	// PartyClient is the client of the connection.
	PartyClient Party = "client"
	// PartyEntry is this process.
	PartyEntry Party = "entry"
	// PartyBackend is the backend server that gave the answer.
	PartyBackend Party = "backend"
)

const (
	// CauseClosed means that the connection was closed or reset.
	CauseClosed Cause = "closed"
	// CauseIdle means that the connection was idle for longer than its limit.
	CauseIdle Cause = "idle"
	// CauseReadTimeout means that the client did not send a request in time.
	CauseReadTimeout Cause = "readTimeout"
	// CauseWriteTimeout means that the client did not receive an answer in time.
	CauseWriteTimeout Cause = "writeTimeout"
	// CauseStopped means that the process stopped serving.
	CauseStopped Cause = "stopped"
	// CausePanic means that the handler of the request panicked.
	CausePanic Cause = "panic"
	// CauseIncomplete means that an answer of which the client has a part cannot be
	// completed.
	CauseIncomplete Cause = "incomplete"
)

type (
	// Party is a side of a request.
	Party string

	// Cause is the cause for which a connection was ended.
	Cause string

	// End tells who ended a connection and why. It is the zero value for a connection
	// that has not ended.
	End struct {
		By    Party
		Cause Cause
	}

	// Options configures a Keeper.
	Options struct {
		// IdleLimit returns how long a connection may be idle, or 0 for any time. A
		// connection is kept for the longer of the limits at the beginning and at the
		// end of its idle time, so that a change of the limit ends none that a client
		// may still use.
		IdleLimit func() time.Duration
		// HeaderTimeout is how long a client may take to send the header of a
		// request that it has begun.
		HeaderTimeout time.Duration
	}

	// Keeper is a listener for an http.Server, which must have Context as its
	// ConnContext, ConnState as its ConnState and no IdleTimeout.
	Keeper struct {
		net.Listener
		options  Options
		draining atomic.Bool
		// stopped is closed when Accept has failed, and drained when all connections
		// have ended after that.
		stopped, drained chan struct{}

		mu    sync.Mutex
		conns map[*Conn]struct{}
	}

	// Conn is an accepted connection.
	Conn struct {
		net.Conn
		keeper   *Keeper
		accepted time.Time

		mu  sync.Mutex
		end End
		// idle is set until a byte of the next request has been read, and fresh until
		// a byte of the first one has been read.
		idle, fresh bool
		idleSince   time.Time
		// idleLimit is the limit at idleSince.
		idleLimit time.Duration
		// readDeadline is the deadline that the server has set.
		readDeadline time.Time
	}

	// Reporter logs and counts requests that end without an answer.
	Reporter struct {
		// Component is the prefix of the log messages.
		Component string
		Log       zerolog.Logger
		Scope     tally.Scope
	}

	contextKey struct{}
)

// New returns a Keeper that accepts connections from the listener.
func New(listener net.Listener, options Options) *Keeper {
	return &Keeper{
		Listener: listener,
		options:  options,
		stopped:  make(chan struct{}),
		drained:  make(chan struct{}),
		conns:    make(map[*Conn]struct{}),
	}
}

// Accept waits for the next connection. The net.Conn is a *Conn.
func (k *Keeper) Accept() (net.Conn, error) {
	conn, err := k.Listener.Accept()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		if errors.Is(err, net.ErrClosed) && !isClosed(k.stopped) {
			close(k.stopped)
			k.checkDrained()
		}
		return nil, err
	}
	c := &Conn{Conn: conn, keeper: k, accepted: time.Now(), idle: true, fresh: true}
	k.conns[c] = struct{}{}
	return c, nil
}

// Drain closes the listener, ends all connections as they become idle, and waits until the
// last one has ended or ctx is done, in which case it returns the error of ctx. The handler
// must make each answer the last one of its connection before Drain is called.
func (k *Keeper) Drain(ctx context.Context) error {
	err := k.Close()
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

// remove removes a connection that has ended.
func (k *Keeper) remove(c *Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
	k.checkDrained()
}

// checkDrained closes drained after the last connection has ended. The caller holds mu.
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

// idleLimit returns the limit in force.
func (k *Keeper) idleLimit() time.Duration {
	if k.options.IdleLimit == nil {
		return 0
	}
	return k.options.IdleLimit()
}

// Context returns a copy of ctx from which EndOf obtains the end of the connection. It is
// meant for http.Server.ConnContext.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, unwrap(conn))
}

// ConnState is meant for http.Server.ConnState. It follows the state of a connection.
func ConnState(conn net.Conn, state http.ConnState) {
	c := unwrap(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateIdle:
		c.setIdle()
	case http.StateActive:
		c.setActive()
	}
}

// EndOf returns how the connection of a request ended. If it has not ended, the client
// has closed its side.
func EndOf(ctx context.Context) End {
	if conn, ok := ctx.Value(contextKey{}).(*Conn); ok && conn != nil {
		if end := conn.End(); end != (End{}) {
			return end
		}
	}
	return End{By: PartyClient, Cause: CauseClosed}
}

// unwrap returns the accepted connection of an HTTP server's connection, or nil if it was
// not accepted by a Keeper.
func unwrap(conn net.Conn) *Conn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	kept, _ := conn.(*Conn)
	return kept
}

// End returns how the connection ended.
func (c *Conn) End() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

// Read reads from the connection. While it is idle, Read returns io.EOF once its idle limit
// has passed or the Keeper is draining.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	if idle {
		return c.readIdle(p)
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.fail(err, CauseReadTimeout)
	}
	return n, err
}

// readIdle reads the first bytes of the next request.
func (c *Conn) readIdle(p []byte) (int, error) {
	for {
		last := c.setIdleDeadline()
		n, err := c.Conn.Read(p)
		switch {
		case n > 0:
			c.setActive()
			return n, err
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.fail(err, CauseReadTimeout)
			return n, err
		case last != "":
			c.setEnd(End{By: PartyEntry, Cause: last})
			return 0, io.EOF
		case c.readDeadlinePassed():
			return n, err
		}
	}
}

// setIdleDeadline sets the deadline of the next read. If it is the last one before the
// connection is ended, setIdleDeadline returns the cause.
func (c *Conn) setIdleDeadline() Cause {
	limit := c.keeper.idleLimit()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var deadline time.Time
	var last Cause
	switch {
	case c.keeper.draining.Load():
		last = CauseStopped
		if c.fresh {
			deadline = c.accepted.Add(firstRequestTime)
		}
	case c.fresh || c.idleLimit <= 0 || limit <= 0:
	default:
		last, deadline = CauseIdle, c.idleSince.Add(max(c.idleLimit, limit))
	}
	if last != "" && deadline.After(now) {
		last = ""
	} else if last != "" {
		deadline = now.Add(lastReadTime)
	}
	if !c.readDeadline.IsZero() && (deadline.IsZero() || c.readDeadline.Before(deadline)) {
		deadline = c.readDeadline
	}
	// An error means that the connection is closed, which Read reports.
	_ = c.Conn.SetReadDeadline(deadline)
	return last
}

func (c *Conn) readDeadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
}

// setIdle begins the idle time of the connection.
func (c *Conn) setIdle() {
	limit := c.keeper.idleLimit()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince, c.idleLimit = true, time.Now(), limit
	if c.end.Cause == CauseReadTimeout {
		// The server has let a read time out to stop waiting for the client's close.
		c.end = End{}
	}
}

// setActive ends the idle time of the connection.
func (c *Conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return
	}
	c.idle, c.fresh = false, false
	deadline := c.readDeadline
	if deadline.IsZero() {
		// The server sets the limit for the header once it has read several bytes.
		deadline = time.Now().Add(c.keeper.options.HeaderTimeout)
	}
	_ = c.Conn.SetReadDeadline(deadline)
}

// wake lets an idle connection look at the state of its Keeper.
func (c *Conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline sets the deadline for reads.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.idle {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline sets the deadline for reads and writes.
func (c *Conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.fail(err, CauseWriteTimeout)
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.setEnd(End{By: PartyEntry, Cause: CauseStopped})
	defer c.keeper.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// fail records an error of the connection. timeout is the cause if it is a timeout.
func (c *Conn) fail(err error, timeout Cause) {
	switch {
	case errors.Is(err, net.ErrClosed):
		// The end was recorded when the connection was closed.
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.setEnd(End{By: PartyEntry, Cause: timeout})
	default:
		c.setEnd(End{By: PartyClient, Cause: CauseClosed})
	}
}

// setEnd records the first end of the connection.
func (c *Conn) setEnd(end End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == (End{}) {
		c.end = end
	}
}

// Interrupted reports a request of which the client gets no complete answer although the
// handler has not panicked. ctx is the context of the request.
func (r Reporter) Interrupted(ctx context.Context, request carawaybeam.RequestID, begun bool) {
	end := End{By: PartyBackend, Cause: CauseIncomplete}
	if ctx.Err() != nil || !begun {
		end = EndOf(ctx)
	}
	r.report(request, end, begun)
}

// Panicked must be deferred by the handler of a request. It reports a panic, which ends the
// connection. begun is read when the handler panics.
func (r Reporter) Panicked(request carawaybeam.RequestID, begun *bool) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		r.report(request, End{By: PartyEntry, Cause: CausePanic}, *begun)
	}
	panic(cause)
}

// report logs and counts a request that was read and ended without a complete answer.
// begun tells that the client has a part of its answer.
func (r Reporter) report(request carawaybeam.RequestID, end End, begun bool) {
	r.Scope.Tagged(map[string]string{"by": string(end.By), "cause": string(end.Cause)}).
		Counter("requests_unanswered").Inc(1)
	r.Log.Info().Str("request", string(request)).Str("by", string(end.By)).Str("cause", string(end.Cause)).
		Bool("begun", begun).Msg(r.Component + ": request ended without a complete answer")
}
