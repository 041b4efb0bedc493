package forwarder_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/prover"
)

// TestPromiseStreamIsNotContinuedByOthers guards against anything but the rest of a stream behind the
// events that its client has: an error, its head, events of another run, or an end that comes too
// early (ORDER, MIXED).
func TestPromiseStreamIsNotContinuedByOthers(t *testing.T) {
	const (
		events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		rest   = "id: 3\ndata: c\n\n"
		// refusal is an answer inside of another one.
		refusal = "HTTP/1.1 503 Busy\r\nRequest-Id: id\r\nContent-Length: 0\r\n\r\n"
	)
	answer := func(status int, contentType, body string) behaviour {
		return reply(status, strings.NewReader(body), func(h *carawaybeam.ReplyHead) {
			h.Header = http.Header{"Content-Type": {contentType}}
		})
	}
	events200 := func(body string) behaviour { return answer(http.StatusOK, "text/event-stream", body) }
	tests := map[string]struct {
		second   behaviour
		complete bool
	}{
		"rest":                       {events200(rest), true},
		"rest, with a character set": {answer(http.StatusOK, "text/event-stream; charset=utf-8", rest), true},
		"rest behind a comment":      {events200(": wait\n\n" + rest), true},
		"error 500":                  {answer(500, "text/plain", "it failed\n\n"), false},
		"error 500 as a stream":      {answer(500, "text/event-stream", rest), false},
		"error 404":                  {answer(404, "text/html", "<html>\n\n"), false},
		"redirect":                   {answer(307, "text/plain", ""), false},
		"no content":                 {answer(204, "", ""), false},
		"200 that is not signed": {
			reply(http.StatusOK, strings.NewReader(rest), func(h *carawaybeam.ReplyHead) { h.Sealed = false }), false,
		},
		"200 of another type":         {answer(http.StatusOK, "text/plain", rest), false},
		"200 with an error":           {answer(http.StatusOK, "application/json", "{\"error\":1}\n\n"), false},
		"200 without a type":          {answer(http.StatusOK, "", "{\"error\":1}\n\n"), false},
		"200 with a page":             {events200("<html>\n\n"), false},
		"200 with a text":             {events200("busy\n\n"), false},
		"200 without identifiers":     {events200("data: c\n\n"), false},
		"200 that is empty":           {events200(""), false},
		"200 with a comment":          {events200(": wait\n\n"), false},
		"200 from the beginning on":   {events200(events + rest), false},
		"200 from the last event on":  {events200("id: 2\ndata: b\n\n" + rest), false},
		"200 behind the next event":   {events200("id: 4\ndata: d\n\n"), false},
		"200 with a head":             {events200(refusal), false},
		"200 with a head, then rest":  {events200(refusal + rest), false},
		"200 with a head in an event": {events200("HTTP/1.1 503 Busy\r\n" + rest), false},
	}
	violations := 0
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(reply(http.StatusOK, cut(events), nil), test.second)
			got, failure := env.serve(request(carawaybeam.RouteStream))
			want := events
			if test.complete {
				want += rest
			}
			if got.String() != want || (failure == nil) != test.complete {
				t.Errorf("stream is %q, failure %v", got.String(), failure)
				violations++
			}
		})
	}
	prover.Report(t, prover.WholeAnswer, len(tests), violations)
}

// TestStreamHasNoOtherAnswer guards against forwarding the head of another answer that a backend
// server writes into a stream.
func TestStreamHasNoOtherAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"whole": "HTTP/1.1 503 Busy\r\nRequest-Id: id\r\n\r\n",
		"part":  "HTTP/1.1 503 Busy\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newEnvironment(whole("id: 1\n\n"+head+"id: 2\n\n"), whole("id: 2\n\n"))
			answer, failure := env.serve(request(carawaybeam.RouteStream))
			is.True(failure == nil)
			is.Equal(answer.String(), "id: 1\n\nid: 2\n\n")
		})
	}
}

// TestUnnumberedStreamIsNotContinued guards against appending a second run to a stream whose events
// have no identifiers.
func TestUnnumberedStreamIsNotContinued(t *testing.T) {
	is := is.New(t)
	env := newEnvironment(reply(http.StatusOK, cut("data: a\n\ndata: b\n\n"), nil), whole("data: a\n\ndata: b\n\n"))
	answer, failure := env.serve(request(carawaybeam.RouteStream))
	is.True(failure != nil)
	is.Equal(answer.String(), "data: a\n\ndata: b\n\n")
	is.Equal(len(env.sender.sent), 1)
	env = newEnvironment(whole("data: a\n\nevent: end\ndata:\n\n"))
	answer, failure = env.serve(request(carawaybeam.RouteStream))
	is.True(failure == nil)
	is.Equal(answer.String(), "data: a\n\nevent: end\ndata:\n\n")
}

// TestUnnumberedEventsBetweenNumbered checks that a stream may contain events without identifiers,
// and lines that are longer than the read buffer.
func TestUnnumberedEventsBetweenNumbered(t *testing.T) {
	is := is.New(t)
	stream := "id: 1\n\n: comment\n\nevent: ping\ndata: id: 7\n\nid: 2\ndata: " + strings.Repeat("x", 10_000) +
		"id: 9\nweight-versions: 4\nretry\n\n"
	env := newEnvironment(whole(stream))
	answer, failure := env.serve(request(carawaybeam.RouteStream))
	is.True(failure == nil)
	is.Equal(answer.String(), stream)
}

// TestClientResumesWithOtherAnswer checks that a stream which a client continues by itself begins
// with the event after its last one.
func TestClientResumesWithOtherAnswer(t *testing.T) {
	for _, body := range []string{"id: 1\n\nid: 2\n\n", "id: 12\n\nid: 13\n\n", "id: 14\n\n", "data: x\n\n", ""} {
		is := is.New(t)
		env := newEnvironment(whole(body), whole("id: 13\n\n"))
		r := request(carawaybeam.RouteStream)
		r.After = 12
		answer, failure := env.serve(r)
		is.True(failure == nil)
		is.Equal(answer.String(), "id: 13\n\n")
	}
}
