// Package caller sends requests to backend servers over HTTP. It registers two
// protocols: "engine" for model engines that stream server-sent events, and
// "service" for plain services.
package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const (
	// HeaderAttempt is the header field with the identifier of the attempt. A backend
	// server that returns it with each answer has its connections kept.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderPriority is the header field with the priority for a model engine.
	HeaderPriority = "X-Priority"
	// HeaderResume is the header field with the number of answer bytes that are
	// already delivered, after which a model engine continues the answer. It returns
	// the header field with such an answer.
	HeaderResume = "X-Resume-Offset"
	// HeaderLimit is the header field of an answer with the number of requests per second
	// that the backend server takes.
	HeaderLimit = "X-Backend-Limit"
	// HeaderLeaving is the header field of an answer that is "1" once the backend server is
	// about to stop.
	HeaderLeaving = "X-Backend-Leaving"
	// HeaderRetryAfter is the header field of a 503 with the number of seconds for which the
	// backend server wants no requests.
	HeaderRetryAfter = "Retry-After"

	// signalPrefix begins the names of header fields with signals, also of unknown ones.
	signalPrefix = "X-Backend-"

	// maxLoadBytes is the maximum size of a load report.
	maxLoadBytes   = 64 << 10
	maxIdlePerHost = 256

	// maxHeadBytes is the maximum size of the header of an answer.
	maxHeadBytes = 64 << 10
)

type (
	// Caller is a client of one backend server.
	Caller struct {
		url string
		// kept sends requests over kept connections, single over a connection for each,
		// and load asks for the load, so that no other answer is read there.
		kept, single, load *http.Client
		// engine is set for a model engine.
		engine bool
		// identifies is set while the backend server returns the identifier of the
		// attempt with its answers.
		identifies atomic.Bool
	}

	// loadReport is the JSON document in which a backend server reports its load.
	loadReport struct {
		Running       int                `json:"running"`
		Waiting       int                `json:"waiting"`
		WaitingTokens carawaybeam.Tokens `json:"waitingTokens"`
	}

	// StatusError reports an unexpected HTTP status of a request for the load.
	StatusError struct {
		Status int
	}

	// StrayAnswerError reports an answer on a kept connection that does not belong to
	// the attempt that was sent, such as a late copy of an earlier answer.
	StrayAnswerError struct {
		Attempt carawaybeam.AttemptID
		// Got is the attempt that the answer names, or empty.
		Got carawaybeam.AttemptID
	}
)

var (
	_ carawaybeam.Backend = (*Caller)(nil)

	signalFields = carawaybeam.SignalFields{
		Limit: HeaderLimit, Leaving: HeaderLeaving, RetryAfter: HeaderRetryAfter, Prefix: signalPrefix,
	}
)

func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server answered status %d", e.Status)
}

func (e *StrayAnswerError) Error() string {
	return fmt.Sprintf("answer to attempt %q is for attempt %q", e.Attempt, e.Got)
}

func init() {
	carawaybeam.Backends.Register("engine", func(options carawaybeam.BackendOptions) (carawaybeam.Backend, error) {
		return New(options, true), nil
	})
	carawaybeam.Backends.Register("service", func(options carawaybeam.BackendOptions) (carawaybeam.Backend, error) {
		return New(options, false), nil
	})
}

// New returns a Caller of the backend server at options.URL. A model engine is sent
// priorities and the position at which to resume an answer, a plain service is not.
func New(options carawaybeam.BackendOptions, engine bool) *Caller {
	return &Caller{
		url:    options.URL,
		kept:   newClient(options, true),
		single: newClient(options, false),
		load:   newClient(options, true),
		engine: engine,
	}
}

// newClient returns a client with connections of its own, which keeps them if keep is set.
func newClient(options carawaybeam.BackendOptions, keep bool) *http.Client {
	dialer := &net.Dialer{Timeout: options.ConnectTimeout, KeepAlive: 15 * time.Second}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
		DisableKeepAlives:   !keep,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &http.Client{
		Transport: verifier.NewTransport(transport),
		// An answer that redirects is the caller's to follow.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Start sends a request and returns once the response begins. An error that wraps
// *carawaybeam.NotSentError proves that the backend server did not receive the
// request. An answer to another attempt is a *StrayAnswerError.
func (c *Caller) Start(ctx context.Context, call carawaybeam.BackendRequest) (*carawaybeam.BackendResponse, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, c.url+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &carawaybeam.NotSentError{Cause: err}
	}
	// The transport repeats a request by itself if it can restart its body, or if there is
	// none and the method is idempotent. What may run twice is decided by the class.
	request.GetBody = nil
	if request.Body == http.NoBody && transportRepeats(call.Method) {
		request.Body = io.NopCloser(http.NoBody)
		request.TransferEncoding = []string{"identity"}
	}
	request.Header.Set("Content-Type", call.ContentType)
	request.Header.Set(HeaderAttempt, string(call.Attempt))
	if c.engine {
		request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
		request.Header.Set(HeaderResume, strconv.FormatInt(int64(call.Resume), 10))
	}
	// On a kept connection, an answer that does not name its attempt may be a late copy of
	// an earlier one.
	keep := c.identifies.Load()
	client := c.single
	if keep {
		client = c.kept
	}
	response, err := client.Do(request) //nolint:bodyclose // The reader of the response closes it.
	if err != nil {
		return nil, startError(err)
	}
	got := carawaybeam.AttemptID(response.Header.Get(HeaderAttempt))
	c.identifies.Store(got == call.Attempt)
	if got != call.Attempt && (keep || got != "") {
		_ = response.Body.Close()
		return nil, &StrayAnswerError{Attempt: call.Attempt, Got: got}
	}
	var resumed uint64
	if c.engine {
		// Without a valid number, the answer continues nothing.
		resumed, _ = strconv.ParseUint(response.Header.Get(HeaderResume), 10, 63)
	}
	return &carawaybeam.BackendResponse{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        response.Body,
		Resumed:     carawaybeam.Bytes(resumed),
		Signals:     signalFields.Decode(response.StatusCode, response.Header),
	}, nil
}

// transportRepeats reports whether net/http repeats requests of the method that have no body.
func transportRepeats(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// startError wraps errors of establishing the connection, before which nothing is
// sent, in a *carawaybeam.NotSentError.
func startError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &carawaybeam.NotSentError{Cause: err}
	}
	return err
}

// Load returns the current load. For a plain service without a load report it returns
// zero.
func (c *Caller) Load(ctx context.Context) (carawaybeam.Load, carawaybeam.BackendSignals, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"/load", http.NoBody)
	if err != nil {
		return carawaybeam.Load{}, carawaybeam.BackendSignals{}, err
	}
	response, err := c.load.Do(request)
	if err != nil {
		return carawaybeam.Load{}, carawaybeam.BackendSignals{}, err
	}
	defer func() { _ = response.Body.Close() }()
	signals := signalFields.Decode(response.StatusCode, response.Header)
	if response.StatusCode == http.StatusNotFound && !c.engine {
		return carawaybeam.Load{}, signals, nil
	}
	if response.StatusCode != http.StatusOK {
		return carawaybeam.Load{}, signals, &StatusError{Status: response.StatusCode}
	}
	var report loadReport
	if err := verifier.DecodeJSON(response.Body, maxLoadBytes, &report); err != nil {
		return carawaybeam.Load{}, signals, err
	}
	return carawaybeam.Load(report), signals, nil
}
