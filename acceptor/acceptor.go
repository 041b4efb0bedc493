// Package acceptor accepts clients' requests over HTTP in the dialect of a
// platform, passes them to a forwarder and streams the answers.
package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/keeper"
	"github.com/carawaybeam/carawaybeam/reserver"
	"github.com/carawaybeam/carawaybeam/shedder"
)

// drainDelay is how long a process that is being stopped still accepts connections. The
// load balancer in front of it checks its readiness once a second and removes a VM after
// two failed checks.
const drainDelay = 2500 * time.Millisecond

const (
	// memoryRetryAfter is when the client of a request may retry for whose body there was no
	// memory.
	memoryRetryAfter = 500 * time.Millisecond

	// discardTime is how long the body of a refused request is read behind the answer, so that a
	// client which reads the answer only after having sent the whole body receives it.
	discardTime = 5 * time.Second

	// bodyTimeout is how long a client may take to send a body, which occupies memory.
	bodyTimeout = 30 * time.Second
)

type (
	// Forwarder serves requests.
	Forwarder interface {
		// Serve serves a request that arrived at the given time and writes its
		// answer to w. It returns nil if the whole answer was written.
		Serve(
			ctx context.Context,
			arrived time.Time,
			request *carawaybeam.ClientRequest,
			w forwarder.AnswerWriter,
		) *carawaybeam.RequestError
		// Limits returns the limits for clients, or false if none are
		// configured.
		Limits() (carawaybeam.ClientLimits, bool)
	}

	// Checker is a Forwarder that can refuse requests before their bodies are read.
	Checker interface {
		// Check returns the organisation that sends a request, or the failure with which
		// Serve would refuse it whatever its body is.
		Check(request *carawaybeam.ClientRequest) (carawaybeam.OrganisationID, *carawaybeam.RequestError)
	}

	// Options configures an Acceptor.
	Options struct {
		Dialect   carawaybeam.Dialect
		Forwarder Forwarder
		// BodyBytes and HeaderBytes are the maximum sizes of the body and the
		// header of a request. A body limit in the configuration replaces
		// BodyBytes.
		BodyBytes   int64
		HeaderBytes int
		// Memory bounds the memory for bodies, and for headers of many fields. If nil, it is not
		// bounded.
		Memory *reserver.Reserver
		// Connections is the maximum number of connections, or 0 for any number.
		Connections shedder.Bound
		// ReadTimeout is how long a client may take to send the header of a
		// request.
		ReadTimeout time.Duration
		// WriteTimeout is how long a client may take to receive one part of an
		// answer.
		WriteTimeout time.Duration
		// Scope receives the metrics.
		Scope tally.Scope
		Log   zerolog.Logger
	}

	// Acceptor accepts requests of clients on one listener.
	Acceptor struct {
		options Options
		keeper  *keeper.Keeper
	}
)

// New returns an Acceptor that serves clients on the listener until Close.
func New(listener net.Listener, options Options) *Acceptor {
	if options.Memory == nil {
		options.Memory = reserver.New(0, 0)
	}
	a := &Acceptor{options: options}
	a.keeper = keeper.New(listener, keeper.Options{
		Component:     "acceptor",
		Handler:       http.HandlerFunc(a.serve),
		IdleLimit:     a.idleLimit,
		HeaderTimeout: options.ReadTimeout,
		HeaderBytes:   options.HeaderBytes,
		DrainDelay:    drainDelay,
		Bound:         options.Connections,
		Memory:        options.Memory,
		Scope:         options.Scope,
		Log:           options.Log,
	})
	return a
}

// Connections returns the state of the connections.
func (a *Acceptor) Connections() keeper.State { return a.keeper.State() }

// Drain stops the Acceptor gracefully. It waits until all requests in flight have ended or
// ctx is done, in which case it returns the error of ctx.
func (a *Acceptor) Drain(ctx context.Context) error { return a.keeper.Drain(ctx) }

// Close aborts all requests in flight and closes the listener.
func (a *Acceptor) Close() error { return a.keeper.Close() }

// idleLimit returns the idle timeout in the configuration, or 0 if there is none.
func (a *Acceptor) idleLimit() time.Duration {
	limits, _ := a.options.Forwarder.Limits()
	return limits.IdleTimeout
}

func (a *Acceptor) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	answer := &answerWriter{w: w, control: http.NewResponseController(w), timeout: a.options.WriteTimeout}
	request, release, failure := a.read(w, r)
	defer release()
	if failure != nil {
		a.options.Log.Info().Str("request", string(request.ID)).Str("reason", string(failure.Reason)).
			Str("detail", failure.Detail).Msg("acceptor: request is refused")
		a.refuse(r, answer, failure)
		return
	}
	a.logArrival(r.Context(), arrived, &request)
	failure = a.keeper.Guard(request.ID, func() *carawaybeam.RequestError {
		return a.options.Forwarder.Serve(r.Context(), arrived, &request, answer)
	})
	if failure == nil {
		// The server writes the end of the answer, when the time of its last part may have passed. If it fails,
		// the connection has ended.
		_ = answer.extend()
		return
	}
	if !answer.headWritten {
		// An error is reported as the end of the connection.
		_ = a.writeFailure(answer, failure)
		a.keeper.Interrupted(r.Context(), request.ID, failure, false)
		return
	}
	// What was written may still be buffered. The client needs it in order to resume.
	_ = answer.Flush()
	a.keeper.Interrupted(r.Context(), request.ID, failure, true)
	// Abort the connection, so that the incomplete answer does not look complete.
	panic(http.ErrAbortHandler)
}

// logArrival logs when a request arrived that was read while the process stops. arrived is when
// its header had been read.
func (a *Acceptor) logArrival(ctx context.Context, arrived time.Time, request *carawaybeam.ClientRequest) {
	if !a.keeper.Leaving() {
		return
	}
	arrival := keeper.ArrivalOf(ctx)
	a.options.Log.Info().Str("request", string(request.ID)).Dur("sinceAccepted", time.Since(arrival.Accepted)).
		Dur("sinceFirstByte", time.Since(arrival.Began)).Dur("sinceHeader", time.Since(arrived)).
		Dur("timeout", request.Timeout).Msg("acceptor: request was read while the process stops")
}

// read decodes a request and reads its body. The caller must call release once the body is no longer
// needed, also on errors.
func (a *Acceptor) read(
	w http.ResponseWriter,
	r *http.Request,
) (request carawaybeam.ClientRequest, release func(), failure *carawaybeam.RequestError) {
	request, err := a.options.Dialect.DecodeRequest(r)
	if err != nil {
		return request, func() {}, carawaybeam.NotRun(carawaybeam.ReasonBadRequest, err.Error(), 0)
	}
	if r.ContentLength == 0 {
		return request, func() {}, nil
	}
	var organisation carawaybeam.OrganisationID
	if checker, ok := a.options.Forwarder.(Checker); ok {
		if organisation, failure = checker.Check(&request); failure != nil {
			return request, func() {}, failure
		}
	}
	limit := a.bodyLimit()
	keeper.BeginBody(r.Context(), organisation)
	request.Body, release, err = a.readBody(w, r, limit)
	if keeper.EndBody(r.Context()) {
		err = reserver.ErrTooSlow
	}
	if err != nil {
		failure = bodyFailure(r.Context(), err)
	}
	return request, release, failure
}

// bodyLimit returns the maximum size of a body in bytes.
func (a *Acceptor) bodyLimit() int64 {
	if limits, ok := a.options.Forwarder.Limits(); ok && limits.BodyBytes > 0 {
		return limits.BodyBytes
	}
	return a.options.BodyBytes
}

// bodyFailure returns the failure of a request whose body could not be read.
func bodyFailure(ctx context.Context, err error) *carawaybeam.RequestError {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, reserver.ErrTooLarge) || errors.As(err, &tooLarge):
		return carawaybeam.NotRun(carawaybeam.ReasonTooLarge, "body is too large", 0)
	case errors.Is(err, reserver.ErrTooSlow):
		return carawaybeam.NotRun(carawaybeam.ReasonBusy, reserver.ErrTooSlow.Error(), memoryRetryAfter)
	case ctx.Err() != nil:
		return carawaybeam.NotRun(carawaybeam.ReasonLeaving, "entry ended before the body was read", 0)
	case errors.Is(err, reserver.ErrFull):
		return carawaybeam.NotRun(carawaybeam.ReasonBusy, "bodies of other requests take the memory", memoryRetryAfter)
	}
	return carawaybeam.NotRun(carawaybeam.ReasonBadRequest, "body could not be read: "+err.Error(), 0)
}

// readBody reads the body of a request, which may have limit bytes.
func (a *Acceptor) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), error) {
	control := http.NewResponseController(w)
	// If it fails, the body may take any time, and the next request has no deadline of this one.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	data, release, err := a.options.Memory.ReadUpload(r.Context(), reserver.Upload{
		From:   http.MaxBytesReader(unwrap(w), r.Body, limit),
		Length: carawaybeam.Bytes(r.ContentLength),
		Limit:  carawaybeam.Bytes(limit),
		Begin:  func() { keeper.Enlarge(r.Context()) },
		Abort:  func() { keeper.AbortBody(r.Context()) },
	})
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	// Otherwise the deadline holds also for the rest of the body, which the server may read.
	return data, release, err
}

// refuse answers a request that was not read. A client that may still be sending its body is answered
// at once, and the body is read behind the answer.
func (a *Acceptor) refuse(r *http.Request, answer *answerWriter, failure *carawaybeam.RequestError) {
	sending := r.ContentLength != 0 && r.Header.Get("Expect") == "" && failure.Reason != carawaybeam.ReasonTooLarge
	if sending {
		// If it fails, the server reads a part of the body before the answer.
		_ = answer.control.EnableFullDuplex()
	}
	if r.ContentLength != 0 {
		// It also holds for what the server reads of the body.
		_ = answer.control.SetReadDeadline(time.Now().Add(discardTime))
	}
	if err := a.writeFailure(answer, failure); err != nil || !sending {
		return
	}
	keeper.BeginBody(r.Context(), "")
	defer keeper.EndBody(r.Context())
	_, err := io.CopyN(io.Discard, r.Body, a.bodyLimit()+1)
	if !errors.Is(err, io.EOF) {
		// The server would go on behind a part of the body, and take the rest for the next request.
		panic(http.ErrAbortHandler)
	}
}

// unwrap returns the ResponseWriter of the HTTP server, which http.MaxBytesReader needs in order
// to end the connection without waiting for the rest of the body.
func unwrap(w http.ResponseWriter) http.ResponseWriter {
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = wrapper.Unwrap()
	}
}

// writeFailure answers a request with an error. An error means that the client has not
// received the answer.
func (a *Acceptor) writeFailure(answer *answerWriter, failure *carawaybeam.RequestError) error {
	status, header := a.options.Dialect.EncodeFailure(failure)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(failure.Reason) + "\n"
	if err := answer.Head(status, header, len(body)); err != nil {
		return err
	}
	if _, err := answer.Write([]byte(body)); err != nil {
		return err
	}
	return answer.Flush()
}
