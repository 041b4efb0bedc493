package forwarder_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
)

// signalling returns a behaviour that answers with signals.
func signalling(signals carawaybeam.BackendSignals) behaviour {
	return reply(http.StatusOK, strings.NewReader("x"), func(h *carawaybeam.ReplyHead) { h.Signals = signals })
}

// sentTo returns how often a request was sent to each backend server.
func (env *environment) sentTo() map[carawaybeam.BackendID]int {
	sent := make(map[carawaybeam.BackendID]int)
	for _, f := range env.forwarded {
		sent[f.Backend]++
	}
	return sent
}

// TestRestrictedBackend guards against requests to a backend server that has said that it wants
// none, while another one takes them, and checks that requests are refused at once if none does.
func TestRestrictedBackend(t *testing.T) {
	limit := carawaybeam.RequestRate(1)
	tests := map[string]carawaybeam.BackendSignals{
		"limit of which this entry has no share": {Limit: &limit},
		"leaving":                                {Leaving: true},
		"closed for a time":                      {RetryAfter: 10 * time.Second},
	}
	for name, signals := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newEnvironment(signalling(signals))
				_, failure := env.serve(request(carawaybeam.RouteSafe))
				is.True(failure == nil)
				restricted := env.forwarded[0].Backend
				for range 20 {
					env.sender.behaviours = []behaviour{whole("x")}
					_, failure = env.serve(request(carawaybeam.RouteSafe))
					is.True(failure == nil)
				}
				is.Equal(env.sentTo()[restricted], 1)

				env.sender.behaviours = []behaviour{signalling(signals)}
				_, failure = env.serve(request(carawaybeam.RouteSafe))
				is.True(failure == nil)
				began := time.Now()
				_, failure = env.serve(request(carawaybeam.RouteSafe))
				is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
				is.True(failure.RetryAfter > 0)
				is.Equal(time.Since(began), time.Duration(0))
				is.Equal(len(env.forwarded), 22)
			})
		})
	}
}

// TestClosedBackendIsNotAtFault checks that a refusal with a time to return leads to an attempt
// elsewhere, and that the time is kept by retries too.
func TestClosedBackendIsNotAtFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		refusal := reply(http.StatusServiceUnavailable, strings.NewReader(""), func(h *carawaybeam.ReplyHead) {
			h.NotRun, h.Sealed, h.Signals.RetryAfter = true, false, 3*time.Second
		})
		env := newEnvironment(refusal, whole("x"))
		answer, failure := env.serve(request(carawaybeam.RouteUnsafe))
		is.True(failure == nil)
		is.Equal(answer.status, http.StatusOK)
		is.Equal(len(env.sentTo()), 2)

		env = newEnvironment(refusal, refusal)
		_, failure = env.serve(request(carawaybeam.RouteUnsafe))
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		_, failure = env.serve(request(carawaybeam.RouteUnsafe))
		is.True(failure.RetryAfter > 2*time.Second)
		is.Equal(len(env.forwarded), 2)
		time.Sleep(4 * time.Second)
		env.sender.behaviours = []behaviour{whole("x")}
		_, failure = env.serve(request(carawaybeam.RouteUnsafe))
		is.True(failure == nil)
	})
}

// TestIdleConnectionsAreShared guards against idle connections of all entries together that take up
// those which a backend server accepts.
func TestIdleConnectionsAreShared(t *testing.T) {
	is := is.New(t)
	env := newEnvironment(whole("x"))
	env.routing.Pools = []carawaybeam.Pool{{ID: "pool", MaxConnections: 110}}
	_, failure := env.serve(request(carawaybeam.RouteSafe))
	is.True(failure == nil)
	is.Equal(env.sender.sent[0].MaxIdle, 11) // Of five entries.
}
