package prover_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/launcher"
	"github.com/carawaybeam/carawaybeam/prover"
	"github.com/carawaybeam/carawaybeam/server"
)

const (
	stopBookings = 40
	stopStreams  = 20
)

// requestTicket gets a ticket for one booking from an entry.
func requestTicket(t *testing.T, entry *launcher.Entry) string {
	t.Helper()
	got := send(entry, "/v1/tickets", "", http.Header{server.HeaderClass: {"bookings"}})
	if got.err != nil || got.ticket == "" {
		t.Fatal("entry issued no ticket: status, body and error are", got.status, got.body, got.err)
	}
	return got.ticket
}

func bookWithTicket(entry *launcher.Entry, number, ticket string) reply {
	body := fmt.Sprintf(`{"number":%q,"visit":"2026-12-04"}`, number)
	return send(entry, "/services/bookings/bookings", body, http.Header{server.HeaderTicket: {ticket}})
}

// TestPromiseProcessStopBookings checks that all requests are completed, and no
// booking runs twice, when an entry and the agent of a plain service are stopped at the
// same time with keyed bookings and streams in flight.
func TestPromiseProcessStopBookings(t *testing.T) {
	f := startFleet(t)
	finished := startStreams(f, stopStreams, 150)
	var wait sync.WaitGroup
	replies := make([]reply, stopBookings)
	time.Sleep(500 * time.Millisecond)
	for i := range replies {
		wait.Go(func() { replies[i] = book(f.Entries[i%2], fmt.Sprintf("s%d", i), fmt.Sprintf("key%d", i)) })
	}
	time.Sleep(100 * time.Millisecond)
	for _, p := range []*launcher.Process{f.Entries[1].Process, f.Slots[0].Agent} {
		if err := p.Signal(syscall.SIGTERM); err != nil {
			t.Error(err)
		}
	}
	wait.Wait()
	whole, _ := finished()
	for _, p := range []*launcher.Process{f.Entries[1].Process, f.Slots[0].Agent} {
		if err := p.Stop(); err != nil {
			t.Error("stop:", err)
		}
	}
	runs := bookingRuns(t, f)
	booked, double := 0, 0
	for i, r := range replies {
		number := fmt.Sprintf("s%d", i)
		if runs[number] > 1 {
			double++
		}
		if r.err == nil && r.status == http.StatusOK && runs[number] == 1 {
			booked++
			continue
		}
		t.Log(number, "through entry", i%2, "number of runs", runs[number], "answer", r.status, r.body, r.err)
	}
	fmt.Printf("processes: stop with bookings: booked %d of %d, streams whole %d of %d\n",
		booked, stopBookings, whole, stopStreams)
	prover.Report(t, prover.PlannedStop, stopBookings+stopStreams, stopBookings-booked+stopStreams-whole)
	prover.Report(t, prover.AtMostOnce, stopBookings, double)
}

// TestPromiseProcessTickets checks that a booking with a ticket runs at most once and
// is not reported as not run after it ran. With the store down, it sends each booking
// through both entries concurrently and then once more.
func TestPromiseProcessTickets(t *testing.T) {
	f := startFleet(t)
	if err := f.SetStoreFault(t.Context(), `{"mode":"down"}`); err != nil {
		t.Fatal(err)
	}
	const bookings = 20
	var wait sync.WaitGroup
	replies := make([][3]reply, bookings)
	for i := range replies {
		issued := requestTicket(t, f.Entries[i%2])
		wait.Go(func() {
			var both sync.WaitGroup
			for n := range 2 {
				both.Go(func() { replies[i][n] = bookWithTicket(f.Entries[n], fmt.Sprintf("t%d", i), issued) })
			}
			both.Wait()
			replies[i][2] = bookWithTicket(f.Entries[(i+1)%2], fmt.Sprintf("t%d", i), issued)
		})
	}
	wait.Wait()
	runs := bookingRuns(t, f)
	double, falseNotRun, whole := 0, 0, 0
	for i := range replies {
		ran := runs[fmt.Sprintf("t%d", i)]
		if ran > 1 {
			double++
		}
		if ran == 1 && replies[i][2].status == http.StatusOK {
			whole++
		}
		if ran > 0 && replies[i][2].outcome == carawaybeam.OutcomeNotRun {
			falseNotRun++
		}
	}
	fmt.Printf("processes: tickets with the store down: completed %d of %d, refused after a run %d\n",
		whole, bookings, falseNotRun)
	prover.Report(t, prover.AtMostOnce, bookings, double+falseNotRun)
}
