// Package piper connects clients to a listener by pipes in memory, for tests in a testing/synctest
// bubble.
package piper

import (
	"net"
	"sync"
)

// Listener accepts the far ends of pipes.
type Listener struct {
	accepted chan net.Conn
	closed   chan struct{}
	close    sync.Once
}

var _ net.Listener = (*Listener)(nil)

// New returns a Listener.
func New() *Listener {
	return &Listener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Connect returns the near end of a pipe whose far end has been accepted. wrap, if it is not nil,
// wraps the far end.
func (l *Listener) Connect(wrap func(net.Conn) net.Conn) net.Conn {
	near, far := net.Pipe()
	if wrap != nil {
		far = wrap(far)
	}
	l.accepted <- far
	return near
}

// Accept waits for the next call of Connect.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept fail.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an empty address.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
