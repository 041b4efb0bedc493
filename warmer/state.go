package warmer

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

type (
	// State is the state dump of a Warmer.
	State struct {
		Counts

		// Stale is set while all backend servers count as cold, because they may have become
		// cold unnoticed.
		Stale bool `json:"stale"`
		// Cold lists the backend servers that are cold by themselves.
		Cold []ColdState `json:"cold"`
	}

	// ColdState is the state of one cold backend server in the state dump.
	ColdState struct {
		Backend carawaybeam.BackendID `json:"backend"`
		// LeftMs is how long it stays cold, or 0 if only an evacuation has just ended.
		LeftMs int64 `json:"leftMs"`
		// Share is how many requests this entry may send in WindowMs, and Sent how many it has
		// sent in the last one.
		Share    int   `json:"share"`
		Sent     int   `json:"sent"`
		WindowMs int64 `json:"windowMs"`
	}
)

// Review logs what has changed since the last call and forgets backend servers that are not in use
// any more. It is called every second, outside of the locks that inUse takes.
func (w *Warmer) Review(now time.Duration, inUse func(carawaybeam.BackendIncarnation) bool) {
	unused := w.known()
	unused = slices.DeleteFunc(unused, inUse)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkAge(now)
	for _, backend := range unused {
		w.forget(now, backend)
	}
	limited := false
	for backend, s := range w.states {
		pool := w.options.Pool(s.pool)
		if pool == nil || pool.ColdRate <= 0 {
			continue
		}
		limited = true
		w.logFault("pool "+string(s.pool), pool.ColdFault)
		w.logFault("backend server "+string(backend.ID), s.fault)
		w.logBelief(now, backend, s, pool)
	}
	if limited && w.stale != w.loggedStale {
		w.loggedStale = w.stale
		if w.stale {
			w.options.Log.Warn().
				Msg("warmer: announcements are old, all backend servers of pools with a cold rate count as cold")
		} else {
			w.options.Log.Info().Msg("warmer: announcements are new, backend servers are cold if they say so")
		}
	}
}

// forget forgets a backend server, unless it may come back while requests to it count. The caller
// holds mu.
func (w *Warmer) forget(now time.Duration, backend carawaybeam.BackendIncarnation) {
	s := w.states[backend]
	if s == nil {
		return
	}
	if pool := w.options.Pool(s.pool); pool != nil && pool.ColdRate > 0 {
		_, window := countable(pool.ColdRate)
		s.trim(now - window)
		if len(s.sent) > 0 {
			return
		}
	}
	delete(w.states, backend)
}

// known returns the backend servers that are known.
func (w *Warmer) known() []carawaybeam.BackendIncarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := make([]carawaybeam.BackendIncarnation, 0, len(w.states))
	for backend := range w.states {
		known = append(known, backend)
	}
	return known
}

// logFault logs once that a value was not used as it is. The caller holds mu.
func (w *Warmer) logFault(where, fault string) {
	if fault == "" || len(w.logged) >= maxLogged {
		return
	}
	if _, ok := w.logged[where]; ok {
		return
	}
	w.logged[where] = struct{}{}
	w.options.Log.Warn().Str("of", where).Str("fault", fault).
		Msg("warmer: value is missing or invalid, and replaced by a cautious one")
}

// logBelief logs that a backend server has become cold or warm. The caller holds mu.
func (w *Warmer) logBelief(
	now time.Duration,
	backend carawaybeam.BackendIncarnation,
	s *state,
	pool *carawaybeam.Pool,
) {
	left := s.until(pool) - now
	if cold := left > 0; cold == s.believed {
		return
	}
	s.believed = left > 0
	line := w.options.Log.Info().Str("backend", string(backend.ID)).Int64("started", backend.Started)
	if !s.believed {
		line.Msg("warmer: backend server is warm")
		return
	}
	requests, window := countable(pool.ColdRate)
	line.Dur("for", left).Int("share", w.share(backend.ID, s, requests)).Dur("window", window).
		Msg("warmer: backend server is cold")
}

// State returns the state dump.
func (w *Warmer) State() State {
	now := w.options.Clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkAge(now)
	state := State{Counts: w.counts, Stale: w.stale, Cold: []ColdState{}}
	for backend, s := range w.states {
		pool := w.options.Pool(s.pool)
		if pool == nil || pool.ColdRate <= 0 {
			continue
		}
		left := max(0, s.until(pool)-now)
		if left == 0 && !w.wasEvacuated(s.dataCentre) {
			continue
		}
		requests, window := countable(pool.ColdRate)
		s.trim(now - window)
		state.Cold = append(state.Cold, ColdState{
			Backend: backend.ID, LeftMs: left.Milliseconds(), Share: w.share(backend.ID, s, requests),
			Sent: len(s.sent), WindowMs: window.Milliseconds(),
		})
	}
	slices.SortFunc(state.Cold, func(a, b ColdState) int { return cmp.Compare(a.Backend, b.Backend) })
	return state
}
