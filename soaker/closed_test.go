package soaker

import (
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

// TestChecksFindClosedConnections checks which requests on kept connections violate a promise
// when their connection is closed without an answer.
func TestChecksFindClosedConnections(t *testing.T) {
	const (
		passedOn     = "passed on and closed"
		read         = "read and closed"
		beforeLimit  = "closed after"
		hostOfServer = 4
	)
	entryFault := func(kind string, ago, duration time.Duration) func(*history, *sentRequest) {
		return func(h *history, s *sentRequest) {
			beganAt := s.sentAt.Add(-ago)
			h.faultBegan(injectedFault{kind: kind, scope: onEntry, beganAt: beganAt, endedAt: beganAt.Add(duration)})
		}
	}
	serverFault := func(kind string, host int) func(*history, *sentRequest) {
		return func(h *history, s *sentRequest) {
			h.faultBegan(injectedFault{kind: kind, scope: onServer, target: host, beganAt: s.sentAt})
		}
	}
	idleFor := func(idle time.Duration) func(*history, *sentRequest) {
		return func(_ *history, s *sentRequest) { s.connectedAt = s.sentAt.Add(-idle) }
	}
	lowered := func(ago time.Duration) func(*history, *sentRequest) {
		return func(h *history, s *sentRequest) {
			v := firstConfig
			v.sentAt, v.at, v.idleLimit = s.sentAt.Add(-ago), s.sentAt.Add(-ago), time.Second
			h.configAccepted(v)
			s.connectedAt = s.sentAt.Add(-3 * time.Second)
		}
	}
	afterRequest := func(h *history, s *sentRequest, ago time.Duration) {
		s.previous, s.connectedAt = "r0", s.sentAt.Add(-time.Minute)
		h.addRequest(sentRequest{id: s.previous, sentAt: s.sentAt.Add(-ago)})
	}
	none := func(*history, *sentRequest) {}
	tests := map[string]struct {
		change  func(h *history, s *sentRequest)
		arrived bool
		want    string
	}{
		"passed on":                    {none, true, passedOn},
		"passed on, idle for too long": {idleFor(time.Minute), true, passedOn},
		"passed on during a stop":      {entryFault("stop", time.Second, 4*time.Second), true, passedOn},
		"passed on after the time to stop": {
			entryFault("stop", stopBound-time.Millisecond, time.Minute), true, "",
		},
		"passed on, paused":            {entryFault("pause", time.Second, time.Minute), true, passedOn},
		"passed on, reloaded":          {entryFault("reload", 0, 0), true, passedOn},
		"passed on, killed":            {entryFault("kill", 0, time.Second), true, ""},
		"passed on, killed before":     {entryFault("kill", 2*time.Second, time.Second), true, passedOn},
		"passed on, server crashed":    {serverFault("crash", hostOfServer), true, ""},
		"passed on, other one crashed": {serverFault("crash", hostOfServer+1), true, passedOn},
		"passed on, slow link":         {serverFault("linkSlow", hostOfServer), true, passedOn},
		"abandoned":                    {func(_ *history, s *sentRequest) { s.abandoned = true }, true, ""},
		"incomplete":                   {func(_ *history, s *sentRequest) { s.whole = false }, true, ""},
		"no answer, not closed":        {func(_ *history, s *sentRequest) { s.err = os.ErrDeadlineExceeded }, true, ""},
		"answered in part": {func(_ *history, s *sentRequest) {
			s.reply.Status = http.StatusOK
		}, true, ""},
		"crosses the close": {idleFor(time.Minute), false, ""},
		"read, closed later": {func(_ *history, s *sentRequest) {
			s.connectedAt, s.reply.Held = s.sentAt.Add(-time.Minute), true
		}, false, read},
		"read, closed later by a stop": {func(h *history, s *sentRequest) {
			s.reply.Held = true
			entryFault("stop", time.Second, 4*time.Second)(h, s)
		}, false, read},
		"new connection":           {idleFor(0), false, beforeLimit},
		"new connection, stopping": {entryFault("stop", time.Second, 4*time.Second), false, ""},
		"usable connection":        {idleFor(4 * time.Second), false, beforeLimit},
		"limit lowered just now":   {lowered(100 * time.Millisecond), false, ""},
		"limit lowered long ago":   {lowered(time.Minute), false, ""},
		"limit lowered after":      {lowered(-time.Second), false, beforeLimit},
		"after an answer": {func(h *history, s *sentRequest) {
			afterRequest(h, s, 10*time.Second)
			h.finished = map[string]time.Time{s.previous: s.sentAt.Add(-4 * time.Second)}
		}, false, beforeLimit},
		"long after an answer": {func(h *history, s *sentRequest) {
			afterRequest(h, s, 10*time.Second)
			h.finished = map[string]time.Time{s.previous: s.sentAt.Add(-6 * time.Second)}
		}, false, ""},
		"after a refusal": {
			func(h *history, s *sentRequest) { afterRequest(h, s, 4*time.Second) },
			false,
			beforeLimit,
		},
		"long after a refusal": {func(h *history, s *sentRequest) { afterRequest(h, s, 6*time.Second) }, false, ""},
		"store down, usable": {func(h *history, s *sentRequest) {
			h.faultBegan(injectedFault{kind: "storeDown", scope: onStore, beganAt: s.sentAt})
		}, false, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, s, r := newHistory()
			s.err, s.reply, s.endedAt = io.ErrUnexpectedEOF, emulator.Reply{}, s.sentAt.Add(3*time.Millisecond)
			s.connectedAt = s.sentAt
			h.serverStarted(r.Server, hostOfServer)
			test.change(h, s)
			var arrivals []emulator.Arrival
			if test.arrived {
				arrivals = []emulator.Arrival{{Request: s.id, Server: r.Server, At: s.sentAt.Add(time.Millisecond)}}
			}
			got := h.checkClosed(*s, arrivals)
			if !strings.HasPrefix(got, test.want) || (got != "") != (test.want != "") {
				t.Errorf("found %q, want %q", got, test.want)
			}
		})
	}
}

// TestChecksAllowClosesInFinalPhase checks that a request in the final phase may go without an
// answer only if it crosses the close of a connection that was idle for too long.
func TestChecksAllowClosesInFinalPhase(t *testing.T) {
	tests := map[string]struct {
		idle     time.Duration
		arrived  bool
		violates bool
	}{
		"crosses the close": {firstIdleLimit, false, false},
		"passed on":         {firstIdleLimit, true, true},
		"usable connection": {firstIdleLimit / 2, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, s, r := newHistory()
			h.finalPhase = at(0)
			s.err, s.reply, s.connectedAt = io.ErrUnexpectedEOF, emulator.Reply{}, s.sentAt.Add(-test.idle)
			var arrivals []emulator.Arrival
			if test.arrived {
				arrivals = []emulator.Arrival{{Request: s.id, Server: r.Server, At: r.At}}
			}
			if got := h.checkEnd(*s, nil, arrivals) != ""; got != test.violates {
				t.Errorf("found a violation %t, want %t", got, test.violates)
			}
		})
	}
}
