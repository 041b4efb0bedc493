package server_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/agent"
	"github.com/carawaybeam/carawaybeam/binder"
	"github.com/carawaybeam/carawaybeam/caller"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/dispatcher"
	"github.com/carawaybeam/carawaybeam/executor"
	"github.com/carawaybeam/carawaybeam/fakes/breaker"
	"github.com/carawaybeam/carawaybeam/fakes/generator"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/messenger"
	"github.com/carawaybeam/carawaybeam/retrier/proof"
	"github.com/carawaybeam/carawaybeam/router/leastinflight"
	"github.com/carawaybeam/carawaybeam/server"
	"github.com/carawaybeam/carawaybeam/tracker"
)

const (
	// requestRate is the load of the benchmark in requests per second. Half of
	// them go through the entry, the other half directly to the engine.
	requestRate = 1000

	// uploadBytes do not fit into the buffers of sockets.
	uploadBytes = 8 << 20

	benchBody = `{"prompt":"Summarise the inspection of mast 7.","max_tokens":8,"stream":true}`
)

// installation is an entry, an agent and a simulated model engine, connected by
// loopback sockets.
type installation struct {
	engine *httptest.Server
	entry  string
	close  func()
}

func newInstallation(tb testing.TB) *installation {
	tb.Helper()
	engine := httptest.NewServer(generator.New(generator.Options{Slots: 1 << 10}).Handler())
	p := newInstallationOf(tb, engine.URL)
	p.engine = engine
	closeParts := p.close
	p.close = func() {
		closeParts()
		engine.Close()
	}
	return p
}

// newInstallationOf returns an installation with the model engine at the URL.
func newInstallationOf(tb testing.TB, engine string) *installation {
	tb.Helper()
	backend := caller.New(carawaybeam.BackendOptions{URL: engine, ConnectTimeout: time.Second}, true)
	x := executor.New(executor.Options{Backend: backend, BackendID: "b", Incarnation: "i", Concurrency: 1 << 10})
	a := agent.New(agent.Options{BackendID: "b", Incarnation: "i", Backend: backend, Executor: x, Log: zerolog.Nop()})
	links := listener(tb)
	l := messenger.New(links, a)
	store := storer.New()
	store.SetVMs([]carawaybeam.VM{{
		ID: "vm", Role: carawaybeam.RoleAgent, Pool: "p", Address: carawaybeam.Address(links.Addr().String()),
	}})
	config := configurer.New()
	t := tracker.New(
		tracker.Options{Lister: store.VMList(), Dialer: messenger.Dialer{}, Config: config, Log: zerolog.Nop()},
	)
	d := dispatcher.New(dispatcher.Options{
		Members:        t,
		Binder:         binder.New(store),
		ConfigObserver: config,
		Router:         leastinflight.Router{},
		Limiter:        unlimited.Limiter{},
		Retrier:        proof.Retrier{},
	})
	callers := listener(tb)
	s := server.New(callers, server.Options{
		Configuration: poolConfiguration{},
		Dispatcher:    d,
		BodyBytes:     uploadBytes,
		HeaderBytes:   8 << 10,
		ReadTimeout:   time.Minute,
		WriteTimeout:  time.Minute,
		Ready:         func() bool { return true },
		Scope:         tally.NoopScope,
		Log:           zerolog.Nop(),
	})
	for !linked(t) {
		time.Sleep(time.Millisecond)
	}
	return &installation{entry: "http://" + callers.Addr().String(), close: func() {
		for _, part := range []io.Closer{s, d, t, l, a, x} {
			_ = part.Close()
		}
	}}
}

// poolConfiguration assigns every class to the pool of the one agent.
type poolConfiguration struct{ fakeConfiguration }

func (poolConfiguration) Class(id carawaybeam.ClassID) (carawaybeam.Class, bool) {
	targets := carawaybeam.Targets{Completed: time.Minute}
	return carawaybeam.Class{ID: id, Kind: carawaybeam.WorkModel, Pool: "p", Idempotent: true, Targets: targets}, true
}

func listener(tb testing.TB) net.Listener {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return l
}

func linked(t *tracker.Tracker) bool {
	members := t.Members("p")
	return len(members) == 1 && members[0].Linked
}

// post sends the request of the benchmark, reads the whole answer and returns its
// length.
func post(ctx context.Context, client *http.Client, url string) (int, error) {
	request, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		url+"/v1/completions",
		bytes.NewBufferString(benchBody),
	)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set(server.HeaderClass, "drafting")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	return int(n), err
}

func TestAnswerThroughEntryAndAgent(t *testing.T) {
	p := newInstallation(t)
	defer p.close()
	client := &http.Client{}
	direct, err := post(t.Context(), client, p.engine.URL)
	if err != nil {
		t.Fatal(err)
	}
	through, err := post(t.Context(), client, p.entry)
	if err != nil || through != direct {
		t.Fatalf("answer through the entry has %d bytes, direct one %d: %v", through, direct, err)
	}
}

// TestBrokenAnswerBehindLink guards against an invalid or incomplete answer that a caller gets through an entry and an
// agent as a complete one, or as one of a request that did not run.
func TestBrokenAnswerBehindLink(t *testing.T) {
	prompt := `{"prompt":"` + strings.Repeat("x", uploadBytes/2) + `"}`
	for _, answer := range append(breaker.Broken(), breaker.Unread()) {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			answer.Load = "{}"
			p := newInstallationOf(t, "http://"+breaker.Start(t, answer).Address())
			defer p.close()
			response, err := send(t, http.MethodPost, p.entry+"/v1/completions", "drafting", token, prompt)
			is.NoErr(err)
			is.Equal(response.status, http.StatusBadGateway)
			is.True(strings.Contains(response.body, `"outcome":"unknown"`))
		})
	}
}

// BenchmarkAddedLatency compares the latency of whole answers through entry and
// agent with that of direct answers of the engine, at the same time and rate.
func BenchmarkAddedLatency(b *testing.B) {
	p := newInstallation(b)
	defer p.close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	urls := [2]string{p.engine.URL, p.entry}
	histograms := [2]*hdrhistogram.Histogram{hdrhistogram.New(1, 1e10, 3), hdrhistogram.New(1, 1e10, 3)}
	var (
		mu   sync.Mutex
		wait sync.WaitGroup
	)
	ticker := time.NewTicker(time.Second / requestRate)
	defer ticker.Stop()
	for i := 0; b.Loop(); i++ {
		<-ticker.C
		which := i % len(urls)
		wait.Go(func() {
			start := time.Now()
			if _, err := post(b.Context(), client, urls[which]); err != nil {
				b.Error(err)
				return
			}
			took := time.Since(start).Nanoseconds()
			mu.Lock()
			defer mu.Unlock()
			_ = histograms[which].RecordValue(took)
		})
	}
	wait.Wait()
	direct, through := histograms[0], histograms[1]
	for _, quantile := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}} {
		d, t := float64(direct.ValueAtQuantile(quantile.at)), float64(through.ValueAtQuantile(quantile.at))
		b.ReportMetric(d/1e3, quantile.name+"-direct-µs")
		b.ReportMetric((t-d)/1e3, quantile.name+"-added-µs")
		b.ReportMetric(t/d, quantile.name+"-ratio")
	}
}

// BenchmarkAllocations counts the allocations of one request through client,
// entry, agent and engine together, and of one sent directly to the engine.
func BenchmarkAllocations(b *testing.B) {
	p := newInstallation(b)
	defer p.close()
	client := &http.Client{}
	for _, target := range []struct{ name, url string }{{"direct", p.engine.URL}, {"through", p.entry}} {
		b.Run(target.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := post(b.Context(), client, target.url); err != nil {
					b.Fatal(err)
				}
			}
			runtime.GC()
		})
	}
}
