package pooler_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/pooler"
	"github.com/carawaybeam/carawaybeam/prover"
)

// backend is a backend server that handles each request with a script.
type backend struct {
	net.Listener
	mu       sync.Mutex
	accepted int
	requests []string
	bodies   []string
}

// newBackend starts a backend server. Its script gets the number of the request,
// counted from 1 over all connections, and the connection. The connection is
// closed if the script returns false.
func newBackend(t *testing.T, script func(n int, conn net.Conn, r *http.Request) bool) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.accepted++
			b.mu.Unlock()
			go b.serve(conn, script)
		}
	}()
	return b
}

func (b *backend) serve(conn net.Conn, script func(n int, conn net.Conn, r *http.Request) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.requests = append(b.requests, r.Method+" "+r.RequestURI)
		n := len(b.requests)
		b.mu.Unlock()
		if !script(n, conn, r) {
			return
		}
		body, _ := io.ReadAll(r.Body)
		b.mu.Lock()
		b.bodies = append(b.bodies, string(body))
		b.mu.Unlock()
	}
}

func (b *backend) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted
}

func (b *backend) address() carawaybeam.Address { return carawaybeam.Address(b.Addr().String()) }

func answer(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func decode(status int, header http.Header) carawaybeam.ReplyHead {
	return carawaybeam.ReplyHead{
		Status: status, Header: header, Request: carawaybeam.RequestID(header.Get("Request-Id")),
	}
}

func newPooler(t *testing.T) *pooler.Pooler {
	t.Helper()
	p := pooler.New(pooler.Options{DecodeReply: decode})
	t.Cleanup(func() {
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p
}

func request(id string) pooler.Request {
	return pooler.Request{
		ID:     carawaybeam.RequestID(id),
		Method: http.MethodGet,
		Host:   "h.example",
		Target: "/a%2Fb?c=d",
	}
}

// send sends one request and returns the body of the answer.
func send(t *testing.T, p *pooler.Pooler, b *backend, r pooler.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reply, err := p.Send(ctx, b.address(), r)
	if err != nil {
		return "", err
	}
	data, err := reply.ReadAll(1 << 20)
	return string(data), errors.Join(err, reply.Body.Close())
}

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(n int, conn net.Conn, _ *http.Request) bool {
		answer(conn, fmt.Sprint(n), "body")
		return true
	})
	p := newPooler(t)
	for n := 1; n <= 3; n++ {
		body, err := send(t, p, b, request(fmt.Sprint(n)))
		is.NoErr(err)
		is.Equal(body, "body")
	}
	is.Equal(b.connections(), 1)
	is.Equal(b.requests[0], "GET /a%2Fb?c=d") // The target must be sent unmodified.
}

// TestIdleConnectionsAreLimited checks that no more idle connections stay behind than the last
// request allows.
func TestIdleConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	var arrived sync.WaitGroup
	arrived.Add(4)
	b := newBackend(t, func(_ int, conn net.Conn, r *http.Request) bool {
		arrived.Done()
		arrived.Wait()
		answer(conn, r.Header.Get("Request-Id"), "x")
		return true
	})
	p := newPooler(t)
	var requests sync.WaitGroup
	for i := range 4 {
		requests.Go(func() {
			limited := request(fmt.Sprint(i))
			limited.MaxIdle = 2
			if reply, err := p.Send(t.Context(), b.address(), limited); err == nil {
				_, _ = io.ReadAll(reply.Body)
				_ = reply.Body.Close()
			}
		})
	}
	requests.Wait()
	is.Equal(p.State().Idle, 2)
}

// TestDuplicateAnswerIsNotUsed checks that an answer which a backend server sends
// twice is never used for the next request on the connection, whether the
// duplicate arrives before or after that request is sent.
func TestDuplicateAnswerIsNotUsed(t *testing.T) {
	for name, late := range map[string]bool{"before": false, "after": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBackend(t, func(n int, conn net.Conn, _ *http.Request) bool {
				if n == 1 {
					answer(conn, "1", "first")
					if !late {
						answer(conn, "1", "first")
						time.Sleep(50 * time.Millisecond)
					}
					return true
				}
				if late {
					answer(conn, "1", "first")
				}
				answer(conn, "2", "second")
				return true
			})
			p := newPooler(t)
			body, err := send(t, p, b, request("1"))
			is.NoErr(err)
			is.Equal(body, "first")
			time.Sleep(20 * time.Millisecond)
			body, err = send(t, p, b, request("2"))
			is.NoErr(err)
			is.Equal(body, "second")
		})
	}
}

// TestStrayAnswersOnly checks that a request fails if the connection carries only
// answers to other requests.
func TestStrayAnswersOnly(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		for range 4 {
			answer(conn, "other", "x")
		}
		return false
	})
	_, err := send(t, newPooler(t), b, request("1"))
	var stray *pooler.StrayAnswerError
	is.True(errors.As(err, &stray))
	is.Equal(stray.Got, carawaybeam.RequestID("other"))
}

// TestClosedConnectionIsNotUsed checks that a request does not fail because the
// backend server has closed an idle connection: it is sent over a new one.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(n int, conn net.Conn, _ *http.Request) bool {
		answer(conn, fmt.Sprint(n), "body")
		return n != 1
	})
	p := newPooler(t)
	_, err := send(t, p, b, request("1"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	_, err = send(t, p, b, request("2"))
	is.NoErr(err)
	is.Equal(b.connections(), 2)
}

func TestUnreachableIsNotSent(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(int, net.Conn, *http.Request) bool { return false })
	is.NoErr(b.Close())
	_, err := send(t, newPooler(t), b, request("1"))
	var unsent *carawaybeam.NotSentError
	is.True(errors.As(err, &unsent))
}

// TestResetMayHaveRun checks that a connection reset after the request was sent is
// not reported as proof that the request did not run.
func TestResetMayHaveRun(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	_, err := send(t, newPooler(t), b, request("1"))
	is.True(err != nil)
	var unsent *carawaybeam.NotSentError
	is.True(!errors.As(err, &unsent))
}

// TestUnframedAnswer checks an answer without a length, which ends with its
// connection: it is complete after a close and fails after a reset.
func TestUnframedAnswer(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBackend(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\npart")
				if reset {
					time.Sleep(50 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			body, err := send(t, newPooler(t), b, request("1"))
			is.Equal(err != nil, reset)
			if !reset {
				is.Equal(body, "part")
			}
		})
	}
}

// TestEndlessBytes guards against a backend server that sends bytes without end, fast or slowly,
// in any place of an answer: the request must end, and its connection be closed.
func TestEndlessBytes(t *testing.T) {
	tests := map[string]struct{ start, repeated string }{
		"garbage":       {"", "x"},
		"status line":   {"HTTP/1.1 200 ", "O"},
		"header line":   {"HTTP/1.1 200 OK\r\nA: ", "a"},
		"header lines":  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"stray answers": {"", "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 0\r\n\r\n"},
		"stray body":    {"HTTP/1.1 200 OK\r\nRequest-Id: 2\r\n\r\n", "x"},
		"body":          {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n", "x"},
		"chunk header":  {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"chunks":        {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailer": {
			"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n",
		},
	}
	for name, test := range tests {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, slow %t", name, slow), func(t *testing.T) {
				is := is.New(t)
				closed := make(chan struct{})
				b := newBackend(t, func(_ int, conn net.Conn, _ *http.Request) bool {
					defer close(closed)
					_, err := io.WriteString(conn, test.start)
					for err == nil {
						if slow {
							_, err = io.WriteString(conn, test.repeated)
							time.Sleep(5 * time.Millisecond)
						} else {
							_, err = io.WriteString(conn, strings.Repeat(test.repeated, 1000))
						}
					}
					return false
				})
				p := newPooler(t)
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				defer cancel()
				if slow {
					ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
					defer cancel()
				}
				reply, err := p.Send(ctx, b.address(), request("1"))
				if err == nil {
					_, err = reply.ReadAll(1 << 20)
					is.NoErr(reply.Body.Close())
				}
				is.True(err != nil)
				select {
				case <-closed:
				case <-time.After(5 * time.Second):
					t.Error("connection is still open")
				}
				is.Equal(p.State().Idle, 0)
			})
		}
	}
}

// TestEndlessHeadIsCounted checks that memory for the head of an answer is bounded, and that
// the counter tells of it.
func TestEndlessHeadIsCounted(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		for {
			if _, err := io.WriteString(conn, strings.Repeat("x", 1<<10)); err != nil {
				return false
			}
		}
	})
	p, began := newPooler(t), time.Now()
	_, err := send(t, p, b, request("1"))
	is.True(err != nil)
	is.True(time.Since(began) < 2*time.Second)
	is.Equal(p.State().Oversized, uint64(1))
}

// TestRefusalWithEndlessBody guards against a refusal that is passed on late because its body
// does not end.
func TestRefusalWithEndlessBody(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 503 Busy\r\nRequest-Id: 1\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, "x")
			time.Sleep(time.Millisecond)
		}
		return false
	})
	p := newPooler(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reply, err := p.Send(ctx, b.address(), request("1"))
	is.NoErr(err)
	began := time.Now()
	reply.Drain()
	is.True(time.Since(began) < time.Second)
	is.NoErr(reply.Body.Close())
	is.Equal(p.State().Idle, 0)
}

// TestEarlyAnswer answers a long request before its body has been read. The rest
// of the body must still be sent completely, and the next request must not be
// sent in its place on the same connection.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(n int, conn net.Conn, _ *http.Request) bool {
		answer(conn, fmt.Sprint(n), "early")
		return true
	})
	p := newPooler(t)
	long := request("1")
	long.Method = http.MethodPost
	long.Body = []byte(strings.Repeat("long", 1<<20))
	body, err := send(t, p, b, long)
	is.NoErr(err)
	is.Equal(body, "early")
	_, err = send(t, p, b, request("2"))
	is.NoErr(err)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, got := range b.bodies {
		is.True(got == "" || got == string(long.Body)) // Nothing else may be sent in place of the body.
	}
}

// TestCancelEndsTheRequest checks that the backend server notices when the
// client cancels a request that it is working on.
func TestCancelEndsTheRequest(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	b := newBackend(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	p := newPooler(t)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := p.Send(ctx, b.address(), request("1"))
	is.True(errors.Is(err, context.Canceled))
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("backend server did not notice that the request was cancelled")
	}
}

// TestAnswerClosedTwice checks that closing the body of an answer again does not close
// the connection, which the next request may be using by then.
func TestAnswerClosedTwice(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	b := newBackend(t, func(n int, conn net.Conn, _ *http.Request) bool {
		if n == 2 {
			<-second
		}
		answer(conn, fmt.Sprint(n), "body")
		return true
	})
	p := newPooler(t)
	first, err := p.Send(t.Context(), b.address(), request("1"))
	is.NoErr(err)
	_, err = first.ReadAll(1 << 20)
	is.NoErr(err)
	is.NoErr(first.Body.Close())
	time.AfterFunc(50*time.Millisecond, func() {
		if err := first.Body.Close(); err != nil {
			t.Error(err)
		}
		close(second)
	})
	body, err := send(t, p, b, request("2"))
	is.NoErr(err)
	is.Equal(body, "body")
	is.Equal(b.connections(), 1)
}

// TestAnswerReadAfterClose checks that nothing is read through the body of an answer whose
// connection has been handed back, such as the answer to the next request.
func TestAnswerReadAfterClose(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(n int, conn net.Conn, _ *http.Request) bool {
		answer(conn, fmt.Sprint(n), "body")
		return true
	})
	p := newPooler(t)
	first, err := p.Send(t.Context(), b.address(), request("1"))
	is.NoErr(err)
	_, err = first.ReadAll(1 << 20)
	is.NoErr(err)
	is.NoErr(first.Body.Close())
	n, err := first.Body.Read(make([]byte, 1))
	is.Equal(n, 0)
	is.True(err != nil)
}

// TestCancelBesideEnd checks that a request which is cancelled as its answer ends does not
// leave a connection in the pool that is closed under the next request.
func TestCancelBesideEnd(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(_ int, conn net.Conn, r *http.Request) bool {
		answer(conn, r.Header.Get("Request-Id"), "body")
		return true
	})
	p := newPooler(t)
	for i := range 500 {
		ctx, cancel := context.WithCancel(t.Context())
		reply, err := p.Send(ctx, b.address(), numbered(2*i))
		is.NoErr(err)
		_, err = reply.ReadAll(1 << 20)
		is.NoErr(err)
		var cancelled sync.WaitGroup
		cancelled.Go(cancel)
		is.NoErr(reply.Body.Close())
		_, err = send(t, p, b, numbered(2*i+1))
		is.NoErr(err)
		cancelled.Wait()
	}
}

// TestCloseIdleBesideRequests checks that closing the idle connections to a backend server
// does not end a request that takes one of them at the same moment.
func TestCloseIdleBesideRequests(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(_ int, conn net.Conn, r *http.Request) bool {
		answer(conn, r.Header.Get("Request-Id"), "body")
		return true
	})
	p := newPooler(t)
	done := make(chan struct{})
	var closing sync.WaitGroup
	closing.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Microsecond):
				p.CloseIdle(b.address())
			}
		}
	})
	var requests sync.WaitGroup
	for worker := range 4 {
		requests.Go(func() {
			for i := range 200 {
				if _, err := send(t, p, b, numbered(1000*worker+i)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	requests.Wait()
	close(done)
	closing.Wait()
	is.True(p.State().Reused > 0)
}

// numbered returns a request that sends its number as its identifier.
func numbered(n int) pooler.Request {
	r := request(fmt.Sprint(n))
	r.Header = http.Header{"Request-Id": {fmt.Sprint(n)}}
	return r
}

// refuseRequest writes an answer that proves that a request did not run.
func refuseRequest(conn net.Conn, id string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
}

// TestPromiseLateRefusalOfSameRequest guards against taking a late copy of a refusal for the answer to the
// next attempt of the same request, or to another request with the same identifier (TWICE, REFUSED).
func TestPromiseLateRefusalOfSameRequest(t *testing.T) {
	violations := 0
	tests := map[string]int{"next attempt": 0, "after other requests": 3}
	for name, between := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var refused sync.Map
			b := newBackend(t, func(_ int, conn net.Conn, r *http.Request) bool {
				id := r.Header.Get("Request-Id")
				// A refusal that was sent on the connection is sent again before each answer.
				if _, ok := refused.Load(conn); ok {
					refuseRequest(conn, "0")
				}
				if _, ran := refused.LoadOrStore(id, true); id == "0" && !ran {
					refused.Store(conn, true)
					refuseRequest(conn, id)
					return true
				}
				answer(conn, id, "ran")
				return true
			})
			p := newPooler(t)
			_, err := send(t, p, b, numbered(0))
			is.NoErr(err)
			for n := range between {
				body, err := send(t, p, b, numbered(n+1))
				is.NoErr(err)
				is.Equal(body, "ran")
			}
			body, err := send(t, p, b, numbered(0))
			is.NoErr(err)
			if body != "ran" {
				violations++
			}
		})
	}
	prover.Report(t, prover.NotRun, len(tests), violations)
}

// TestUnnamedAnswer checks that an answer which names no request is the answer to the first request
// on its connection, and cannot be told from a late copy of that on behalf of a later one.
func TestUnnamedAnswer(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(n int, conn net.Conn, _ *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 1\r\n\r\n%d", n)
		return true
	})
	p := newPooler(t)
	body, err := send(t, p, b, numbered(0))
	is.NoErr(err)
	is.Equal(body, "1")
	var stray *pooler.StrayAnswerError
	_, err = send(t, p, b, numbered(1))
	is.True(errors.As(err, &stray))
	body, err = send(t, p, b, numbered(2))
	is.NoErr(err)
	is.Equal(body, "3")
	is.Equal(b.connections(), 2)
}

// TestRequestsOfOneConnectionAreBounded checks that a connection is given up before the memory for
// the requests that were sent over it is full.
func TestRequestsOfOneConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, func(_ int, conn net.Conn, r *http.Request) bool {
		answer(conn, r.Header.Get("Request-Id"), "body")
		return true
	})
	p := newPooler(t)
	for n := range 600 {
		_, err := send(t, p, b, numbered(n))
		is.NoErr(err)
	}
	is.Equal(b.connections(), 3)
}
