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
	baseline "github.com/carawaybeam/carawaybeam/retrier/proof"
)

// watchedRouter takes the first candidate and notes what it sees.
type watchedRouter struct {
	mu       sync.Mutex
	seen     []carawaybeam.Candidate
	outcomes []carawaybeam.RouteOutcome
}

func (r *watchedRouter) Route(
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

func (r *watchedRouter) Observe(_ time.Time, _ carawaybeam.RouteDecision, outcome carawaybeam.RouteOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome)
}

// newWatched returns a dispatcher with such a router before one agent.
func newWatched(t *testing.T) (*dispatcher.Dispatcher, *watchedRouter) {
	t.Helper()
	router := &watchedRouter{}
	return newDispatcher(newPath(t, 1), router), router
}

func newDispatcher(p *assembler.Assembler, router carawaybeam.Router) *dispatcher.Dispatcher {
	return dispatcher.New(dispatcher.Options{
		Members:        p.Entries[0].Tracker,
		Binder:         binder.New(p.Store),
		ConfigObserver: p.Entries[0].Configurer,
		Router:         router,
		Limiter:        unlimited.Limiter{},
		Retrier:        baseline.Retrier{},
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

func TestRouterLearnsTimeToFirstPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, router := newWatched(t)
		var a assembler.Answer
		is.True(d.Do(t.Context(), drafting(`{"stream":true}`), &a) == nil)
		is.Equal(len(router.seen), 1) // The decision that admits serves the attempt too.
		is.Equal(len(router.outcomes), 1)
		is.Equal(router.outcomes[0].FirstToken, 100*time.Millisecond)
		is.Equal(router.outcomes[0].Failed, false)
	})
}

func TestAnswerWithoutStreamTeachesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, router := newWatched(t)
		var a assembler.Answer
		is.True(d.Do(t.Context(), drafting(`{"stream":false}`), &a) == nil)
		is.Equal(len(router.outcomes), 0)
	})
}

func TestRouterSeesOwnRequestsAndCachedPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, router := newWatched(t)
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
		is.Equal(c.CachedPrompt, carawaybeam.Tokens(512)) // Two whole blocks of 256.
	})
}

func TestRestartedAgentHasNothingCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(t, 1)
		router := &watchedRouter{}
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
