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
	// ticketTimeout bounds the wait for an agent to mint a ticket.
	ticketTimeout = 2 * time.Second

	// ticketTries is how many agents are asked for a ticket.
	ticketTries = 3

	ticketParts = 3
)

type (
	// Ticket lets one request run once, on the incarnation of the agent that
	// minted it. It needs nothing of the platform's store.
	Ticket struct {
		Backend     carawaybeam.BackendID
		Incarnation carawaybeam.Incarnation
		Number      uint64
	}

	// TicketError reports a text that is no ticket.
	TicketError struct {
		Text string
	}
)

func (e *TicketError) Error() string { return fmt.Sprintf("%q is no ticket", e.Text) }

// ParseTicket reads a ticket as String writes it. Errors are of type
// *TicketError.
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

// String returns the ticket as callers send it.
func (t Ticket) String() string {
	return fmt.Sprintf("%s/%s/%d", t.Backend, t.Incarnation, t.Number)
}

// Mint gets a ticket for one request of the class from an agent.
func (d *Dispatcher) Mint(
	ctx context.Context,
	class carawaybeam.Class,
	organisation carawaybeam.OrganisationID,
) (Ticket, *carawaybeam.RequestError) {
	request := Request{ID: carawaybeam.NewRequestID(), Class: class, Organisation: organisation}
	request.routing = newRouting(request)
	var tried []carawaybeam.BackendID
	for range ticketTries {
		choice, ok := d.route(time.Now(), request, tried)
		if !ok {
			break
		}
		if ticket, ok := d.mintAt(ctx, choice.Backend, request); ok {
			return ticket, nil
		}
		tried = append(tried, choice.Backend)
	}
	return Ticket{}, carawaybeam.NotRun(carawaybeam.ReasonNoBackend, "no agent gives a ticket", comeBackAfter)
}

func (d *Dispatcher) mintAt(ctx context.Context, backend carawaybeam.BackendID, request Request) (Ticket, bool) {
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

// ticketTarget sends a request with a ticket where the ticket was minted.
func (d *Dispatcher) ticketTarget(ctx context.Context, request Request) (target, *carawaybeam.RequestError) {
	ticket := request.Ticket
	if d.reach(ctx, request.Class.Pool, ticket.Backend).Incarnation != ticket.Incarnation {
		return target{}, incarnationGone("agent that minted the ticket is gone")
	}
	return target{backend: ticket.Backend, incarnation: ticket.Incarnation, ticket: ticket.Number}, nil
}
