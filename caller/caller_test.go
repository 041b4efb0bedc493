package caller_test

import (
	"bufio"
	"errors"
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

// closingBackend answers the first request of each connection, and reads the second one
// and closes the connection. It counts the requests of the attempt "2".
func closingBackend(t *testing.T, counted *atomic.Int32) string {
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
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := range 2 {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if request.Header.Get(caller.HeaderAttempt) == "2" {
						counted.Add(1)
					}
					if n == 0 {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+
							caller.HeaderAttempt+": "+request.Header.Get(caller.HeaderAttempt)+"\r\n\r\nok")
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// TestAttemptIsSentOnce checks that an attempt is not sent twice after a kept connection
// was closed in answer to it, also if its method is idempotent and it has no body.
func TestAttemptIsSentOnce(t *testing.T) {
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPost,
	} {
		for _, body := range []string{"", "body"} {
			t.Run(method+body, func(t *testing.T) {
				is := is.New(t)
				var counted atomic.Int32
				c := caller.New(carawaybeam.BackendOptions{URL: closingBackend(t, &counted)}, false)
				// Only the connection of the second attempt is kept, since the first answer
				// shows that the backend server names attempts.
				for _, attempt := range []carawaybeam.AttemptID{"0", "1"} {
					answer, err := c.Start(
						t.Context(),
						carawaybeam.BackendRequest{Attempt: attempt, Method: http.MethodGet, Path: "/"},
					)
					is.NoErr(err)
					_, err = io.ReadAll(answer.Body)
					is.NoErr(err)
					is.NoErr(answer.Body.Close())
				}
				_, err := c.Start(t.Context(), carawaybeam.BackendRequest{
					Attempt: "2", Method: method, Path: "/", Body: []byte(body),
				})
				is.True(err != nil)
				var unsent *carawaybeam.NotSentError
				is.True(!errors.As(err, &unsent))
				is.Equal(counted.Load(), int32(1))
			})
		}
	}
}

// TestRedirectIsNotFollowed checks that an answer that redirects is passed on, and does not
// make the attempt run a second time elsewhere.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				http.Redirect(w, r, "/elsewhere", status)
			}))
			t.Cleanup(server.Close)
			c := caller.New(carawaybeam.BackendOptions{URL: server.URL}, false)
			answer, err := c.Start(t.Context(), carawaybeam.BackendRequest{
				Attempt: "1", Method: http.MethodPost, Path: "/",
			})
			is.NoErr(err)
			is.NoErr(answer.Body.Close())
			is.Equal(answer.Status, status)
			is.Equal(requests.Load(), int32(1))
		})
	}
}
