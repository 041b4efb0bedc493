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
	// tableHeads bounds the heads of prompts that a Dispatcher remembers.
	tableHeads = 1 << 15

	// crossingDistance is taken for the time that a message takes one way to
	// another data centre.
	crossingDistance = time.Millisecond
)

type (
	// routing is what is worked out of a request once, and the decision that
	// its present attempt rests on.
	routing struct {
		prefixes    []prefixer.Prefix
		affinity    uint64
		fingerprint uint64
		// streams is set when the first part of the answer comes with the first
		// token.
		streams bool

		decision carawaybeam.RouteDecision
		// unused is set until an attempt rests on the decision.
		unused  bool
		current *observedRun
	}

	// observedRun is one attempt as the decisions see it.
	observedRun struct {
		dispatcher *Dispatcher
		decision   carawaybeam.RouteDecision
		own        *counter.Request
		began      time.Time
		answered   bool
		// teaches is set when the router learns from the attempt.
		teaches bool
	}

	// observedWriter tells when the first part of an answer comes.
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

// asksForStream tells whether the body of a request to a model asks for an answer
// by parts. It looks for the field without reading the whole body as JSON.
func asksForStream(body []byte) bool {
	return bytes.Contains(body, []byte(`"stream":true`)) || bytes.Contains(body, []byte(`"stream": true`))
}

// Chunk passes the part on.
func (w *observedWriter) Chunk(data []byte) error {
	if w.routing.current != nil {
		w.routing.current.answer()
	}
	return w.AnswerWriter.Chunk(data)
}

// admit asks the limiter for a request.
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

// route asks the router for one of the backend servers that take work. The
// decision that a request was admitted on serves its first attempt too.
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

func (d *Dispatcher) candidates(now time.Time, request Request) []carawaybeam.Candidate {
	members := d.options.Members.Members(request.Class.Pool)
	d.noteIncarnations(members)
	hits := d.prefixes.Lookup(request.routing.prefixes)
	candidates := make([]carawaybeam.Candidate, 0, len(members))
	for _, m := range members {
		if m.Linked && !m.Leaving {
			candidates = append(candidates, d.candidate(now, m, hits))
		}
	}
	return candidates
}

// noteIncarnations forgets what backend servers had cached when the agents
// beside them have restarted, as they do when their VMs are replaced.
func (d *Dispatcher) noteIncarnations(members []tracker.Member) {
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
		c.Distance = crossingDistance
	}
	for _, hit := range hits {
		if hit.Backend == m.Backend {
			c.CachedPrompt = hit.Tokens
		}
	}
	d.counter.Fill(now, m.ReportedAt, &c)
	return c
}

// follow counts an attempt on a backend server until its end is called.
func (d *Dispatcher) follow(request Request, backend carawaybeam.BackendID) *observedRun {
	r := request.routing
	now := time.Now()
	unread := promptTokens(request)
	for _, hit := range d.prefixes.Lookup(r.prefixes) {
		if hit.Backend == backend {
			unread = max(0, unread-hit.Tokens)
		}
	}
	d.prefixes.Add(backend, r.prefixes)
	r.current = &observedRun{
		dispatcher: d,
		decision:   r.decision,
		own:        d.counter.Add(now, backend, unread),
		began:      now,
		// An attempt that went elsewhere than decided, as a bound key demands,
		// teaches the router nothing.
		teaches: r.decision.Backend == backend,
	}
	if !r.streams {
		// The first part of such an answer is the last one too and tells
		// nothing of the first token.
		r.current.teaches = false
		r.current.answer()
	}
	return r.current
}

// answer notes the first part of the answer.
func (o *observedRun) answer() {
	if o.answered {
		return
	}
	o.answered = true
	o.own.MarkFirstToken()
	o.observe(false)
}

// end ends the count. The failure is nil when the answer is whole.
func (o *observedRun) end(failure *carawaybeam.RequestError) {
	o.own.Done(time.Now())
	if o.answered || failure == nil {
		return
	}
	o.answered = true
	switch failure.Reason {
	case carawaybeam.ReasonBackendFailed, carawaybeam.ReasonNoBackend, carawaybeam.ReasonWrongIncarnation:
		o.observe(true)
	case carawaybeam.ReasonDeadline:
		o.observe(false)
	}
}

func (o *observedRun) observe(failed bool) {
	if !o.teaches {
		return
	}
	now := time.Now()
	outcome := carawaybeam.RouteOutcome{FirstToken: now.Sub(o.began), Failed: failed}
	o.dispatcher.options.Router.Observe(now, o.decision, outcome)
}
