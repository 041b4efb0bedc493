package dumper_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam/dumper"
	"github.com/carawaybeam/carawaybeam/fakes/piper"
)

// TestLateAnswerIsWritten guards against cutting an answer that takes longer to produce than to write, such as the
// status of many entries that cannot be reached.
func TestLateAnswerIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := piper.New()
		d := dumper.New(listener, dumper.Options{
			Ready: func() bool { return true }, State: func() any { return nil }, Log: zerolog.Nop(),
			Routes: func(router *echo.Echo) {
				router.GET("/late", func(c *echo.Context) error {
					time.Sleep(15 * time.Second)
					return c.String(http.StatusOK, "status")
				})
			},
		})
		defer func() { _ = d.Close() }()
		conn := listener.Connect(nil)
		defer func() { _ = conn.Close() }()
		go func() { _, _ = io.WriteString(conn, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n") }()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusOK)
	})
}

// TestChecksBesideStates guards against readiness checks without an answer while a crowd asks for state dumps, which
// take long, over all connections.
func TestChecksBesideStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := piper.New()
		d := dumper.New(listener, dumper.Options{
			Ready: func() bool { return true }, Log: zerolog.Nop(),
			State: func() any {
				time.Sleep(5 * time.Second)
				return nil
			},
		})
		defer func() { _ = d.Close() }()
		get := func(path string) int {
			conn := listener.Connect(nil)
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				return 0
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return 0
			}
			_ = response.Body.Close()
			return response.StatusCode
		}
		var crowd sync.WaitGroup
		defer crowd.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 400 {
			crowd.Go(func() {
				for ctx.Err() == nil {
					get("/state")
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			began := time.Now()
			is.Equal(get("/readyz"), http.StatusOK)
			is.True(time.Since(began) < time.Second)
		}
	})
}
