package verifier

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// connection is a connection of a Transport.
//
// During an exchange, a Write that has failed returns once reading has come to its end. Otherwise
// net/http would close the connection, and drop a response that has been received.
type connection struct {
	net.Conn
	// inExchange is set once the connection carries requests without TLS.
	inExchange atomic.Bool
	// held is full while an exchange uses the connection.
	held chan struct{}
	// sending is the request whose response ends with the connection, or nil.
	sending atomic.Pointer[Transmission]

	// writing is held during a write.
	writing  sync.Mutex
	writeErr error

	// ended is closed by end once reading has come to its end or the connection is closed.
	ended chan struct{}
	end   func()
}

func newConnection(conn net.Conn) *connection {
	ended := make(chan struct{})
	return &connection{
		Conn:  conn,
		held:  make(chan struct{}, 1),
		ended: ended,
		end:   sync.OnceFunc(func() { close(ended) }),
	}
}

// Read reads from the connection. If its end is that of a response, Read returns io.EOF only if the
// response is complete.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	c.end()
	if sending := c.sending.Load(); sending != nil && errors.Is(err, io.EOF) {
		cause := sending.wait()
		if cause == nil {
			cause = c.writeError()
		}
		if cause != nil {
			return n, &IncompleteError{Cause: cause}
		}
	}
	return n, err
}

// Write writes to the connection.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if err != nil && c.inExchange.Load() {
		<-c.ended
	}
	return n, err
}

// Close closes the connection.
func (c *connection) Close() error {
	defer c.end()
	return c.Conn.Close()
}

func (c *connection) write(p []byte) (int, error) {
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
