package executor

import (
	"strconv"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// ticketRetention is how long an unused ticket remains valid.
	ticketRetention = time.Hour

	// maxTickets is the maximum number of unused tickets.
	maxTickets = 4096
)

type (
	// openTickets holds the unused tickets of this incarnation. Used tickets are in
	// the ledger, with a key derived from their number.
	openTickets struct {
		lastNumber uint64
		open       map[uint64]ticket
	}

	ticket struct {
		class        string
		organisation string
		issued       time.Time
	}
)

// issue returns the number of a new ticket, or 0 if too many are open.
func (b *openTickets) issue(r *framer.TicketRequest, now time.Time) uint64 {
	for number, t := range b.open {
		if now.Sub(t.issued) > ticketRetention {
			delete(b.open, number)
		}
	}
	if len(b.open) >= maxTickets {
		return 0
	}
	if b.open == nil {
		b.open = make(map[uint64]ticket)
	}
	b.lastNumber++
	b.open[b.lastNumber] = ticket{class: r.GetClass(), organisation: r.GetOrganisation(), issued: now}
	return b.lastNumber
}

// allows reports whether a dispatch has no ticket, or one that is open for its class
// and organisation.
func (b *openTickets) allows(d *framer.Dispatch) bool {
	if d.GetTicket() == 0 {
		return true
	}
	t, ok := b.open[d.GetTicket()]
	return ok && t.class == d.GetClass() && t.organisation == d.GetOrganisation()
}

// use closes the ticket of a dispatch that is started.
func (b *openTickets) use(d *framer.Dispatch) { delete(b.open, d.GetTicket()) }

// keyOf returns the key of a dispatch, which runs at most once per key. It is empty if
// the dispatch has neither a ticket nor a key.
func keyOf(d *framer.Dispatch) string {
	if d.GetTicket() != 0 {
		return TicketKey(d.GetOrganisation(), d.GetClass(), d.GetTicket())
	}
	return d.GetKey()
}

// TicketKey returns the key of a ticket in the ledger. It depends on the organisation
// and the class, so that a caller cannot fetch the answer of a ticket of another
// organisation.
func TicketKey(organisation, class string, number uint64) string {
	key := carawaybeam.IdempotencyKey(strconv.FormatUint(number, 10))
	return "ticket-" + string(
		carawaybeam.KeyedAttempt(carawaybeam.OrganisationID(organisation), carawaybeam.ClassID(class), key),
	)
}

// ServeTicket issues a ticket. It refuses while leaving and while too many tickets are
// open.
func (e *Executor) ServeTicket(frame *framer.Frame, stream carawaybeam.Stream) {
	e.mu.Lock()
	var number uint64
	if !e.leaving {
		number = e.tickets.issue(frame.GetTicketRequest(), time.Now())
	}
	e.mu.Unlock()
	reply := &framer.Frame{ConfigVersion: e.configVersion.Load()}
	if number == 0 {
		reply.Body = &framer.Frame_Refused{Refused: &framer.Refused{Reason: string(carawaybeam.ReasonBusy)}}
	} else {
		reply.Body = &framer.Frame_Ticket{Ticket: &framer.Ticket{
			Incarnation: string(e.options.Incarnation), Number: number,
		}}
	}
	_ = stream.Send(reply)
}
