package caller_test

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/caller"
)

// TestUnframedAnswer checks an answer with neither a length nor chunks, which ends with its
// connection: it is complete after a close and fails after a reset.
func TestUnframedAnswer(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			read := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				<-read
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
			backend := caller.New(carawaybeam.BackendOptions{URL: "http://" + listener.Addr().String()}, false)
			answer, err := backend.Start(
				t.Context(),
				carawaybeam.BackendRequest{Method: "GET", Path: "/", Attempt: "1"},
			)
			is.NoErr(err)
			close(read)
			data, err := io.ReadAll(answer.Body)
			is.Equal(err != nil, reset)
			if !reset {
				is.Equal(string(data), "part")
			}
			is.NoErr(answer.Body.Close())
			is.NoErr(listener.Close())
		})
	}
}
