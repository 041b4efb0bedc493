package dispatcher

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/router/counter"
	"github.com/carawaybeam/carawaybeam/router/prefixer"
	"github.com/carawaybeam/carawaybeam/tracker"
)

const (
	// maxPrefixes is the capacity of a Dispatcher's table of prompt prefixes.
	maxPrefixes = 1 << 15

	// interDataCentreLatency is the assumed one-way network latency to another
	// data centre.
	interDataCentreLatency = time.Millisecond
)

type (
	// routing holds what is computed once for a request, and its latest routing
	// decision.
	routing struct {
		prefixes    []prefixer.Prefix
		affinity    uint64
		fingerprint uint64
		// streams is set when the first part of the answer arrives with the
		// first token.
		streams bool

		decision carawaybeam.RouteDecision
		// unused is set while the decision made for admission has not been used
		// for an attempt.
		unused bool
		// current is the attempt in flight, or nil before the first one.
		current *observedAttempt
	}

	// observedAttempt measures one attempt for the router.
	observedAttempt struct {
		dispatcher *Dispatcher
		decision   carawaybeam.RouteDecision
		own        *counter.Request
		began      time.Time
		answered   bool
		// reported is set when the outcome is reported to the router.
		reported bool
	}

	// observedWriter notices the first part of an answer.
	observedWriter struct {
		AnswerWriter
		routing *routing
	}
)

func newRouting(request Request) *routing {
	prefixes := prefixer.Split(request.Body)
	digest := xxhash.New()
	for _, part := range []string{string(request.Organisation), string(request.Class.ID), request.Path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(request.Body)
	return &routing{
		prefixes:    prefixes,
		affinity:    prefixer.Affinity(prefixes),
		fingerprint: digest.Sum64(),
		streams:     request.Class.Kind == carawaybeam.WorkService || asksForStream(request.Body),
	}
}

// asksForStream reports whether the body of a request to a model asks for a
// streamed answer. It searches for the field instead of parsing the whole body
// as JSON.
func asksForStream(body []byte) bool {
	return bytes.Contains(body, []byte(`"stream":true`)) || bytes.Contains(body, []byte(`"stream": true`))
}

// Chunk appends data to the answer.
func (w *observedWriter) Chunk(data []byte) error {
	if w.routing.current != nil {
		w.routing.current.markFirstPart()
	}
	return w.AnswerWriter.Chunk(data)
}

// admit makes a routing decision for a request and asks the limiter to admit it
// on that basis.
func (d *Dispatcher) admit(now time.Time, request Request) (carawaybeam.AdmitRequest, carawaybeam.AdmitDecision) {
	admit := carawaybeam.AdmitRequest{
		Request:      request.ID,
		Class:        request.Class,
		Organisation: request.Organisation,
		Fingerprint:  request.routing.fingerprint,
		Prompt:       promptTokens(request),
	}
	if choice, ok := d.route(now, request, nil); ok {
		admit.Expected = choice.Expected
		admit.Unloaded = choice.Unloaded
		admit.Idle = choice.Idle
		request.routing.unused = true
	}
	return admit, d.options.Limiter.Admit(now, admit)
}

// route asks the router for one of the backend servers that accept work. The
// first attempt uses the decision that was made for admission.
func (d *Dispatcher) route(
	now time.Time,
	request Request,
	tried []carawaybeam.BackendID,
) (carawaybeam.RouteDecision, bool) {
	r := request.routing
	if r.unused && len(tried) == 0 {
		r.unused = false
		return r.decision, true
	}
	decision, ok := d.options.Router.Route(now, carawaybeam.RouteRequest{
		Request:      request.ID,
		Class:        request.Class.ID,
		Pool:         request.Class.Pool,
		Organisation: request.Organisation,
		DataCentre:   d.options.DataCentre,
		Affinity:     r.affinity,
		Prompt:       promptTokens(request),
		Target:       request.Class.Targets.FirstToken,
		Tried:        tried,
	}, d.candidates(now, request), d.random)
	r.decision = decision
	return decision, ok
}

// candidates returns the linked backend servers of the request's pool that are
// not leaving and not in evacuated data centres.
func (d *Dispatcher) candidates(now time.Time, request Request) []carawaybeam.Candidate {
	members := d.options.Members.Members(request.Class.Pool)
	d.updateIncarnations(members)
	hits := d.prefixes.Lookup(request.routing.prefixes)
	candidates := make([]carawaybeam.Candidate, 0, len(members))
	for i := range members {
		if d.acceptsWork(&members[i]) && d.permits(request, members[i]) {
			candidates = append(candidates, d.candidate(now, members[i], hits))
		}
	}
	return candidates
}

// updateIncarnations records the incarnations of the agents. When an agent has
// restarted, as it does when its VM is replaced, the prefix cache of its backend
// server is taken as empty.
func (d *Dispatcher) updateIncarnations(members []tracker.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range members {
		id, present := members[i].Backend, members[i].Incarnation
		before, known := d.incarnations[id]
		if before == present {
			continue
		}
		d.incarnations[id] = present
		if known {
			d.prefixes.Forget(id)
		}
	}
}

func (d *Dispatcher) candidate(now time.Time, m tracker.Member, hits []prefixer.Hit) carawaybeam.Candidate {
	c := carawaybeam.Candidate{
		Backend:    m.Backend,
		DataCentre: m.VM.DataCentre,
		Load:       m.Load,
		ReportAge:  now.Sub(m.ReportedAt),
	}
	if c.DataCentre != d.options.DataCentre {
		c.Distance = interDataCentreLatency
	}
	for _, hit := range hits {
		if hit.Backend == m.Backend {
			c.CachedPrompt = hit.Tokens
		}
	}
	d.counter.Fill(now, m.ReportedAt, &c)
	return c
}

// observe counts an attempt as in flight on a backend server until end is called
// on the result.
func (d *Dispatcher) observe(request Request, backend carawaybeam.BackendID) *observedAttempt {
	r := request.routing
	now := time.Now()
	uncached := promptTokens(request)
	for _, hit := range d.prefixes.Lookup(r.prefixes) {
		if hit.Backend == backend {
			uncached = max(0, uncached-hit.Tokens)
		}
	}
	d.prefixes.Add(backend, r.prefixes)
	r.current = &observedAttempt{
		dispatcher: d,
		decision:   r.decision,
		own:        d.counter.Add(now, backend, uncached),
		began:      now,
		// The attempt may run on another backend server than the decision chose,
		// such as the one that the idempotency key is bound to. Its outcome then
		// says nothing about the decision.
		reported: r.decision.Backend == backend,
	}
	if !r.streams {
		// The first part of an answer that is not streamed arrives with the last
		// token, so it does not show the time to the first token.
		r.current.reported = false
		r.current.markFirstPart()
	}
	return r.current
}

// markFirstPart records the first part of the answer. Later calls do nothing.
func (o *observedAttempt) markFirstPart() {
	if o.answered {
		return
	}
	o.answered = true
	o.own.MarkFirstToken()
	o.observe(false)
}

// end records the end of the attempt. The failure is nil if the whole answer was
// delivered.
func (o *observedAttempt) end(failure *carawaybeam.RequestError) {
	o.own.Done(time.Now())
	if o.answered || failure == nil {
		return
	}
	o.answered = true
	switch failure.Reason {
	case carawaybeam.ReasonBackendFailed, carawaybeam.ReasonNoBackend, carawaybeam.ReasonWrongIncarnation,
		carawaybeam.ReasonCorrupt:
		o.observe(true)
	case carawaybeam.ReasonDeadline:
		o.observe(false)
	}
}

// observe reports the outcome of the attempt to the router.
func (o *observedAttempt) observe(failed bool) {
	if !o.reported {
		return
	}
	now := time.Now()
	outcome := carawaybeam.RouteOutcome{FirstToken: now.Sub(o.began), Failed: failed}
	o.dispatcher.options.Router.Observe(now, o.decision, outcome)
}
