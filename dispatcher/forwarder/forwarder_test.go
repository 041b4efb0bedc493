package forwarder_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/matcher"
	"github.com/carawaybeam/carawaybeam/pooler"
	"github.com/carawaybeam/carawaybeam/retrier/quota"
	"github.com/carawaybeam/carawaybeam/router/occupancy"
)

type (
	// act is what a backend server does with one request.
	act func(r pooler.Request) (*pooler.Reply, error)

	// scriptedSender lets the next request meet the next act.
	scriptedSender struct {
		acts []act
		sent []pooler.Request
		// frozen is the address of a backend server that never answers.
		frozen carawaybeam.Address
	}

	// recordedAnswer is what a client got.
	recordedAnswer struct {
		status int
		header http.Header
		bytes.Buffer
	}

	world struct {
		log zerolog.Logger
		// reports holds what is reported of the backend servers, by address.
		reports   map[carawaybeam.Address]func() (forwarder.Report, bool)
		routing   carawaybeam.Routing
		age       time.Duration
		unknown   bool
		sender    *scriptedSender
		instances []carawaybeam.Instance
		reserve   float64
		forwarded []carawaybeam.Forwarding
	}
)

func (s *scriptedSender) Send(
	ctx context.Context,
	address carawaybeam.Address,
	r pooler.Request,
) (*pooler.Reply, error) {
	s.sent = append(s.sent, r)
	if address == s.frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if len(s.acts) == 0 {
		return nil, errors.New("nothing is scripted")
	}
	next := s.acts[0]
	s.acts = s.acts[1:]
	return next(r)
}

func (s *scriptedSender) Forget(carawaybeam.Address) {}

func (a *recordedAnswer) Head(status int, header http.Header, _ int) error {
	a.status, a.header = status, header
	return nil
}

func (a *recordedAnswer) Flush() error { return nil }

func (w *world) Current() *matcher.Matcher {
	if w.unknown {
		return nil
	}
	return matcher.New(w.routing)
}

func (w *world) Instances(carawaybeam.PoolID) []carawaybeam.Instance { return w.instances }

func (w *world) Misdirected(life carawaybeam.BackendIncarnation) {
	w.instances = slices.DeleteFunc(
		w.instances,
		func(i carawaybeam.Instance) bool { return i.BackendIncarnation == life },
	)
}

// newWorld has one route for each kind, and two backend servers.
func newWorld(acts ...act) *world {
	shares := []carawaybeam.PoolShare{{Pool: "pool", Weight: 1}}
	w := &world{sender: &scriptedSender{acts: acts}, reserve: 100}
	for _, kind := range []carawaybeam.RouteKind{
		carawaybeam.RouteSafe, carawaybeam.RouteUnsafe, carawaybeam.RouteStream,
	} {
		w.routing.Routes = append(w.routing.Routes, carawaybeam.Route{
			ID: carawaybeam.RouteID(kind), Host: "h.example", Prefix: "/" + string(kind) + "/", Kind: kind,
			Shares: shares, MaxAttempts: 2, Timeout: 2 * time.Second, Target: 300 * time.Millisecond, Resumable: true,
		})
	}
	w.routing.Version = 7
	w.routing.KeyHolders = []carawaybeam.KeyHolder{{ID: "org", Keys: []carawaybeam.APIKey{"key"}}}
	for _, id := range []carawaybeam.BackendID{"a", "b"} {
		w.instances = append(w.instances, carawaybeam.Instance{
			BackendIncarnation: carawaybeam.BackendIncarnation{ID: id}, Pool: "pool", Address: "10.0.0.1:80", Slots: 4,
		})
	}
	return w
}

func request(kind carawaybeam.RouteKind) *carawaybeam.ClientRequest {
	return &carawaybeam.ClientRequest{
		ID: "id", Method: http.MethodPost, Host: "h.example", Target: "/" + string(kind) + "/x?y=1",
		Key: "key", Timeout: time.Second, Body: []byte("body"),
	}
}

// serve serves one request in the world.
func (w *world) serve(r *carawaybeam.ClientRequest) (*recordedAnswer, *carawaybeam.RequestError) {
	f := forwarder.New(forwarder.Options{
		Configuration: w,
		ConfigAge:     func() (time.Duration, bool) { return w.age, !w.unknown },
		MaxKeyAge:     func() time.Duration { return 5 * time.Second },
		Members:       w,
		Sender:        w.sender,
		Report: func(address carawaybeam.Address) (forwarder.Report, bool) {
			if report, ok := w.reports[address]; ok {
				return report()
			}
			return forwarder.Report{}, false
		},
		Encode: func(_ *carawaybeam.ClientRequest, f carawaybeam.Forwarding) http.Header {
			w.forwarded = append(w.forwarded, f)
			return http.Header{}
		},
		Router:  occupancy.New(),
		Limiter: unlimited.Limiter{},
		Retrier: quota.New(quota.Options{
			Bound:   quota.Bound{Reserve: w.reserve, Window: 10 * time.Second},
			Entries: func() int { return 1 },
		}),
		Log: w.log,
	})
	answer := &recordedAnswer{}
	return answer, f.Serve(context.Background(), time.Now(), r, answer)
}

func reply(status int, body io.Reader, change func(*carawaybeam.ReplyHead)) act {
	return func(r pooler.Request) (*pooler.Reply, error) {
		head := carawaybeam.ReplyHead{Request: r.ID, Status: status, Sealed: true, Header: http.Header{"Seal": {"s"}}}
		if change != nil {
			change(&head)
		}
		return &pooler.Reply{ReplyHead: head, Body: io.NopCloser(body)}, nil
	}
}

func whole(body string) act { return reply(http.StatusOK, strings.NewReader(body), nil) }

func refused() act {
	return reply(http.StatusServiceUnavailable, strings.NewReader(""), func(h *carawaybeam.ReplyHead) {
		h.NotRun, h.Sealed = true, false
	})
}

func broken() act {
	return func(pooler.Request) (*pooler.Reply, error) { return nil, io.ErrUnexpectedEOF }
}

func unreachable() act {
	return func(pooler.Request) (*pooler.Reply, error) {
		return nil, &carawaybeam.NotSentError{Cause: errors.New("connection refused")}
	}
}

// cut is a body that breaks off.
func cut(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), errorReader{})
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestAttempts checks for each kind of request which failures lead to another
// attempt, and that no request that may have run is said not to have run.
func TestAttempts(t *testing.T) {
	const (
		safe   = carawaybeam.RouteSafe
		unsafe = carawaybeam.RouteUnsafe
		stream = carawaybeam.RouteStream
	)
	failed := func() act { return reply(http.StatusInternalServerError, strings.NewReader("failed"), nil) }
	tests := map[string]struct {
		kind    carawaybeam.RouteKind
		acts    []act
		sent    int
		status  int
		outcome carawaybeam.Outcome
	}{
		"safe answered":                {safe, []act{whole("x")}, 1, 200, ""},
		"safe broken, then answered":   {safe, []act{broken(), whole("x")}, 2, 200, ""},
		"safe broken, then refused":    {safe, []act{broken(), refused()}, 2, 0, carawaybeam.OutcomeUnknown},
		"safe refused twice":           {safe, []act{refused(), refused()}, 2, 0, carawaybeam.OutcomeNotRun},
		"safe failed, then answered":   {safe, []act{failed(), whole("x")}, 2, 200, ""},
		"safe failed twice":            {safe, []act{failed(), failed()}, 2, 500, ""},
		"safe unreachable three times": {safe, []act{unreachable(), unreachable(), whole("x")}, 3, 200, ""},
		"unsafe answered":              {unsafe, []act{whole("x")}, 1, 200, ""},
		"unsafe broken":                {unsafe, []act{broken()}, 1, 0, carawaybeam.OutcomeUnknown},
		"unsafe failed":                {unsafe, []act{failed()}, 1, 500, ""},
		"unsafe refused, answered":     {unsafe, []act{refused(), whole("x")}, 2, 200, ""},
		"unsafe refused, broken":       {unsafe, []act{refused(), broken()}, 2, 0, carawaybeam.OutcomeUnknown},
		"unsafe unreachable":           {unsafe, []act{unreachable(), whole("x")}, 2, 200, ""},
		"stream refused twice":         {stream, []act{refused(), refused()}, 2, 0, carawaybeam.OutcomeNotRun},
		"stream without signature": {
			stream,
			[]act{
				reply(
					http.StatusOK,
					strings.NewReader("id: 1\n\n"),
					func(h *carawaybeam.ReplyHead) { h.Sealed = false },
				),
				whole("id: 1\ndata: x\n\n"),
			},
			2,
			200,
			"",
		},
		"answer of another request": {
			unsafe, []act{
				reply(http.StatusOK, strings.NewReader("x"), func(h *carawaybeam.ReplyHead) { h.Request = "other" }),
			}, 1, 0, carawaybeam.OutcomeUnknown,
		},
		"answer with another encoding": {
			unsafe, []act{
				reply(http.StatusOK, strings.NewReader("x"), func(h *carawaybeam.ReplyHead) { h.Encoded = true }),
			}, 1, 0, carawaybeam.OutcomeUnknown,
		},
		"answer cut short": {
			unsafe, []act{reply(http.StatusOK, cut("part"), nil)}, 1, 0, carawaybeam.OutcomeUnknown,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(test.acts...)
			answer, failure := w.serve(request(test.kind))
			is.Equal(len(w.sender.sent), test.sent)
			is.Equal(answer.status, test.status)
			if test.outcome == "" {
				is.True(failure == nil)
				return
			}
			is.True(failure != nil)
			is.Equal(failure.Outcome, test.outcome)
		})
	}
}

// TestMaxAttempts keeps to the attempts of the route also after proofs that the
// request has not run.
func TestMaxAttempts(t *testing.T) {
	is := is.New(t)
	w := newWorld(refused(), whole("x"))
	w.routing.Routes[1].MaxAttempts = 1
	_, failure := w.serve(request(carawaybeam.RouteUnsafe))
	is.Equal(len(w.sender.sent), 1)
	is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
	is.True(failure.RetryAfter > 0)
}

// TestMisdirected sends a request to an address that another backend server has
// got. The life that was there gets no further request.
func TestMisdirected(t *testing.T) {
	is := is.New(t)
	w := newWorld(reply(http.StatusMisdirectedRequest, strings.NewReader(""), func(h *carawaybeam.ReplyHead) {
		h.NotRun, h.Misdirected = true, true
	}), whole("x"))
	_, failure := w.serve(request(carawaybeam.RouteUnsafe))
	is.True(failure == nil)
	is.Equal(len(w.instances), 1)
	is.Equal(w.forwarded[1].Backend, w.instances[0].ID)
}

// TestCulpritIsLogged lets a backend server name another one as the cause of its
// refusal, so that operators find the one to look at.
func TestCulpritIsLogged(t *testing.T) {
	is := is.New(t)
	w := newWorld(reply(http.StatusServiceUnavailable, strings.NewReader(""), func(h *carawaybeam.ReplyHead) {
		h.NotRun, h.FaultyBackend = true, "rank-7"
	}), whole("x"))
	var lines bytes.Buffer
	w.log = zerolog.New(&lines)
	_, failure := w.serve(request(carawaybeam.RouteUnsafe))
	is.True(failure == nil)
	is.True(strings.Contains(lines.String(), `"culprit":"rank-7"`))
}

// TestNoBudget makes no further attempt once the budget of all entries is used.
func TestNoBudget(t *testing.T) {
	is := is.New(t)
	w := newWorld(broken(), whole("x"))
	w.reserve = 0
	_, failure := w.serve(request(carawaybeam.RouteSafe))
	is.Equal(len(w.sender.sent), 1)
	is.Equal(failure.Outcome, carawaybeam.OutcomeUnknown)
}

// TestStreamGoesOn breaks a stream off inside an event. The client gets each
// event once, within one answer with the head of the first.
func TestStreamGoesOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(
		reply(http.StatusOK, cut("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), nil),
		reply(http.StatusOK, strings.NewReader("id: 3\ndata: c\n\nid: 4\ndata: d\n\n"), func(h *carawaybeam.ReplyHead) {
			h.Header = http.Header{"Seal": {"other"}}
		}),
	)
	answer, failure := w.serve(request(carawaybeam.RouteStream))
	is.True(failure == nil)
	is.Equal(answer.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n")
	is.Equal(answer.header.Get("Seal"), "s")
	is.Equal(w.forwarded[1].After, carawaybeam.EventID(2))
	is.True(w.forwarded[0].Backend != w.forwarded[1].Backend)
}

// TestStreamOrder lets a stream repeat or leave out events.
func TestStreamOrder(t *testing.T) {
	is := is.New(t)
	w := newWorld(
		whole("id: 1\n\nid: 1\n\nid: 2\n\nid: 5\n\n"),
		whole("id: 3\n\n"),
	)
	answer, failure := w.serve(request(carawaybeam.RouteStream))
	is.True(failure == nil)
	is.Equal(answer.String(), "id: 1\n\nid: 2\n\nid: 3\n\n")
}

// TestStreamOfClientThatResumes begins behind the event that the client names.
func TestStreamOfClientThatResumes(t *testing.T) {
	is := is.New(t)
	w := newWorld(whole("id: 13\n\n"))
	r := request(carawaybeam.RouteStream)
	r.After = 12
	answer, failure := w.serve(r)
	is.True(failure == nil)
	is.Equal(answer.String(), "id: 13\n\n")
}

// TestUnresumableStreamIsCut never joins two runs of a stream that may not be
// resumed.
func TestUnresumableStreamIsCut(t *testing.T) {
	is := is.New(t)
	w := newWorld(reply(http.StatusOK, cut("id: 1\n\n"), nil), whole("id: 2\n\n"))
	w.routing.Routes[2].Resumable = false
	_, failure := w.serve(request(carawaybeam.RouteStream))
	is.Equal(len(w.sender.sent), 1)
	is.Equal(failure.Outcome, carawaybeam.OutcomeUnknown)
}

// TestRefusals refuses at once what cannot be served, with a reason that fits the
// age of the configuration.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		change func(*world, *carawaybeam.ClientRequest)
		reason carawaybeam.Reason
	}{
		"no configuration": {
			func(w *world, _ *carawaybeam.ClientRequest) { w.unknown = true }, carawaybeam.ReasonStaleConfig,
		},
		"no such host": {
			func(_ *world, r *carawaybeam.ClientRequest) { r.Host = "other.example" }, carawaybeam.ReasonUnknownClass,
		},
		"no such path": {
			func(_ *world, r *carawaybeam.ClientRequest) { r.Target = "/other/" }, carawaybeam.ReasonUnknownClass,
		},
		"no such path, old configuration": {
			func(w *world, r *carawaybeam.ClientRequest) { r.Target, w.age = "/other/", 4*time.Second },
			carawaybeam.ReasonStaleConfig,
		},
		"no such key": {
			func(_ *world, r *carawaybeam.ClientRequest) { r.Key = "other" }, carawaybeam.ReasonUnauthorized,
		},
		"no key": {
			func(_ *world, r *carawaybeam.ClientRequest) { r.Key = "" }, carawaybeam.ReasonUnauthorized,
		},
		"no such key, old configuration": {
			func(w *world, r *carawaybeam.ClientRequest) { r.Key, w.age = "other", 4*time.Second },
			carawaybeam.ReasonStaleConfig,
		},
		"configuration too old for keys": {
			func(w *world, _ *carawaybeam.ClientRequest) { w.age = 5*time.Second + 1 }, carawaybeam.ReasonStaleConfig,
		},
		"no backend server": {
			func(w *world, _ *carawaybeam.ClientRequest) { w.instances = nil }, carawaybeam.ReasonNoBackend,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			r := request(carawaybeam.RouteSafe)
			test.change(w, r)
			_, failure := w.serve(r)
			is.True(failure != nil)
			is.Equal(failure.Reason, test.reason)
			is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
			is.Equal(len(w.sender.sent), 0)
		})
	}
}

// TestPublicRoute serves a route without a key, also under an old configuration.
func TestPublicRoute(t *testing.T) {
	is := is.New(t)
	w := newWorld(whole("x"))
	w.routing.Routes[0].Public = true
	w.age = time.Minute
	r := request(carawaybeam.RouteSafe)
	r.Key = ""
	_, failure := w.serve(r)
	is.True(failure == nil)
}

// TestForwarding hands on what is left of the client's time, its organisation
// and the priority of the organisation.
func TestForwarding(t *testing.T) {
	is := is.New(t)
	priority := 3
	w := newWorld(broken(), whole("x"))
	w.routing.KeyHolders[0].Priority = &priority
	_, failure := w.serve(request(carawaybeam.RouteSafe))
	is.True(failure == nil)
	for _, f := range w.forwarded {
		is.True(f.TimeLeft <= time.Second)
		is.True(f.TimeLeft > 900*time.Millisecond)
		is.Equal(f.Organisation, carawaybeam.OrganisationID("org"))
		is.Equal(f.Priority, 3)
	}
	is.True(slices.ContainsFunc(w.sender.sent, func(r pooler.Request) bool { return r.Target == "/safe/x?y=1" }))
}
