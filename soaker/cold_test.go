package soaker

import (
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
	"github.com/carawaybeam/carawaybeam/prover"
)

// TestChecksFindOverloadedColdServers checks which numbers of requests to a backend server that is cold from
// second 10 to 14 violate the promise.
func TestChecksFindOverloadedColdServers(t *testing.T) {
	const allowed = 9
	tests := map[string]struct {
		server   string
		from     time.Duration
		interval time.Duration
		count    int
		misled   bool
		violates bool
	}{
		"allowed":           {"desk-1", 11 * time.Second, 10 * time.Millisecond, allowed, false, false},
		"one more":          {"desk-1", 11 * time.Second, 10 * time.Millisecond, allowed + 1, false, true},
		"turned away":       {"desk-1", 11 * time.Second, 10 * time.Millisecond, 20, true, false},
		"other one":         {"desk-2", 11 * time.Second, 10 * time.Millisecond, 20, false, false},
		"before":            {"desk-1", 9 * time.Second, 10 * time.Millisecond, 20, false, false},
		"after":             {"desk-1", 14 * time.Second, 10 * time.Millisecond, 20, false, false},
		"over many seconds": {"desk-1", 10 * time.Second, 120 * time.Millisecond, 30, false, false},
		"across a second":   {"desk-1", 11500 * time.Millisecond, 90 * time.Millisecond, 15, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &history{}
			h.coldFor(coldSpan{server: "desk-1", from: at(10 * time.Second), to: at(14 * time.Second)})
			arrivals := make([]emulator.Arrival, test.count)
			for i := range arrivals {
				arrived := at(test.from + time.Duration(i)*test.interval)
				arrivals[i] = emulator.Arrival{Server: test.server, At: arrived, Misdirected: test.misled}
			}
			violations := 0
			h.checkCold(arrivals, func(string, ...any) { violations++ })
			if (violations > 0) != test.violates {
				t.Errorf("found %d violations, want any %t", violations, test.violates)
			}
		})
	}
}

// TestPromiseColdServersProcesses guards against too many requests to backend servers that return from an evacuation,
// are started or become cold unnoticed, while the store is away and entries are restarted and suspended.
func TestPromiseColdServersProcesses(t *testing.T) {
	t.Parallel()
	options := Options{Entries: 3, Callers: 48, FaultWindow: 24 * time.Second}
	runSchedule(t, prover.ColdServer, 1, options, []fault{
		{kind: "coldRestart", target: 0},
		{kind: "kill", target: 1, at: 1500 * time.Millisecond},
		{kind: "evacuate", target: 1, at: 3 * time.Second},
		{kind: "pause", target: 0, at: 8500 * time.Millisecond, duration: time.Second},
		{kind: "storeDown", target: noTarget, at: 13 * time.Second, duration: 9 * time.Second},
		{kind: "chill", target: 0, at: 13500 * time.Millisecond},
		{kind: "chill", target: 1, at: 13500 * time.Millisecond},
		{kind: "coldRestart", target: 1, at: 24 * time.Second},
		{kind: "storeSilent", target: 2, at: 24 * time.Second, duration: 3 * time.Second},
	})
}

// TestRestartedServerStaysCold guards against a check that expects a backend server to be cold for longer than it
// announces after it was restarted under its name.
func TestRestartedServerStaysCold(t *testing.T) {
	tests := map[string]struct {
		server    string
		restarted bool
		at, want  time.Duration
	}{
		"new":                  {"desk-2", false, 12 * time.Second, coldTime},
		"restarted while cold": {"desk-1", true, 12 * time.Second, 8 * time.Second},
		"restarted, soon warm": {"desk-1", true, 18 * time.Second, coldTime},
		"restarted while warm": {"desk-1", true, 30 * time.Second, coldTime},
		"other one restarted":  {"desk-2", true, 12 * time.Second, coldTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &history{}
			h.coldFor(coldSpan{server: "desk-1", from: at(16 * time.Second), to: at(20 * time.Second)})
			got := h.startedCold(test.server, at(test.at), test.restarted)
			if got != test.want {
				t.Errorf("backend server is cold for %v, want %v", got, test.want)
			}
			for _, span := range h.cold[1:] {
				if span.to.Sub(at(test.at)) > got {
					t.Errorf("check expects that it is cold until %v, but it is so for %v", span.to, got)
				}
			}
		})
	}
}

// TestReplacedServersAnnounceCold guards against backend servers that become cold while they are being replaced, or
// their first announcement waits for the store, and never announce it.
func TestReplacedServersAnnounceCold(t *testing.T) {
	s := &Soaker{platform: emulator.New()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	options := emulator.ServerOptions{Platform: s.platform, ID: "desk-1", Pool: "desk"}
	h := &host{id: "desk-1", server: emulator.NewServer(options, listener)}
	t.Cleanup(func() { _ = h.server.Close() })
	s.hosts = []*host{h}
	before := s.platform.Store.Snapshot()
	h.changing.Lock()
	chill(t.Context(), s, fault{})
	if !reflect.DeepEqual(s.platform.Store.Snapshot(), before) {
		t.Error("backend server announced while it was being replaced")
	}
	h.changing.Unlock()
	s.wait.Wait()
	if reflect.DeepEqual(s.platform.Store.Snapshot(), before) {
		t.Error("backend server did not announce that it is cold")
	}
}
