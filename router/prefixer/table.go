package prefixer

import (
	"container/list"
	"slices"
	"sync"

	"github.com/carawaybeam/carawaybeam"
)

// maxHolders is the maximum number of backend servers remembered for one prefix.
const maxHolders = 16

type (
	// Table tracks which backend servers received which prefixes. It holds a
	// bounded number of prefixes and evicts the least recently used one. It is
	// safe for concurrent use.
	Table struct {
		capacity int

		mu          sync.Mutex
		records     map[Hash]*list.Element
		recent      *list.List
		eventStates map[carawaybeam.BackendID]*eventState
	}

	// Event is a change of the prefix cache that a backend server reports.
	// Events may arrive late, and some may be lost.
	Event struct {
		// Sequence is the number of the event, counted per backend server.
		Sequence uint64
		// Stored and Evicted list the prefixes that entered and left the cache.
		Stored  []Prefix
		Evicted []Hash
		// Cleared is set when the whole cache was cleared, before Stored was
		// added.
		Cleared bool
	}

	// Hit is a backend server that is likely to have a prefix of a prompt
	// cached. Tokens is the expected length of that prefix.
	Hit struct {
		Backend carawaybeam.BackendID
		Tokens  carawaybeam.Tokens
	}

	record struct {
		hash    Hash
		tokens  carawaybeam.Tokens
		holders []holder
	}

	// holder is a backend server that cached a prefix. generation and gaps are
	// those of its eventState at that time.
	holder struct {
		backend    carawaybeam.BackendID
		generation uint64
		gaps       uint64
	}

	// eventState is the progress in the events of one backend server.
	eventState struct {
		sequence uint64
		// generation counts how often the cache was cleared, gaps how often
		// events were missed.
		generation uint64
		gaps       uint64
	}
)

// New returns a Table for up to capacity prefixes.
func New(capacity int) *Table {
	return &Table{
		capacity:    capacity,
		records:     make(map[Hash]*list.Element),
		recent:      list.New(),
		eventStates: make(map[carawaybeam.BackendID]*eventState),
	}
}

// Add records that a prompt with these prefixes was sent to a backend server.
func (t *Table) Add(backend carawaybeam.BackendID, prefixes []Prefix) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addHolder(backend, prefixes)
}

// Lookup returns the backend servers that are likely to have a prefix of a
// prompt cached, each with the longest such prefix. A prefix that was recorded
// before a gap in the events counts half its length.
func (t *Table) Lookup(prefixes []Prefix) []Hit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hits []Hit
	for _, prefix := range slices.Backward(prefixes) {
		element, ok := t.records[prefix.Hash]
		if !ok {
			continue
		}
		h := element.Value.(*record)
		for _, holder := range h.holders {
			hits = t.addHit(hits, holder, h.tokens)
		}
	}
	return hits
}

func (t *Table) addHit(hits []Hit, holder holder, tokens carawaybeam.Tokens) []Hit {
	s := t.eventState(holder.backend)
	if holder.generation != s.generation {
		return hits
	}
	if holder.gaps != s.gaps {
		tokens /= 2
	}
	for i := range hits {
		if hits[i].Backend == holder.backend {
			hits[i].Tokens = max(hits[i].Tokens, tokens)
			return hits
		}
	}
	return append(hits, Hit{Backend: holder.backend, Tokens: tokens})
}

// Apply updates the table by an event. It ignores an event that is not newer
// than the last one applied.
func (t *Table) Apply(backend carawaybeam.BackendID, event Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.eventState(backend)
	if event.Sequence <= s.sequence {
		return
	}
	if event.Sequence > s.sequence+1 && s.sequence > 0 {
		s.gaps++
	}
	s.sequence = event.Sequence
	if event.Cleared {
		s.generation++
	}
	for _, hash := range event.Evicted {
		t.removeHolder(backend, hash)
	}
	t.addHolder(backend, event.Stored)
}

// Forget removes all prefixes of a backend server, for example after its
// restart.
func (t *Table) Forget(backend carawaybeam.BackendID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.eventState(backend)
	s.generation++
	s.sequence = 0
}

// Len returns the number of prefixes in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent.Len()
}

func (t *Table) eventState(backend carawaybeam.BackendID) *eventState {
	s, ok := t.eventStates[backend]
	if !ok {
		s = &eventState{}
		t.eventStates[backend] = s
	}
	return s
}

func (t *Table) addHolder(backend carawaybeam.BackendID, prefixes []Prefix) {
	s := t.eventState(backend)
	added := holder{backend: backend, generation: s.generation, gaps: s.gaps}
	for _, prefix := range prefixes {
		h := t.record(prefix)
		h.holders = slices.DeleteFunc(h.holders, func(o holder) bool { return o.backend == backend })
		if len(h.holders) == maxHolders {
			h.holders = slices.Delete(h.holders, 0, 1)
		}
		h.holders = append(h.holders, added)
	}
}

// record returns the record of a prefix and marks it as the most recently used.
// It adds the record if there is none.
func (t *Table) record(prefix Prefix) *record {
	if element, ok := t.records[prefix.Hash]; ok {
		t.recent.MoveToFront(element)
		return element.Value.(*record)
	}
	if t.recent.Len() >= t.capacity {
		oldest := t.recent.Back()
		t.recent.Remove(oldest)
		delete(t.records, oldest.Value.(*record).hash)
	}
	h := &record{hash: prefix.Hash, tokens: prefix.Tokens}
	t.records[prefix.Hash] = t.recent.PushFront(h)
	return h
}

func (t *Table) removeHolder(backend carawaybeam.BackendID, hash Hash) {
	element, ok := t.records[hash]
	if !ok {
		return
	}
	h := element.Value.(*record)
	h.holders = slices.DeleteFunc(h.holders, func(o holder) bool { return o.backend == backend })
	if len(h.holders) == 0 {
		t.recent.Remove(element)
		delete(t.records, hash)
	}
}
