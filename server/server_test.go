package server_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/server"
)

const (
	token       = "secret"
	bodyLimit   = 1 << 10
	readTimeout = 300 * time.Millisecond

	writeTimeout = 200 * time.Millisecond
)

type (
	fakeConfiguration struct{}

	// fakeDispatcher answers requests with a function and keeps the last request.
	fakeDispatcher struct {
		answer func(ctx context.Context, w dispatcher.AnswerWriter) *carawaybeam.RequestError
		last   dispatcher.Request
	}

	problem struct {
		Type    string              `json:"type"`
		Title   string              `json:"title"`
		Status  int                 `json:"status"`
		Detail  string              `json:"detail"`
		Outcome carawaybeam.Outcome `json:"outcome"`
	}
)

func (fakeConfiguration) Version() carawaybeam.ConfigVersion { return 7 }

func (fakeConfiguration) Authenticate(given string) (carawaybeam.Organisation, bool) {
	return carawaybeam.Organisation{ID: "org", Classes: []carawaybeam.ClassID{"drafting", "bookings"}}, given == token
}

func (fakeConfiguration) Class(id carawaybeam.ClassID) (carawaybeam.Class, bool) {
	kinds := map[carawaybeam.ClassID]carawaybeam.WorkKind{
		"drafting": carawaybeam.WorkModel, "bookings": carawaybeam.WorkService, "quotes": carawaybeam.WorkModel,
	}
	kind, ok := kinds[id]
	return carawaybeam.Class{ID: id, Kind: kind, Targets: carawaybeam.Targets{Completed: time.Minute}}, ok
}

func (d *fakeDispatcher) Do(
	ctx context.Context,
	request dispatcher.Request,
	w dispatcher.AnswerWriter,
) *carawaybeam.RequestError {
	d.last = request
	return d.answer(ctx, w)
}

func (d *fakeDispatcher) ObtainTicket(
	context.Context,
	carawaybeam.Class,
	carawaybeam.OrganisationID,
) (dispatcher.Ticket, *carawaybeam.RequestError) {
	return dispatcher.Ticket{Backend: "b", Incarnation: "i", Number: 1}, nil
}

// answerText returns a function that answers with the parts as plain text.
func answerText(parts ...string) func(context.Context, dispatcher.AnswerWriter) *carawaybeam.RequestError {
	return func(_ context.Context, w dispatcher.AnswerWriter) *carawaybeam.RequestError {
		_ = w.Head(http.StatusOK, "text/plain")
		for _, part := range parts {
			_ = w.Chunk([]byte(part))
		}
		return nil
	}
}

// serve starts a server for the time of the test and returns its URL.
func serve(t *testing.T, d *fakeDispatcher) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := server.New(listener, server.Options{
		Configuration: fakeConfiguration{},
		Dispatcher:    d,
		BodyBytes:     bodyLimit,
		HeaderBytes:   4 << 10,
		ReadTimeout:   readTimeout,
		WriteTimeout:  writeTimeout,
		Ready:         func() bool { return true },
		Scope:         tally.NoopScope,
		Log:           zerolog.Nop(),
	})
	t.Cleanup(func() { _ = s.Close() })
	return "http://" + listener.Addr().String()
}

// reply is the response that a caller receives.
type reply struct {
	status int
	header http.Header
	body   string
}

func send(t *testing.T, method, url, class, bearer, body string) (reply, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+bearer)
	request.Header.Set(server.HeaderClass, class)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data)}, err
}

func TestBadRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		method string
		path   string
		class  string
		token  string
		body   string
		status int
	}{
		{"no token", "POST", "/v1/completions", "drafting", "", "{}", http.StatusUnauthorized},
		{"wrong token", "POST", "/v1/completions", "drafting", "guess", "{}", http.StatusUnauthorized},
		{"unknown class", "POST", "/v1/completions", "baking", token, "{}", http.StatusNotFound},
		{"class of another kind", "POST", "/v1/completions", "bookings", token, "{}", http.StatusNotFound},
		{"class not allowed", "POST", "/v1/completions", "quotes", token, "{}", http.StatusForbidden},
		{"broken JSON", "POST", "/v1/completions", "drafting", token, `{"prompt":`, http.StatusBadRequest},
		{"JSON array", "POST", "/v1/completions", "drafting", token, `[1]`, http.StatusBadRequest},
		{
			"oversize body", "POST", "/v1/completions", "drafting", token,
			strings.Repeat(" ", bodyLimit+1), http.StatusRequestEntityTooLarge,
		},
		{"unknown path", "POST", "/v2/completions", "drafting", token, "{}", http.StatusNotFound},
		{"wrong method", "GET", "/v1/completions", "drafting", token, "", http.StatusMethodNotAllowed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := &fakeDispatcher{answer: answerText("ran")}
			url := serve(t, d)
			response, err := send(t, test.method, url+test.path, test.class, test.token, test.body)
			is.NoErr(err)
			is.Equal(response.status, test.status)
			is.Equal(response.header.Get("Content-Type"), "application/problem+json")
			var p problem
			is.NoErr(json.Unmarshal([]byte(response.body), &p))
			is.Equal(p.Outcome, carawaybeam.OutcomeNotRun)
			is.Equal(p.Status, test.status)
			is.Equal(d.last.Method, "") // The request must not be dispatched.
		})
	}
}

func TestRefusalsCarryOutcomeAndRetryAfter(t *testing.T) {
	tests := []struct {
		failure    carawaybeam.RequestError
		status     int
		retryAfter string
	}{
		{
			carawaybeam.RequestError{
				Outcome: carawaybeam.OutcomeNotRun, Reason: carawaybeam.ReasonBusy, RetryAfter: 1200 * time.Millisecond,
			},
			http.StatusTooManyRequests, "2",
		},
		{
			carawaybeam.RequestError{
				Outcome: carawaybeam.OutcomeNotRun, Reason: carawaybeam.ReasonNoBackend, RetryAfter: time.Second,
			},
			http.StatusServiceUnavailable, "1",
		},
		{
			carawaybeam.RequestError{Outcome: carawaybeam.OutcomeUnknown, Reason: carawaybeam.ReasonBackendFailed},
			http.StatusBadGateway, "",
		},
		{
			carawaybeam.RequestError{Outcome: carawaybeam.OutcomeRan, Reason: carawaybeam.ReasonAnswerGone},
			http.StatusBadGateway, "",
		},
	}
	for _, test := range tests {
		t.Run(string(test.failure.Reason), func(t *testing.T) {
			is := is.New(t)
			url := serve(
				t,
				&fakeDispatcher{answer: func(context.Context, dispatcher.AnswerWriter) *carawaybeam.RequestError {
					return &test.failure
				}},
			)
			response, err := send(t, "POST", url+"/services/bookings/bookings", "", token, "{}")
			is.NoErr(err)
			is.Equal(response.status, test.status)
			is.Equal(response.header.Get("Retry-After"), test.retryAfter)
			var p problem
			is.NoErr(json.Unmarshal([]byte(response.body), &p))
			is.Equal(p.Outcome, test.failure.Outcome)
		})
	}
}

// TestPanicIsAnswered guards against a panic that closes the connection of a request without
// any answer.
func TestPanicIsAnswered(t *testing.T) {
	is := is.New(t)
	url := serve(
		t,
		&fakeDispatcher{answer: func(context.Context, dispatcher.AnswerWriter) *carawaybeam.RequestError {
			panic("fault of the test")
		}},
	)
	response, err := send(t, "POST", url+"/services/bookings/bookings", "", token, "{}")
	is.NoErr(err)
	is.Equal(response.status, http.StatusInternalServerError)
	is.True(strings.Contains(response.body, `"outcome":"unknown"`))
}

// TestAnswerOutlastsReadTimeout checks that the timeout for reading a request
// does not end the request while its answer is awaited.
func TestAnswerOutlastsReadTimeout(t *testing.T) {
	is := is.New(t)
	url := serve(
		t,
		&fakeDispatcher{answer: func(ctx context.Context, w dispatcher.AnswerWriter) *carawaybeam.RequestError {
			select {
			case <-time.After(3 * readTimeout):
			case <-ctx.Done():
				return &carawaybeam.RequestError{Outcome: carawaybeam.OutcomeUnknown, Detail: "caller seems gone"}
			}
			return answerText("whole")(ctx, w)
		}},
	)
	response, err := send(t, "POST", url+"/services/bookings/bookings", "", token, "{}")
	is.NoErr(err)
	is.Equal(response.status, http.StatusOK)
	is.Equal(response.body, "whole")
}

// TestIncompleteAnswerNeverLooksComplete checks that a caller can detect an answer
// whose backend server failed midway, whatever part of it was already sent.
func TestIncompleteAnswerNeverLooksComplete(t *testing.T) {
	failure := &carawaybeam.RequestError{Outcome: carawaybeam.OutcomeUnknown, Reason: carawaybeam.ReasonBackendFailed}
	cut := func(contentType string, part string, parts int) *fakeDispatcher {
		return &fakeDispatcher{answer: func(_ context.Context, w dispatcher.AnswerWriter) *carawaybeam.RequestError {
			_ = w.Head(http.StatusOK, contentType)
			for range parts {
				_ = w.Chunk([]byte(part))
			}
			return failure
		}}
	}
	t.Run("event stream ends with an error event", func(t *testing.T) {
		is := is.New(t)
		url := serve(t, cut("text/event-stream", "data: {}\n\n", 2))
		response, err := send(t, "POST", url+"/v1/completions", "drafting", token, "{}")
		is.NoErr(err)
		is.True(strings.Contains(response.body, "event: error"))
		is.True(strings.Contains(response.body, `"outcome":"unknown"`))
		is.True(!strings.Contains(response.body, "[DONE]"))
	})
	t.Run("small answer becomes an error", func(t *testing.T) {
		is := is.New(t)
		url := serve(t, cut("application/json", `{"half":`, 1))
		response, err := send(t, "POST", url+"/v1/completions", "drafting", token, "{}")
		is.NoErr(err)
		is.Equal(response.status, http.StatusBadGateway)
	})
	t.Run("large answer is cut off", func(t *testing.T) {
		is := is.New(t)
		url := serve(t, cut("application/octet-stream", strings.Repeat("x", 512<<10), 4))
		_, err := send(t, "POST", url+"/v1/completions", "drafting", token, "{}")
		is.True(err != nil)
	})
}

func TestPathWithinServiceIsPassedOn(t *testing.T) {
	is := is.New(t)
	d := &fakeDispatcher{answer: answerText("ok")}
	url := serve(t, d)
	_, err := send(t, "POST", url+"/services/bookings/visits/7?day=monday", "", token, "{}")
	is.NoErr(err)
	is.Equal(d.last.Path, "/visits/7?day=monday")
	is.Equal(d.last.ConfigVersion, carawaybeam.ConfigVersion(7))
}

// TestCallerThatReadsNothingTimesOut checks that an answer fails after the write
// timeout if the caller does not read it. Otherwise such a caller would keep its
// request in flight forever.
func TestCallerThatReadsNothingTimesOut(t *testing.T) {
	is := is.New(t)
	gone := make(chan error, 1)
	url := serve(
		t,
		&fakeDispatcher{answer: func(_ context.Context, w dispatcher.AnswerWriter) *carawaybeam.RequestError {
			_ = w.Head(http.StatusOK, "text/event-stream")
			part := []byte(strings.Repeat("x", 1<<20))
			for {
				if err := w.Chunk(part); err != nil {
					gone <- err
					return &carawaybeam.RequestError{Outcome: carawaybeam.OutcomeUnknown}
				}
			}
		}},
	)
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "+token+
		"\r\n"+server.HeaderClass+": drafting\r\nContent-Length: 2\r\n\r\n{}")
	is.NoErr(err)
	is.True(<-gone != nil)
}

// TestIncompleteAnswerOfOldClient guards against a client of HTTP/1.0 that takes the end of the connection for that of
// an answer which was cut.
func TestIncompleteAnswerOfOldClient(t *testing.T) {
	is := is.New(t)
	url := serve(t, &fakeDispatcher{
		answer: func(_ context.Context, w dispatcher.AnswerWriter) *carawaybeam.RequestError {
			_ = w.Head(http.StatusOK, "application/octet-stream")
			for range 4 {
				_ = w.Chunk(make([]byte, 512<<10))
			}
			return &carawaybeam.RequestError{
				Outcome: carawaybeam.OutcomeUnknown, Reason: carawaybeam.ReasonBackendFailed,
			}
		},
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.0\r\nAuthorization: Bearer %s\r\n%s: drafting\r\n"+
		"Content-Length: 2\r\n\r\n{}", token, server.HeaderClass)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
}
