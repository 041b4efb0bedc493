package dispatcher

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// ticketTimeout is the timeout for one agent to issue a ticket.
	ticketTimeout = 2 * time.Second

	// maxTicketAttempts is the maximum number of agents that are asked for a ticket.
	maxTicketAttempts = 3

	// ticketParts is the number of parts of a ticket's text, separated by "/".
	ticketParts = 3
)

type (
	// Ticket lets one request run at most once, on the incarnation of the agent
	// that issued the ticket. Unlike an idempotency key it does not need the
	// platform's store.
	Ticket struct {
		Backend     carawaybeam.BackendID
		Incarnation carawaybeam.Incarnation
		// Number identifies the ticket among those of the incarnation. It is
		// never 0.
		Number uint64
	}

	// TicketError reports a text that is not a valid ticket.
	TicketError struct {
		Text string
	}
)

func (e *TicketError) Error() string { return fmt.Sprintf("%q is no ticket", e.Text) }

// ParseTicket parses a ticket in the form that String returns. Errors are of
// type *TicketError.
func ParseTicket(text string) (Ticket, error) {
	parts := strings.Split(text, "/")
	if len(parts) != ticketParts {
		return Ticket{}, &TicketError{Text: text}
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || number == 0 || parts[0] == "" || parts[1] == "" {
		return Ticket{}, &TicketError{Text: text}
	}
	return Ticket{
		Backend:     carawaybeam.BackendID(parts[0]),
		Incarnation: carawaybeam.Incarnation(parts[1]),
		Number:      number,
	}, nil
}

// String returns the text that callers send as the ticket.
func (t Ticket) String() string {
	return fmt.Sprintf("%s/%s/%d", t.Backend, t.Incarnation, t.Number)
}

// ObtainTicket obtains a ticket for one request of the class from an agent. It fails if
// no agent issues one.
func (d *Dispatcher) ObtainTicket(
	ctx context.Context,
	class carawaybeam.Class,
	organisation carawaybeam.OrganisationID,
) (Ticket, *carawaybeam.RequestError) {
	if failure := d.unreadEvacuations(); failure != nil {
		return Ticket{}, failure
	}
	request := Request{ID: carawaybeam.NewRequestID(), Class: class, Organisation: organisation}
	request.routing = newRouting(request)
	request.Residency = d.residency(request)
	var tried []carawaybeam.BackendID
	for range maxTicketAttempts {
		choice, ok := d.route(time.Now(), request, tried)
		if !ok {
			break
		}
		if ticket, ok := d.requestTicket(ctx, choice.Backend, request); ok {
			return ticket, nil
		}
		tried = append(tried, choice.Backend)
	}
	return Ticket{}, carawaybeam.NotRun(carawaybeam.ReasonNoBackend, "no agent gives a ticket", defaultRetryAfter)
}

// requestTicket asks the agent of one backend server for a ticket. It returns
// false if the agent does not issue one within ticketTimeout.
func (d *Dispatcher) requestTicket(
	ctx context.Context,
	backend carawaybeam.BackendID,
	request Request,
) (Ticket, bool) {
	stream, err := d.options.Members.Open(ctx, backend)
	if err != nil {
		return Ticket{}, false
	}
	defer func() { _ = stream.Close() }()
	ask := &framer.TicketRequest{Class: string(request.Class.ID), Organisation: string(request.Organisation)}
	frame := &framer.Frame{
		ConfigVersion: uint64(d.options.ConfigObserver.Version()),
		Body:          &framer.Frame_TicketRequest{TicketRequest: ask},
	}
	if stream.Send(frame) != nil {
		return Ticket{}, false
	}
	reply, err := stream.Receive(ticketTimeout)
	if err != nil || reply.GetTicket() == nil {
		return Ticket{}, false
	}
	return Ticket{
		Backend:     backend,
		Incarnation: carawaybeam.Incarnation(reply.GetTicket().GetIncarnation()),
		Number:      reply.GetTicket().GetNumber(),
	}, true
}

// ticketTarget returns the target of a request with a ticket, which is the
// incarnation of the agent that issued the ticket.
func (d *Dispatcher) ticketTarget(ctx context.Context, request Request) (target, *carawaybeam.RequestError) {
	ticket := request.Ticket
	issuer := d.connect(ctx, request.Class.Pool, ticket.Backend)
	request.Residency = d.residency(request) // Homes may have changed while the agent was linked to.
	if issuer.Incarnation != ticket.Incarnation {
		return target{}, wrongIncarnation("agent that minted the ticket is gone")
	}
	if !d.permits(request, issuer) {
		return target{}, wrongIncarnation("agent that minted the ticket is not in a home region")
	}
	return target{
		backend: ticket.Backend, incarnation: ticket.Incarnation, dataCentre: issuer.VM.DataCentre,
		ticket: ticket.Number,
	}, nil
}
