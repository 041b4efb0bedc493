package caller_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/caller"
)

// TestSignals checks what a backend server says of itself in an answer, and that invalid values
// count as absent.
func TestSignals(t *testing.T) {
	is := is.New(t)
	header := http.Header{
		caller.HeaderLimit: {"1.5"}, caller.HeaderLeaving: {"1"}, caller.HeaderRetryAfter: {"0.5"},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	c := caller.New(carawaybeam.BackendOptions{URL: server.URL}, true)
	start := func() carawaybeam.BackendSignals {
		answer, err := c.Start(
			t.Context(),
			carawaybeam.BackendRequest{Attempt: "1", Method: http.MethodPost, Path: "/"},
		)
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		return answer.Signals
	}
	signals := start()
	is.Equal(*signals.Limit, carawaybeam.RequestRate(1.5))
	is.True(signals.Leaving)
	is.Equal(signals.RetryAfter, 500*time.Millisecond)

	header = http.Header{
		caller.HeaderLimit: {"1", "2"}, caller.HeaderRetryAfter: {"-3"}, "X-Backend-Pause": {"1"},
	}
	signals = start()
	is.True(signals.Limit == nil)
	is.Equal(signals.RetryAfter, time.Duration(0))
	is.Equal(len(signals.Invalid), 2)
	is.Equal(signals.Unknown, []string{"X-Backend-Pause"})
}
