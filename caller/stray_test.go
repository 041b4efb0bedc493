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
// header if identifies reports so for the request of a connection, both counted from 0.
// Before each further answer on a connection it sends a copy of the one before.
func repeatingBackend(t *testing.T, identifies func(connection, request int) bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for connection := 0; ; connection++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
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
					if identifies(connection, n) {
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

// countStrays makes attempts at a backend server that answers with their identifiers, and
// returns how many failed as they got the answer to another one. No other may get one.
func countStrays(t *testing.T, url string, attempts int) int {
	t.Helper()
	is := is.New(t)
	backend := caller.New(carawaybeam.BackendOptions{URL: url}, false)
	strays := 0
	for i := range attempts {
		attempt := carawaybeam.AttemptID(fmt.Sprintf("attempt-%d", i))
		answer, err := backend.Start(t.Context(), carawaybeam.BackendRequest{
			Method: http.MethodGet, Path: "/", Attempt: attempt,
		})
		var stray *caller.StrayAnswerError
		if errors.As(err, &stray) {
			is.Equal(stray.Attempt, attempt)
			strays++
			continue
		}
		is.NoErr(err)
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		is.Equal(string(body), string(attempt))
	}
	return strays
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
	const attempts = 6
	for name, identifies := range map[string]bool{"with identifiers": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url := repeatingBackend(t, func(_, _ int) bool { return identifies })
			strays := countStrays(t, url, attempts)
			is.Equal(strays > 0, identifies)
		})
	}
}

// TestServerStopsIdentifying checks that kept connections are not used for answers without
// identifiers, by a backend server that names only the first attempts of two connections.
func TestServerStopsIdentifying(t *testing.T) {
	const attempts = 8
	is := is.New(t)
	url := repeatingBackend(t, func(connection, request int) bool { return connection < 2 && request == 0 })
	is.Equal(countStrays(t, url, attempts), 1)
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
