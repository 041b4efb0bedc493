package recorder_test

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/recorder"
	"github.com/carawaybeam/carawaybeam/retrier/proof"
	"github.com/carawaybeam/carawaybeam/router/leastinflight"
	"github.com/carawaybeam/carawaybeam/tracer"
)

func candidates() []carawaybeam.Candidate {
	return []carawaybeam.Candidate{
		{Backend: "a", DataCentre: "kitami", OwnRunning: 3, ReportAge: time.Second, CachedPrompt: 7},
		{Backend: "b", DataCentre: "monbetsu", OwnRunning: 1, Load: carawaybeam.Load{Running: 2, Waiting: 4}},
	}
}

func TestRouterIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := recorder.New(recorder.Options{Process: "entry-1"})
		router := r.Router(leastinflight.Router{})
		random := rand.New(rand.NewPCG(1, 1))
		request := carawaybeam.RouteRequest{Request: "r", Class: "drafting", Prompt: 9}
		time.Sleep(3 * time.Second)
		decision, ok := router.Route(time.Now(), request, candidates(), random)
		is.True(ok)
		is.Equal(decision.Backend, carawaybeam.BackendID("b"))
		time.Sleep(time.Second)
		_, ok = router.Route(time.Now(), request, nil, random)
		is.True(!ok)

		var trace bytes.Buffer
		is.NoErr(r.Write(&trace, recorder.RouterKind))
		_, events, err := tracer.Read[recorder.RouterEvent](&trace, recorder.RouterKind)
		is.NoErr(err)
		is.Equal(len(events), 2)
		is.Equal(events[0].When(), 3*time.Second)
		is.Equal(events[0].Chosen, carawaybeam.BackendID("b"))
		is.Equal(events[0].Candidates[0].CachedPrompt, carawaybeam.Tokens(7))
		is.Equal(events[0].Candidates[1].Waiting, 4)
		is.Equal(events[1].When(), 4*time.Second)
		is.Equal(events[1].Chosen, carawaybeam.BackendID(""))
	})
}

func TestLimiterAndRetrierAreRecorded(t *testing.T) {
	is := is.New(t)
	r := recorder.New(recorder.Options{Process: "entry-1"})
	class := carawaybeam.Class{ID: "drafting", Idempotent: true}
	request := carawaybeam.AdmitRequest{Class: class, Organisation: "o", Prompt: 5}
	is.True(r.Limiter(unlimited.Limiter{}).Admit(time.Now(), request).Admitted)
	now := time.Now()
	r.Retrier(proof.Retrier{}).Retry(now, carawaybeam.RetryRequest{
		Class:    class,
		Attempts: 1,
		Failure:  &carawaybeam.RequestError{Outcome: carawaybeam.OutcomeNotRun, Reason: carawaybeam.ReasonBusy},
		Deadline: now.Add(time.Minute),
	}, rand.New(rand.NewPCG(1, 1)))

	var trace bytes.Buffer
	is.NoErr(r.Write(&trace, recorder.LimiterKind))
	_, admitted, err := tracer.Read[recorder.LimiterEvent](&trace, recorder.LimiterKind)
	is.NoErr(err)
	is.Equal(admitted[0].Organisation, carawaybeam.OrganisationID("o"))
	is.True(admitted[0].Admitted)
	trace.Reset()
	is.NoErr(r.Write(&trace, recorder.RetrierKind))
	_, retried, err := tracer.Read[recorder.RetrierEvent](&trace, recorder.RetrierKind)
	is.NoErr(err)
	is.Equal(retried[0].Reason, carawaybeam.ReasonBusy)
	is.Equal(time.Duration(retried[0].Left), time.Minute)
}

func TestUnknownKind(t *testing.T) {
	is := is.New(t)
	err := recorder.New(recorder.Options{}).Write(&bytes.Buffer{}, "x")
	_, ok := errors.AsType[*recorder.UnknownKindError](err)
	is.True(ok)
}

// TestLimit checks that events recorded by several goroutines, far more than the limit
// allows, leave a trace that is within the limit, in order and holds the latest event.
func TestLimit(t *testing.T) {
	const (
		limit   = 10_000
		writers = 4
		each    = 500
	)
	is := is.New(t)
	r := recorder.New(recorder.Options{Process: "entry-1", Limit: limit})
	limiter := r.Limiter(unlimited.Limiter{})
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for range each {
				limiter.Admit(time.Now(), carawaybeam.AdmitRequest{Organisation: "o"})
			}
		})
	}
	group.Wait()
	limiter.Admit(time.Now(), carawaybeam.AdmitRequest{Organisation: "last"})
	var trace bytes.Buffer
	is.NoErr(r.Write(&trace, recorder.LimiterKind))
	headerBytes := bytes.IndexByte(trace.Bytes(), '\n') + 1
	is.True(trace.Len()-headerBytes <= limit)
	_, events, err := tracer.Read[recorder.LimiterEvent](&trace, recorder.LimiterKind)
	is.NoErr(err)
	is.True(len(events) > 10)
	is.Equal(events[len(events)-1].Organisation, carawaybeam.OrganisationID("last"))
}

// TestTooLargeEvent checks that an event larger than the limit is dropped and leaves an
// empty trace.
func TestTooLargeEvent(t *testing.T) {
	is := is.New(t)
	r := recorder.New(recorder.Options{Limit: 10})
	r.Limiter(unlimited.Limiter{}).Admit(time.Now(), carawaybeam.AdmitRequest{})
	var trace bytes.Buffer
	is.NoErr(r.Write(&trace, recorder.LimiterKind))
	_, events, err := tracer.Read[recorder.LimiterEvent](&trace, recorder.LimiterKind)
	is.NoErr(err)
	is.Equal(len(events), 0)
}

func BenchmarkRouter(b *testing.B) {
	r := recorder.New(recorder.Options{})
	router := r.Router(leastinflight.Router{})
	random := rand.New(rand.NewPCG(1, 1))
	many := make([]carawaybeam.Candidate, 0, 16)
	for range 8 {
		many = append(many, candidates()...)
	}
	b.ReportAllocs()
	for b.Loop() {
		router.Route(time.Time{}, carawaybeam.RouteRequest{}, many, random)
	}
}
