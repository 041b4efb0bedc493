// Package breaker is a stand-in for a server that answers before it has read the request, and whose
// answers may be invalid or incomplete. It is for tests only.
package breaker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Ending is what the server does once it has written an answer.
type Ending int

const (
	// Keep reads the rest of the request and waits for the next one.
	Keep Ending = iota
	// Close reads the rest of the request and closes the connection.
	Close
	// CloseWrite ends the answer, then reads the rest of the request, and closes the connection.
	CloseWrite
	// CloseUnread closes the connection without reading the rest of the request.
	CloseUnread
	// Reset resets the connection without reading the rest of the request.
	Reset
	// Stall ends the answer and leaves the connection open without reading.
	Stall
)

const (
	// readPause is how long CloseWrite waits before it reads the rest of the request.
	readPause = 20 * time.Millisecond

	// answerPause follows every second answer, so that its client has read the answer before the
	// connection fails.
	answerPause = 5 * time.Millisecond
)

type (
	// Answer is one answer and what follows.
	Answer struct {
		// Name describes the answer in the names of subtests.
		Name string
		// Head is the status line and header, and may hold informational responses.
		Head   string
		Body   string
		Ending Ending
		// Load, unless it is empty, is the JSON document that answers GET requests instead.
		Load string
	}

	// Breaker is a server that sends the same answer to each request. It runs until Close.
	Breaker struct {
		listener net.Listener
		answer   Answer
		closed   chan struct{}
		wait     sync.WaitGroup
		// requests and connections count what the server has accepted, and reused the requests on
		// connections that had carried one before.
		requests, connections, reused atomic.Int64
	}
)

// New returns a Breaker that accepts connections from the listener, which it closes.
func New(listener net.Listener, answer Answer) *Breaker {
	b := &Breaker{listener: listener, answer: answer, closed: make(chan struct{})}
	b.wait.Go(b.accept)
	return b
}

// Start starts a Breaker for a test, which closes it at its end.
func Start(t testing.TB, answer Answer) *Breaker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := New(listener, answer)
	t.Cleanup(func() { _ = b.Close() })
	return b
}

// Address returns the address of the server.
func (b *Breaker) Address() string { return b.listener.Addr().String() }

// Requests returns the number of requests whose header has been read.
func (b *Breaker) Requests() int { return int(b.requests.Load()) }

// Connections returns the number of accepted connections.
func (b *Breaker) Connections() int { return int(b.connections.Load()) }

// Reused returns the number of requests on connections that had carried one before.
func (b *Breaker) Reused() int { return int(b.reused.Load()) }

// Close closes all connections and waits for their goroutines.
func (b *Breaker) Close() error {
	close(b.closed)
	err := b.listener.Close()
	b.wait.Wait()
	return err
}

func (b *Breaker) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.connections.Add(1)
		b.wait.Go(func() { b.serve(conn.(*net.TCPConn)) })
	}
}

// serve answers the requests of one connection until an answer ends it.
func (b *Breaker) serve(conn *net.TCPConn) {
	done := make(chan struct{})
	defer close(done)
	b.wait.Go(func() {
		select {
		case <-b.closed:
		case <-done:
		}
		_ = conn.Close()
	})
	// A small buffer leaves the rest of a large request in the socket.
	reader := bufio.NewReaderSize(conn, 16)
	for first := true; ; first = false {
		method, length, err := readHead(reader)
		if err != nil {
			return
		}
		if method == http.MethodGet && b.answer.Load != "" {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", ok, len(b.answer.Load), b.answer.Load)
			continue
		}
		if !first {
			b.reused.Add(1)
		}
		n := b.requests.Add(1)
		if _, err := io.WriteString(conn, b.answer.Head+b.answer.Body); err != nil {
			return
		}
		if n%2 == 0 {
			time.Sleep(answerPause)
		}
		if !b.end(conn, reader, length) {
			return
		}
	}
}

// end does what follows the answer to a request with a body of the given length. It reports whether
// the connection is kept.
func (b *Breaker) end(conn *net.TCPConn, reader io.Reader, length int64) bool {
	switch b.answer.Ending {
	case Keep, Close:
		_, err := io.CopyN(io.Discard, reader, length)
		return err == nil && b.answer.Ending == Keep
	case CloseWrite:
		_ = conn.CloseWrite()
		time.Sleep(readPause)
		_, _ = io.CopyN(io.Discard, reader, length)
	case Reset:
		_ = conn.SetLinger(0)
	case Stall:
		_ = conn.CloseWrite()
		<-b.closed
	case CloseUnread:
	}
	return false
}

// readHead reads the head of a request and returns its method and the length of its body.
func readHead(reader *bufio.Reader) (method string, length int64, err error) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "", 0, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			return method, length, nil
		}
		if method == "" {
			method, _, _ = strings.Cut(line, " ")
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		if strings.EqualFold(name, "Content-Length") {
			if length, err = strconv.ParseInt(strings.TrimSpace(value), 10, 64); err != nil {
				return "", 0, err
			}
		}
	}
}
