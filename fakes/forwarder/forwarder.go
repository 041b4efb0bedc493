// Package forwarder is a stand-in for what lies between two processes: it
// forwards TCP connections, and cuts them or loses track of them on order. It
// serves tests only.
package forwarder

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// Forwarder forwards connections until Close.
	Forwarder struct {
		listener net.Listener
		target   string
		wait     sync.WaitGroup

		// fault is that of all connections, present and new.
		fault atomic.Pointer[Fault]

		mu    sync.Mutex
		pairs map[*pair]struct{}
	}

	// Fault is what happens to all connections until another one is set. The zero
	// value is none.
	Fault struct {
		// Refuse ends new connections at once.
		Refuse bool
		// LoseRequests and LoseAnswers lose the bytes to and from the target.
		LoseRequests, LoseAnswers bool
		// Delay holds each read back.
		Delay time.Duration
	}

	// pair is one forwarded connection.
	pair struct {
		forwarder *Forwarder
		near, far net.Conn
		silent    atomic.Bool
	}
)

// New returns a Forwarder from the listener to the target address.
func New(listener net.Listener, target string) *Forwarder {
	f := &Forwarder{listener: listener, target: target, pairs: make(map[*pair]struct{})}
	f.fault.Store(&Fault{})
	f.wait.Go(f.accept)
	return f
}

// Listen returns a Forwarder on a loopback address of its own, and that address.
func Listen(target string) (*Forwarder, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	return New(listener, target), listener.Addr().String(), nil
}

// Close ends all connections and waits.
func (f *Forwarder) Close() error {
	err := f.listener.Close()
	f.Cut()
	f.wait.Wait()
	return err
}

// SetFault puts a fault in force.
func (f *Forwarder) SetFault(fault Fault) { f.fault.Store(&fault) }

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
		if f.fault.Load().Refuse {
			_ = near.Close()
			continue
		}
		far, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{forwarder: f, near: near, far: far}
		f.mu.Lock()
		f.pairs[p] = struct{}{}
		f.mu.Unlock()
		f.wait.Go(func() { f.forward(p) })
	}
}

func (f *Forwarder) forward(p *pair) {
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(p.far, p.near, true) })
	wait.Go(func() { p.copy(p.near, p.far, false) })
	wait.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pairs, p)
}

// copy forwards one direction and ends both when it ends.
func (p *pair) copy(to io.Writer, from io.Reader, requests bool) {
	defer p.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		fault := p.forwarder.fault.Load()
		if p.silent.Load() || requests && fault.LoseRequests || !requests && fault.LoseAnswers {
			// A connection that has lost bytes never carries sense again.
			p.silent.Store(true)
			continue
		}
		time.Sleep(fault.Delay)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
