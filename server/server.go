// Package server takes callers' requests over HTTP and writes their answers, as
// a stream where the answer is one.
package server

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/starter"
)

const (
	// HeaderClass names the class of a request for a model.
	HeaderClass = "Carawaybeam-Class"
	// HeaderKey carries the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderRequest carries the request identifier back to the caller.
	HeaderRequest = "Carawaybeam-Request"

	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255

	// noticeTime is how long a leaving process goes on taking connections, while
	// the balancer before it learns that it is no longer ready.
	noticeTime = 2 * time.Second

	// idleTimeout ends connections on which no request comes.
	idleTimeout = 2 * time.Minute

	// deadlineFactor turns the target for completion into a deadline.
	deadlineFactor = 4
)

type (
	// Configuration is what the server reads of the configuration.
	Configuration interface {
		Authenticate(token string) (carawaybeam.Organisation, bool)
		Class(id carawaybeam.ClassID) (carawaybeam.Class, bool)
		Version() carawaybeam.ConfigVersion
	}

	// Dispatcher serves one request.
	Dispatcher interface {
		Do(ctx context.Context, request dispatcher.Request, w dispatcher.AnswerWriter) *carawaybeam.RequestError
		Mint(
			ctx context.Context,
			class carawaybeam.Class,
			organisation carawaybeam.OrganisationID,
		) (dispatcher.Ticket, *carawaybeam.RequestError)
	}

	// Options is what a Server is made from.
	Options struct {
		Configuration Configuration
		Dispatcher    Dispatcher
		// BodyBytes and HeaderBytes bound a request.
		BodyBytes   int64
		HeaderBytes int
		// ReadTimeout bounds the time in which a caller sends its request.
		ReadTimeout time.Duration
		// WriteTimeout bounds the time in which a caller takes one part of its
		// answer.
		WriteTimeout time.Duration
		// Ready tells whether requests can be served.
		Ready func() bool
		Log   zerolog.Logger
	}

	// Server serves callers.
	Server struct {
		options Options
		http    *http.Server
		done    chan struct{}
		leaving atomic.Bool
	}
)

// New returns a Server that serves callers from the listener until Close.
func New(listener net.Listener, options Options) *Server {
	s := &Server{options: options, done: make(chan struct{})}
	router := echo.New()
	router.HTTPErrorHandler = s.handleError
	router.POST("/v1/completions", s.serveModel)
	router.POST("/v1/tickets", s.serveTicket)
	router.POST("/v1/chat/completions", s.serveModel)
	router.Any("/services/:class", s.serveService)
	router.Any("/services/:class/*", s.serveService)
	s.http = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: options.ReadTimeout,
		ReadTimeout:       options.ReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    options.HeaderBytes,
		ErrorLog:          starter.NewConnectionLog(options.Log, "server"),
	}
	go s.serve(listener)
	return s
}

func (s *Server) serve(listener net.Listener) {
	defer close(s.done)
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.options.Log.Error().Err(err).Msg("server: callers are no longer served")
	}
}

// Drain waits until callers have had time to notice that the process leaves, then
// takes no more connections and waits until the running requests have ended, or
// ctx ends. Requests that come in the meantime are served, each as the last one
// on its connection, so that none is cut off with a connection that seemed idle.
func (s *Server) Drain(ctx context.Context) error {
	s.leaving.Store(true)
	timer := time.NewTimer(noticeTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.http.Shutdown(ctx)
}

// Close cuts off what runs and waits for the listener to end.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.done
	return err
}

// handleError answers requests that match no route.
func (s *Server) handleError(c *echo.Context, err error) {
	status := http.StatusInternalServerError
	var coder echo.HTTPStatusCoder
	if errors.As(err, &coder) {
		status = coder.StatusCode()
	}
	writeProblem(c.Response(), status, &carawaybeam.RequestError{
		Outcome: carawaybeam.OutcomeNotRun,
		Reason:  carawaybeam.ReasonBadRequest,
		Detail:  err.Error(),
	})
}

func (s *Server) serveModel(c *echo.Context) error {
	class := carawaybeam.ClassID(c.Request().Header.Get(HeaderClass))
	s.serveRequest(c, class, carawaybeam.WorkModel, c.Request().URL.RequestURI())
	return nil
}

func (s *Server) serveService(c *echo.Context) error {
	class := carawaybeam.ClassID(c.Param("class"))
	path := strings.TrimPrefix(c.Request().URL.RequestURI(), "/services/"+string(class))
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	s.serveRequest(c, class, carawaybeam.WorkService, path)
	return nil
}

func (s *Server) serveRequest(c *echo.Context, class carawaybeam.ClassID, kind carawaybeam.WorkKind, path string) {
	id := carawaybeam.NewRequestID()
	c.Response().Header().Set(HeaderRequest, string(id))
	if s.leaving.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	request, failure := s.read(c.Request(), class, kind)
	if failure != nil {
		writeProblem(c.Response(), statusOf(failure), failure)
		return
	}
	request.ID = id
	request.Path = path
	w := newAnswerWriter(c.Response(), s.options.WriteTimeout)
	w.finish(s.options.Dispatcher.Do(c.Request().Context(), request, w))
}

// read checks a request and reads its body.
func (s *Server) read(
	r *http.Request,
	id carawaybeam.ClassID,
	kind carawaybeam.WorkKind,
) (dispatcher.Request, *carawaybeam.RequestError) {
	if !s.options.Ready() {
		return dispatcher.Request{}, carawaybeam.NotRun(
			carawaybeam.ReasonLeaving,
			"this entry does not serve now",
			time.Second,
		)
	}
	version := s.options.Configuration.Version()
	org, class, failure := s.identify(r, id)
	if failure != nil {
		return dispatcher.Request{}, failure
	}
	if class.Kind != kind {
		return dispatcher.Request{}, carawaybeam.NotRun(
			carawaybeam.ReasonUnknownClass,
			"no "+string(kind)+" class is named "+string(id),
			0,
		)
	}
	ticket, failure := ticketOf(r)
	if failure != nil {
		return dispatcher.Request{}, failure
	}
	key := r.Header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return dispatcher.Request{}, carawaybeam.NotRun(carawaybeam.ReasonBadRequest, "idempotency key is too long", 0)
	}
	body, failure := s.readBody(r, kind)
	if failure != nil {
		return dispatcher.Request{}, failure
	}
	return dispatcher.Request{
		Class:         class,
		Organisation:  org.ID,
		Key:           carawaybeam.IdempotencyKey(key),
		Method:        r.Method,
		ContentType:   r.Header.Get("Content-Type"),
		Body:          body,
		Deadline:      time.Now().Add(deadlineFactor * class.Targets.Completed),
		ConfigVersion: version,
		Ticket:        ticket,
	}, nil
}

// identify returns the organisation that asks and the class that it names.
func (s *Server) identify(
	r *http.Request,
	id carawaybeam.ClassID,
) (carawaybeam.Organisation, carawaybeam.Class, *carawaybeam.RequestError) {
	org, failure := s.authenticate(r)
	if failure != nil {
		return org, carawaybeam.Class{}, failure
	}
	class, ok := s.options.Configuration.Class(id)
	if !ok {
		return org, class, carawaybeam.NotRun(carawaybeam.ReasonUnknownClass, "no class is named "+string(id), 0)
	}
	if len(org.Classes) > 0 && !slices.Contains(org.Classes, id) {
		return org, class, carawaybeam.NotRun(carawaybeam.ReasonForbidden, "organisation may not use the class", 0)
	}
	return org, class, nil
}

func (s *Server) authenticate(r *http.Request) (carawaybeam.Organisation, *carawaybeam.RequestError) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return carawaybeam.Organisation{}, carawaybeam.NotRun(
			carawaybeam.ReasonUnauthorized,
			"no bearer token was given",
			0,
		)
	}
	org, ok := s.options.Configuration.Authenticate(token)
	if !ok {
		return org, carawaybeam.NotRun(carawaybeam.ReasonUnauthorized, "no organisation has the bearer token", 0)
	}
	return org, nil
}

func (s *Server) readBody(r *http.Request, kind carawaybeam.WorkKind) ([]byte, *carawaybeam.RequestError) {
	if r.ContentLength > s.options.BodyBytes {
		return nil, carawaybeam.NotRun(carawaybeam.ReasonTooLarge, "body is too large", 0)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, s.options.BodyBytes+1))
	if err != nil {
		return nil, carawaybeam.NotRun(carawaybeam.ReasonBadRequest, "body could not be read: "+err.Error(), 0)
	}
	if int64(len(body)) > s.options.BodyBytes {
		return nil, carawaybeam.NotRun(carawaybeam.ReasonTooLarge, "body is too large", 0)
	}
	if kind == carawaybeam.WorkModel {
		if err := checkJSON(body); err != nil {
			return nil, carawaybeam.NotRun(carawaybeam.ReasonBadRequest, "body is not a JSON object: "+err.Error(), 0)
		}
	}
	return body, nil
}
