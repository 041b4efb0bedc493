package prefixer

import (
	"container/list"
	"slices"
	"sync"

	"github.com/carawaybeam/carawaybeam"
)

// maxHolders bounds the backend servers remembered for one head.
const maxHolders = 16

type (
	// Table remembers which backend servers were given which heads. It holds a
	// bounded number of heads and forgets the least recently used. Its methods
	// may be used by several goroutines at once.
	Table struct {
		capacity int

		mu      sync.Mutex
		heads   map[Hash]*list.Element
		recent  *list.List
		streams map[carawaybeam.BackendID]*stream
	}

	// Event is what a backend server tells of its cache. Events arrive late
	// and with gaps.
	Event struct {
		// Sequence counts the events of the backend server.
		Sequence uint64
		// Stored and Evicted list the heads that entered and left the cache.
		Stored  []Prefix
		Evicted []Hash
		// Cleared is set when the whole cache was emptied, before Stored.
		Cleared bool
	}

	// Hit is a backend server that is likely to hold a part of a prompt.
	Hit struct {
		Backend carawaybeam.BackendID
		Tokens  carawaybeam.Tokens
	}

	head struct {
		hash    Hash
		tokens  carawaybeam.Tokens
		holders []holder
	}

	// holder is one backend server that held a head while its cache had the
	// given generation.
	holder struct {
		backend    carawaybeam.BackendID
		generation uint64
		gaps       uint64
	}

	// stream follows the events of one backend server.
	stream struct {
		sequence uint64
		// generation counts how often the cache was cleared, and gaps how
		// often events were missed.
		generation uint64
		gaps       uint64
	}
)

// New returns a Table that holds the given number of heads.
func New(capacity int) *Table {
	return &Table{
		capacity: capacity,
		heads:    make(map[Hash]*list.Element),
		recent:   list.New(),
		streams:  make(map[carawaybeam.BackendID]*stream),
	}
}

// Add notes that a prompt with these heads was sent to a backend server.
func (t *Table) Add(backend carawaybeam.BackendID, prefixes []Prefix) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.store(backend, prefixes)
}

// Lookup returns the backend servers that are likely to hold a head of a
// prompt, each with the longest such head. A head that was noted before a gap
// in the events counts half.
func (t *Table) Lookup(prefixes []Prefix) []Hit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hits []Hit
	for _, prefix := range slices.Backward(prefixes) {
		element, ok := t.heads[prefix.Hash]
		if !ok {
			continue
		}
		h := element.Value.(*head)
		for _, holder := range h.holders {
			hits = t.addHit(hits, holder, h.tokens)
		}
	}
	return hits
}

func (t *Table) addHit(hits []Hit, holder holder, tokens carawaybeam.Tokens) []Hit {
	s := t.stream(holder.backend)
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

// Apply corrects the table by an event. An event that is older than one applied
// before changes nothing.
func (t *Table) Apply(backend carawaybeam.BackendID, event Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(backend)
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
		t.remove(backend, hash)
	}
	t.store(backend, event.Stored)
}

// Forget drops what is known of a backend server, as after its restart.
func (t *Table) Forget(backend carawaybeam.BackendID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(backend)
	s.generation++
	s.sequence = 0
}

// Len returns the number of heads held.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent.Len()
}

func (t *Table) stream(backend carawaybeam.BackendID) *stream {
	s, ok := t.streams[backend]
	if !ok {
		s = &stream{}
		t.streams[backend] = s
	}
	return s
}

func (t *Table) store(backend carawaybeam.BackendID, prefixes []Prefix) {
	s := t.stream(backend)
	fresh := holder{backend: backend, generation: s.generation, gaps: s.gaps}
	for _, prefix := range prefixes {
		h := t.head(prefix)
		h.holders = slices.DeleteFunc(h.holders, func(o holder) bool { return o.backend == backend })
		if len(h.holders) == maxHolders {
			h.holders = slices.Delete(h.holders, 0, 1)
		}
		h.holders = append(h.holders, fresh)
	}
}

// head returns the row of a head as the most recently used one.
func (t *Table) head(prefix Prefix) *head {
	if element, ok := t.heads[prefix.Hash]; ok {
		t.recent.MoveToFront(element)
		return element.Value.(*head)
	}
	if t.recent.Len() >= t.capacity {
		oldest := t.recent.Back()
		t.recent.Remove(oldest)
		delete(t.heads, oldest.Value.(*head).hash)
	}
	h := &head{hash: prefix.Hash, tokens: prefix.Tokens}
	t.heads[prefix.Hash] = t.recent.PushFront(h)
	return h
}

func (t *Table) remove(backend carawaybeam.BackendID, hash Hash) {
	element, ok := t.heads[hash]
	if !ok {
		return
	}
	h := element.Value.(*head)
	h.holders = slices.DeleteFunc(h.holders, func(o holder) bool { return o.backend == backend })
	if len(h.holders) == 0 {
		t.recent.Remove(element)
		delete(t.heads, hash)
	}
}
