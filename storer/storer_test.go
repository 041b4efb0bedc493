package storer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/storer"
)

// TestWriteOnClosedConnectionIsUncertain checks that a write which the store read before it
// closed the kept connection is sent once, and is not reported as one that was not made.
func TestWriteOnClosedConnectionIsUncertain(t *testing.T) {
	writes := map[string]func(context.Context, *storer.Storer) error{
		"put": func(ctx context.Context, s *storer.Storer) error {
			_, err := s.Put(ctx, carawaybeam.Object{Kind: "class", Name: "c", Value: []byte("{}")}, 0)
			return err
		},
		"delete": func(ctx context.Context, s *storer.Storer) error {
			_, err := s.Delete(ctx, "class", "c", 1)
			return err
		},
	}
	for name, write := range writes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var counted atomic.Int32
			s := storer.New(carawaybeam.StoreOptions{URL: closingStore(t, &counted), Timeout: 5 * time.Second})
			_, _, err := s.List(t.Context(), "class")
			is.NoErr(err)
			err = write(t.Context(), s)
			var failed *carawaybeam.StoreError
			is.True(errors.As(err, &failed))
			is.Equal(failed.Failure, carawaybeam.StoreUncertain)
			is.Equal(counted.Load(), int32(1))
		})
	}
}

// closingStore answers the first request of each connection, and reads the second one and
// closes the connection. It counts the requests that write.
func closingStore(t *testing.T, counted *atomic.Int32) string {
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
					if request.Method != http.MethodGet {
						counted.Add(1)
					}
					if n == 0 {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}
