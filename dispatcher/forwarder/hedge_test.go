package forwarder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/dispatcher/forwarder"
	"github.com/carawaybeam/carawaybeam/finisher"
	"github.com/carawaybeam/carawaybeam/hedger"
	"github.com/carawaybeam/carawaybeam/pooler"
	"github.com/carawaybeam/carawaybeam/prover"
	"github.com/carawaybeam/carawaybeam/quarantiner"
	"github.com/carawaybeam/carawaybeam/throttler"
	"github.com/carawaybeam/carawaybeam/warmer"
)

const (
	// usual is the usual latency, and so the delay of second attempts within the precision of
	// histograms.
	usual = 100 * time.Millisecond

	// soon bounds the time in which an attempt is cancelled.
	soon = time.Millisecond
)

type (
	// timedServer is a backend server that answers after a time.
	timedServer struct {
		// first is the time to the head of the answer and to its first part, gap that to each
		// further part.
		first, gap time.Duration
		parts      []string
		// fail is the error after first, or nil, and status the status of a refusal, or 0.
		fail    error
		refuses bool
		status  int
		// deaf is set if it goes on although the request was cancelled.
		deaf bool

		sent, cancelled []time.Time
	}

	// timedBody is the body of the answer of a timedServer.
	timedBody struct {
		ctx    context.Context
		server *timedServer
		next   int
	}

	// raceScene is an environment with several backend servers, in which latencies were learned.
	raceScene struct {
		*environment

		t       *testing.T
		mu      sync.Mutex
		servers map[carawaybeam.BackendID]*timedServer
		groups  map[carawaybeam.BackendID]carawaybeam.GroupID
		// running is the load that each backend server reports.
		running  map[carawaybeam.BackendID]int
		hedger   *hedger.Hedger
		finisher *finisher.Finisher
		lines    bytes.Buffer
	}
)

func (b *timedBody) Close() error { return nil }

func (b *timedBody) Read(p []byte) (int, error) {
	if b.next == len(b.server.parts) {
		return 0, io.EOF
	}
	if b.next > 0 && b.server.sleep(b.ctx, b.server.gap) != nil {
		return 0, b.ctx.Err()
	}
	n := copy(p, b.server.parts[b.next])
	b.next++
	return n, nil
}

// sleep waits, until the request is cancelled.
func (s *timedServer) sleep(ctx context.Context, duration time.Duration) error {
	if s.deaf {
		time.Sleep(duration)
		return nil
	}
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newRaceScene returns a scene with backend servers a, b, c and so on, all of which answer after half
// of the usual time. The first attempt goes to a, and second ones to b if it may.
func newRaceScene(t *testing.T, servers int) *raceScene {
	t.Helper()
	s := &raceScene{
		environment: newEnvironment(), t: t, hedger: hedger.New(time.Now(), hedger.Settings{Ratio: 0.5}),
		servers: make(map[carawaybeam.BackendID]*timedServer),
		groups:  make(map[carawaybeam.BackendID]carawaybeam.GroupID), finisher: finisher.New(),
		running: make(map[carawaybeam.BackendID]int),
	}
	s.log = zerolog.New(zerolog.SyncWriter(&s.lines))
	s.reports = make(map[carawaybeam.Address]func() (forwarder.Report, bool))
	s.instances = nil
	for i := range servers {
		id := carawaybeam.BackendID(rune('a' + i))
		address := carawaybeam.Address(fmt.Sprintf("10.0.0.%d:80", i+1))
		s.instances = append(s.instances, carawaybeam.Instance{
			BackendIncarnation: carawaybeam.BackendIncarnation{ID: id}, Pool: "pool", Address: address, Slots: 20,
		})
		s.servers[id] = &timedServer{
			first: usual / 2, gap: usual, parts: []string{"id: 1\ndata: " + string(id) + "\n\n"},
		}
		s.running[id] = i
		s.reports[address] = func() (forwarder.Report, bool) {
			return forwarder.Report{
				At: time.Now(), Load: carawaybeam.Load{Running: s.running[id]}, Group: s.groups[id],
			}, true
		}
	}
	for i := range s.routing.Routes {
		s.learn(s.routing.Routes[i].ID)
	}
	time.Sleep(time.Second) // Quantiles are computed at intervals.
	s.adjust = func(options *forwarder.Options) {
		options.Sender, options.Hedger, options.Finisher = s, s.hedger, s.finisher
		options.Encode = func(_ *carawaybeam.ClientRequest, f carawaybeam.Forwarding) http.Header {
			return http.Header{"Backend": {string(f.Backend)}}
		}
	}
	return s
}

// learn lets the Hedger learn the latencies of a route: most answers come after half of the usual time.
func (s *raceScene) learn(route carawaybeam.RouteID) {
	for i := range 200 {
		latency := usual / 2
		if i%10 == 0 {
			latency = usual
		}
		s.hedger.CountRequest(time.Now(), "pool")
		s.hedger.Observe(time.Now(), hedger.Kind{Pool: "pool", Route: route}, latency, false)
	}
}

// Send lets a backend server answer.
func (s *raceScene) Send(
	ctx context.Context,
	_ carawaybeam.Address,
	r pooler.Request,
) (*pooler.Reply, error) {
	server := s.servers[carawaybeam.BackendID(r.Header.Get("Backend"))]
	if server == nil {
		panic("there is no such backend server")
	}
	s.mu.Lock()
	server.sent = append(server.sent, time.Now())
	s.mu.Unlock()
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		server.cancelled = append(server.cancelled, time.Now())
	})
	if err := server.sleep(ctx, server.first); err != nil {
		return nil, err
	}
	if server.fail != nil {
		return nil, server.fail
	}
	head := carawaybeam.ReplyHead{Request: r.ID, Status: http.StatusOK, Sealed: true, Header: http.Header{}}
	if server.status > 0 {
		head.Status = server.status
	}
	if server.refuses {
		head.Status, head.NotRun, head.Sealed = http.StatusServiceUnavailable, true, false
		return &pooler.Reply{ReplyHead: head, Body: http.NoBody}, nil
	}
	return &pooler.Reply{ReplyHead: head, Body: &timedBody{ctx: ctx, server: server}, Length: -1}, nil
}

func (s *raceScene) CloseIdle(carawaybeam.Address) {}

// sends returns how many requests each backend server got, in their order.
func (s *raceScene) sends() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make([]int, 0, len(s.servers))
	for _, instance := range s.instances {
		counts = append(counts, len(s.servers[instance.ID].sent))
	}
	return counts
}

// suppressed returns why second attempts of a route were not sent.
func (s *raceScene) suppressed(kind carawaybeam.RouteKind) []hedger.Reason {
	return slices.Collect(maps.Keys(s.hedger.Counts()[carawaybeam.RouteID(kind)].Suppressed))
}

// second returns the log line of the second attempt, or nil.
func (s *raceScene) second() map[string]any {
	for line := range strings.Lines(s.lines.String()) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["message"] == "forwarder: second attempt ended" {
			return fields
		}
	}
	return nil
}

// play runs a test in a bubble.
func play(t *testing.T, servers int, test func(is *is.I, s *raceScene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Helper()
		test(is.New(t), newRaceScene(t, servers))
	})
}

// TestOneSlowServerOfMany guards against a request that waits for a slow backend server, and against one
// whose first attempt goes on there.
func TestOneSlowServerOfMany(t *testing.T) {
	for _, kind := range []carawaybeam.RouteKind{carawaybeam.RouteSafe, carawaybeam.RouteStream} {
		t.Run(string(kind), func(t *testing.T) {
			play(t, 8, func(is *is.I, s *raceScene) {
				s.servers["a"].first = 10 * time.Second
				began := time.Now()
				answer, failure := s.serve(request(kind))
				is.True(failure == nil)
				is.Equal(answer.String(), "id: 1\ndata: b\n\n")
				is.True(time.Since(began) < 2*usual)
				is.Equal(s.sends(), []int{1, 1, 0, 0, 0, 0, 0, 0})
				synctest.Wait()
				is.True(s.servers["a"].cancelled[0].Sub(began) < 2*usual)
				is.Equal(s.quarantiner.State(), quarantiner.State{})
				is.Equal(s.hedger.Counts()[carawaybeam.RouteID(kind)].Won, uint64(1))
				line := s.second()
				is.Equal(line["first"], "a")
				is.Equal(line["second"], "b")
				is.Equal(line["outcome"], "won")
				is.True(!strings.Contains(s.lines.String(), "attempt failed"))
				is.True(strings.Contains(s.lines.String(), `"tries":2`))
			})
		})
	}
}

// TestSecondAttemptIsDueAgain guards against a request that waits for a slow backend server because a second
// attempt was not forecast to be sooner when it became due first, and against one that is sent although
// the first answer comes sooner.
func TestSecondAttemptIsDueAgain(t *testing.T) {
	for first, sends := range map[time.Duration][]int{10 * time.Second: {1, 1, 0}, 2 * usual: {1, 0, 0}} {
		play(t, 3, func(is *is.I, s *raceScene) {
			kind := hedger.Kind{Pool: "pool", Route: carawaybeam.RouteID(carawaybeam.RouteSafe)}
			for range 10_000 {
				s.hedger.Observe(time.Now(), kind, usual, false)
			}
			time.Sleep(time.Second)
			s.servers["a"].first = first
			began := time.Now()
			_, failure := s.serve(request(carawaybeam.RouteSafe))
			is.True(failure == nil)
			is.True(time.Since(began) < 3*usual)
			is.Equal(s.sends(), sends)
			is.Equal(s.suppressed(carawaybeam.RouteSafe), []hedger.Reason{hedger.NotSooner})
		})
	}
}

// TestFirstAttemptWins guards against a second attempt that goes on, or takes the place of the first one,
// after the first one was answered.
func TestFirstAttemptWins(t *testing.T) {
	play(t, 3, func(is *is.I, s *raceScene) {
		s.servers["a"].first, s.servers["b"].first = usual*3/2, usual
		s.servers["a"].parts = []string{"id: 1\ndata: a\n\n", "id: 2\ndata: a\n\n", "id: 3\ndata: a\n\n"}
		began := time.Now()
		answer, failure := s.serve(request(carawaybeam.RouteStream))
		is.True(failure == nil)
		is.Equal(answer.String(), strings.Join(s.servers["a"].parts, ""))
		is.Equal(s.sends(), []int{1, 1, 0})
		is.True(s.servers["b"].cancelled[0].Sub(began) <= usual*3/2+soon) // Not at the end of the stream.
		is.Equal(s.second()["outcome"], "cancelled")
		is.Equal(s.hedger.Counts()["stream"].Cancelled, uint64(1))
	})
}

// TestStreamThatHasBegun guards against a second attempt of a stream of which the client has events, or of
// one that the client continues.
func TestStreamThatHasBegun(t *testing.T) {
	play(t, 3, func(is *is.I, s *raceScene) {
		s.servers["a"].parts = []string{"id: 1\n\n", "id: 2\n\n"}
		s.servers["a"].gap = 10 * usual / 2
		_, failure := s.serve(request(carawaybeam.RouteStream))
		is.True(failure == nil)
		is.Equal(s.sends(), []int{1, 0, 0})
		r := request(carawaybeam.RouteStream)
		r.After = 12
		s.servers["a"].first, s.servers["a"].parts = 5*usual, []string{"id: 13\n\n"}
		_, failure = s.serve(r)
		is.True(failure == nil)
		is.Equal(s.sends(), []int{2, 0, 0})
	})
}

// TestAllServersSlow guards against second attempts to backend servers that are slow as a whole.
func TestAllServersSlow(t *testing.T) {
	play(t, 4, func(is *is.I, s *raceScene) {
		for _, server := range s.servers {
			server.first = 5 * usual
		}
		for range 12 {
			_, failure := s.serve(request(carawaybeam.RouteSafe))
			is.True(failure == nil)
		}
		is.True(slices.Contains(s.suppressed(carawaybeam.RouteSafe), hedger.Slow))
		is.True(s.hedger.Counts()["safe"].Sent <= 5)
	})
}

// TestTwoSlowInOneRack guards against a second attempt to the same group, whose ranks are equally slow.
func TestTwoSlowInOneRack(t *testing.T) {
	play(t, 3, func(is *is.I, s *raceScene) {
		s.servers["a"].first, s.servers["b"].first = 5*usual, 5*usual
		s.groups = map[carawaybeam.BackendID]carawaybeam.GroupID{"a": "rack-1", "b": "rack-1", "c": "rack-2"}
		answer, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		is.Equal(answer.String(), "id: 1\ndata: c\n\n")
		is.Equal(s.sends(), []int{1, 0, 1})
	})
}

// TestOneGroup guards against a second attempt in a pool whose ranks all step together.
func TestOneGroup(t *testing.T) {
	play(t, 3, func(is *is.I, s *raceScene) {
		s.servers["a"].first = 5 * usual
		s.groups = map[carawaybeam.BackendID]carawaybeam.GroupID{"a": "group", "b": "group", "c": "group"}
		_, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		is.Equal(s.sends(), []int{1, 0, 0})
		is.Equal(s.suppressed(carawaybeam.RouteSafe), []hedger.Reason{hedger.LockStep})
	})
}

// TestSlowDataCentre guards against a second attempt in the same data centre while there is another one.
func TestSlowDataCentre(t *testing.T) {
	play(t, 4, func(is *is.I, s *raceScene) {
		s.servers["a"].first, s.servers["b"].first = 8*usual, 8*usual
		for i, dataCentre := range []carawaybeam.DataCentre{"x", "x", "x", "y"} {
			s.instances[i].DataCentre = dataCentre
		}
		answer, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		is.Equal(answer.String(), "id: 1\ndata: d\n\n")
	})
}

// TestOtherDataCentreIsClosed guards against no second attempt where the other data centre is closed, and
// one in that of the first attempt is open.
func TestOtherDataCentreIsClosed(t *testing.T) {
	play(t, 3, func(is *is.I, s *raceScene) {
		s.servers["a"].first = 5 * usual
		s.instances[2].DataCentre = "y"
		s.reports[s.instances[2].Address] = func() (forwarder.Report, bool) {
			return forwarder.Report{At: time.Now(), ClosedFor: time.Second}, true
		}
		answer, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		is.Equal(answer.String(), "id: 1\ndata: b\n\n")
	})
}

// TestPanicOfSecondAttempt guards against a fault in one request that ends the process.
func TestPanicOfSecondAttempt(t *testing.T) {
	play(t, 2, func(is *is.I, s *raceScene) {
		s.servers["a"].first = 5 * usual
		s.servers["b"] = nil
		defer func() { is.True(recover() != nil) }()
		_, _ = s.serve(request(carawaybeam.RouteSafe))
	})
}

// TestBurstFillsPool guards against second attempts that take the last slots of a pool.
func TestBurstFillsPool(t *testing.T) {
	play(t, 3, func(is *is.I, s *raceScene) {
		s.servers["a"].first = 5 * usual
		s.running = map[carawaybeam.BackendID]int{"a": 17, "b": 19, "c": 19}
		_, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		is.Equal(s.sends(), []int{1, 0, 0})
		is.Equal(s.suppressed(carawaybeam.RouteSafe), []hedger.Reason{hedger.Full})
	})
}

// TestFirstServerCrashes guards against a retry beside the second attempt, when the backend server of the
// first one crashes.
func TestFirstServerCrashes(t *testing.T) {
	play(t, 4, func(is *is.I, s *raceScene) {
		s.routing.Routes[0].MaxAttempts = 4
		s.servers["a"].first, s.servers["a"].fail = usual*3/2, io.ErrUnexpectedEOF
		s.servers["b"].first = 4 * usual
		s.refusing = s.instances[0].Address
		answer, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		is.Equal(answer.String(), "id: 1\ndata: b\n\n")
		is.Equal(s.sends(), []int{1, 1, 0, 0})
		is.Equal(s.retries, 1) // That of the second attempt.
		is.Equal(s.quarantiner.State(), quarantiner.State{})
	})
}

// TestBothFail guards against "not run" for a request that may have run in either attempt.
func TestBothFail(t *testing.T) {
	broken := timedServer{first: 2 * usual, fail: io.ErrUnexpectedEOF}
	refuses := timedServer{first: 2 * usual, refuses: true}
	unreachable := timedServer{first: 2 * usual, fail: &carawaybeam.NotSentError{Cause: io.EOF}}
	failed := timedServer{first: 2 * usual, status: http.StatusInternalServerError, parts: []string{"x"}}
	tests := map[string]struct {
		first, second timedServer
		outcome       carawaybeam.Outcome
		status        int
	}{
		"both refuse":              {refuses, refuses, carawaybeam.OutcomeNotRun, 0},
		"refused and broken":       {refuses, broken, carawaybeam.OutcomeUnknown, 0},
		"broken and refused":       {broken, refuses, carawaybeam.OutcomeUnknown, 0},
		"both broken":              {broken, broken, carawaybeam.OutcomeUnknown, 0},
		"refused and unreachable":  {refuses, unreachable, carawaybeam.OutcomeNotRun, 0},
		"both failed":              {failed, failed, "", 500},
		"refused and failed":       {refuses, failed, "", 500},
		"failed and refused":       {failed, refuses, "", 500},
		"unreachable and answered": {unreachable, timedServer{first: 2 * usual, parts: []string{"x"}}, "", 200},
		"answered and refused":     {timedServer{first: 4 * usual, parts: []string{"x"}}, refuses, "", 200},
		"answered and broken":      {timedServer{first: 4 * usual, parts: []string{"x"}}, broken, "", 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, 2, func(is *is.I, s *raceScene) {
				s.servers["a"], s.servers["b"] = &test.first, &test.second
				answer, failure := s.serve(request(carawaybeam.RouteSafe))
				is.Equal(s.sends()[1], 1) // One that was not received may be followed by a retry on a.
				is.Equal(answer.status, test.status)
				if test.outcome == "" {
					is.True(failure == nil)
					return
				}
				is.Equal(failure.Outcome, test.outcome)
			})
		})
	}
}

// TestRetryBehindBoth checks that a retry follows when both attempts have failed, on a third backend
// server.
func TestRetryBehindBoth(t *testing.T) {
	play(t, 4, func(is *is.I, s *raceScene) {
		s.routing.Routes[0].MaxAttempts = 3
		for _, id := range []carawaybeam.BackendID{"a", "b"} {
			s.servers[id].first, s.servers[id].fail = 2*usual, io.ErrUnexpectedEOF
		}
		answer, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		is.Equal(answer.String(), "id: 1\ndata: c\n\n")
		is.Equal(s.sends(), []int{1, 1, 1, 0})
	})
}

// TestAtMostOneSecondAttempt guards against a third attempt while two are in flight.
func TestAtMostOneSecondAttempt(t *testing.T) {
	play(t, 6, func(is *is.I, s *raceScene) {
		s.routing.Routes[0].MaxAttempts = 6
		for _, server := range s.servers {
			server.first = 9 * usual
		}
		_, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		is.Equal(s.sends(), []int{1, 1, 0, 0, 0, 0})
	})
}

// TestSuspectIsNotHedged guards against a request that crashes two backend servers at once.
func TestSuspectIsNotHedged(t *testing.T) {
	fingerprint := fingerprintOf(t)
	for name, clears := range map[string]bool{"suspect": false, "cleared": true} {
		t.Run(name, func(t *testing.T) {
			play(t, 3, func(is *is.I, s *raceScene) {
				s.servers["a"].first = 5 * usual
				s.quarantiner = quarantiner.New(quarantiner.Partial)
				s.quarantiner.Add(fingerprint, "crash")
				if clears {
					s.quarantiner.Acquit(fingerprint, "crash")
				}
				_, failure := s.serve(request(carawaybeam.RouteSafe))
				is.True(failure == nil)
				is.Equal(s.sends(), []int{1, 0, 0})
				is.Equal(s.suppressed(carawaybeam.RouteSafe), []hedger.Reason{hedger.Suspect})
			})
		})
	}
}

// TestCancelledAttemptAnswersLate guards against an answer of which the client gets a part again, from an
// attempt that has lost.
func TestCancelledAttemptAnswersLate(t *testing.T) {
	for _, kind := range []carawaybeam.RouteKind{carawaybeam.RouteSafe, carawaybeam.RouteStream} {
		t.Run(string(kind), func(t *testing.T) {
			play(t, 3, func(is *is.I, s *raceScene) {
				s.servers["a"].first, s.servers["a"].deaf = usual*8/5, true
				answer, failure := s.serve(request(kind))
				is.True(failure == nil)
				is.Equal(answer.String(), "id: 1\ndata: b\n\n")
				is.Equal(s.second()["outcome"], "won")
			})
		})
	}
}

// TestClientLeaves guards against attempts that go on after their client has left.
func TestClientLeaves(t *testing.T) {
	play(t, 3, func(is *is.I, s *raceScene) {
		s.servers["a"].first, s.servers["b"].first = 9*usual, 9*usual
		var cancel context.CancelFunc
		s.client, cancel = context.WithCancel(s.t.Context())
		time.AfterFunc(3*usual, cancel)
		began := time.Now()
		_, failure := s.serve(request(carawaybeam.RouteSafe))
		is.Equal(failure.Outcome, carawaybeam.OutcomeUnknown)
		is.True(time.Since(began) <= 3*usual+500*time.Millisecond)
		synctest.Wait()
		for _, id := range []carawaybeam.BackendID{"a", "b"} {
			is.True(s.servers[id].cancelled[0].Sub(began) <= 3*usual+soon)
		}
		is.Equal(s.second()["outcome"], "interrupted")
		is.Equal(s.quarantiner.State(), quarantiner.State{})
	})
}

// TestStoppingEntryHedgesNothing guards against extra work that an ending process cuts off.
func TestStoppingEntryHedgesNothing(t *testing.T) {
	play(t, 3, func(is *is.I, s *raceScene) {
		s.servers["a"].first = 5 * usual
		s.finisher.Stop(time.Now().Add(time.Minute))
		_, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		is.Equal(s.sends(), []int{1, 0, 0})
		is.Equal(s.suppressed(carawaybeam.RouteSafe), []hedger.Reason{hedger.Stopping})
	})
}

// TestNoAttemptLeft guards against more attempts than the route allows, or than the retry budget of all
// entries does.
func TestNoAttemptLeft(t *testing.T) {
	play(t, 3, func(is *is.I, s *raceScene) {
		s.servers["a"].first = 5 * usual
		s.routing.Routes[0].MaxAttempts = 1
		_, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		s.reserve = 0
		_, failure = s.serve(request(carawaybeam.RouteStream))
		is.True(failure == nil)
		is.Equal(s.sends(), []int{2, 0, 0})
		is.Equal(s.suppressed(carawaybeam.RouteSafe), []hedger.Reason{hedger.Attempts})
		is.Equal(s.suppressed(carawaybeam.RouteStream), []hedger.Reason{hedger.RetryBudget})
	})
}

// TestClosedServersGetNoSecondAttempt guards against a second attempt to a backend server that is closed
// or in an evacuated data centre.
func TestClosedServersGetNoSecondAttempt(t *testing.T) {
	play(t, 3, func(is *is.I, s *raceScene) {
		s.servers["a"].first = 5 * usual
		s.instances[1].DataCentre = "x"
		s.evacuations = evacuated{"x"}
		s.reports[s.instances[2].Address] = func() (forwarder.Report, bool) {
			return forwarder.Report{At: time.Now(), ClosedFor: time.Second}, true
		}
		_, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		is.Equal(s.sends(), []int{1, 0, 0})
		is.Equal(s.suppressed(carawaybeam.RouteSafe), []hedger.Reason{hedger.NoServer})
	})
}

// TestColdServerGetsNoSecondAttempt guards against a second attempt that uses up what a cold backend server
// sustains, even if this entry has a share of it.
func TestColdServerGetsNoSecondAttempt(t *testing.T) {
	play(t, 2, func(is *is.I, s *raceScene) {
		s.servers["a"].first = 5 * usual
		s.routing.Pools = []carawaybeam.Pool{{ID: "pool", ColdRate: 20, ColdStart: time.Minute}}
		start := time.Now()
		s.warmer = warmer.New(warmer.Options{
			Name:    "e",
			Entries: soleEntry{},
			Pool:    func(carawaybeam.PoolID) *carawaybeam.Pool { return &s.routing.Pools[0] },
			Age:     func() (time.Duration, bool) { return 0, true },
			Clock:   func() time.Duration { return time.Since(start) },
			Log:     zerolog.Nop(),
		})
		for i, left := range []time.Duration{0, time.Minute} {
			s.instances[i].Started = 1
			s.warmer.Announce(s.warmer.Now(), s.instances[i], carawaybeam.ColdReport{Known: true, Left: left})
		}
		time.Sleep(2 * time.Second)
		is.True(s.warmer.Status(s.warmer.Now(), s.instances[1]).Open())
		_, failure := s.serve(request(carawaybeam.RouteSafe))
		is.True(failure == nil)
		is.Equal(s.sends(), []int{1, 0})
		is.Equal(s.suppressed(carawaybeam.RouteSafe), []hedger.Reason{hedger.NoServer})
	})
}

// TestRestrictedServersGetNoSecondAttempt guards against a second attempt to a backend server that is
// leaving, wants no requests, or has a limit of which this entry has no share.
func TestRestrictedServersGetNoSecondAttempt(t *testing.T) {
	limit := carawaybeam.RequestRate(1)
	for name, signals := range map[string]carawaybeam.BackendSignals{
		"leaving": {Leaving: true}, "closed": {RetryAfter: time.Minute}, "limited": {Limit: &limit},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 2, func(is *is.I, s *raceScene) {
				s.servers["a"].first = 5 * usual
				s.shares = make(map[carawaybeam.BackendID]int)
				s.throttle().Observe(s.instances[1].BackendIncarnation, throttler.Exchange{
					Sent: time.Now(), Answered: time.Now(),
				}, signals)
				_, failure := s.serve(request(carawaybeam.RouteSafe))
				is.True(failure == nil)
				is.Equal(s.sends(), []int{1, 0})
				is.Equal(s.suppressed(carawaybeam.RouteSafe), []hedger.Reason{hedger.NoServer})
			})
		})
	}
}

// evacuated lists evacuated data centres.
type evacuated []carawaybeam.DataCentre

func (evacuated) Loaded() bool { return true }

func (evacuated) Active() bool { return true }

func (e evacuated) Evacuated(dataCentre carawaybeam.DataCentre) bool {
	return slices.Contains(e, dataCentre)
}

// TestPromiseUnsafeIsNeverHedged guards against a second run of a request that may run once at most.
func TestPromiseUnsafeIsNeverHedged(t *testing.T) {
	trials, violations := 0, 0
	for seed := range prover.Seeds() {
		for _, kind := range []carawaybeam.RouteKind{carawaybeam.RouteUnsafe, carawaybeam.RouteStream} {
			synctest.Test(t, func(t *testing.T) {
				s := newRaceScene(t, 2+seed%4)
				s.routing.Routes[2].Resumable = false
				s.servers["a"].first = time.Duration(1+seed%9) * usual
				_, _ = s.serve(request(kind))
				sent := 0
				for _, n := range s.sends() {
					sent += n
				}
				if trials++; sent > 1 {
					violations++
				}
			})
		}
	}
	prover.Report(t, prover.SecondAttempts, trials, violations)
}

// TestPromiseOneWriter guards against an answer that has parts of two attempts, which are answered at the
// same moment.
func TestPromiseOneWriter(t *testing.T) {
	trials, violations := 0, 0
	for seed := range prover.Seeds() * 5 {
		random := rand.New(rand.NewPCG(uint64(seed+1), 0))
		kind := []carawaybeam.RouteKind{carawaybeam.RouteSafe, carawaybeam.RouteStream}[random.IntN(2)]
		synctest.Test(t, func(t *testing.T) {
			s := newRaceScene(t, 2)
			delay, _ := s.hedger.Delay(time.Now(), hedger.Kind{Pool: "pool", Route: carawaybeam.RouteID(kind)})
			whole := make(map[string]bool)
			for id, server := range s.servers {
				server.first, server.gap = 2*delay, 0
				server.deaf = random.IntN(2) == 0
				server.parts = nil
				for i := range 1 + random.IntN(4) {
					server.parts = append(server.parts, fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, id))
				}
				whole[strings.Join(server.parts, "")] = true
			}
			s.servers["b"].first -= delay
			if random.IntN(3) == 0 {
				s.servers["b"].first += time.Duration(random.IntN(3)-1) * time.Nanosecond
			}
			answer, failure := s.serve(request(kind))
			trials++
			if failure != nil || !whole[answer.String()] || answer.heads > 1 {
				// An error in the bubble would end the test.
				t.Logf("seed %d: answer is %q, failure %v", seed+1, answer.String(), failure)
				violations++
			}
		})
	}
	prover.Report(t, prover.OneWriter, trials, violations)
}
