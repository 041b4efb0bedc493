// Package server accepts callers' requests over HTTP, passes them to a dispatcher
// and writes the answers, as event streams where the backend server streams.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/keeper"
	"github.com/carawaybeam/carawaybeam/reserver"
	"github.com/carawaybeam/carawaybeam/shedder"
)

const (
	// HeaderClass is the header with the class of work of a request for a model.
	HeaderClass = "Carawaybeam-Class"
	// HeaderKey is the header with the idempotency key of a request.
	HeaderKey = "Idempotency-Key"
	// HeaderRequest is the header of the answer with the identifier of the
	// request.
	HeaderRequest = "Carawaybeam-Request"

	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255

	// drainDelay is how long a process that is being stopped still accepts
	// connections. In this time the load balancer in front of it detects that it
	// is no longer ready.
	drainDelay = 2 * time.Second

	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute

	// deadlineFactor is the ratio of a request's deadline to the completion
	// target of its class.
	deadlineFactor = 4
)

type (
	// Configuration is the part of the configuration that a Server uses.
	Configuration interface {
		// Authenticate returns the organisation that has the bearer token, or
		// false if there is none.
		Authenticate(token string) (carawaybeam.Organisation, bool)
		// Class returns a class of work, or false if there is no such class.
		Class(id carawaybeam.ClassID) (carawaybeam.Class, bool)
		// Version returns the version of the configuration in force.
		Version() carawaybeam.ConfigVersion
	}

	// Dispatcher serves requests.
	Dispatcher interface {
		// Do serves a request and writes its answer to w. It returns nil if the
		// whole answer was written.
		Do(ctx context.Context, request dispatcher.Request, w dispatcher.AnswerWriter) *carawaybeam.RequestError
		// ObtainTicket obtains a ticket for one request of the class.
		ObtainTicket(
			ctx context.Context,
			class carawaybeam.Class,
			organisation carawaybeam.OrganisationID,
		) (dispatcher.Ticket, *carawaybeam.RequestError)
	}

	// Options configures a Server.
	Options struct {
		Configuration Configuration
		Dispatcher    Dispatcher
		// BodyBytes and HeaderBytes are the maximum sizes of the body and the
		// header of a request.
		BodyBytes   int64
		HeaderBytes int
		// ReadTimeout is how long a caller may take to send a request.
		ReadTimeout time.Duration
		// WriteTimeout is how long a caller may take to receive one part of an
		// answer.
		WriteTimeout time.Duration
		// Bodies bounds the memory for bodies and for headers of many fields, and Answers that
		// for answers that are held until they are complete. If nil, it is not bounded.
		Bodies, Answers *reserver.Reserver
		// Connections is the maximum number of connections, or 0 for any number.
		Connections shedder.Bound
		// Ready reports whether requests can be served.
		Ready func() bool
		// TLS is the configuration for callers that connect over TLS, or nil.
		TLS *tls.Config
		// Scope receives the metrics.
		Scope tally.Scope
		Log   zerolog.Logger
	}

	// Server accepts requests of callers over HTTP.
	Server struct {
		options Options
		keeper  *keeper.Keeper
	}
)

// New returns a Server that serves callers on the listener until Close.
func New(listener net.Listener, options Options) *Server {
	if options.Bodies == nil {
		options.Bodies = reserver.New(0, 0)
	}
	if options.Answers == nil {
		options.Answers = reserver.New(0, 0)
	}
	s := &Server{options: options}
	router := echo.New()
	router.HTTPErrorHandler = s.handleError
	router.POST("/v1/completions", s.serveModel)
	router.POST("/v1/tickets", s.serveTicket)
	router.POST("/v1/chat/completions", s.serveModel)
	router.Any("/services/:class", s.serveService)
	router.Any("/services/:class/*", s.serveService)
	s.keeper = keeper.New(listener, keeper.Options{
		Component:     "server",
		Handler:       router,
		IdleLimit:     func() time.Duration { return idleTimeout },
		HeaderTimeout: options.ReadTimeout,
		ReadTimeout:   options.ReadTimeout,
		HeaderBytes:   options.HeaderBytes,
		DrainDelay:    drainDelay,
		TLS:           options.TLS,
		Bound:         options.Connections,
		Memory:        options.Bodies,
		Scope:         options.Scope,
		Log:           options.Log,
	})
	return s
}

// Connections returns the state of the connections.
func (s *Server) Connections() keeper.State { return s.keeper.State() }

// Drain stops the Server gracefully. It waits until all requests in flight have ended or ctx
// is done, in which case it returns the error of ctx.
func (s *Server) Drain(ctx context.Context) error { return s.keeper.Drain(ctx) }

// Close aborts all requests in flight and closes the listener.
func (s *Server) Close() error { return s.keeper.Close() }

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
	request, release, failure := s.read(c.Request(), class, kind)
	defer release()
	if failure != nil {
		writeProblem(c.Response(), statusOf(failure), failure)
		return
	}
	request.ID = id
	request.Path = path
	w := newAnswerWriter(c.Response(), s.options.WriteTimeout)
	w.memory = s.options.Answers
	defer w.releaseMemory()
	ctx := c.Request().Context()
	failure = s.keeper.Guard(id, func() *carawaybeam.RequestError { return s.options.Dispatcher.Do(ctx, request, w) })
	if failure != nil {
		s.keeper.Interrupted(ctx, id, failure, w.headSent)
	}
	w.finish(failure)
}

// read validates a request and reads its body. The caller must call release once the body is no longer needed,
// also on errors.
func (s *Server) read(
	r *http.Request,
	id carawaybeam.ClassID,
	kind carawaybeam.WorkKind,
) (request dispatcher.Request, release func(), failure *carawaybeam.RequestError) {
	release = func() {}
	if !s.options.Ready() {
		return request, release, carawaybeam.NotRun(
			carawaybeam.ReasonLeaving,
			"this entry does not serve now",
			time.Second,
		)
	}
	version := s.options.Configuration.Version()
	org, class, failure := s.identify(r, id)
	if failure != nil {
		return request, release, failure
	}
	if class.Kind != kind {
		return request, release, carawaybeam.NotRun(
			carawaybeam.ReasonUnknownClass,
			"no "+string(kind)+" class is named "+string(id),
			0,
		)
	}
	ticket, failure := ticketOf(r)
	if failure != nil {
		return request, release, failure
	}
	key := r.Header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return request, release, carawaybeam.NotRun(carawaybeam.ReasonBadRequest, "idempotency key is too long", 0)
	}
	body, release, failure := s.readBody(r, kind, org.ID)
	if failure != nil {
		return request, release, failure
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
		Residency: carawaybeam.Residency{
			Route:        carawaybeam.NewHomeRegions(class.Homes, ""),
			Organisation: carawaybeam.NewHomeRegions(org.Homes, ""),
		},
		Ticket: ticket,
	}, release, nil
}

// identify returns the organisation that sent a request and the class with the
// given identifier, which the organisation must be allowed to use.
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

// readBody reads the body of a request of an organisation. The caller must call release once it is no longer
// needed, also on errors.
func (s *Server) readBody(
	r *http.Request,
	kind carawaybeam.WorkKind,
	organisation carawaybeam.OrganisationID,
) (body []byte, release func(), failure *carawaybeam.RequestError) {
	ctx := r.Context()
	keeper.BeginBody(ctx, organisation)
	body, release, err := s.options.Bodies.ReadUpload(ctx, reserver.Upload{
		From:   r.Body,
		Length: carawaybeam.Bytes(r.ContentLength),
		Limit:  carawaybeam.Bytes(s.options.BodyBytes),
		Begin:  func() { keeper.Enlarge(ctx) },
		Abort:  func() { keeper.AbortBody(ctx) },
	})
	if keeper.EndBody(ctx) {
		err = reserver.ErrTooSlow
	}
	switch {
	case err == nil:
	case errors.Is(err, reserver.ErrTooLarge):
		return nil, release, carawaybeam.NotRun(carawaybeam.ReasonTooLarge, "body is too large", 0)
	case errors.Is(err, reserver.ErrTooSlow), errors.Is(err, reserver.ErrFull) && ctx.Err() == nil:
		return nil, release, carawaybeam.NotRun(carawaybeam.ReasonBusy, err.Error(), time.Second)
	case ctx.Err() != nil:
		failure = carawaybeam.NotRun(carawaybeam.ReasonLeaving, "entry ended before the body was read", time.Second)
		return nil, release, failure
	default:
		failure = carawaybeam.NotRun(carawaybeam.ReasonBadRequest, "body could not be read: "+err.Error(), 0)
		return nil, release, failure
	}
	if kind == carawaybeam.WorkModel {
		if err := checkJSON(body); err != nil {
			failure = carawaybeam.NotRun(carawaybeam.ReasonBadRequest, "body is not a JSON object: "+err.Error(), 0)
		}
	}
	return body, release, failure
}
