package soaker

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

type (
	// sentRequest is one request of a caller with its result.
	sentRequest struct {
		id, path, key   string
		entry           int
		sentAt, endedAt time.Time
		// previous is the previous request on the connection, if there is one, and
		// connectedAt the beginning of the connection.
		previous    string
		connectedAt time.Time
		// abandoned is set if the caller closes the connection without waiting for the
		// answer.
		abandoned bool
		// slow is set if the caller reads slowly, or not at all.
		slow bool
		// whole is set if the whole request was sent.
		whole bool
		reply emulator.Reply
		err   error
	}

	// injectedFault is a fault with the time span in which it was in effect. endedAt is
	// zero until the fault has ended.
	injectedFault struct {
		kind             string
		beganAt, endedAt time.Time
		scope            scope
		target           int
	}

	// acceptedConfig is an accepted configuration: when it was sent and accepted, the pool
	// of changedRoute, the key of changedOrganisation, and limits.
	acceptedConfig struct {
		sentAt, at              time.Time
		pool, key               string
		routeTimeout, idleLimit time.Duration
	}

	// history records requests, injected faults, accepted configurations and leaving
	// backend servers of a run. Methods that add to it, and pickKey, are safe for
	// concurrent use. The others expect mu to be held.
	history struct {
		mu       sync.Mutex
		requests map[string]sentRequest
		faults   []injectedFault
		configs  []acceptedConfig
		// leavingSince holds, by backend server, when the platform accepted that it
		// leaves or was withdrawn.
		leavingSince map[string]time.Time
		evacuations  []evacuation
		cold         []coldSpan
		// finished holds, by request, when a backend server had its answer ready.
		finished map[string]time.Time
		// hosts holds the index of the host of each backend server.
		hosts      map[string]int
		problems   []string
		finalPhase time.Time
	}
)

// addRequest stores a request and replaces an earlier record of it.
func (h *history) addRequest(s sentRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requests == nil {
		h.requests = make(map[string]sentRequest)
	}
	h.requests[s.id] = s
}

func (h *history) faultBegan(f injectedFault) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, f)
	return len(h.faults) - 1
}

func (h *history) faultEnded(index int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults[index].endedAt = at
}

func (h *history) configAccepted(v acceptedConfig) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs = append(h.configs, v)
}

func (h *history) leavingAccepted(server string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leavingSince == nil {
		h.leavingSince = make(map[string]time.Time)
	}
	h.leavingSince[server] = at
}

// serverStarted records the host of a backend server, and reports whether it was started before.
func (h *history) serverStarted(server string, host int) (restarted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, restarted = h.hosts[server]
	if h.hosts == nil {
		h.hosts = make(map[string]int)
	}
	h.hosts[server] = host
	return restarted
}

// idleLimit returns the idle limit of the configuration that was accepted last.
func (h *history) idleLimit() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.configs[len(h.configs)-1].idleLimit
}

func (h *history) addProblem(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problems = append(h.problems, text)
}

func (h *history) setFinalPhase(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finalPhase = at
}

func (h *history) finalPhaseStart() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.finalPhase
}

// pickKey returns the current key or, if withdrawn is set and there is one, the key
// that was withdrawn last.
func (h *history) pickKey(withdrawn bool) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	present := h.configs[len(h.configs)-1].key
	if !withdrawn {
		return present
	}
	for i := len(h.configs) - 1; i >= 0; i-- {
		if h.configs[i].key != present {
			return h.configs[i].key
		}
	}
	return present
}

// inForce returns the configurations that an undisturbed entry may use at some time of a
// span.
func (h *history) inForce(from, to time.Time) []acceptedConfig {
	var found []acceptedConfig
	for i, v := range h.configs {
		replaced := i+1 < len(h.configs) && h.configs[i+1].at.Add(configBound).Before(from)
		if !replaced && !v.sentAt.After(to) {
			found = append(found, v)
		}
	}
	return found
}

// longestTimeout returns the longest timeout of routes that applies to a request.
func (h *history) longestTimeout(s sentRequest) time.Duration {
	var longest time.Duration
	for _, v := range h.inForce(s.sentAt, s.sentAt.Add(emulator.HeldTime)) {
		longest = max(longest, v.routeTimeout)
	}
	return longest
}

// mayHaveTimedOut reports whether a request lasted so long that its stream may have been ended at its
// timeout: the answer had begun, so that no status could tell the client.
func (h *history) mayHaveTimedOut(s sentRequest) bool {
	took := s.endedAt.Sub(s.sentAt)
	return s.reply.Status == http.StatusOK && slices.ContainsFunc(
		h.inForce(s.sentAt, s.sentAt.Add(emulator.HeldTime)),
		func(c acceptedConfig) bool { return took >= c.routeTimeout },
	)
}

// idleSince returns the earliest time from which the connection of a request may have been
// idle before the request.
func (h *history) idleSince(s sentRequest) time.Time {
	previous, ok := h.requests[s.previous]
	if !ok {
		return s.connectedAt
	}
	if at, ok := h.finished[s.previous]; ok {
		return at
	}
	return previous.sentAt
}

// lowestIdleLimit returns the lowest idle limit that may be in force while the connection of
// a request is idle before the request.
func (h *history) lowestIdleLimit(s sentRequest) time.Duration {
	lowest := firstIdleLimit
	for _, v := range h.inForce(h.idleSince(s), s.endedAt) {
		lowest = min(lowest, v.idleLimit)
	}
	return lowest
}

// mayBeIdleTooLong reports whether the connection of a request may have been idle for longer
// than its limit when the caller noticed that it was closed.
func (h *history) mayBeIdleTooLong(s sentRequest) bool {
	return s.endedAt.Sub(h.idleSince(s)) > h.lowestIdleLimit(s)
}

// withdrawnAt returns when a key was withdrawn, and whether it was.
func (h *history) withdrawnAt(key string) (time.Time, bool) {
	for i := 1; i < len(h.configs); i++ {
		if h.configs[i-1].key == key && h.configs[i].key != key {
			return h.configs[i].at, true
		}
	}
	return time.Time{}, false
}

// keyMayBeUnknown reports whether an entry may reject the key of a request as unknown:
// the key was withdrawn, or it was added too recently or during a fault.
func (h *history) keyMayBeUnknown(s sentRequest) bool {
	if _, withdrawn := h.withdrawnAt(s.key); withdrawn {
		return true
	}
	for _, v := range h.configs {
		if v.key == s.key {
			return s.sentAt.Sub(v.at) <= configBound || !h.undisturbed(s.entry, v.at, s.sentAt, "")
		}
	}
	return false
}

// overlaps reports whether the fault was in effect at some time of a span.
func (f injectedFault) overlaps(from, to time.Time) bool {
	return f.beganAt.Before(to) && (f.endedAt.IsZero() || f.endedAt.After(from))
}

// undisturbed reports whether no fault affected an entry or the store in a span or in
// the stableWindow before it. Faults of the kind except are ignored.
func (h *history) undisturbed(entry int, from, to time.Time, except string) bool {
	from = from.Add(-stableWindow)
	for _, f := range h.faults {
		affected := f.scope == onStore || f.scope == onEntry && f.target == entry
		if affected && f.kind != except && f.overlaps(from, to) {
			return false
		}
	}
	return true
}

// serversUndisturbed reports whether no fault affected any backend server or agent in a
// span or in the stableWindow before it.
func (h *history) serversUndisturbed(from, to time.Time) bool {
	from = from.Add(-stableWindow)
	for _, f := range h.faults {
		if (f.scope == onServer || f.scope == onAgent) && f.overlaps(from, to) {
			return false
		}
	}
	return true
}
