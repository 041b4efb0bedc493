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

// newFrozen has two backend servers that report, of which the first stops at once
// and never answers, and a third that reports nothing.
func newFrozen(acts ...act) *world {
	w := newWorld(acts...)
	w.sender.frozen = w.instances[0].Address
	began := time.Now()
	w.instances[1].Address = "10.0.0.2:80"
	w.instances = append(w.instances, carawaybeam.Instance{
		BackendIncarnation: carawaybeam.BackendIncarnation{ID: "c"}, Pool: "pool", Address: "10.0.0.3:80", Slots: 4,
	})
	w.reports = map[carawaybeam.Address]func() (forwarder.Report, bool){
		w.instances[0].Address: func() (forwarder.Report, bool) {
			return forwarder.Report{At: began}, time.Since(began) <= time.Second
		},
		w.instances[1].Address: func() (forwarder.Report, bool) {
			return forwarder.Report{At: time.Now(), Load: carawaybeam.Load{Running: 2}}, true
		},
	}
	return w
}

// TestFrozenRanksUnderLoad freezes the VM of a backend server with a request on it.
// The request goes on at one that reports, not at one that looks empty since it
// reports nothing, before the client leaves, 2 s after it came.
func TestFrozenRanksUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFrozen(whole("x"))
		began := time.Now()
		r := request(carawaybeam.RouteSafe)
		r.Timeout = 2 * time.Second
		answer, failure := w.serve(r)
		is.True(failure == nil)
		is.Equal(answer.status, http.StatusOK)
		is.True(time.Since(began) < 1300*time.Millisecond)
		is.Equal(w.forwarded[0].Backend, carawaybeam.BackendID("a"))
		is.Equal(w.forwarded[1].Backend, carawaybeam.BackendID("b"))
	})
}

// TestFrozenRankKeepsBooking leaves a request that may not run twice where it is.
func TestFrozenRankKeepsBooking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFrozen()
		r := request(carawaybeam.RouteUnsafe)
		r.Timeout = 2 * time.Second
		began := time.Now()
		_, failure := w.serve(r)
		is.Equal(len(w.sender.sent), 1)
		is.Equal(failure.Outcome, carawaybeam.OutcomeUnknown)
		is.True(time.Since(began) >= 2*time.Second)
	})
}
