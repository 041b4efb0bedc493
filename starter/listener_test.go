package starter_test

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam/starter"
)

// scriptedListener fails with one error after the other, and then accepts a connection.
type scriptedListener struct {
	net.Listener
	errs []error
	conn net.Conn
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func (l *scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestAcceptAfterFailure checks that a process which for a moment has no file descriptors
// left for new connections accepts connections again afterwards, until it closes the listener.
func TestAcceptAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		conn, peer := net.Pipe()
		defer func() { is.NoErr(errors.Join(conn.Close(), peer.Close())) }()
		exhausted := &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
		scripted := &scriptedListener{errs: []error{exhausted, exhausted}, conn: conn}
		listener := starter.RetryAccept(scripted, zerolog.Nop())
		got, err := listener.Accept()
		is.NoErr(err)
		is.Equal(got, conn)
		scripted.errs = []error{&net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}}
		_, err = listener.Accept()
		is.True(errors.Is(err, net.ErrClosed))
	})
}
