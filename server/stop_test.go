package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/fakes/piper"
	"github.com/carawaybeam/carawaybeam/prover"
	"github.com/carawaybeam/carawaybeam/server"
)

const (
	// partTime is the time for a part of an answer. Long answers take 80 s and others 4 s.
	partTime = 500 * time.Millisecond
	killTime = 20 * time.Second

	bookingPath = "/services/bookings/x"
	draftPath   = "/v1/completions"
)

// deskConfiguration assigns every class to the pool of the assembler. Requests may run again.
type deskConfiguration struct{ fakeConfiguration }

func (c deskConfiguration) Class(id carawaybeam.ClassID) (carawaybeam.Class, bool) {
	class, ok := c.fakeConfiguration.Class(id)
	class.Pool, class.Idempotent = assembler.Pool, true
	return class, ok
}

// sendOn sends a request on a connection and returns the status of the answer, or 0 if it is cut.
func sendOn(conn net.Conn, path, class, body string) int {
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", path, token, server.HeaderClass, class, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// runsOf returns how often backend servers ran requests with the body.
func runsOf(a *assembler.Assembler, body string) int {
	ran := 0
	for _, slot := range a.Slots {
		ran += slot.Backend.Runs(body)
	}
	return ran
}

// killRunning kills the agents whose backend servers ran requests with the body.
func killRunning(a *assembler.Assembler, body string) error {
	for i, slot := range a.Slots {
		if slot.Backend.Runs(body) == 0 {
			continue
		}
		if err := a.KillAgent(i); err != nil {
			return err
		}
	}
	return nil
}

// TestPromiseStopTakesOnlyWhatItFinishes guards against requests that a stopping entry passes on to an
// agent although they cannot end in the time that it has left, and then cuts (LOST).
func TestPromiseStopTakesOnlyWhatItFinishes(t *testing.T) {
	tests := map[string]struct {
		path, class, body string
		// left is how long the entry serves on.
		left time.Duration
		// kill is set if its agent is killed after killTime.
		kill bool
		want int
		// runs is how often backend servers run the request.
		runs int
	}{
		"long booking": {
			path: bookingPath,
			body: assembler.LongPrefix,
			left: 90 * time.Second,
			want: http.StatusOK,
			runs: 1,
		},
		"long booking that would be cut": {
			path: bookingPath, body: assembler.LongPrefix, left: 75 * time.Second,
			want: http.StatusServiceUnavailable,
		},
		"long booking whose agent is killed": {
			path: bookingPath,
			body: assembler.LongPrefix,
			left: 90 * time.Second,
			kill: true,
			want: http.StatusBadGateway,
			runs: 1,
		},
		"short draft": {
			path:  draftPath,
			class: "drafting",
			body:  "{}",
			left:  10 * time.Second,
			want:  http.StatusOK,
			runs:  1,
		},
	}
	violations := 0
	for name, test := range tests {
		right := t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := assembler.New(assembler.Options{Entries: 1, Agents: 2, Concurrency: 8, PartTime: partTime})
				entry, listener := a.Entries[0], piper.New()
				s := server.New(listener, server.Options{
					Configuration: deskConfiguration{}, Dispatcher: entry.Dispatcher, BodyBytes: 1 << 10,
					HeaderBytes: 4 << 10, ReadTimeout: time.Minute, WriteTimeout: time.Minute,
					Ready: func() bool { return true }, Scope: tally.NoopScope, Log: zerolog.Nop(),
				})
				send := func(path, class, body string) int {
					return sendOn(listener.Connect(nil), path, class, body)
				}
				var before sync.WaitGroup
				for range 4 {
					before.Go(func() { is.Equal(send(bookingPath, "", assembler.LongPrefix+"before"), http.StatusOK) })
					before.Go(func() { is.Equal(send(draftPath, "drafting", `{"n":1}`), http.StatusOK) })
				}
				before.Wait()
				end := time.Now().Add(test.left)
				entry.Finisher.Stop(end)
				ctx, cancel := context.WithDeadline(t.Context(), end)
				defer cancel()
				var drain sync.WaitGroup
				drain.Go(func() {
					_ = s.Drain(ctx)
					_ = s.Close()
				})
				defer func() {
					drain.Wait()
					is.NoErr(a.Close())
				}()
				if test.kill {
					time.AfterFunc(killTime, func() { is.NoErr(killRunning(a, test.body)) })
				}
				is.Equal(send(test.path, test.class, test.body), test.want)
				is.Equal(runsOf(a, test.body), test.runs)
			})
		})
		if !right {
			violations++
		}
	}
	prover.Report(t, prover.PlannedStop, len(tests), violations)
}
