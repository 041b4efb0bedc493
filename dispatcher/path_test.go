package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/agent"
	"github.com/carawaybeam/carawaybeam/binder"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/fakes/linker"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/framer"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/retrier/proof"
	"github.com/carawaybeam/carawaybeam/router/leastinflight"
	"github.com/carawaybeam/carawaybeam/tracker"
)

const (
	pool = carawaybeam.PoolID("desk")
	// parts is how many parts each answer has.
	parts = 8
)

type (
	// backend is a backend server in memory that counts its runs.
	backend struct {
		mu   sync.Mutex
		runs map[string]int
		// pace is the time for one part of an answer.
		pace time.Duration
	}

	// slowReader gives an answer part by part.
	slowReader struct {
		ctx  context.Context
		pace time.Duration
		left []string
	}

	// path is one entry before several agents.
	path struct {
		network    *linker.Network
		store      *storer.Storer
		backend    *backend
		tracker    *tracker.Tracker
		dispatcher *dispatcher.Dispatcher
		agents     []*agent.Agent
		executors  []*executor.Executor
	}

	// answer collects what a caller gets.
	answer struct {
		status int
		body   strings.Builder
	}
)

func (b *backend) Start(ctx context.Context, call carawaybeam.Call) (*carawaybeam.Answer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[string(call.Body)]++
	left := make([]string, 0, parts)
	for i := range parts {
		left = append(left, fmt.Sprintf("%s part %d\n", call.Body, i))
	}
	body := &slowReader{ctx: ctx, pace: b.pace, left: left}
	return &carawaybeam.Answer{Status: 200, ContentType: "text/plain", Body: body}, nil
}

func (b *backend) Load(context.Context) (carawaybeam.Load, error) { return carawaybeam.Load{}, nil }

func (b *backend) count(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

func whole(body string) string {
	var b strings.Builder
	for i := range parts {
		fmt.Fprintf(&b, "%s part %d\n", body, i)
	}
	return b.String()
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.left) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(r.pace):
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
	n := copy(p, r.left[0])
	r.left = r.left[1:]
	return n, nil
}

func (r *slowReader) Close() error { return nil }

func (a *answer) Head(status int, _ string) error {
	a.status = status
	return nil
}

func (a *answer) Chunk(data []byte) error {
	a.body.Write(data)
	return nil
}

func newPath(agents int) *path {
	p := &path{network: &linker.Network{}, store: storer.New()}
	p.backend = &backend{runs: make(map[string]int), pace: 100 * time.Millisecond}
	vms := make([]carawaybeam.VM, 0, agents)
	for i := range agents {
		vms = append(vms, p.addAgent(i))
	}
	p.store.SetVMs(vms)
	config := configurer.New()
	p.tracker = tracker.New(tracker.Options{
		Process: "entry", Lister: p.store.VMList(), Dialer: p.network, Config: config, Log: zerolog.Nop(),
	})
	p.dispatcher = dispatcher.New(dispatcher.Options{
		Members: p.tracker,
		Binder:  binder.New(p.store),
		Config:  config,
		Router:  leastinflight.Router{},
		Limiter: unlimited.Limiter{},
		Retrier: proof.Retrier{},
		Log:     zerolog.Nop(),
	})
	time.Sleep(time.Second)
	return p
}

func (p *path) addAgent(i int) carawaybeam.VM {
	id := carawaybeam.BackendID(fmt.Sprintf("desk-%d", i))
	incarnation := carawaybeam.NewIncarnation()
	e := executor.New(executor.Options{
		Backend: p.backend, BackendID: id, Incarnation: incarnation, Concurrency: 8, Log: zerolog.Nop(),
	})
	a := agent.New(agent.Options{
		BackendID: id, Incarnation: incarnation, Backend: p.backend, Executor: e, Log: zerolog.Nop(),
	})
	p.agents = append(p.agents, a)
	p.executors = append(p.executors, e)
	address := carawaybeam.Address(fmt.Sprintf("10.0.0.%d:7000", i))
	p.network.Listen(address, a)
	return carawaybeam.VM{
		ID: carawaybeam.VMID(id), State: carawaybeam.VMLive, Role: carawaybeam.RoleAgent, Address: address, Pool: pool,
	}
}

func (p *path) close() {
	_ = p.dispatcher.Close()
	_ = p.tracker.Close()
	_ = p.network.Close()
	for i := range p.agents {
		_ = p.agents[i].Close()
		_ = p.executors[i].Close()
	}
}

func booking(body, key string) dispatcher.Request {
	return dispatcher.Request{
		ID:           carawaybeam.NewRequestID(),
		Class:        carawaybeam.Class{ID: "bookings", Kind: carawaybeam.WorkService, Pool: pool},
		Organisation: "org",
		Key:          carawaybeam.IdempotencyKey(key),
		Method:       "POST",
		Path:         "/bookings",
		Body:         []byte(body),
		Deadline:     time.Now().Add(time.Minute),
	}
}

func TestAnswerIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(2)
		defer p.close()
		var a answer
		is.True(p.dispatcher.Do(t.Context(), booking("b1", ""), &a) == nil)
		is.Equal(a.body.String(), whole("b1"))
		is.Equal(p.backend.count("b1"), 1)
	})
}

func TestSilentLinkIsResolvedOverNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(2)
		defer p.close()
		// All frames of the streams open at 300 ms are lost from then on.
		start := time.Now()
		silent := start.Add(300 * time.Millisecond)
		p.network.Inject(func(_ carawaybeam.Address, d linker.Direction, f *framer.Frame) linker.Verdict {
			now := time.Now()
			lost := now.After(silent) && now.Before(silent.Add(4*time.Second))
			return linker.Verdict{Drop: lost && d == linker.ToDialer && f.GetHeartbeat() == nil}
		})
		var a answer
		failure := p.dispatcher.Do(t.Context(), booking("b1", ""), &a)
		is.True(failure == nil)
		is.Equal(a.body.String(), whole("b1"))
		is.Equal(p.backend.count("b1"), 1)
	})
}

func TestSameKeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(3)
		defer p.close()
		var wait sync.WaitGroup
		answers := make([]answer, 4)
		for i := range answers {
			wait.Go(func() { _ = p.dispatcher.Do(t.Context(), booking("b1", "k1"), &answers[i]) })
		}
		wait.Wait()
		for i := range answers {
			is.Equal(answers[i].body.String(), whole("b1"))
		}
		is.Equal(p.backend.count("b1"), 1)
	})
}

func TestOtherBodyUnderSameKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(1)
		defer p.close()
		var a answer
		is.True(p.dispatcher.Do(t.Context(), booking("b1", "k1"), &a) == nil)
		failure := p.dispatcher.Do(t.Context(), booking("b2", "k1"), &a)
		is.Equal(failure.Reason, carawaybeam.ReasonKeyReused)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		is.Equal(p.backend.count("b2"), 0)
	})
}

func TestPausedAgentIsNeverGuessedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(1)
		defer p.close()
		// The dispatch arrives long after the entry has stopped waiting for it.
		p.network.Inject(func(_ carawaybeam.Address, _ linker.Direction, f *framer.Frame) linker.Verdict {
			if f.GetDispatch() != nil {
				return linker.Verdict{Delay: 20 * time.Second}
			}
			return linker.Verdict{}
		})
		var a answer
		failure := p.dispatcher.Do(t.Context(), booking("b1", ""), &a)
		is.True(failure != nil)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		time.Sleep(time.Minute)
		is.Equal(p.backend.count("b1"), 0)
	})
}

func TestLeavingAgentGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPath(1)
		defer p.close()
		is.NoErr(p.agents[0].Drain(t.Context()))
		var a answer
		failure := p.dispatcher.Do(t.Context(), booking("b1", ""), &a)
		is.True(failure != nil)
		is.Equal(failure.Outcome, carawaybeam.OutcomeNotRun)
		is.True(failure.RetryAfter > 0)
		is.Equal(p.backend.count("b1"), 0)
	})
}
