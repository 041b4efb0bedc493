// Package messenger carries frames between the processes of the system, over
// yamux streams on TCP connections.
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
	// dialTimeout bounds the time to connect.
	dialTimeout = 2 * time.Second

	// writeTimeout bounds one write on a link, after which the peer counts as
	// silent.
	writeTimeout = 5 * time.Second

	// streamWindow is the receive window of one stream in bytes.
	streamWindow = 256 << 10
)

type (
	// Dialer makes links over TCP, and over TLS if it has a configuration. The
	// zero value is ready to use.
	Dialer struct {
		// TLS is the configuration of a client, or nil.
		TLS *tls.Config
		// Traffic counts what goes over the links, or is nil.
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

// Dial connects to the address.
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

// sessionConfig leaves the detection of silence to the frames above, which also
// notice a peer whose process is paused.
func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindow
	config.LogOutput = io.Discard
	return config
}

// Open starts a stream.
func (l *link) Open(context.Context) (carawaybeam.Stream, error) {
	conn, err := l.session.Open()
	if err != nil {
		return nil, err
	}
	return newStream(conn, l.traffic), nil
}

// Done is closed once the link has ended.
func (l *link) Done() <-chan struct{} { return l.session.CloseChan() }

// Close ends the link and its streams.
func (l *link) Close() error { return l.session.Close() }

func newStream(conn net.Conn, traffic *Traffic) *stream {
	return &stream{conn: conn, reader: bufio.NewReader(conn), traffic: traffic}
}

// Send writes one frame.
func (s *stream) Send(frame *framer.Frame) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	s.traffic.sent()
	return framer.Write(s.conn, frame)
}

// Receive reads one frame. A stream on which it failed can only be closed.
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

// Close ends both directions of the stream.
func (s *stream) Close() error { return s.conn.Close() }

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
