// Package booker is a stand-in for a plain service that books visits and
// returns the status of work orders. It counts how often each booking was run.
// It is for tests and the demo only.
package booker

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam/caller"
)

type (
	// Booker is the stand-in service. Its methods are safe for concurrent use.
	Booker struct {
		delay time.Duration

		mu        sync.Mutex
		bookings  map[string]int
		lookups   int
		lastStart time.Time
	}

	// Counts holds the numbers of requests that the service has run.
	Counts struct {
		Bookings map[string]int `json:"bookings"`
		Lookups  int            `json:"lookups"`
		// LastStart is when the latest request started.
		LastStart time.Time `json:"lastStart"`
	}

	booking struct {
		Number string `json:"number"`
		Visit  string `json:"visit"`
	}

	confirmation struct {
		Number    string `json:"number"`
		Confirmed bool   `json:"confirmed"`
		Run       int    `json:"run"`
	}

	order struct {
		ID     string `json:"id"`
		Status string `json:"status"`
	}
)

// New returns a Booker that takes the given time for each request.
func New(delay time.Duration) *Booker {
	return &Booker{delay: delay, bookings: make(map[string]int)}
}

// Counts returns the counts since the start, with the bookings by their number.
func (b *Booker) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := Counts{Bookings: make(map[string]int, len(b.bookings)), Lookups: b.lookups, LastStart: b.lastStart}
	for number, runs := range b.bookings {
		counts.Bookings[number] = runs
	}
	return counts
}

// Handler returns the HTTP API of the service.
func (b *Booker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", b.serveBooking)
	mux.HandleFunc("GET /orders/{id}", b.serveOrder)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, b.Counts()) })
	return mux
}

func (b *Booker) serveBooking(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(caller.HeaderAttempt, r.Header.Get(caller.HeaderAttempt))
	var request booking
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Number == "" {
		http.Error(w, "want a booking with a number", http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	b.bookings[request.Number]++
	run := b.bookings[request.Number]
	b.lastStart = time.Now()
	b.mu.Unlock()
	time.Sleep(b.delay)
	reply(w, confirmation{Number: request.Number, Confirmed: true, Run: run})
}

func (b *Booker) serveOrder(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(caller.HeaderAttempt, r.Header.Get(caller.HeaderAttempt))
	b.mu.Lock()
	b.lookups++
	b.lastStart = time.Now()
	b.mu.Unlock()
	time.Sleep(b.delay)
	reply(w, order{ID: r.PathValue("id"), Status: "scheduled"})
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
