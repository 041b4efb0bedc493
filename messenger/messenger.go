// Package messenger transports frames between processes over yamux streams, which are
// multiplexed on TCP or TLS connections.
package messenger

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// dialTimeout is the timeout for establishing a connection, including the TLS
	// handshake.
	dialTimeout = 2 * time.Second

	// writeTimeout is the timeout of one write on a link or stream. If it elapses,
	// the peer is regarded as unresponsive.
	writeTimeout = 5 * time.Second

	// streamWindow is the receive window of one stream in bytes.
	streamWindow = 256 << 10
)

type (
	// Dialer establishes links over TLS, or over plain TCP if TLS is nil. The zero
	// value is ready to use.
	Dialer struct {
		// TLS is the TLS configuration of the client, or nil.
		TLS *tls.Config
		// Traffic counts the frames and bytes of the links, unless it is nil.
		Traffic *Traffic
	}

	link struct {
		session *yamux.Session
		traffic *Traffic
	}

	stream struct {
		conn    net.Conn
		reader  *bufio.Reader
		sendMu  sync.Mutex
		traffic *Traffic
	}
)

var (
	_ carawaybeam.Dialer = Dialer{}
	_ carawaybeam.Link   = (*link)(nil)
	_ carawaybeam.Stream = (*stream)(nil)
)

// Dial establishes a link to the process that listens at the address.
func (d Dialer) Dial(ctx context.Context, address carawaybeam.Address) (carawaybeam.Link, error) {
	conn, err := d.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(d.Traffic.count(conn), sessionConfig())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return &link{session: session, traffic: d.Traffic}, nil
}

func (d Dialer) connect(ctx context.Context, address carawaybeam.Address) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if d.TLS == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", string(address))
	}
	return (&tls.Dialer{Config: d.TLS}).DialContext(ctx, "tcp", string(address))
}

// sessionConfig returns the configuration of yamux. Its keep-alive is disabled, since
// timeouts on the frames of the control streams detect an unresponsive peer, also
// one whose process is paused.
func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindow
	config.LogOutput = io.Discard
	return config
}

// Open opens a new stream.
func (l *link) Open(context.Context) (carawaybeam.Stream, error) {
	conn, err := l.session.Open()
	if err != nil {
		return nil, err
	}
	return newStream(conn, l.traffic), nil
}

// Done returns a channel that is closed when the link is closed.
func (l *link) Done() <-chan struct{} { return l.session.CloseChan() }

// Close closes the link and all its streams.
func (l *link) Close() error { return l.session.Close() }

func newStream(conn net.Conn, traffic *Traffic) *stream {
	return &stream{conn: conn, reader: bufio.NewReader(conn), traffic: traffic}
}

// Send writes one frame. It fails after writeTimeout.
func (s *stream) Send(frame *framer.Frame) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	s.traffic.sent()
	return framer.Write(s.conn, frame)
}

// Receive reads one frame. If none arrives within the timeout, the error is a
// *carawaybeam.ReceiveTimeoutError; 0 means no timeout. After any error the stream can
// only be closed.
func (s *stream) Receive(timeout time.Duration) (*framer.Frame, error) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	frame, err := framer.Read(s.reader)
	if isTimeout(err) {
		return nil, &carawaybeam.ReceiveTimeoutError{After: timeout}
	}
	if err == nil {
		s.traffic.received()
	}
	return frame, err
}

// Close closes both directions of the stream.
func (s *stream) Close() error { return s.conn.Close() }

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
