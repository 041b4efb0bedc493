package soaker

import (
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam/platform/emulator"
)

type (
	// sending is one request of a caller and what became of it.
	sending struct {
		id, path, key string
		entry         int
		at, ended     time.Time
		// left is set when the caller leaves early.
		left bool
		// whole is set when the whole request was sent.
		whole bool
		reply emulator.Reply
		err   error
	}

	// disturbance is a fault while it lasted.
	disturbance struct {
		kind     string
		from, to time.Time
		scope    scope
		target   int
	}

	// version is an accepted configuration: the pool of the moved route and the
	// key of the organisation whose key changes.
	version struct {
		at        time.Time
		pool, key string
	}

	// evidence is all that callers, backend servers and the operator have seen.
	// Its methods may be used by several goroutines at once.
	evidence struct {
		mu           sync.Mutex
		sendings     map[string]sending
		disturbances []disturbance
		versions     []version
		// leaving holds when the leaving of a backend server was accepted.
		leaving map[string]time.Time
		notes   []string
		final   time.Time
	}
)

// add keeps a request, in place of what was known of it.
func (e *evidence) add(s sending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sendings == nil {
		e.sendings = make(map[string]sending)
	}
	e.sendings[s.id] = s
}

func (e *evidence) disturbed(d disturbance) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disturbances = append(e.disturbances, d)
	return len(e.disturbances) - 1
}

func (e *evidence) calmed(index int, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disturbances[index].to = at
}

func (e *evidence) accepted(v version) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions = append(e.versions, v)
}

func (e *evidence) left(server string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving == nil {
		e.leaving = make(map[string]time.Time)
	}
	e.leaving[server] = at
}

func (e *evidence) note(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notes = append(e.notes, text)
}

func (e *evidence) setFinal(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.final = at
}

// key returns the present key, or one that was withdrawn if there is any.
func (e *evidence) key(old bool) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	present := e.versions[len(e.versions)-1].key
	if !old {
		return present
	}
	for i := len(e.versions) - 1; i >= 0; i-- {
		if e.versions[i].key != present {
			return e.versions[i].key
		}
	}
	return present
}

// withdrawn returns when a key was taken away, if it was.
func (e *evidence) withdrawn(key string) (time.Time, bool) {
	for i := 1; i < len(e.versions); i++ {
		if e.versions[i-1].key == key && e.versions[i].key != key {
			return e.versions[i].at, true
		}
	}
	return time.Time{}, false
}

// mayBeUnknown tells whether an entry may not know the key of a request: it was
// withdrawn, or added too recently.
func (e *evidence) mayBeUnknown(s sending) bool {
	if _, withdrawn := e.withdrawn(s.key); withdrawn {
		return true
	}
	for _, v := range e.versions {
		if v.key == s.key {
			return s.at.Sub(v.at) <= configBound || !e.calm(s.entry, v.at, s.at, "")
		}
	}
	return false
}

// within tells whether the fault lasted at some moment of a span.
func (d disturbance) within(from, to time.Time) bool {
	return d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
}

// calm tells whether nothing disturbed an entry or the store in a span and
// stableWindow before it, but for faults of the excepted kind.
func (e *evidence) calm(entry int, from, to time.Time, except string) bool {
	from = from.Add(-stableWindow)
	for _, d := range e.disturbances {
		concerned := d.scope == onStore || d.scope == onEntry && d.target == entry
		if concerned && d.kind != except && d.within(from, to) {
			return false
		}
	}
	return true
}

// serversCalm tells the same of all backend servers.
func (e *evidence) serversCalm(from, to time.Time) bool {
	from = from.Add(-stableWindow)
	for _, d := range e.disturbances {
		if (d.scope == onServer || d.scope == onAgent) && d.within(from, to) {
			return false
		}
	}
	return true
}
