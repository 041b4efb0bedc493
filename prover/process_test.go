package prover_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/generator"
	"github.com/carawaybeam/carawaybeam/fakes/launcher"
	"github.com/carawaybeam/carawaybeam/prover"
	"github.com/carawaybeam/carawaybeam/server"
)

const (
	services = 2
	engines  = 3
)

// startFleet starts real processes, which are stopped when the test ends.
func startFleet(t *testing.T) *launcher.Fleet {
	t.Helper()
	return startFleetOf(t, services, engines, 2)
}

func startFleetOf(t *testing.T, services, engines, entries int) *launcher.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := launcher.Start(ctx, launcher.Options{
		Directory: t.TempDir(), Module: "..", Services: services, Engines: engines, Entries: entries,
		ServiceDelay: 200 * time.Millisecond, TokenTime: 20 * time.Millisecond,
	})
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Log("stop:", err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// reply is the answer that a caller received, or the error instead.
type reply struct {
	status     int
	body       string
	outcome    carawaybeam.Outcome
	retryAfter string
	ticket     string
	err        error
}

func send(entry *launcher.Entry, path, body string, header http.Header) reply {
	request, err := http.NewRequest(http.MethodPost, entry.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header = header.Clone()
	request.Header.Set("Content-Type", "application/json")
	return exchange(request)
}

// exchange sends a request with the token of the organisation and reads the reply.
func exchange(request *http.Request) reply {
	request.Header.Set("Authorization", "Bearer "+launcher.Token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	r := reply{
		status:     response.StatusCode,
		body:       string(data),
		retryAfter: response.Header.Get("Retry-After"),
		ticket:     response.Header.Get(server.HeaderTicket),
		err:        err,
	}
	var problem struct {
		Outcome carawaybeam.Outcome `json:"outcome"`
	}
	if r.status != http.StatusOK && json.Unmarshal(data, &problem) == nil {
		r.outcome = problem.Outcome
	}
	return r
}

func book(entry *launcher.Entry, number, key string) reply {
	header := http.Header{}
	if key != "" {
		header.Set(server.HeaderKey, key)
	}
	return send(entry, "/services/bookings/bookings", fmt.Sprintf(`{"number":%q,"visit":"2026-12-04"}`, number), header)
}

func draft(entry *launcher.Entry, prompt string, tokens int) reply {
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	return send(entry, "/v1/completions", body, http.Header{server.HeaderClass: {"drafting"}})
}

// bookingRuns returns how often each booking was run, as counted by the services.
func bookingRuns(t *testing.T, f *launcher.Fleet) map[string]int {
	t.Helper()
	runs := make(map[string]int)
	for _, s := range f.Slots[:services] {
		var counts struct {
			Bookings map[string]int `json:"bookings"`
		}
		if err := launcher.FetchJSON(t.Context(), s.URL+"/counts", &counts); err != nil {
			t.Fatal(err)
		}
		for number, n := range counts.Bookings {
			runs[number] += n
		}
	}
	return runs
}

// injectFaults pauses, kills and restarts agents and cuts and silences their links,
// one after another.
func injectFaults(t *testing.T, f *launcher.Fleet) {
	t.Helper()
	steps := []func() error{
		func() error { return f.Slots[0].Agent.Signal(syscall.SIGSTOP) },
		func() error { f.Slots[1].Links.Silence(); return nil },
		func() error { return f.Slots[0].Agent.Signal(syscall.SIGCONT) },
		func() error { f.Slots[0].Links.Cut(); return nil },
		func() error { return f.Slots[1].Agent.Kill() },
		func() error { return f.Slots[1].Agent.Start() },
		func() error { f.Slots[0].Links.Silence(); return nil },
	}
	for _, step := range steps {
		time.Sleep(700 * time.Millisecond)
		if err := step(); err != nil {
			t.Error(err)
		}
	}
}

// TestPromiseProcessBookings checks that no booking runs twice and that none runs
// that was reported as not run. It sends bookings, with a key through both entries
// and without one through either, while agents are paused, killed, cut off and
// silenced.
func TestPromiseProcessBookings(t *testing.T) {
	f := startFleet(t)
	const bookings = 60
	var wait sync.WaitGroup
	keyed, plain := make([][]reply, bookings), make([]reply, bookings)
	for i := range bookings {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			var both sync.WaitGroup
			keyed[i] = make([]reply, 3)
			for n := range 2 {
				both.Go(func() { keyed[i][n] = book(f.Entries[n], fmt.Sprintf("k%d", i), fmt.Sprintf("key%d", i)) })
			}
			plain[i] = book(f.Entries[i%2], fmt.Sprintf("p%d", i), "")
			both.Wait()
		})
	}
	injectFaults(t, f)
	wait.Wait()
	for i := range keyed {
		wait.Go(func() { keyed[i][2] = book(f.Entries[1], fmt.Sprintf("k%d", i), fmt.Sprintf("key%d", i)) })
	}
	wait.Wait()
	time.Sleep(2 * time.Second)
	runs := bookingRuns(t, f)
	double, falseNotRun, whole := 0, 0, 0
	for i := range bookings {
		key, number := fmt.Sprintf("k%d", i), fmt.Sprintf("p%d", i)
		if runs[key] > 1 || runs[number] > 1 {
			double++
		}
		if plain[i].outcome == carawaybeam.OutcomeNotRun && runs[number] > 0 {
			falseNotRun++
		}
		for _, r := range keyed[i] {
			if r.status == http.StatusOK {
				whole++
				break
			}
		}
	}
	fmt.Printf("processes: keyed bookings completed %d of %d\n", whole, bookings)
	prover.Report(t, prover.AtMostOnce, 2*bookings, double)
	prover.Report(t, prover.NotRun, bookings, falseNotRun)
}

// startStreams starts streams through both entries. The returned function waits for
// all of them, and returns how many were complete and how many ended as a success with
// wrong content.
func startStreams(f *launcher.Fleet, n, tokens int) func() (whole, wrong int) {
	var wait sync.WaitGroup
	replies := make([]reply, n)
	for i := range n {
		wait.Go(func() { replies[i] = draft(f.Entries[i%2], fmt.Sprintf("mast %d", i), tokens) })
	}
	return func() (whole, wrong int) {
		wait.Wait()
		for i, r := range replies {
			want := generator.Events(fmt.Sprintf("mast %d", i), tokens)
			switch {
			case r.err == nil && r.status == http.StatusOK && r.body == want:
				whole++
			case r.err == nil && r.status == http.StatusOK && !strings.Contains(r.body, "event: error"):
				wrong++
			}
		}
		return whole, wrong
	}
}

// TestPromiseProcessStreams checks that each successful stream has exactly the
// expected bytes, while links are cut and silenced and a backend server is killed.
func TestPromiseProcessStreams(t *testing.T) {
	f := startFleet(t)
	const n = 40
	finished := startStreams(f, n, 300)
	time.Sleep(time.Second)
	f.Slots[services].Links.Silence()
	f.Slots[services+1].Links.Cut()
	time.Sleep(time.Second)
	if err := f.Slots[services+2].Backend.Kill(); err != nil {
		t.Error(err)
	}
	whole, wrong := finished()
	fmt.Printf("processes: streams whole %d of %d\n", whole, n)
	prover.Report(t, prover.WholeAnswer, n, wrong)
}

// TestPromiseProcessStop checks that all streams are completed when an entry and an
// agent are stopped at the same time during an outage of the store.
func TestPromiseProcessStop(t *testing.T) {
	f := startFleet(t)
	const n = 40
	finished := startStreams(f, n, 300)
	time.Sleep(time.Second)
	if err := f.SetStoreFault(t.Context(), `{"mode":"down"}`); err != nil {
		t.Error(err)
	}
	for _, p := range []*launcher.Process{f.Entries[1].Process, f.Slots[services].Agent} {
		if err := p.Signal(syscall.SIGTERM); err != nil {
			t.Error(err)
		}
	}
	whole, _ := finished()
	for _, p := range []*launcher.Process{f.Entries[1].Process, f.Slots[services].Agent} {
		if err := p.Stop(); err != nil {
			t.Error("stop:", err)
		}
	}
	prover.Report(t, prover.PlannedStop, n, n-whole)
}

// TestPromiseProcessPoison sends a request that crashes each engine that runs it,
// while other streams run and crashed engines are restarted. It checks that at most two
// engines crash, that the other streams are completed and that the request is then
// refused with a Retry-After header.
func TestPromiseProcessPoison(t *testing.T) {
	f := startFleet(t)
	var mu sync.Mutex
	crashes := 0
	for _, s := range f.Slots[services:] {
		go restartOnCrash(t, s, func() { mu.Lock(); crashes++; mu.Unlock() })
	}
	const n = 30
	finished := startStreams(f, n, 150)
	time.Sleep(500 * time.Millisecond)
	var last reply
	for i := range 6 {
		last = draft(f.Entries[i%2], "feed horn "+generator.CrashMarker, 50)
	}
	whole, _ := finished()
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("processes: crashes %d, others whole %d of %d, last refusal %d retry after %s s\n",
		crashes, whole, n, last.status, last.retryAfter)
	violations := max(0, crashes-2) + n - whole
	if last.status != http.StatusTooManyRequests || last.retryAfter == "" {
		violations++
	}
	prover.Report(t, prover.PoisonRequest, 6, violations)
}

// restartOnCrash restarts the backend server of a slot after each crash, until the
// test ends.
func restartOnCrash(t *testing.T, s *launcher.Slot, crashed func()) {
	for {
		select {
		case <-s.Backend.Ended():
		case <-t.Context().Done():
			return
		}
		if t.Context().Err() != nil {
			return
		}
		crashed()
		time.Sleep(time.Second)
		if err := s.Backend.Start(); err != nil {
			return
		}
	}
}
