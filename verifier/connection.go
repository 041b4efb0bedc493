package verifier

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// connection is a connection of a Transport.
type connection struct {
	net.Conn
	// sending is the request whose response ends with the connection, or nil.
	sending atomic.Pointer[Transmission]

	// writing is held during a write.
	writing  sync.Mutex
	writeErr error
}

// Read reads from the connection. If its end is that of a response, Read returns io.EOF only if the
// response is complete.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if sending := c.sending.Load(); sending != nil && errors.Is(err, io.EOF) {
		if cause := errors.Join(sending.wait(), c.writeError()); cause != nil {
			return n, &IncompleteError{Cause: cause}
		}
	}
	return n, err
}

// Write writes to the connection.
func (c *connection) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// writeError returns the error of the first write that failed. It waits for a write in progress:
// net/http flushes its last buffer after it has reported the request as written.
func (c *connection) writeError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}
