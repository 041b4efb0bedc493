// Package keeper accepts the connections of an HTTP server's clients and records which
// side ended each of them, and why.
package keeper

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
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
	// CauseStopped means that the process stopped serving while requests were running.
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

	// Keeper is a listener that wraps the connections it accepts.
	Keeper struct {
		net.Listener
	}

	// Conn is an accepted connection.
	Conn struct {
		net.Conn

		mu  sync.Mutex
		end End
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
func New(listener net.Listener) *Keeper { return &Keeper{Listener: listener} }

// Accept waits for the next connection. The net.Conn is a *Conn.
func (k *Keeper) Accept() (net.Conn, error) {
	conn, err := k.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// Context returns a copy of ctx from which EndOf obtains the end of the connection. It is
// meant for http.Server.ConnContext.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, unwrap(conn))
}

// ConnState is meant for http.Server.ConnState. It follows the state of a connection.
func ConnState(conn net.Conn, state http.ConnState) {
	if kept := unwrap(conn); kept != nil && state == http.StateIdle {
		// The server has let a read time out to stop waiting for the client's close.
		kept.forget(CauseReadTimeout)
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

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.fail(err, CauseReadTimeout)
	}
	return n, err
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
func (c *Conn) Close() error { return c.CloseFor(CauseStopped) }

// CloseFor closes the connection for a cause.
func (c *Conn) CloseFor(cause Cause) error {
	c.setEnd(End{By: PartyEntry, Cause: cause})
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

// forget discards the recorded end if it has the cause.
func (c *Conn) forget(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end.Cause == cause {
		c.end = End{}
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
