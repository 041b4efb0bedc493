// Package forwarder forwards TCP connections between two processes and injects
// network faults: it closes connections, drops their bytes, delays them or
// refuses new ones. It is for tests only.
package forwarder

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// Forwarder forwards connections until Close. Its methods are safe for
	// concurrent use.
	Forwarder struct {
		target string
		wait   sync.WaitGroup

		// fault is the current fault of all connections.
		fault atomic.Pointer[Fault]

		mu sync.Mutex
		// listener is nil while connections are refused.
		listener    net.Listener
		connections map[*connection]struct{}
	}

	// Fault describes a fault of all connections, current and new ones. It
	// lasts until another one is set. The zero value is no fault.
	Fault struct {
		// Refuse closes new connections as soon as they are accepted.
		Refuse bool
		// LoseRequests and LoseAnswers drop the bytes sent to and received from
		// the target.
		LoseRequests, LoseAnswers bool
		// Delay is the time by which each chunk of bytes is delayed.
		Delay time.Duration
	}

	// connection is one forwarded connection.
	connection struct {
		forwarder      *Forwarder
		client, server net.Conn
		silent         atomic.Bool
	}
)

// New returns a Forwarder that forwards connections accepted by the listener to
// the target address. It closes the listener in Close.
func New(listener net.Listener, target string) *Forwarder {
	f := &Forwarder{target: target, connections: make(map[*connection]struct{})}
	f.fault.Store(&Fault{})
	f.Resume(listener)
	return f
}

// Listen returns a Forwarder to the target that listens on a free loopback
// address, and that address.
func Listen(target string) (*Forwarder, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	return New(listener, target), listener.Addr().String(), nil
}

// Close closes the listener and all connections and waits for them to end.
func (f *Forwarder) Close() error {
	err := f.Suspend()
	f.Cut()
	f.wait.Wait()
	return err
}

// Suspend closes the listener, so that the kernel refuses connections as it does for a
// process that has ended. Current connections stay open.
func (f *Forwarder) Suspend() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener == nil {
		return nil
	}
	listener := f.listener
	f.listener = nil
	return listener.Close()
}

// Resume accepts connections on the listener. It must not be called after Close or
// while another listener is in use.
func (f *Forwarder) Resume(listener net.Listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listener = listener
	f.wait.Go(func() { f.accept(listener) })
}

// SetFault replaces the current fault.
func (f *Forwarder) SetFault(fault Fault) { f.fault.Store(&fault) }

// Cut closes the current connections.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		c.close()
	}
}

// Silence drops all further bytes of the current connections, which stay open.
func (f *Forwarder) Silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		c.silent.Store(true)
	}
}

func (f *Forwarder) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if f.fault.Load().Refuse {
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &connection{forwarder: f, client: client, server: server}
		f.mu.Lock()
		f.connections[c] = struct{}{}
		f.mu.Unlock()
		f.wait.Go(func() { f.forward(c) })
	}
}

func (f *Forwarder) forward(c *connection) {
	var wait sync.WaitGroup
	wait.Go(func() { c.copy(c.server, c.client, true) })
	wait.Go(func() { c.copy(c.client, c.server, false) })
	wait.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connections, c)
}

// copy forwards the bytes of one direction. When that ends, it closes the whole
// connection.
func (c *connection) copy(to io.Writer, from io.Reader, requests bool) {
	defer c.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		fault := c.forwarder.fault.Load()
		if c.silent.Load() || requests && fault.LoseRequests || !requests && fault.LoseAnswers {
			// A connection that has lost bytes is corrupt, so it stays silent
			// also after the fault has ended.
			c.silent.Store(true)
			continue
		}
		time.Sleep(fault.Delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (c *connection) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}
