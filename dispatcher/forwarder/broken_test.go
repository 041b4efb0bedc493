package forwarder_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/fakes/breaker"
	"github.com/carawaybeam/carawaybeam/pooler"
)

const (
	// uploadBytes do not fit into the buffers of sockets.
	uploadBytes = 8 << 20
	// uploadRounds is how often an upload is repeated, since its result must not depend on the scheduler.
	uploadRounds = 10
)

// failureRouter counts the failures that are reported to it.
type failureRouter struct {
	carawaybeam.Router
	failed int
}

func (r *failureRouter) Observe(
	now time.Time, decision carawaybeam.RouteDecision, outcome carawaybeam.RouteOutcome,
) {
	if outcome.Failed {
		r.failed++
	}
	r.Router.Observe(now, decision, outcome)
}

// newBrokenEnvironment returns an environment whose backend server "a", which is preferred, sends the answer broken
// and whose backend server "b" sends the answer sound.
func newBrokenEnvironment(t *testing.T, broken, sound breaker.Answer) (env *environment, servers [2]*breaker.Breaker) {
	t.Helper()
	env = newEnvironment()
	env.reports = make(map[carawaybeam.Address]func() (forwarder.Report, bool))
	for i, answer := range []breaker.Answer{broken, sound} {
		servers[i] = breaker.Start(t, answer)
		address := carawaybeam.Address(servers[i].Address())
		env.instances[i].Address = address
		env.reports[address] = func() (forwarder.Report, bool) {
			return forwarder.Report{At: time.Now(), Load: carawaybeam.Load{Running: i}}, true
		}
	}
	sender := pooler.New(pooler.Options{DecodeReply: func(status int, header http.Header) carawaybeam.ReplyHead {
		return carawaybeam.ReplyHead{Request: "id", Status: status, Header: header, Sealed: true}
	}})
	t.Cleanup(func() { _ = sender.Close() })
	env.adjust = func(options *forwarder.Options) {
		options.Sender = sender
		options.Encode = func(*carawaybeam.ClientRequest, carawaybeam.Forwarding) http.Header { return http.Header{} }
	}
	return env, servers
}

// upload returns a request whose body is still being sent when a backend server answers at once.
func upload(kind carawaybeam.RouteKind) *carawaybeam.ClientRequest {
	r := request(kind)
	r.Body = make([]byte, uploadBytes)
	r.Timeout = 2 * time.Second
	return r
}

// TestAnswerCutDuringUpload guards against delivering part of an answer as all of it, and against repeating a request
// that may have run only once, if the connection is reset while the request is being sent.
func TestAnswerCutDuringUpload(t *testing.T) {
	cut := breaker.Answer{Head: "HTTP/1.1 200 OK\r\n\r\n", Body: "who", Ending: breaker.Reset}
	whole := breaker.Answer{Head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", Body: "whole"}
	for range uploadRounds {
		t.Run("repeated", func(t *testing.T) {
			is := is.New(t)
			env, servers := newBrokenEnvironment(t, cut, whole)
			answer, failure := env.serve(upload(carawaybeam.RouteSafe))
			is.True(failure == nil)
			is.Equal(answer.String(), "whole")
			is.Equal(answer.heads, 1)
			is.Equal(servers[0].Requests(), 1)
		})
		t.Run("not repeated", func(t *testing.T) {
			is := is.New(t)
			env, servers := newBrokenEnvironment(t, cut, whole)
			answer, failure := env.serve(upload(carawaybeam.RouteUnsafe))
			is.True(failure != nil)
			is.Equal(failure.Outcome, carawaybeam.OutcomeUnknown)
			is.Equal(answer.heads, 0)
			is.Equal(servers[1].Requests(), 0)
		})
	}
}

// TestStreamCutDuringUpload guards against taking a stream as complete whose connection is reset between two events.
func TestStreamCutDuringUpload(t *testing.T) {
	cut := breaker.Answer{Head: "HTTP/1.1 200 OK\r\n\r\n", Body: "id: 1\ndata: a\n\n", Ending: breaker.Reset}
	const rest = "id: 2\ndata: b\n\n"
	whole := breaker.Answer{Head: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(rest)), Body: rest}
	for range uploadRounds {
		is := is.New(t)
		env, servers := newBrokenEnvironment(t, cut, whole)
		answer, failure := env.serve(upload(carawaybeam.RouteStream))
		is.True(failure == nil)
		is.True(bytes.Equal(answer.Bytes(), []byte(cut.Body+rest)))
		is.Equal(servers[1].Requests(), 1)
	}
}

// TestInvalidAnswer guards against delivering an answer that is not a valid HTTP response, against repeating a request
// that may have run only once, and against not holding the answer against its backend server.
func TestInvalidAnswer(t *testing.T) {
	whole := breaker.Answer{Head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", Body: "whole"}
	for _, invalid := range breaker.Invalid() {
		t.Run(invalid.Name+", repeated", func(t *testing.T) {
			is := is.New(t)
			env, _ := newBrokenEnvironment(t, invalid, whole)
			answer, failure := env.serve(request(carawaybeam.RouteSafe))
			is.True(failure == nil)
			is.Equal(answer.String(), "whole")
			is.Equal(answer.status, http.StatusOK)
			is.Equal(env.retries, 1)
		})
		t.Run(invalid.Name+", not repeated", func(t *testing.T) {
			is := is.New(t)
			env, servers := newBrokenEnvironment(t, invalid, whole)
			router := &failureRouter{Router: env.routerOrDefault()}
			env.router = router
			answer, failure := env.serve(request(carawaybeam.RouteUnsafe))
			is.True(failure != nil)
			is.Equal(failure.Outcome, carawaybeam.OutcomeUnknown)
			is.Equal(failure.Reason, carawaybeam.ReasonCorrupt)
			is.Equal(answer.heads, 0)
			is.Equal(servers[1].Requests(), 0)
			is.Equal(router.failed, 1)
		})
	}
}
