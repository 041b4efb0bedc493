// Package finisher decides whether a process that has been told to stop can finish a request
// before it ends. It forecasts how long a request takes from the requests of the same kind that
// ended lately or are still running.
package finisher

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// Kind identifies requests that take about as long, apart from the length of their answers.
	Kind string

	// Finisher knows when its process ends and how long requests take. Its methods are safe
	// for concurrent use.
	Finisher struct {
		end atomic.Pointer[time.Time]

		mu      sync.Mutex
		records map[Kind]*record
		// swept is when records without requests were last removed.
		swept time.Time
	}

	// Request describes a request that is about to be sent.
	Request struct {
		Kind Kind
		// Answer is the maximum length of the answer, or 0 if it is not known.
		Answer carawaybeam.Tokens
		// Deadline is when the request ends at the latest.
		Deadline time.Time
		// Begun is when the client received the first part of the answer, or zero. The
		// request then continues the answer.
		Begun time.Time
	}

	// Forecast tells how a request compares with the time that the process has left.
	Forecast struct {
		// Stopping is set if the process has been told to stop. If it is not, the other
		// fields are not set.
		Stopping bool
		// TimeLeft is how long requests may still run.
		TimeLeft time.Duration
		// Longest is how long the request may take.
		Longest time.Duration
		// Samples is how many requests Longest is derived from. If it is 0, Longest is
		// the time to the deadline.
		Samples int
	}

	// Run is one running request.
	Run struct {
		finisher *Finisher
		kind     Kind
		answer   carawaybeam.Tokens
		began    time.Time
		// first is the time to the first part of the answer, or 0 before it.
		first time.Duration
	}
)

// New returns a Finisher of a process that has not been told to stop.
func New() *Finisher { return &Finisher{records: make(map[Kind]*record)} }

// Stop tells that the process aborts at end the requests that are then running. Later calls do
// nothing.
func (f *Finisher) Stop(end time.Time) { f.end.CompareAndSwap(nil, &end) }

// InTime reports whether the request ends before the process does.
func (c Forecast) InTime() bool { return !c.Stopping || c.Longest <= c.TimeLeft }

// Forecast forecasts how long a request takes that is sent now.
func (f *Finisher) Forecast(request Request) Forecast {
	end := f.end.Load()
	if end == nil {
		return Forecast{}
	}
	now := time.Now()
	forecast := Forecast{Stopping: true, TimeLeft: end.Sub(now), Longest: request.Deadline.Sub(now)}
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.records[request.Kind]
	if known == nil {
		return forecast
	}
	longest, samples := known.longest(now, request.Answer)
	if samples == 0 {
		return forecast
	}
	if !request.Begun.IsZero() {
		longest = max(0, longest-now.Sub(request.Begun))
	}
	forecast.Longest, forecast.Samples = min(longest, forecast.Longest), samples
	return forecast
}

// Begin records that a request is sent. End must be called on the Run. answer is the maximum length of the
// answer, or 0 if it is not known.
func (f *Finisher) Begin(kind Kind, answer carawaybeam.Tokens) *Run {
	run := &Run{finisher: f, kind: kind, answer: answer, began: time.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sweep(run.began)
	known := f.records[kind]
	if known == nil {
		known = &record{running: make(map[*Run]struct{})}
		f.records[kind] = known
	}
	known.running[run] = struct{}{}
	return run
}

// MarkFirstPart records that the first part of the answer has arrived. Later calls do nothing.
func (r *Run) MarkFirstPart() {
	r.finisher.mu.Lock()
	defer r.finisher.mu.Unlock()
	if r.first == 0 {
		r.first = time.Since(r.began)
	}
}

// End records that the request has ended. A request that was sent counts even if it failed: with
// the rest of its answer it would have taken longer.
func (r *Run) End(sent bool) {
	r.finisher.mu.Lock()
	defer r.finisher.mu.Unlock()
	known := r.finisher.records[r.kind]
	delete(known.running, r)
	if sent {
		now := time.Now()
		known.add(now, r.observe(now))
	}
}

// sweep removes the records of kinds that are no longer in use. The caller holds mu.
func (f *Finisher) sweep(now time.Time) {
	if now.Sub(f.swept) < periodTime {
		return
	}
	f.swept = now
	for kind, known := range f.records {
		if len(known.running) == 0 && known.expired(now) {
			delete(f.records, kind)
		}
	}
}

// Kinds returns the number of kinds of which the Finisher knows requests.
func (f *Finisher) Kinds() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.records)
}
