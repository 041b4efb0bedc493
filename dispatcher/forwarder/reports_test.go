package forwarder_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
)

// newFrozenEnvironment returns an environment with three backend servers. The
// first freezes at once: it never answers and its reports end. The second keeps
// reporting. The third never reports.
func newFrozenEnvironment(behaviours ...behaviour) *environment {
	env := newEnvironment(behaviours...)
	env.sender.frozen = env.instances[0].Address
	began := time.Now()
	env.instances[1].Address = "10.0.0.2:80"
	env.instances = append(env.instances, carawaybeam.Instance{
		BackendIncarnation: carawaybeam.BackendIncarnation{ID: "c"}, Pool: "pool", Address: "10.0.0.3:80", Slots: 4,
	})
	env.reports = map[carawaybeam.Address]func() (forwarder.Report, bool){
		env.instances[0].Address: func() (forwarder.Report, bool) {
			return forwarder.Report{At: began}, time.Since(began) <= time.Second
		},
		env.instances[1].Address: func() (forwarder.Report, bool) {
			return forwarder.Report{At: time.Now(), Load: carawaybeam.Load{Running: 2}}, true
		},
	}
	return env
}

// TestFrozenRanksUnderLoad freezes the VM of a backend server that runs a request.
// The request must be retried before the client disconnects after 2 s, and on a
// backend server that reports, not on one that seems idle because it does not
// report.
func TestFrozenRanksUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newFrozenEnvironment(whole("x"))
		began := time.Now()
		r := request(carawaybeam.RouteSafe)
		r.Timeout = 2 * time.Second
		answer, failure := env.serve(r)
		is.True(failure == nil)
		is.Equal(answer.status, http.StatusOK)
		is.True(time.Since(began) < 1300*time.Millisecond)
		is.Equal(env.forwarded[0].Backend, carawaybeam.BackendID("a"))
		is.Equal(env.forwarded[1].Backend, carawaybeam.BackendID("b"))
	})
}

// TestFrozenRankKeepsBooking checks that a request that must not run twice is not
// retried when the VM of its backend server freezes.
func TestFrozenRankKeepsBooking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newFrozenEnvironment()
		r := request(carawaybeam.RouteUnsafe)
		r.Timeout = 2 * time.Second
		began := time.Now()
		_, failure := env.serve(r)
		is.Equal(len(env.sender.sent), 1)
		is.Equal(failure.Outcome, carawaybeam.OutcomeUnknown)
		is.True(time.Since(began) >= 2*time.Second)
	})
}
