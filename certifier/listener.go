package certifier

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// handshakeTimeout is the timeout of a TLS handshake.
const handshakeTimeout = 5 * time.Second

// Listener accepts connections whose TLS handshake has succeeded. It logs failed
// handshakes and closes their connections. Handshakes run concurrently, so that a
// slow peer does not delay others.
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

// Listen returns a Listener that accepts connections from the inner listener.
// Close closes the inner listener too.
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

// Accept returns the next connection whose handshake has succeeded. It returns
// net.ErrClosed after Close.
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

// Close closes the listener, cancels the handshakes in progress and waits for them
// to return. Accepted connections stay open.
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
			l.log.Warn().
				Err(err).
				Stringer("peer", conn.RemoteAddr()).
				Msg("certifier: TLS handshake failed, connection closed")
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
