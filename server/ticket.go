package server

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher"
)

// HeaderTicket is the header with a ticket. A request with a ticket runs at most
// once, even while the platform's store is unavailable.
const HeaderTicket = "Carawaybeam-Ticket"

// serveTicket issues a ticket for one request of the class named in the header.
func (s *Server) serveTicket(c *echo.Context) error {
	ticket, failure := s.obtainTicket(c.Request())
	if failure != nil {
		writeProblem(c.Response(), statusOf(failure), failure)
		return nil
	}
	c.Response().Header().Set(HeaderTicket, ticket.String())
	c.Response().WriteHeader(http.StatusCreated)
	return nil
}

func (s *Server) obtainTicket(r *http.Request) (dispatcher.Ticket, *carawaybeam.RequestError) {
	if !s.options.Ready() {
		return dispatcher.Ticket{}, carawaybeam.NotRun(
			carawaybeam.ReasonLeaving,
			"this entry does not serve now",
			time.Second,
		)
	}
	org, class, failure := s.identify(r, carawaybeam.ClassID(r.Header.Get(HeaderClass)))
	if failure != nil {
		return dispatcher.Ticket{}, failure
	}
	return s.options.Dispatcher.ObtainTicket(r.Context(), class, org.ID)
}

// ticketOf returns the ticket of a request, or the zero Ticket if it has none.
func ticketOf(r *http.Request) (dispatcher.Ticket, *carawaybeam.RequestError) {
	text := r.Header.Get(HeaderTicket)
	if text == "" {
		return dispatcher.Ticket{}, nil
	}
	ticket, err := dispatcher.ParseTicket(text)
	if err != nil {
		return ticket, carawaybeam.NotRun(carawaybeam.ReasonBadRequest, err.Error(), 0)
	}
	return ticket, nil
}
