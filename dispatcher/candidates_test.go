package dispatcher_test

import (
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/binder"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/fakes/assembler"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/retrier/proof"
)

// recordingRouter chooses the first candidate. It records the candidates that it
// chose and the outcomes that it observed.
type recordingRouter struct {
	mu       sync.Mutex
	seen     []carawaybeam.Candidate
	outcomes []carawaybeam.RouteOutcome
}

func (r *recordingRouter) Route(
	_ time.Time,
	request carawaybeam.RouteRequest,
	candidates []carawaybeam.Candidate,
	_ *rand.Rand,
) (carawaybeam.RouteDecision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, candidates[0])
	return carawaybeam.RouteDecision{Backend: candidates[0].Backend, Pool: request.Pool}, true
}

func (r *recordingRouter) Observe(_ time.Time, _ carawaybeam.RouteDecision, outcome carawaybeam.RouteOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome)
}

// newRecording returns a dispatcher for one agent, and its recordingRouter.
func newRecording(t *testing.T) (*dispatcher.Dispatcher, *recordingRouter) {
	t.Helper()
	router := &recordingRouter{}
	return newDispatcher(newSystem(t, 1), router), router
}

func newDispatcher(p *assembler.Assembler, router carawaybeam.Router) *dispatcher.Dispatcher {
	return newDispatcherWith(p, router, nil)
}

func newDispatcherWith(
	p *assembler.Assembler,
	router carawaybeam.Router,
	evacuations dispatcher.Evacuations,
) *dispatcher.Dispatcher {
	return dispatcher.New(dispatcher.Options{
		Evacuations:    evacuations,
		Members:        p.Entries[0].Tracker,
		Binder:         binder.New(p.Store),
		ConfigObserver: p.Entries[0].Configurer,
		Router:         router,
		Limiter:        unlimited.Limiter{},
		Retrier:        proof.Retrier{},
		Log:            zerolog.Nop(),
	})
}

func drafting(body string) dispatcher.Request {
	request := booking(body, "")
	request.Class = carawaybeam.Class{
		ID: "drafting", Kind: carawaybeam.WorkModel, Pool: assembler.Pool, Idempotent: true,
	}
	return request
}

func TestRouterObservesTimeToFirstPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, router := newRecording(t)
		var a assembler.Answer
		is.True(d.Do(t.Context(), drafting(`{"stream":true}`), &a) == nil)
		is.Equal(len(router.seen), 1) // The decision made for admission is used for the first attempt.
		is.Equal(len(router.outcomes), 1)
		is.Equal(router.outcomes[0].FirstToken, 100*time.Millisecond)
		is.Equal(router.outcomes[0].Failed, false)
	})
}

func TestRouterDoesNotObserveUnstreamedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, router := newRecording(t)
		var a assembler.Answer
		is.True(d.Do(t.Context(), drafting(`{"stream":false}`), &a) == nil)
		is.Equal(len(router.outcomes), 0)
	})
}

func TestCandidateHasOwnRequestsAndCachedPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, router := newRecording(t)
		body := `{"stream":true}` + strings.Repeat("x", 3000)
		var first, second assembler.Answer
		var wait sync.WaitGroup
		wait.Go(func() { _ = d.Do(t.Context(), drafting(body), &first) })
		time.Sleep(50 * time.Millisecond)
		is.True(d.Do(t.Context(), drafting(body), &second) == nil)
		wait.Wait()
		c := router.seen[1]
		is.Equal(c.OwnRunning, 1)
		is.Equal(c.OwnWaiting, 1)
		is.Equal(c.OwnOldest, 50*time.Millisecond)
		is.Equal(c.CachedPrompt, carawaybeam.Tokens(512)) // Two complete blocks of 256 tokens.
	})
}

func TestRestartedAgentHasEmptyPrefixCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newSystem(t, 1)
		router := &recordingRouter{}
		d := newDispatcher(p, router)
		body := `{"stream":true}` + strings.Repeat("x", 3000)
		var first, second assembler.Answer
		is.True(d.Do(t.Context(), drafting(body), &first) == nil)
		is.NoErr(p.KillAgent(0))
		p.StartAgent(0)
		time.Sleep(5 * time.Second)
		is.True(d.Do(t.Context(), drafting(body), &second) == nil)
		is.Equal(router.seen[1].CachedPrompt, carawaybeam.Tokens(0))
	})
}
