package executor

import (
	"strconv"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/framer"
)

const (
	// ticketRetention is how long a ticket may wait for its first use.
	ticketRetention = time.Hour

	// maxTickets bounds the tickets that wait for their first use.
	maxTickets = 4096
)

type (
	// ticketBook holds the tickets minted by this incarnation that have not been
	// used. Those used are in the ledger, under a key made from their number.
	ticketBook struct {
		last uint64
		open map[uint64]ticket
	}

	ticket struct {
		class        string
		organisation string
		minted       time.Time
	}
)

// mint returns the number of a new ticket, or 0 when too many are open.
func (b *ticketBook) mint(r *framer.TicketRequest, now time.Time) uint64 {
	for number, t := range b.open {
		if now.Sub(t.minted) > ticketRetention {
			delete(b.open, number)
		}
	}
	if len(b.open) >= maxTickets {
		return 0
	}
	if b.open == nil {
		b.open = make(map[uint64]ticket)
	}
	b.last++
	b.open[b.last] = ticket{class: r.GetClass(), organisation: r.GetOrganisation(), minted: now}
	return b.last
}

// allows tells whether a dispatch has no ticket or one that is open.
func (b *ticketBook) allows(d *framer.Dispatch) bool {
	if d.GetTicket() == 0 {
		return true
	}
	t, ok := b.open[d.GetTicket()]
	return ok && t.class == d.GetClass() && t.organisation == d.GetOrganisation()
}

// use closes the ticket of a dispatch that runs.
func (b *ticketBook) use(d *framer.Dispatch) { delete(b.open, d.GetTicket()) }

// keyOf returns the key under which a dispatch runs at most once.
func keyOf(d *framer.Dispatch) string {
	if d.GetTicket() != 0 {
		return TicketKey(d.GetOrganisation(), d.GetClass(), d.GetTicket())
	}
	return d.GetKey()
}

// TicketKey names a ticket in the ledger. It is bound to the organisation and
// class, so that nobody fetches the answer to another's ticket.
func TicketKey(organisation, class string, number uint64) string {
	key := carawaybeam.IdempotencyKey(strconv.FormatUint(number, 10))
	return "ticket-" + string(
		carawaybeam.KeyedAttempt(carawaybeam.OrganisationID(organisation), carawaybeam.ClassID(class), key),
	)
}

// ServeTicket mints a ticket, or refuses while leaving.
func (e *Executor) ServeTicket(frame *framer.Frame, stream carawaybeam.Stream) {
	e.mu.Lock()
	var number uint64
	if !e.leaving {
		number = e.minted.mint(frame.GetTicketRequest(), time.Now())
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
