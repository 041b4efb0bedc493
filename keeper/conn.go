package keeper

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lastReadTime is how long the last read of an idle connection waits if the
	// connection has no file descriptor.
	lastReadTime = time.Millisecond

	// firstRequestTime is how long a new connection may take to send its first request
	// while the Keeper is draining.
	firstRequestTime = time.Second
)

// conn is the connection of a client. It is idle until a byte of the next request has been
// read, or its header over TLS, where not all bytes belong to requests.
type conn struct {
	net.Conn
	keeper   *Keeper
	accepted time.Time
	// ending is set while the Keeper counts the connection as ending. It is guarded by the mu of Keeper.
	ending bool

	mu  sync.Mutex
	end End
	// idle is set while the connection is idle, and fresh until it has had a request.
	idle, fresh bool
	idleSince   time.Time
	// readEnded is set once the Keeper has ended the read of a request.
	readEnded atomic.Bool
	// began is when the first byte of the last request was read, or its header over TLS.
	began time.Time
	// idleLimit is the limit at idleSince.
	idleLimit time.Duration
	// readDeadline is the deadline that the HTTP server has set.
	readDeadline time.Time
	progress
}

// Read reads from the connection. While it is idle, Read returns io.EOF once its idle limit
// has passed or the Keeper is draining.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	idle, err := c.idle, c.readErr
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if idle && c.readEnded.Load() {
		// The HTTP server has cancelled the context of all further requests.
		cause := CauseOverload
		if c.keeper.leaving.Load() {
			cause = CauseStopped
		}
		c.setEnd(End{By: PartyEntry, Cause: cause})
		return 0, io.EOF
	}
	read := c.Conn.Read
	if idle {
		read = c.readIdle
	}
	n, err := read(p)
	if err != nil && !idle {
		c.fail(err, CauseReadTimeout)
	}
	if reserveErr := c.readBytes(p[:n]); reserveErr != nil {
		return 0, reserveErr
	}
	return n, err
}

// readIdle reads the first bytes of the next request.
func (c *conn) readIdle(p []byte) (int, error) {
	for {
		cause, ending := c.setIdleDeadline()
		read := c.Conn.Read
		if ending {
			read = c.readAvailable
		}
		n, err := read(p)
		switch {
		case n > 0:
			c.received()
			return n, err
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.fail(err, CauseReadTimeout)
			return n, err
		case ending:
			c.setEnd(End{By: PartyEntry, Cause: cause})
			return 0, io.EOF
		case c.readDeadlinePassed():
			return n, err
		}
	}
}

// readAvailable reads what has arrived. It returns os.ErrDeadlineExceeded if there is nothing.
// A read with a deadline may return without having looked, if the deadline passes first.
func (c *conn) readAvailable(p []byte) (int, error) {
	descriptor, ok := c.Conn.(syscall.Conn)
	if !ok {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTime))
		return c.Conn.Read(p)
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	for {
		// A deadline that wake sets meanwhile ends the read before it has looked.
		_ = c.Conn.SetReadDeadline(time.Time{})
		var readErr error
		err := raw.Read(func(fd uintptr) bool {
			for n, readErr = syscall.Read(int(fd), p); errors.Is(readErr, syscall.EINTR); {
				n, readErr = syscall.Read(int(fd), p)
			}
			return true
		})
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue
		case err != nil:
			return 0, err
		case errors.Is(readErr, syscall.EAGAIN):
			return 0, os.ErrDeadlineExceeded
		case readErr != nil:
			return 0, readErr
		case n == 0:
			return 0, io.EOF
		}
		return n, nil
	}
}

// setIdleDeadline sets the deadline of the next read. If the idle time is over, it reports so
// and returns the cause for which the connection is to be ended.
func (c *conn) setIdleDeadline() (cause Cause, ending bool) {
	limit := c.keeper.idleLimit()
	c.mu.Lock()
	defer c.mu.Unlock()
	var end time.Time
	switch {
	case c.keeper.draining.Load():
		cause, end = CauseStopped, time.Now()
		if c.fresh {
			end = c.accepted.Add(firstRequestTime)
		}
	case c.shed:
		cause, end = CauseOverload, time.Now()
	case !c.fresh && c.idleLimit > 0 && limit > 0:
		cause, end = CauseIdle, c.idleSince.Add(max(c.idleLimit, limit))
	}
	if !end.IsZero() && !end.After(time.Now()) {
		return cause, true
	}
	if !c.readDeadline.IsZero() && (end.IsZero() || c.readDeadline.Before(end)) {
		end = c.readDeadline
	}
	// An error means that the connection is closed, which Read reports.
	_ = c.Conn.SetReadDeadline(end)
	return "", false
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
	c.endRequest()
	if c.end.Cause == CauseReadTimeout {
		// The server has let a read time out to stop waiting for the client's close.
		c.end = End{}
	}
}

// received ends the idle time of the connection as the first bytes of a request are read. Over
// TLS endIdle does it.
func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keeper.options.TLS != nil {
		return
	}
	c.idle, c.fresh, c.began = false, false, time.Now()
	c.beginHead()
	deadline := c.readDeadline
	if deadline.IsZero() {
		// The server sets the limit for the header once it has read several bytes.
		deadline = time.Now().Add(c.keeper.options.HeaderTimeout)
	}
	_ = c.Conn.SetReadDeadline(deadline)
}

// endIdle ends the idle time of the connection once the header of a request has been read.
func (c *conn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.ahead = c.keeper.options.TLS == nil
		c.idle, c.fresh, c.began = false, false, time.Now()
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.endHead()
}

// wake lets an idle connection look at the state of its Keeper.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// endRead ends the read of a request.
func (c *conn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		c.readEnded.Store(true)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline sets the deadline for reads.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.idle || c.readEnded.Load() {
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
	n, err := c.writeParts(p)
	if err != nil {
		c.fail(err, CauseWriteTimeout)
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.setEnd(End{By: PartyEntry, Cause: CauseStopped})
	c.mu.Lock()
	c.endRequest()
	c.mu.Unlock()
	defer c.keeper.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection.
func (c *conn) CloseWrite() error {
	c.beginClosing()
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
	case c.wasShed():
		c.setEnd(End{By: PartyEntry, Cause: CauseOverload})
	case timeout == CauseReadTimeout && c.readEnded.Load():
		// The request is still answered.
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
