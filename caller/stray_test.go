package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/caller"
)

// repeatingBackend answers with the identifier of the attempt as the body, and in the
// header if identifies is set. Before the second answer on a connection it sends a copy
// of the first one. It counts connections.
func repeatingBackend(t *testing.T, identifies bool, connections *atomic.Int32) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				previous := ""
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					attempt := request.Header.Get(caller.HeaderAttempt)
					header := ""
					if identifies {
						header = caller.HeaderAttempt + ": " + attempt + "\r\n"
					}
					answer := fmt.Sprintf(
						"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s",
						len(attempt),
						header,
						attempt,
					)
					_, _ = io.WriteString(conn, previous+answer)
					previous = answer
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// identifyingBackend answers each request once, and names its attempt in the header if
// identifies is set. It counts connections.
func identifyingBackend(t *testing.T, identifies bool, connections *atomic.Int32) string {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if identifies {
			w.Header().Set(caller.HeaderAttempt, r.Header.Get(caller.HeaderAttempt))
		}
		_, _ = io.WriteString(w, "ok")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

// TestLateCopyOfAnswer checks that no attempt gets the answer to an earlier one, which its
// backend server sends once more on a connection that is in use again.
func TestLateCopyOfAnswer(t *testing.T) {
	for name, identifies := range map[string]bool{"with identifiers": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var connections atomic.Int32
			url := repeatingBackend(t, identifies, &connections)
			backend := caller.New(carawaybeam.BackendOptions{URL: url}, false)
			for i := range 6 {
				attempt := carawaybeam.AttemptID(fmt.Sprintf("attempt-%d", i))
				answer, err := backend.Start(t.Context(), carawaybeam.BackendRequest{
					Method: http.MethodGet, Path: "/", Attempt: attempt,
				})
				var stray *caller.StrayAnswerError
				if errors.As(err, &stray) {
					is.True(identifies)
					is.Equal(stray.Attempt, attempt)
					continue
				}
				is.NoErr(err)
				body, err := io.ReadAll(answer.Body)
				is.NoErr(err)
				is.NoErr(answer.Body.Close())
				is.Equal(string(body), string(attempt))
			}
		})
	}
}

// TestServerStopsIdentifying checks that kept connections are not used for answers without
// identifiers. A backend server that has named one attempt and names no others sends a
// copy of its last answer before each answer on a kept connection.
func TestServerStopsIdentifying(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int32
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			first := connections.Add(1) <= 2
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				previous := ""
				for n := 0; ; n++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					attempt := request.Header.Get(caller.HeaderAttempt)
					header := ""
					if first && n == 0 {
						header = caller.HeaderAttempt + ": " + attempt + "\r\n"
					}
					answer := fmt.Sprintf(
						"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s",
						len(attempt),
						header,
						attempt,
					)
					if n > 0 {
						_, _ = io.WriteString(conn, previous)
					}
					_, _ = io.WriteString(conn, answer)
					previous = answer
				}
			}()
		}
	}()
	backend := caller.New(carawaybeam.BackendOptions{URL: "http://" + listener.Addr().String()}, false)
	strays := 0
	for i := range 8 {
		attempt := carawaybeam.AttemptID(fmt.Sprintf("attempt-%d", i))
		answer, err := backend.Start(t.Context(), carawaybeam.BackendRequest{
			Method: http.MethodGet, Path: "/", Attempt: attempt,
		})
		var stray *caller.StrayAnswerError
		if errors.As(err, &stray) {
			strays++
			continue
		}
		is.NoErr(err)
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		is.Equal(string(body), string(attempt))
	}
	is.Equal(strays, 1)
}

// TestIdentifiedAnswersShareConnection checks that connections are kept if answers name
// their attempts, and only then.
func TestIdentifiedAnswersShareConnection(t *testing.T) {
	for name, identifies := range map[string]bool{"with identifiers": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var connections atomic.Int32
			url := identifyingBackend(t, identifies, &connections)
			backend := caller.New(carawaybeam.BackendOptions{URL: url}, false)
			const attempts = 5
			for i := range attempts {
				answer, err := backend.Start(t.Context(), carawaybeam.BackendRequest{
					Method: http.MethodGet, Path: "/", Attempt: carawaybeam.AttemptID(fmt.Sprint(i)),
				})
				is.NoErr(err)
				_, err = io.ReadAll(answer.Body)
				is.NoErr(err)
				is.NoErr(answer.Body.Close())
			}
			// The first request shows whether the backend server names attempts.
			want := int32(attempts)
			if identifies {
				want = 2
			}
			is.Equal(connections.Load(), want)
		})
	}
}
