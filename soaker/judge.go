package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

// maxListed bounds the violations that a result lists.
const maxListed = 20

// judge holds the evidence against the promises.
func (s *Soaker) judge() Result {
	e := &s.evidence
	e.mu.Lock()
	defer e.mu.Unlock()
	result := Result{Requests: len(e.sendings), Faults: len(e.disturbances)}
	broken := func(format string, args ...any) {
		if len(result.Violations) < maxListed {
			result.Violations = append(result.Violations, fmt.Sprintf(format, args...))
		}
	}
	changes, splits := s.group.MapChanges()
	result.MapChanges = changes
	for _, split := range splits {
		broken("%s", split)
	}
	for _, note := range e.notes {
		broken("%s", note)
	}
	runs := make(map[string][]emulator.Run)
	for _, r := range s.journal.Runs() {
		runs[r.Request] = append(runs[r.Request], r)
		if why := e.wrongRun(r); why != "" {
			broken("request %s ran on %s: %s", r.Request, r.Server, why)
		}
	}
	for id, sent := range e.sendings {
		if sent.err == nil && sent.reply.Status == http.StatusOK {
			result.Served++
		}
		for _, why := range []string{e.wrongAnswer(sent), e.wrongCount(sent, runs[id]), e.wrongEnd(sent, runs[id])} {
			if why != "" {
				broken(
					"request %s (%s at entry-%d, %s): %s",
					id,
					sent.path,
					sent.entry,
					sent.at.Format(timeFormat),
					why,
				)
			}
		}
	}
	return result
}

const timeFormat = "15:04:05.000"

func isRefusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests,
		http.StatusServiceUnavailable,
		http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// wrongAnswer tells what is wrong with the answer itself.
func (e *evidence) wrongAnswer(s sending) string {
	want := emulator.AnswerOf(s.id)
	if strings.HasPrefix(s.path, "/stream") {
		want = emulator.StreamOf(s.id)
	}
	switch status := s.reply.Status; {
	case s.err != nil && !strings.HasPrefix(want, s.reply.Body) && status == http.StatusOK:
		return "begins with another answer"
	case s.err != nil:
		return ""
	case status == http.StatusOK && !s.reply.Sealed:
		return "success of no backend server"
	case status == http.StatusOK && s.reply.Body != want:
		return fmt.Sprintf("answer of %d bytes is not the whole one of %d", len(s.reply.Body), len(want))
	case status == http.StatusUnauthorized && e.mayBeUnknown(s), isRefusal(status):
		return ""
	case status >= http.StatusMultipleChoices && status < http.StatusInternalServerError:
		return fmt.Sprintf("a proper request got %d", status)
	}
	return ""
}

// wrongCount tells whether a request ran too often.
func (e *evidence) wrongCount(s sending, runs []emulator.Run) string {
	isUnsafe := strings.HasPrefix(s.path, "/book")
	switch {
	case isUnsafe && len(runs) > 1:
		return fmt.Sprintf("ran %d times", len(runs))
	case isUnsafe && s.err == nil && isRefusal(s.reply.Status) && len(runs) > 0:
		return fmt.Sprintf("status %d, and it ran", s.reply.Status)
	case len(runs) > emulator.RouteAttempts:
		return fmt.Sprintf("ran %d times", len(runs))
	}
	return ""
}

// wrongEnd tells whether a request ended as it may not on a calm entry.
func (e *evidence) wrongEnd(s sending, runs []emulator.Run) string {
	took := s.ended.Sub(s.at)
	served := s.err == nil && (s.reply.Status == http.StatusOK || s.reply.Status == http.StatusUnauthorized)
	switch {
	case s.left || s.ended.IsZero():
		return ""
	case took > answerBound && e.calm(s.entry, s.at, s.ended, ""):
		return fmt.Sprintf("had no answer for %v", took.Round(time.Millisecond))
	case s.at.After(e.final) && s.err != nil && s.whole:
		return fmt.Sprintf("cut off when all was well: %v", s.err)
	case s.at.After(e.final) && !served:
		return fmt.Sprintf("not served when all was well: status %d", s.reply.Status)
	case s.err != nil && s.whole && len(runs) > 0 &&
		e.calm(s.entry, s.at, s.ended, "stop") && e.serversCalm(s.at, s.ended):
		return fmt.Sprintf("ran and was cut off by a planned stop: %v", s.err)
	}
	return ""
}

// wrongRun tells why a run may not have been.
func (e *evidence) wrongRun(r emulator.Run) string {
	s, ok := e.sendings[r.Request]
	if !ok {
		return "nobody sent it"
	}
	withdrawn, isOld := e.withdrawn(s.key)
	left, leaves := e.leaving[r.Server]
	switch {
	case !r.Exact || r.Path != s.path:
		return "it was changed on the way"
	case r.Organisation != movedKey:
		return fmt.Sprintf("for organisation %q", r.Organisation)
	case isOld && s.at.Sub(withdrawn) > keyBound:
		return fmt.Sprintf("%v after its key was withdrawn", s.at.Sub(withdrawn).Round(time.Millisecond))
	case leaves && r.At.Sub(left) > drainBound && e.calm(s.entry, left, r.At, ""):
		return fmt.Sprintf("%v after the backend server's leaving was accepted", r.At.Sub(left).Round(time.Millisecond))
	}
	return e.wrongPool(s, r)
}

// wrongPool tells why a run may not have been in its pool.
func (e *evidence) wrongPool(s sending, r emulator.Run) string {
	switch {
	case strings.HasPrefix(s.path, "/stream"):
		if r.Pool != "drafting" {
			return "in pool " + r.Pool
		}
		return ""
	case !strings.HasPrefix(s.path, "/move"):
		if r.Pool != "desk" {
			return "in pool " + r.Pool
		}
		return ""
	}
	for i, v := range e.versions {
		if v.pool != r.Pool {
			continue
		}
		last := i+1 == len(e.versions)
		if last || s.at.Sub(e.versions[i+1].at) <= configBound || !e.calm(s.entry, e.versions[i+1].at, s.at, "") {
			return ""
		}
	}
	return "in pool " + r.Pool + ", which was no longer configured"
}
