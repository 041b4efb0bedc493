package soaker

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

// maxViolations limits the number of violations that a result lists.
const maxViolations = 20

type (
	// crashRuns holds the runs that crashed their backend server, by the cause.
	crashRuns map[crashCause][]emulator.Run

	// crashCause is what crashes backend servers: requests with a body, or with a part of
	// the prompt.
	crashCause struct{ body, part string }
)

func (c crashRuns) add(r emulator.Run) {
	if !r.Crashes {
		return
	}
	cause := crashCause{part: r.CrashingPart}
	if cause.part == "" {
		cause.body = emulator.BodyOf(r.Request)
	}
	c[cause] = append(c[cause], r)
}

// proven returns the number of crashes after which a cause is known.
func (c crashCause) proven() int {
	if c.part != "" {
		return provenPartCrashes
	}
	return provenCrashes
}

// check checks the history of the run against the promises.
func (s *Soaker) check() Result {
	h := &s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	result := Result{Requests: len(h.requests), Faults: len(h.faults), Evacuations: len(h.evacuations)}
	addViolation := func(format string, args ...any) {
		if len(result.Violations) < maxViolations {
			result.Violations = append(result.Violations, fmt.Sprintf(format, args...))
		}
	}
	changes, splits := s.group.MapChanges()
	result.MapChanges = changes
	for _, split := range splits {
		addViolation("%s", split)
	}
	for _, problem := range h.problems {
		addViolation("%s", problem)
	}
	arrivals := make(map[string][]emulator.Arrival)
	for _, a := range s.journal.Arrivals() {
		arrivals[a.Request] = append(arrivals[a.Request], a)
	}
	h.finished = s.journal.Finished()
	runs, crashes := make(map[string][]emulator.Run), make(crashRuns)
	for _, r := range s.journal.Runs() {
		runs[r.Request] = append(runs[r.Request], r)
		crashes.add(r)
		if found := h.checkRun(r); found != "" {
			addViolation("request %s ran on %s: %s", r.Request, r.Server, found)
		}
	}
	for cause, crashed := range crashes {
		result.Crashes += len(crashed)
		if found := h.checkCrashes(crashed, cause.proven()); found != "" {
			addViolation("requests with %s: %s", cmp.Or(cause.part, cause.body), found)
		}
	}
	s.checkParts(&result, addViolation)
	for id, sent := range h.requests {
		if sent.err == nil && sent.reply.Status == http.StatusOK {
			result.Served++
		}
		for _, found := range []string{
			h.checkAnswer(sent), h.checkCount(sent, runs[id]),
			h.checkEnd(sent, runs[id], arrivals[id]), h.checkClosed(sent, arrivals[id]),
		} {
			if found != "" {
				addViolation(
					"request %s (%s at entry-%d, %s): %s",
					id,
					sent.path,
					sent.entry,
					sent.sentAt.Format(timeFormat),
					found,
				)
			}
		}
	}
	return result
}

// checkParts checks the history against the promises of single parts. The caller holds the mutex of the history.
func (s *Soaker) checkParts(result *Result, addViolation func(format string, args ...any)) {
	result.Limited = s.checkServerLimits(addViolation)
	s.checkSignals(addViolation)
	s.history.checkOthersServed(max(1, len(s.entries)), addViolation)
	result.Cold = s.history.checkDataCentres(s.journal.Arrivals(), addViolation)
}

const (
	timeFormat = "15:04:05.000"

	// quarantined begins the body of an answer that an entry gives to a quarantined
	// request.
	quarantined = string(carawaybeam.ReasonQuarantined)
)

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

// checkAnswer returns a violation by the content or the status of an answer, or "".
func (h *history) checkAnswer(s sentRequest) string {
	want := emulator.AnswerOf(s.id)
	if strings.HasPrefix(s.path, "/stream") {
		want = emulator.StreamOf(s.id)
	}
	switch status := s.reply.Status; {
	case s.err != nil && !strings.HasPrefix(want, s.reply.Body) && status == http.StatusOK:
		return "interrupted answer does not begin as expected"
	case s.err != nil:
		return ""
	case status == http.StatusOK && !s.reply.Sealed:
		return "success that no backend server has sealed"
	case status == http.StatusOK && s.reply.Body != want:
		return fmt.Sprintf("answer of %d bytes differs from the expected one of %d bytes", len(s.reply.Body), len(want))
	case !s.crashes() && (status == http.StatusTooManyRequests || strings.HasPrefix(s.reply.Body, quarantined)):
		return "refused as if it crashed backend servers"
	case status == http.StatusUnauthorized && h.keyMayBeUnknown(s), isRefusal(status):
		return ""
	case status >= http.StatusMultipleChoices && status < http.StatusInternalServerError:
		return fmt.Sprintf("valid request got status %d", status)
	}
	return ""
}

// checkCount returns a violation if a request ran too often, or ran although it was
// refused, or "".
func (h *history) checkCount(s sentRequest, runs []emulator.Run) string {
	isUnsafe := s.unsafe()
	switch {
	case isUnsafe && len(runs) > 1:
		return fmt.Sprintf("ran %d times", len(runs))
	case isUnsafe && s.err == nil && isRefusal(s.reply.Status) && len(runs) > 0:
		return fmt.Sprintf("answered with status %d although it ran", s.reply.Status)
	case len(runs) > emulator.RouteAttempts:
		return fmt.Sprintf("ran %d times", len(runs))
	}
	return ""
}

// checkCrashes returns a violation if the cause of crashes was run by too many backend servers
// after it had crashed as many as prove it, or "". The runs are in order.
func (h *history) checkCrashes(runs []emulator.Run, provenCrashes int) string {
	crashes, late := 0, 0
	var proven time.Time
	for _, r := range runs {
		entry := h.requests[r.Request].entry
		if crashes >= provenCrashes && r.At.Sub(proven) > stableWindow && h.undisturbed(entry, r.At, r.At, "") {
			late++
		}
		if left, leaves := h.leavingSince[r.Server]; leaves && left.Before(r.At) {
			continue
		}
		if crashes++; crashes == provenCrashes {
			proven = r.At
		}
	}
	if late <= maxLateRuns {
		return ""
	}
	return fmt.Sprintf("ran %d times later than %v after they had crashed %d backend servers, and crashed %d in all",
		late, stableWindow, provenCrashes, crashes)
}

// checkEnd returns a violation if a request ended late, was cut off or was refused
// although no fault explains it, or "".
func (h *history) checkEnd(s sentRequest, runs []emulator.Run, arrivals []emulator.Arrival) string {
	took := s.endedAt.Sub(s.sentAt)
	served := s.err == nil && (s.reply.Status == http.StatusOK || s.reply.Status == http.StatusUnauthorized)
	switch {
	case s.abandoned || s.slow || s.endedAt.IsZero():
		return ""
	case took > h.longestTimeout(s)+answerMargin && h.undisturbed(s.entry, s.sentAt, s.endedAt, ""):
		return fmt.Sprintf("got no answer for %v", took.Round(time.Millisecond))
	case len(arrivals) == 0 && s.closed() && h.mayBeIdleTooLong(s):
		return ""
	case s.err != nil && h.mayHaveTimedOut(s):
		return ""
	case s.sentAt.After(h.finalPhase) && s.err != nil && s.whole:
		return fmt.Sprintf("cut off in the final phase without faults: %v", s.err)
	case s.sentAt.After(h.finalPhase) && !served:
		return fmt.Sprintf("not served in the final phase without faults: status %d", s.reply.Status)
	case s.err != nil && s.whole && len(runs) > 0 &&
		h.undisturbed(s.entry, s.sentAt, s.endedAt, "stop") && h.serversUndisturbed(s.sentAt, s.endedAt):
		return fmt.Sprintf("ran and was cut off by a planned stop: %v", s.err)
	}
	return ""
}

// closed reports whether the connection was closed before an answer began.
func (s *sentRequest) closed() bool {
	return s.err != nil && s.reply.Status == 0 && !errors.Is(s.err, os.ErrDeadlineExceeded)
}

// checkClosed returns a violation if the connection of a whole request was closed without an
// answer, or "". It is allowed if the close crosses a request that no backend server got.
func (h *history) checkClosed(s sentRequest, arrivals []emulator.Arrival) string {
	if s.abandoned || s.slow || !s.whole || !s.closed() || h.excusesClose(s, arrivals) {
		return ""
	}
	took := s.endedAt.Sub(s.sentAt).Round(time.Millisecond)
	switch {
	case len(arrivals) > 0:
		return fmt.Sprintf("passed on and closed without an answer after %v: %v", took, s.err)
	case s.reply.Held && h.undisturbed(s.entry, s.sentAt, s.endedAt, "stop"):
		return fmt.Sprintf("read and closed without an answer after %v: %v", took, s.err)
	case !h.mayBeIdleTooLong(s) && h.undisturbed(s.entry, h.idleSince(s), s.endedAt, ""):
		return fmt.Sprintf("closed after %v without a request, within the idle limit of %v: %v",
			s.endedAt.Sub(h.idleSince(s)).Round(time.Millisecond), h.lowestIdleLimit(s), s.err)
	}
	return ""
}

// brokenOff holds the kinds of faults on backend servers that end an answer early.
var brokenOff = map[string]bool{
	"crash": true, "crashedByRequest": true, "leave": true, "vanish": true, "truncate": true, "babble": true,
	"linkCut": true, "linkReset": true, "linkMute": true, "linkDeaf": true,
}

// excusesClose reports whether a fault explains that the connection of a request was closed:
// the process was killed, or had exceeded the time to stop, or a backend server that got the
// request was disturbed.
func (h *history) excusesClose(s sentRequest, arrivals []emulator.Arrival) bool {
	return slices.ContainsFunc(h.faults, func(f injectedFault) bool {
		switch {
		case !f.overlaps(s.sentAt, s.endedAt):
			return false
		case f.scope == onEntry && f.target == s.entry:
			return f.kind == "kill" || f.kind == "stop" && s.endedAt.Sub(f.beganAt) >= stopBound
		case f.scope == onServer && brokenOff[f.kind]:
			return slices.ContainsFunc(arrivals, func(a emulator.Arrival) bool { return h.hosts[a.Server] == f.target })
		}
		return false
	})
}

// checkRun returns a violation if a backend server ran a request that it must not have
// run, or "".
func (h *history) checkRun(r emulator.Run) string {
	s, ok := h.requests[r.Request]
	if !ok {
		return "no caller sent it"
	}
	withdrawn, isOld := h.withdrawnAt(s.key)
	left, leaves := h.leavingSince[r.Server]
	switch {
	case !r.Exact || r.Path != s.path:
		return "it was changed in transit"
	case r.Organisation != changedOrganisation:
		return fmt.Sprintf("ran for the wrong organisation %q", r.Organisation)
	case isOld && s.sentAt.Sub(withdrawn) > keyBound:
		return fmt.Sprintf("ran %v after its key was withdrawn", s.sentAt.Sub(withdrawn).Round(time.Millisecond))
	case leaves && r.At.Sub(left) > drainBound && h.undisturbed(s.entry, left, r.At, ""):
		return fmt.Sprintf(
			"ran %v after it was accepted that the backend server leaves",
			r.At.Sub(left).Round(time.Millisecond),
		)
	}
	return h.checkPool(s, r)
}

// checkPool returns a violation if a request ran in a pool that its route does not use,
// or "".
func (h *history) checkPool(s sentRequest, r emulator.Run) string {
	switch {
	case strings.HasPrefix(s.path, "/stream"):
		if r.Pool != "drafting" {
			return "ran in the wrong pool " + r.Pool
		}
		return ""
	case !strings.HasPrefix(s.path, "/move"):
		if r.Pool != "desk" {
			return "ran in the wrong pool " + r.Pool
		}
		return ""
	}
	for i, v := range h.configs {
		if v.pool != r.Pool {
			continue
		}
		last := i+1 == len(h.configs)
		if last || s.sentAt.Sub(h.configs[i+1].at) <= configBound ||
			!h.undisturbed(s.entry, h.configs[i+1].at, s.sentAt, "") {
			return ""
		}
	}
	return "ran in pool " + r.Pool + ", which was no longer configured"
}
