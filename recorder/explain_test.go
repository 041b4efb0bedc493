package recorder_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/recorder"
	"github.com/carawaybeam/carawaybeam/retrier/proof"
	"github.com/carawaybeam/carawaybeam/router/leastinflight"
)

// recordDecisions records one decision of each kind about a request, one attempt and,
// a second later, its end.
func recordDecisions(r *recorder.Recorder, id carawaybeam.RequestID) {
	random := rand.New(rand.NewPCG(1, 1))
	busy := &carawaybeam.RequestError{Outcome: carawaybeam.OutcomeNotRun, Reason: carawaybeam.ReasonBusy}
	r.Router(leastinflight.Router{}).Route(time.Now(), carawaybeam.RouteRequest{Request: id}, candidates(), random)
	r.Limiter(unlimited.Limiter{}).Admit(time.Now(), carawaybeam.AdmitRequest{Request: id})
	r.Attempted(id, 1, "b", busy)
	r.Retrier(proof.Retrier{}).
		Retry(time.Now(), carawaybeam.RetryRequest{Request: id, Attempts: 1, Failure: busy}, random)
	time.Sleep(time.Second)
	r.Ended(id, "drafting", "o", nil)
}

// TestRequestIsExplained checks that an explanation holds the events of its request
// alone, though identifiers of other requests contain parts of its identifier.
func TestRequestIsExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := recorder.New(recorder.Options{Process: "entry-1"})
		for _, id := range []carawaybeam.RequestID{"r1", "r11", "1", `r"1`} {
			recordDecisions(r, id)
		}
		e, ok := r.Explain("r11")
		is.True(ok)
		is.Equal(e.Process, "entry-1")
		is.True(e.Admission.Admitted)
		is.Equal(e.Admission.Request, carawaybeam.RequestID("r11"))
		is.Equal(len(e.Routes), 1)
		is.Equal(e.Routes[0].Chosen, carawaybeam.BackendID("b"))
		is.Equal(len(e.Attempts), 1)
		is.Equal(e.Attempts[0].Failure.Reason, carawaybeam.ReasonBusy)
		is.Equal(len(e.Retries), 1)
		is.Equal(e.Retries[0].Request, carawaybeam.RequestID("r11"))
		is.Equal(e.Outcome.When(), 2*time.Second)
		is.True(e.Outcome.Failure == nil)
		e, ok = r.Explain(`r"1`)
		is.True(ok)
		is.Equal(len(e.Routes), 1)
		for _, id := range []carawaybeam.RequestID{"", "r", `"`, "r111"} {
			_, ok = r.Explain(id)
			is.True(!ok)
		}
	})
}

// TestDroppedRequestIsNotExplained checks that a request has no explanation once later
// events have displaced all of its events.
func TestDroppedRequestIsNotExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := recorder.New(recorder.Options{Limit: 1000})
		recordDecisions(r, "old")
		_, ok := r.Explain("old")
		is.True(ok)
		for range 20 {
			recordDecisions(r, "new")
		}
		_, ok = r.Explain("old")
		is.True(!ok)
		_, ok = r.Explain("new")
		is.True(ok)
	})
}
