package keeper

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// lastReadTime is how long the last read of an idle connection waits.
	lastReadTime = time.Millisecond

	// firstRequestTime is how long a new connection may take to send its first request
	// while the Keeper is draining.
	firstRequestTime = time.Second
)

// conn is the connection of a client. It is idle until a byte of the next request has been
// read.
type conn struct {
	net.Conn
	keeper   *Keeper
	accepted time.Time

	mu  sync.Mutex
	end End
	// idle is set while the connection is idle, and fresh until it has had a request.
	idle, fresh bool
	idleSince   time.Time
	// idleLimit is the limit at idleSince.
	idleLimit time.Duration
	// readDeadline is the deadline that the HTTP server has set.
	readDeadline time.Time
}

// Read reads from the connection. While it is idle, Read returns io.EOF once its idle limit
// has passed or the Keeper is draining.
func (c *conn) Read(p []byte) (int, error) {
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
func (c *conn) readIdle(p []byte) (int, error) {
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
func (c *conn) setIdleDeadline() Cause {
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

func (c *conn) readDeadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
}

// setIdle begins the idle time of the connection.
func (c *conn) setIdle() {
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
func (c *conn) setActive() {
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
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline sets the deadline for reads.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.idle {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline sets the deadline for reads and writes.
func (c *conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.fail(err, CauseWriteTimeout)
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.setEnd(End{By: PartyEntry, Cause: CauseStopped})
	defer c.keeper.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// fail records an error of the connection. timeout is the cause if it is a timeout.
func (c *conn) fail(err error, timeout Cause) {
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
func (c *conn) setEnd(end End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == (End{}) {
		c.end = end
	}
}
