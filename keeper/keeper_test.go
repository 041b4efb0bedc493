package keeper_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/keeper"
)

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// TestUnansweredRequestsAreReported checks that a request that was read and ended without a
// complete answer is logged and counted, with who ended it and why.
func TestUnansweredRequestsAreReported(t *testing.T) {
	const id = "request-1"
	failed := &carawaybeam.RequestError{Outcome: carawaybeam.OutcomeUnknown}
	tests := map[string]struct {
		by, cause string
		// handle serves the request.
		handle func(k *keeper.Keeper, w http.ResponseWriter, r *http.Request)
		// client continues after the client has sent its request.
		client func(conn net.Conn)
	}{
		"client closes": {
			by: "client", cause: "closed",
			handle: func(k *keeper.Keeper, _ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				k.Interrupted(r.Context(), id, failed, false)
			},
			client: func(conn net.Conn) { _ = conn.Close() },
		},
		"server closes": {
			by: "entry", cause: "stopped",
			handle: func(k *keeper.Keeper, _ http.ResponseWriter, r *http.Request) {
				go func() { _ = k.Close() }()
				for keeper.EndOf(r.Context()) == (keeper.End{}) {
					time.Sleep(time.Millisecond)
				}
				k.Interrupted(r.Context(), id, failed, false)
			},
		},
		"server closes after a part of the answer": {
			by: "entry", cause: "stopped",
			handle: func(k *keeper.Keeper, w http.ResponseWriter, r *http.Request) {
				_, _ = w.Write([]byte("part"))
				go func() { _ = k.Close() }()
				<-r.Context().Done()
				k.Interrupted(r.Context(), id, failed, true)
				panic(http.ErrAbortHandler)
			},
		},
		"read timeout": {
			by: "entry", cause: "readTimeout",
			handle: func(k *keeper.Keeper, w http.ResponseWriter, r *http.Request) {
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(10 * time.Millisecond))
				<-r.Context().Done()
				k.Interrupted(r.Context(), id, failed, false)
			},
		},
		"write timeout": {
			by: "entry", cause: "writeTimeout",
			handle: func(k *keeper.Keeper, w http.ResponseWriter, r *http.Request) {
				control := http.NewResponseController(w)
				_ = control.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
				for control.Flush() == nil {
					_, _ = w.Write(make([]byte, 1<<16))
				}
				k.Interrupted(r.Context(), id, failed, true)
			},
		},
		"incomplete answer": {
			by: "backend", cause: "incomplete",
			handle: func(k *keeper.Keeper, w http.ResponseWriter, r *http.Request) {
				_, _ = w.Write([]byte("part"))
				k.Interrupted(r.Context(), id, failed, true)
				panic(http.ErrAbortHandler)
			},
		},
		"panic after a part of the answer": {
			by: "entry", cause: "panic",
			handle: func(k *keeper.Keeper, w http.ResponseWriter, r *http.Request) {
				failure := k.Guard(id, func() *carawaybeam.RequestError { panic("fault of the handler") })
				_, _ = w.Write([]byte("part"))
				k.Interrupted(r.Context(), id, failure, true)
				panic(http.ErrAbortHandler)
			},
		},
		"answered": {
			handle: func(k *keeper.Keeper, _ http.ResponseWriter, r *http.Request) {
				k.Interrupted(r.Context(), id, failed, false)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			lines, scope := &syncBuffer{}, tally.NewTestScope("", nil)
			ended := make(chan struct{})
			var k *keeper.Keeper
			ready := make(chan struct{})
			k = keeper.New(listener, keeper.Options{
				Component: "test", HeaderTimeout: time.Minute, Scope: scope, Log: zerolog.New(lines),
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/first" {
						return
					}
					<-ready
					defer close(ended)
					test.handle(k, w, r)
				}),
			})
			close(ready)
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			// The first request on the connection is answered. What the HTTP server does
			// in between must not be taken for the end of the second.
			_, _ = io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_ = answer.Body.Close()
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			if test.client != nil {
				test.client(conn)
			}
			<-ended
			_ = conn.Close()
			is.NoErr(k.Close())
			if test.by == "" {
				is.Equal(len(scope.Snapshot().Counters()), 0)
				return
			}
			for _, want := range []string{
				`"request":"` + id + `"`, `"by":"` + test.by + `"`, `"cause":"` + test.cause + `"`,
			} {
				if !strings.Contains(lines.String(), want) {
					t.Errorf("log lacks %s: %s", want, lines.String())
				}
			}
			counted := false
			for _, counter := range scope.Snapshot().Counters() {
				tags := counter.Tags()
				counted = counted || counter.Name() == "requests_unanswered" && counter.Value() == 1 &&
					tags["by"] == test.by && tags["cause"] == test.cause
			}
			is.True(counted)
		})
	}
}

// TestArrivalOf checks the times at which the parts of a request arrived.
func TestArrivalOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var arrival keeper.Arrival
		s := newServiceWith(time.Minute, func(o *keeper.Options) {
			o.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				arrival = keeper.ArrivalOf(r.Context())
			})
		})
		defer s.close()
		accepted := time.Now()
		c := s.connect(nil)
		for range 2 {
			time.Sleep(time.Second)
			began := time.Now()
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n")
			time.Sleep(time.Second)
			_, _ = io.WriteString(c, "Host: h\r\n\r\n")
			response, err := http.ReadResponse(c.reader, nil)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(arrival, keeper.Arrival{Accepted: accepted, Began: began})
		}
	})
}
