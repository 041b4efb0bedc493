// Package forwarder is a stand-in for what lies between two processes: it
// forwards TCP connections, and cuts them or loses track of them on order. It
// serves tests only.
package forwarder

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

type (
	// Forwarder forwards connections until Close.
	Forwarder struct {
		listener net.Listener
		target   string
		wait     sync.WaitGroup

		mu    sync.Mutex
		pairs map[*pair]struct{}
	}

	// pair is one forwarded connection.
	pair struct {
		near, far net.Conn
		silent    atomic.Bool
	}
)

// New returns a Forwarder from the listener to the target address.
func New(listener net.Listener, target string) *Forwarder {
	f := &Forwarder{listener: listener, target: target, pairs: make(map[*pair]struct{})}
	f.wait.Go(f.accept)
	return f
}

// Close ends all connections and waits.
func (f *Forwarder) Close() error {
	err := f.listener.Close()
	f.Cut()
	f.wait.Wait()
	return err
}

// Cut ends the present connections.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		p.close()
	}
}

// Silence loses all further bytes of the present connections, which stay open.
func (f *Forwarder) Silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		p.silent.Store(true)
	}
}

func (f *Forwarder) accept() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{near: near, far: far}
		f.mu.Lock()
		f.pairs[p] = struct{}{}
		f.mu.Unlock()
		f.wait.Go(func() { f.forward(p) })
	}
}

func (f *Forwarder) forward(p *pair) {
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(p.far, p.near) })
	wait.Go(func() { p.copy(p.near, p.far) })
	wait.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pairs, p)
}

// copy forwards one direction and ends both when it ends.
func (p *pair) copy(to io.Writer, from io.Reader) {
	defer p.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
