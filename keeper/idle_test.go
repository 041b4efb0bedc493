package keeper_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam/fakes/piper"
	"github.com/carawaybeam/carawaybeam/keeper"
)

const (
	headerTimeout = 3 * time.Second
	drainDelay    = 2 * time.Second
)

type (
	// service is a Keeper for the clock of a test.
	service struct {
		*keeper.Keeper
		listener *piper.Listener
		idle     atomic.Int64
		// served counts the requests that reached the handler.
		served atomic.Int64
		// delay is how long the handler takes.
		delay time.Duration
	}

	// client is a client's connection to a service.
	client struct {
		net.Conn
		reader *bufio.Reader
	}
)

func newService(idle time.Duration) *service { return newServiceWith(idle, func(*keeper.Options) {}) }

// newServiceWith returns a service whose options change modifies.
func newServiceWith(idle time.Duration, change func(*keeper.Options)) *service {
	s := &service{listener: piper.New()}
	s.idle.Store(int64(idle))
	options := keeper.Options{
		Component: "test", Scope: tally.NoopScope, Log: zerolog.Nop(),
		IdleLimit:     func() time.Duration { return time.Duration(s.idle.Load()) },
		HeaderTimeout: headerTimeout,
		DrainDelay:    drainDelay,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.served.Add(1)
			select {
			case <-time.After(s.delay):
			case <-r.Context().Done():
			}
			w.WriteHeader(http.StatusOK)
		}),
	}
	change(&options)
	s.Keeper = keeper.New(s.listener, options)
	return s
}

func (s *service) close() { _ = s.Close() }

// connect connects to the service. wrap wraps the server's end of the connection.
func (s *service) connect(wrap func(net.Conn) net.Conn) *client {
	near := s.listener.Connect(wrap)
	return &client{Conn: near, reader: bufio.NewReader(near)}
}

// do sends a request and reports whether it was answered.
func (c *client) do() bool {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil
}

// closedAfter returns how long it takes until the server closes the connection.
func (c *client) closedAfter() time.Duration {
	begun := time.Now()
	_, _ = c.reader.ReadByte()
	return time.Since(begun).Round(10 * time.Millisecond)
}

// TestIdleLimitChanges guards against closing a connection that a client may still use under
// an earlier or a later idle limit.
func TestIdleLimitChanges(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		limits []time.Duration // The limits from the beginning on, changed every 400 ms.
		want   time.Duration
	}{
		"constant":      {[]time.Duration{2 * second}, 2 * second},
		"lowered":       {[]time.Duration{8 * second, 2 * second}, 8 * second},
		"raised":        {[]time.Duration{2 * second, 8 * second}, 8 * second},
		"changed twice": {[]time.Duration{6 * second, second, 4 * second}, 6 * second},
		"removed":       {[]time.Duration{2 * second, 0, 2 * second}, 2 * second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newService(test.limits[0])
				defer s.close()
				c := s.connect(nil)
				is.True(c.do())
				go func() {
					for _, limit := range test.limits[1:] {
						time.Sleep(400 * time.Millisecond)
						s.idle.Store(int64(limit))
					}
				}()
				is.Equal(c.closedAfter(), test.want)
			})
		})
	}
}

// TestNoIdleLimit checks that a connection without an idle limit stays open.
func TestNoIdleLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(0)
		defer s.close()
		c := s.connect(nil)
		is.True(c.do())
		time.Sleep(24 * time.Hour)
		is.True(c.do())
	})
}

// lateConn is a connection whose reads time out once although data has arrived, as they do in
// a process that was suspended.
type lateConn struct {
	net.Conn
	late atomic.Bool
}

func (c *lateConn) Read(p []byte) (int, error) {
	// The server reads a single byte while it handles a request.
	if len(p) > 1 && c.late.CompareAndSwap(true, false) {
		time.Sleep(time.Second)
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// TestRequestBeforeLateTimeout guards against closing a connection as idle although the next
// request has arrived in time.
func TestRequestBeforeLateTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(time.Second)
		defer s.close()
		conn := &lateConn{}
		c := s.connect(func(inner net.Conn) net.Conn {
			conn.Conn = inner
			return conn
		})
		conn.late.Store(true)
		is.True(c.do())
		time.Sleep(999 * time.Millisecond)
		is.True(c.do())
		is.Equal(s.served.Load(), int64(2))
		is.True(!conn.late.Load())
	})
}

// slowConn is a connection of a process that runs again only some time after it has set a
// deadline, when the deadline may have passed.
type slowConn struct {
	*net.TCPConn
	afterDeadline func()
	// answeredAt is when the last answer was written, in nanoseconds.
	answeredAt atomic.Int64
}

func (c *slowConn) SetReadDeadline(deadline time.Time) error {
	err := c.TCPConn.SetReadDeadline(deadline)
	c.afterDeadline()
	return err
}

func (c *slowConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.answeredAt.Store(time.Now().UnixNano())
	return n, err
}

// TestLastReadLooks guards against closing a connection as idle without having looked for a
// request that has arrived, as a read does whose deadline has passed.
func TestLastReadLooks(t *testing.T) {
	const idle = 50 * time.Millisecond
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var sent atomic.Bool
	near, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer func() { _ = near.Close() }()
	accepted, err := inner.Accept()
	is.NoErr(err)
	is.NoErr(inner.Close())
	far := &slowConn{TCPConn: accepted.(*net.TCPConn)}
	far.afterDeadline = func() {
		at := far.answeredAt.Load()
		if at == 0 || time.Since(time.Unix(0, at)) < idle || !sent.CompareAndSwap(false, true) {
			return
		}
		// The idle time is over, and the request arrives before the last read.
		_, _ = io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(10 * time.Millisecond)
	}
	s := newService(idle)
	defer s.close()
	go s.listener.Connect(func(net.Conn) net.Conn { return far })
	c := &client{Conn: near, reader: bufio.NewReader(near)}
	is.True(c.do())
	response, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(sent.Load())
}

// TestSilentConnection guards against a new connection that never sends a request and is never
// ended.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(time.Minute)
		defer s.close()
		is.Equal(s.connect(nil).closedAfter(), headerTimeout)
	})
}

// TestIdleLimitExceedsReadTimeout guards against the limit for reading a request that ends idle
// connections.
func TestIdleLimitExceedsReadTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServiceWith(time.Minute, func(o *keeper.Options) { o.ReadTimeout = headerTimeout })
		defer s.close()
		c := s.connect(nil)
		is.True(c.do())
		is.Equal(c.closedAfter(), time.Minute)
	})
}

// TestDrainOverTLS guards against a Drain that waits for connections that have completed their
// handshake and sent no request.
func TestDrainOverTLS(t *testing.T) {
	is := is.New(t)
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	k := keeper.New(listener, keeper.Options{
		Component: "test", Scope: tally.NoopScope, Log: zerolog.Nop(), HeaderTimeout: time.Minute,
		Handler: http.NotFoundHandler(), TLS: &tls.Config{Certificates: certified.TLS.Certificates},
	})
	defer func() { is.NoErr(k.Close()) }()
	conns := make([]*tls.Conn, 2)
	for i := range conns {
		//nolint:gosec // The certificate is that of the test.
		conns[i], err = tls.Dial("tcp", listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		is.NoErr(err)
		defer func() { _ = conns[i].Close() }()
	}
	c := &client{Conn: conns[1], reader: bufio.NewReader(conns[1])}
	is.True(c.do())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(k.Drain(ctx))
}

// TestPanicIsAnswered guards against a panic that closes the connection of a request without any
// answer, wherever it occurs in the handler.
func TestPanicIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServiceWith(time.Minute, func(o *keeper.Options) {
			o.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("fault of the test") })
		})
		defer s.close()
		c := s.connect(nil)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(c.reader, nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusInternalServerError)
	})
}

// TestPipelinedBody guards against a limit for the header that ends a request whose header had
// arrived before the connection became idle.
func TestPipelinedBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServiceWith(time.Minute, func(o *keeper.Options) {
			o.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					w.WriteHeader(http.StatusBadRequest)
				}
			})
		})
		defer s.close()
		c := s.connect(nil)
		go func() {
			_, _ = io.WriteString(
				c,
				"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\naPOST / HTTP/1.1\r\nHost: h\r\n"+
					"Content-Length: 1\r\n\r\n",
			)
			time.Sleep(2 * headerTimeout)
			_, _ = io.WriteString(c, "b")
		}()
		for range 2 {
			response, err := http.ReadResponse(c.reader, nil)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusOK)
		}
	})
}

// TestHeaderTimeout guards against a client that begins a request on a kept connection and
// never completes it.
func TestHeaderTimeout(t *testing.T) {
	for _, part := range []string{"G", "GET / HT"} {
		t.Run(part, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newService(time.Minute)
				defer s.close()
				c := s.connect(nil)
				is.True(c.do())
				time.Sleep(10 * time.Second)
				_, _ = io.WriteString(c, part)
				is.Equal(c.closedAfter(), headerTimeout)
			})
		})
	}
}

// TestDrain checks that Drain serves on at first, then ends idle connections at once and new
// ones soon, and waits for requests that run.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(time.Minute)
		defer s.close()
		idle, begun, running, last := s.connect(nil), s.connect(nil), s.connect(nil), s.connect(nil)
		for _, c := range []*client{idle, begun, last} {
			is.True(c.do())
		}
		start := time.Now()
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(context.Background()) }()
		time.Sleep(drainDelay / 2)
		is.True(last.do())
		is.Equal(last.closedAfter(), time.Duration(0))
		s.delay = 5 * time.Second
		_, _ = io.WriteString(begun, "GET / HTTP/1.1\r\n")
		answered := make(chan bool, 1)
		go func() { answered <- running.do() }()
		time.Sleep(drainDelay/2 - 100*time.Millisecond)
		fresh := s.connect(nil)
		is.Equal(idle.closedAfter(), 100*time.Millisecond)
		is.Equal(fresh.closedAfter(), 900*time.Millisecond)
		_, _ = io.WriteString(begun, "Host: h\r\n\r\n")
		response, err := http.ReadResponse(begun.reader, nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.True(<-answered)
		is.NoErr(<-drained)
		is.Equal(time.Since(start).Round(time.Second), 8*time.Second)
	})
}

// TestDrainEndsConnections guards against keeping the connection of a request that was read
// before Drain and is answered after it began: the client would use it again.
func TestDrainEndsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(time.Minute)
		defer s.close()
		s.delay = time.Second
		c := s.connect(nil)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(context.Background()) }()
		response, err := http.ReadResponse(c.reader, nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.True(response.Close)
		is.NoErr(<-drained)
	})
}

// TestDrainIsBounded checks that Drain returns when its time is over.
func TestDrainIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(time.Minute)
		defer s.close()
		s.delay = time.Minute
		c := s.connect(nil)
		go c.do()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		start := time.Now()
		err := s.Drain(ctx)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(start), 3*time.Second)
	})
}

// TestCloseAnswersRequests guards against closing the connection of a request that runs at the
// end of the time to stop without any answer.
func TestCloseAnswersRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(time.Minute)
		s.delay = time.Minute
		c := s.connect(nil)
		answered := make(chan bool, 1)
		go func() { answered <- c.do() }()
		time.Sleep(time.Second)
		start := time.Now()
		is.NoErr(s.Close())
		is.True(<-answered)
		is.True(time.Since(start) < 100*time.Millisecond)
	})
}
