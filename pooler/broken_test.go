package pooler_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/breaker"
	"github.com/carawaybeam/carawaybeam/pooler"
	"github.com/carawaybeam/carawaybeam/prover"
)

const (
	// uploadRounds is how often an answer is read during an upload. It depends on the scheduler whether
	// the reader or the writer of the connection learns of a reset first.
	uploadRounds = 20

	uploadBytes = 8 << 20
)

// upload returns a request with a body that does not fit into the buffers of sockets.
func upload() pooler.Request {
	r := request("1")
	r.Method = http.MethodPost
	r.Body = make([]byte, uploadBytes)
	return r
}

// exchange sends one request and returns its status and body.
func exchange(
	ctx context.Context, p *pooler.Pooler, address string, r pooler.Request,
) (status int, body string, err error) {
	reply, err := p.Send(ctx, carawaybeam.Address(address), r)
	if err != nil {
		return 0, "", err
	}
	data, err := reply.ReadAll(1 << 20)
	return reply.Status, string(data), errors.Join(err, reply.Body.Close())
}

// TestPromiseAnswerCutDuringUpload guards against taking part of an answer for all of it when its connection
// fails while the request is being sent (MIXED).
func TestPromiseAnswerCutDuringUpload(t *testing.T) {
	violations, trials := 0, 0
	for _, answer := range append(breaker.Incomplete(), breaker.Unread()) {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			b := breaker.Start(t, answer)
			p := newPooler(t)
			for range uploadRounds {
				trials++
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				_, _, err := exchange(ctx, p, b.Address(), upload())
				cancel()
				if err == nil {
					violations++
				}
				is.True(!errors.Is(ctx.Err(), context.DeadlineExceeded))
				var unsent *carawaybeam.NotSentError
				is.True(!errors.As(err, &unsent)) // The request may have run.
			}
			is.Equal(p.State().Idle, 0)
			is.Equal(b.Connections(), uploadRounds)
		})
	}
	prover.Report(t, prover.WholeAnswer, trials, violations)
}

// TestEarlyAnswerIsWhole guards against losing a complete answer that comes before the request has been read.
func TestEarlyAnswerIsWhole(t *testing.T) {
	for _, answer := range breaker.Early() {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			b := breaker.Start(t, answer)
			p := newPooler(t)
			for range uploadRounds {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				status, body, err := exchange(ctx, p, b.Address(), upload())
				cancel()
				is.NoErr(err)
				is.Equal(status, http.StatusRequestEntityTooLarge)
				is.Equal(body, "{}")
			}
		})
	}
}

// TestUnreadUploadEndsAtDeadline guards against waiting longer than the deadline for a backend server that ends its
// answer without a length and never reads the request, and against taking that answer as complete.
func TestUnreadUploadEndsAtDeadline(t *testing.T) {
	is := is.New(t)
	b := breaker.Start(t, breaker.Answer{Head: "HTTP/1.1 200 OK\r\n\r\n", Body: "{}", Ending: breaker.Stall})
	p := newPooler(t)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, _, err := exchange(ctx, p, b.Address(), upload())
	is.True(err != nil)
	is.True(time.Since(began) < 2*time.Second)
}

// TestResetInEachOrder guards against a result that depends on which direction of the connection learns of its
// reset, and when: the reader must not take the end of the connection for that of the answer.
func TestResetInEachOrder(t *testing.T) {
	for name, conn := range breaker.NewResetConns() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := pooler.New(pooler.Options{
				DecodeReply: decode,
				Dial:        func(context.Context, string, string) (net.Conn, error) { return conn, nil },
			})
			defer func() { is.NoErr(p.Close()) }()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, _, err := exchange(ctx, p, "192.0.2.1:80", upload())
			is.True(err != nil)
			is.NoErr(ctx.Err())
		})
	}
}

// TestPromiseInvalidAnswer guards against delivering an answer that is not a valid HTTP response, or what follows one
// on its connection (MIXED), and against using the connection again.
func TestPromiseInvalidAnswer(t *testing.T) {
	violations := 0
	answers := append(breaker.Invalid(), breaker.Malformed()...)
	for _, answer := range answers {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			b := breaker.Start(t, answer)
			p := newPooler(t)
			for n := range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				_, _, err := exchange(ctx, p, b.Address(), numbered(n))
				is.NoErr(ctx.Err())
				cancel()
				if err == nil {
					violations++
				}
				var unsent *carawaybeam.NotSentError
				is.True(!errors.As(err, &unsent)) // The request may have run.
				is.Equal(p.State().Idle, 0)
				is.Equal(b.Connections(), n+1)
			}
		})
	}
	prover.Report(t, prover.WholeAnswer, 2*len(answers), violations)
}

// TestPromiseLongStrayAnswer guards against reading the rest of a skipped answer, to another request, as the answer
// (MIXED).
func TestPromiseLongStrayAnswer(t *testing.T) {
	is := is.New(t)
	const skipped = 1 << 20
	inner := "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\n{}"
	body := strings.Repeat("x", skipped) + inner
	b := breaker.Start(t, breaker.Answer{
		Head: fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: %d\r\n\r\n", len(body)), Body: body,
	})
	p := newPooler(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	violations := 0
	_, _, err := exchange(ctx, p, b.Address(), numbered(1))
	if err == nil {
		violations++
	}
	prover.Report(t, prover.WholeAnswer, 1, violations)
	var stray *pooler.StrayAnswerError
	is.True(errors.As(err, &stray))
	is.Equal(p.State().Idle, 0)
}
