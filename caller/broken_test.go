package caller_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/caller"
	"github.com/carawaybeam/carawaybeam/fakes/breaker"
	"github.com/carawaybeam/carawaybeam/prover"
)

const (
	// uploadRounds is how often an answer is read during an upload. It depends on the scheduler whether
	// the reader or the writer of the connection learns of a reset first.
	uploadRounds = 20

	// uploadBytes do not fit into the buffers of sockets.
	uploadBytes = 8 << 20
)

// newBreaker starts a server that sends an answer of the breaker, and returns a client of it.
func newBreaker(t *testing.T, answer breaker.Answer) (*breaker.Breaker, *caller.Caller) {
	t.Helper()
	b := breaker.Start(t, answer)
	return b, caller.New(carawaybeam.BackendOptions{URL: "http://" + b.Address()}, false)
}

// upload sends a request with a long body and returns the status and body of the answer.
func upload(ctx context.Context, backend *caller.Caller) (status int, body string, err error) {
	answer, err := backend.Start(ctx, carawaybeam.BackendRequest{
		Method: http.MethodPost, Path: "/", Attempt: "1", Body: make([]byte, uploadBytes),
	})
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(answer.Body)
	return answer.Status, string(data), errors.Join(err, answer.Body.Close())
}

// TestPromiseAnswerCutDuringUpload guards against taking part of an answer for all of it when its connection
// fails while the request is being sent (MIXED).
func TestPromiseAnswerCutDuringUpload(t *testing.T) {
	violations, trials := 0, 0
	for _, answer := range append(breaker.Incomplete(), breaker.Unread()) {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			b, backend := newBreaker(t, answer)
			for range uploadRounds {
				trials++
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				_, _, err := upload(ctx, backend)
				cancel()
				if err == nil {
					violations++
				}
				is.True(!errors.Is(ctx.Err(), context.DeadlineExceeded))
				var unsent *carawaybeam.NotSentError
				is.True(!errors.As(err, &unsent)) // The request may have run.
			}
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
			_, backend := newBreaker(t, answer)
			for range uploadRounds {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				status, body, err := upload(ctx, backend)
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
	_, backend := newBreaker(
		t,
		breaker.Answer{Head: "HTTP/1.1 200 OK\r\n\r\n", Body: "{}", Ending: breaker.Stall},
	)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, _, err := upload(ctx, backend)
	is.True(err != nil)
	is.True(time.Since(began) < 2*time.Second)
}

// TestPromiseInvalidAnswer guards against delivering an answer that is not a valid HTTP response, or what follows one
// on its connection (MIXED), and against using the connection again.
func TestPromiseInvalidAnswer(t *testing.T) {
	violations := 0
	answers := append(breaker.Invalid(), breaker.Malformed()...)
	for _, answer := range answers {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			b, backend := newBreaker(t, answer)
			for n := range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				_, _, err := upload(ctx, backend)
				is.NoErr(ctx.Err())
				cancel()
				if err == nil {
					violations++
				}
				var unsent *carawaybeam.NotSentError
				is.True(!errors.As(err, &unsent)) // The request may have run.
				is.Equal(b.Connections(), n+1)
			}
		})
	}
	prover.Report(t, prover.WholeAnswer, 2*len(answers), violations)
}

// TestBrokenLoad guards against using a load whose answer is invalid or incomplete.
func TestBrokenLoad(t *testing.T) {
	for _, answer := range breaker.Broken() {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			_, backend := newBreaker(t, answer)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, _, err := backend.Load(ctx)
			is.True(err != nil)
			is.NoErr(ctx.Err())
		})
	}
}
