package soaker

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

// at returns a moment of a made-up run.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// newRun returns a run with one request that was served as it should.
func newRun() (*evidence, *sending, *emulator.Run) {
	e := &evidence{versions: []version{{at: at(0), pool: "desk", key: "key-1"}}, final: at(time.Hour)}
	s := &sending{
		id: "r1", path: "/book/visits", key: "key-1", at: at(10 * time.Second), ended: at(10100 * time.Millisecond),
		whole: true, reply: emulator.Reply{Status: http.StatusOK, Sealed: true, Body: emulator.AnswerOf("r1")},
	}
	r := &emulator.Run{
		Request: "r1", Server: "desk-1", Pool: "desk", Organisation: movedKey, Path: s.path,
		At: at(10050 * time.Millisecond), Exact: true,
	}
	return e, s, r
}

// verdict returns whether any check finds the request wrong.
func verdict(e *evidence, s *sending, runs ...emulator.Run) bool {
	e.add(*s)
	wrong := e.wrongAnswer(*s) != "" || e.wrongCount(*s, runs) != "" || e.wrongEnd(*s, runs) != ""
	for _, r := range runs {
		wrong = wrong || e.wrongRun(r) != ""
	}
	return wrong
}

// TestJudgeFinds spoils a proper run in one way each, and expects the judge to
// find just those that break a promise.
func TestJudgeFinds(t *testing.T) {
	errCut := errors.New("connection reset")
	tests := map[string]struct {
		spoil  func(e *evidence, s *sending, r *emulator.Run)
		broken bool
	}{
		"nothing":    {func(*evidence, *sending, *emulator.Run) {}, false},
		"cut answer": {func(_ *evidence, s *sending, _ *emulator.Run) { s.reply.Body = s.reply.Body[:9] }, true},
		"other answer": {
			func(_ *evidence, s *sending, _ *emulator.Run) { s.reply.Body = emulator.AnswerOf("r2") },
			true,
		},
		"own success":    {func(_ *evidence, s *sending, _ *emulator.Run) { s.reply.Sealed = false }, true},
		"false refusal":  {func(_ *evidence, s *sending, _ *emulator.Run) { s.reply.Status = 503 }, true},
		"denied":         {func(_ *evidence, s *sending, _ *emulator.Run) { s.reply.Status = 404 }, true},
		"unknown result": {func(_ *evidence, s *sending, _ *emulator.Run) { s.reply.Status = 502 }, false},
		"no answer in time": {func(_ *evidence, s *sending, _ *emulator.Run) {
			s.ended = s.at.Add(answerBound + time.Second)
		}, true},
		"no answer in time while paused": {func(e *evidence, s *sending, _ *emulator.Run) {
			s.ended = s.at.Add(answerBound + time.Second)
			e.disturbed(disturbance{kind: "pause", from: s.at})
		}, false},
		"cut off in calm": {func(_ *evidence, s *sending, _ *emulator.Run) { s.err = errCut }, true},
		"cut off by a kill": {func(e *evidence, s *sending, _ *emulator.Run) {
			s.err = errCut
			e.disturbed(disturbance{kind: "kill", from: s.at})
		}, false},
		"cut off by a planned stop": {func(e *evidence, s *sending, _ *emulator.Run) {
			s.err = errCut
			e.disturbed(disturbance{kind: "stop", from: s.at})
		}, true},
		"refused at the end": {func(e *evidence, s *sending, r *emulator.Run) {
			s.path, r.Path, s.reply.Status, e.final = "/look/orders", "/look/orders", 503, at(0)
		}, true},
		"changed request":    {func(_ *evidence, _ *sending, r *emulator.Run) { r.Exact = false }, true},
		"other organisation": {func(_ *evidence, _ *sending, r *emulator.Run) { r.Organisation = "office" }, true},
		"wrong pool":         {func(_ *evidence, _ *sending, r *emulator.Run) { r.Pool = "annex" }, true},
		"denied new key": {func(e *evidence, s *sending, _ *emulator.Run) {
			s.key, s.reply.Status = "key-2", 401
			e.accepted(version{at: at(7 * time.Second), pool: "desk", key: s.key})
		}, true},
		"denied new key in time": {func(e *evidence, s *sending, _ *emulator.Run) {
			s.key, s.reply.Status = "key-2", 401
			e.accepted(version{at: at(9 * time.Second), pool: "desk", key: s.key})
		}, false},
		"denied new key, cut off": {func(e *evidence, s *sending, _ *emulator.Run) {
			s.key, s.reply.Status = "key-2", 401
			e.accepted(version{at: at(7 * time.Second), pool: "desk", key: s.key})
			e.disturbed(disturbance{kind: "storeSilentWatch", from: at(6 * time.Second), scope: onStore})
		}, false},
		"withdrawn key": {func(e *evidence, _ *sending, _ *emulator.Run) {
			e.accepted(version{at: at(4 * time.Second), pool: "desk", key: "key-2"})
		}, true},
		"withdrawn key in time": {func(e *evidence, _ *sending, _ *emulator.Run) {
			e.accepted(version{at: at(6 * time.Second), pool: "desk", key: "key-2"})
		}, false},
		"leaving server": {
			func(e *evidence, _ *sending, _ *emulator.Run) { e.left("desk-1", at(7*time.Second)) },
			true,
		},
		"leaving server, cut off": {func(e *evidence, _ *sending, _ *emulator.Run) {
			e.left("desk-1", at(7*time.Second))
			e.disturbed(disturbance{kind: "storeCut", from: at(6 * time.Second)})
		}, false},
		"old pool": {func(e *evidence, s *sending, r *emulator.Run) {
			s.path, r.Path = "/move/vans", "/move/vans"
			e.accepted(version{at: at(7 * time.Second), pool: "annex", key: "key-1"})
		}, true},
		"old pool in time": {func(e *evidence, s *sending, r *emulator.Run) {
			s.path, r.Path = "/move/vans", "/move/vans"
			e.accepted(version{at: at(9 * time.Second), pool: "annex", key: "key-1"})
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e, s, r := newRun()
			test.spoil(e, s, r)
			if got := verdict(e, s, *r); got != test.broken {
				t.Errorf("broken %t, want %t", got, test.broken)
			}
		})
	}
}

func TestJudgeFindsSecondRun(t *testing.T) {
	e, s, r := newRun()
	if !verdict(e, s, *r, *r) {
		t.Error("a booking that ran twice is not found")
	}
	s.path, r.Path = "/look/orders", "/look/orders"
	if verdict(e, s, *r, *r) {
		t.Error("a lookup may run twice")
	}
	if !verdict(e, s, *r, *r, *r, *r) {
		t.Error("a lookup that ran too often is not found")
	}
}
