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
)

// drainDelay is how long a process that is being stopped still accepts connections. The
// load balancer in front of it checks its readiness once a second and removes a VM after
// two failed checks.
const drainDelay = 2500 * time.Millisecond

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

	// Options configures an Acceptor.
	Options struct {
		Dialect   carawaybeam.Dialect
		Forwarder Forwarder
		// BodyBytes and HeaderBytes are the maximum sizes of the body and the
		// header of a request. A body limit in the configuration replaces
		// BodyBytes.
		BodyBytes   int64
		HeaderBytes int
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
	a := &Acceptor{options: options}
	a.keeper = keeper.New(listener, keeper.Options{
		Component:     "acceptor",
		Handler:       http.HandlerFunc(a.serve),
		IdleLimit:     a.idleLimit,
		HeaderTimeout: options.ReadTimeout,
		HeaderBytes:   options.HeaderBytes,
		DrainDelay:    drainDelay,
		Scope:         options.Scope,
		Log:           options.Log,
	})
	return a
}

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
	request, failure := a.read(w, r)
	if failure != nil {
		a.options.Log.Info().Str("request", string(request.ID)).Str("reason", string(failure.Reason)).
			Str("detail", failure.Detail).Msg("acceptor: request is refused")
		_ = a.writeFailure(answer, failure)
		return
	}
	a.logArrival(r.Context(), arrived, &request)
	failure = a.keeper.Guard(request.ID, func() *carawaybeam.RequestError {
		return a.options.Forwarder.Serve(r.Context(), arrived, &request, answer)
	})
	if failure == nil {
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

// read decodes a request and reads its body.
func (a *Acceptor) read(w http.ResponseWriter, r *http.Request) (carawaybeam.ClientRequest, *carawaybeam.RequestError) {
	request, err := a.options.Dialect.DecodeRequest(r)
	if err != nil {
		return request, carawaybeam.NotRun(carawaybeam.ReasonBadRequest, err.Error(), 0)
	}
	limit := a.options.BodyBytes
	if limits, ok := a.options.Forwarder.Limits(); ok && limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	if r.ContentLength > limit {
		return request, carawaybeam.NotRun(carawaybeam.ReasonTooLarge, "body is too large", 0)
	}
	request.Body, err = io.ReadAll(http.MaxBytesReader(unwrap(w), r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return request, carawaybeam.NotRun(carawaybeam.ReasonTooLarge, "body is too large", 0)
	}
	if err != nil && r.Context().Err() != nil {
		return request, carawaybeam.NotRun(carawaybeam.ReasonLeaving, "entry ended before the body was read", 0)
	}
	if err != nil {
		return request, carawaybeam.NotRun(carawaybeam.ReasonBadRequest, "body could not be read: "+err.Error(), 0)
	}
	return request, nil
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
