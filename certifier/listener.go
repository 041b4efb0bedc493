package certifier

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// handshakeTimeout bounds a TLS handshake.
const handshakeTimeout = 5 * time.Second

// Listener accepts connections whose TLS handshake succeeded. A peer that fails
// it is logged and cut off, and holds up no other.
type Listener struct {
	inner  net.Listener
	config *tls.Config
	log    zerolog.Logger

	accepted chan net.Conn
	failed   chan error
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

var _ net.Listener = (*Listener)(nil)

// Listen returns a Listener over the inner one, which it closes at its own end.
func Listen(inner net.Listener, config *tls.Config, log zerolog.Logger) *Listener {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Listener{
		inner:    inner,
		config:   config,
		log:      log,
		accepted: make(chan net.Conn),
		failed:   make(chan error, 1),
		ctx:      ctx,
		cancel:   cancel,
	}
	l.wait.Go(l.acceptAll)
	return l
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	case err := <-l.failed:
		return nil, err
	}
}

// Close ends the listener and waits for the handshakes under way.
func (l *Listener) Close() error {
	l.cancel()
	err := l.inner.Close()
	l.wait.Wait()
	return err
}

// Addr returns the address of the inner listener.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

func (l *Listener) acceptAll() {
	for {
		conn, err := l.inner.Accept()
		if err != nil {
			l.failed <- err
			return
		}
		l.wait.Go(func() { l.handshake(tls.Server(conn, l.config)) })
	}
}

func (l *Listener) handshake(conn *tls.Conn) {
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		if l.ctx.Err() == nil {
			l.log.Warn().Err(err).Stringer("peer", conn.RemoteAddr()).Msg("certifier: peer is refused")
		}
		_ = conn.Close()
		return
	}
	select {
	case l.accepted <- conn:
	case <-l.ctx.Done():
		_ = conn.Close()
	}
}
