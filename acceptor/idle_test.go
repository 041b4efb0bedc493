package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/acceptor"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/platform"
)

type (
	// passedOn is a Forwarder that records the requests it serves. Each takes serveTime.
	passedOn struct {
		idle atomic.Int64
		seen sync.Map
	}

	// observedListener accepts connections that report reads and closes.
	observedListener struct {
		net.Listener
		beforeClose func()
		// arrived receives the client's address at each read that returned data.
		arrived chan string
	}

	observedConn struct {
		net.Conn
		listener *observedListener
	}
)

const serveTime = 20 * time.Millisecond

func (f *passedOn) Serve(
	ctx context.Context, _ time.Time, r *carawaybeam.ClientRequest, w forwarder.AnswerWriter,
) *carawaybeam.RequestError {
	f.seen.Store(string(r.ID), true)
	select {
	case <-time.After(serveTime):
	case <-ctx.Done():
		return &carawaybeam.RequestError{Outcome: carawaybeam.OutcomeUnknown}
	}
	return echoBody(ctx, r, w)
}

func (f *passedOn) Limits() (carawaybeam.ClientLimits, bool) {
	return carawaybeam.ClientLimits{IdleTimeout: time.Duration(f.idle.Load())}, true
}

func (f *passedOn) has(id string) bool {
	_, ok := f.seen.Load(id)
	return ok
}

func (l *observedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &observedConn{Conn: conn, listener: l}, nil
}

func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.arrived <- c.RemoteAddr().String()
	}
	return n, err
}

func (c *observedConn) Close() error {
	c.listener.beforeClose()
	return c.Conn.Close()
}

// start starts an Acceptor on the listener for the time of the test.
func start(t *testing.T, listener net.Listener, f acceptor.Forwarder) *acceptor.Acceptor {
	t.Helper()
	a := acceptor.New(listener, acceptor.Options{
		Dialect: platform.Dialect{}, Forwarder: f, BodyBytes: 1 << 20, HeaderBytes: 4096,
		ReadTimeout: time.Second, WriteTimeout: time.Second, Scope: tally.NoopScope, Log: zerolog.Nop(),
	})
	t.Cleanup(func() { _ = a.Close() })
	return a
}

// request sends a request with an identifier on the connection.
func request(conn net.Conn, id string) {
	_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", id)
}

// answered reports whether the connection carries a complete answer.
func answered(reader *bufio.Reader) bool {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

// TestIdleCloseCutsNoRequest guards against passing a request on although its connection is
// being closed as idle, so that it gets neither an answer nor a refusal.
func TestIdleCloseCutsNoRequest(t *testing.T) {
	const idleTimeout = 300 * time.Millisecond
	f := &passedOn{}
	f.idle.Store(int64(idleTimeout))
	cross(t, f, func(*acceptor.Acceptor) {})
}

// TestDrainCutsNoRequest guards against dropping a request that was read although its
// connection is being closed by a stop.
func TestDrainCutsNoRequest(t *testing.T) {
	f := &passedOn{}
	f.idle.Store(int64(time.Minute))
	cross(t, f, func(a *acceptor.Acceptor) {
		if err := a.Drain(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

// cross lets the next request arrive on all connections just as the first of them is closed,
// and checks that what was read or passed on is answered. closeIdle begins to close them.
func cross(t *testing.T, f *passedOn, closeIdle func(*acceptor.Acceptor)) {
	t.Helper()
	const (
		connections = 8
		patience    = 300 * time.Millisecond
	)
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &observedListener{Listener: inner, arrived: make(chan string, 16*connections)}
	var conns [connections]net.Conn
	var readers [connections]*bufio.Reader
	var crossing sync.Once
	ready := make(chan struct{})
	var received sync.Map
	listener.beforeClose = func() {
		<-ready
		crossing.Do(func() {
			for len(listener.arrived) > 0 {
				<-listener.arrived
			}
			for i, conn := range conns {
				request(conn, fmt.Sprint("second-", i))
			}
			limit := time.After(patience)
			for range connections {
				select {
				case address := <-listener.arrived:
					received.Store(address, true)
				case <-limit:
					return
				}
			}
		})
	}
	a := start(t, listener, f)
	for i := range conns {
		conns[i], err = net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		defer func() { _ = conns[i].Close() }()
		readers[i] = bufio.NewReader(conns[i])
		request(conns[i], fmt.Sprint("first-", i))
		is.True(answered(readers[i]))
	}
	close(ready)
	closeIdle(a)
	unanswered := make(map[int]bool)
	for i := range conns {
		is.NoErr(conns[i].SetReadDeadline(time.Now().Add(5 * time.Second)))
		unanswered[i] = !answered(readers[i])
	}
	// A request may still be on its way through the server when its client sees the close.
	time.Sleep(patience)
	for i := range conns {
		if !unanswered[i] {
			continue
		}
		if _, ok := received.Load(conns[i].LocalAddr().String()); ok {
			t.Errorf("request second-%d was read and got no answer", i)
		}
		if f.has(fmt.Sprint("second-", i)) {
			t.Errorf("request second-%d was passed on and got no answer", i)
		}
	}
}
