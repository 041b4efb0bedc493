// Package recorder keeps what the latest decisions of a process saw and chose,
// and writes it as traces on request.
//
// Each kind of decisions has a ring of encoded events that is limited in bytes,
// so that a busy kind does not displace another one. Nothing is put on a disk.
// Prompts and answers are not recorded.
package recorder

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// DefaultLimit bounds the memory of one kind of decisions.
const DefaultLimit carawaybeam.Bytes = 2 << 20

type (
	// Options is what a Recorder is made from.
	Options struct {
		// Process names the process in the traces.
		Process string
		// Limit bounds the encoded events of one kind. It is DefaultLimit when
		// 0.
		Limit carawaybeam.Bytes
	}

	// Recorder keeps the latest decisions. It may be used by several goroutines
	// at once.
	Recorder struct {
		options Options
		start   time.Time
		mu      sync.Mutex
		rings   map[tracer.Kind]*ring
	}

	// ring is a queue of encoded events.
	ring struct {
		lines [][]byte
		bytes carawaybeam.Bytes
		// dropped counts events that made room for later ones or were too
		// large.
		dropped int
	}

	// UnknownKindError reports a kind of which nothing is recorded.
	UnknownKindError struct {
		Kind tracer.Kind
	}
)

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("no decision of kind %q is recorded", e.Kind)
}

// New returns a Recorder that has recorded nothing.
func New(options Options) *Recorder {
	if options.Limit <= 0 {
		options.Limit = DefaultLimit
	}
	return &Recorder{options: options, start: time.Now(), rings: make(map[tracer.Kind]*ring)}
}

// Write writes the recorded events of one kind as a trace. It returns an
// *UnknownKindError when there are none.
func (r *Recorder) Write(w io.Writer, kind tracer.Kind) error {
	lines, dropped := r.snapshot(kind)
	if lines == nil {
		return &UnknownKindError{Kind: kind}
	}
	header := tracer.Header{
		Kind:   kind,
		Name:   fmt.Sprintf("%s of %s", kind, r.options.Process),
		Source: fmt.Sprintf("recorded since %s, %d events dropped", r.start.UTC().Format(time.RFC3339), dropped),
	}
	if err := tracer.WriteHeader(w, header); err != nil {
		return err
	}
	for _, line := range lines {
		if _, err := w.Write(line); err != nil {
			return err
		}
	}
	return nil
}

// record adds the event that make returns for the time since the start. Events
// are made under the lock, so that their times are in order.
func (r *Recorder) record(kind tracer.Kind, newEvent func(at tracer.Duration) any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line, err := json.Marshal(newEvent(tracer.Duration(time.Since(r.start))))
	if r.rings[kind] == nil {
		r.rings[kind] = &ring{}
	}
	if err != nil {
		r.rings[kind].dropped++
		return
	}
	r.rings[kind].add(append(line, '\n'), r.options.Limit)
}

func (r *Recorder) snapshot(kind tracer.Kind) (lines [][]byte, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept, ok := r.rings[kind]
	if !ok {
		return nil, 0
	}
	return append(make([][]byte, 0, len(kept.lines)), kept.lines...), kept.dropped
}

// add appends a line and drops the oldest ones above the limit.
func (q *ring) add(line []byte, limit carawaybeam.Bytes) {
	q.lines = append(q.lines, line)
	q.bytes += carawaybeam.Bytes(len(line))
	for q.bytes > limit {
		q.bytes -= carawaybeam.Bytes(len(q.lines[0]))
		q.lines[0] = nil
		q.lines = q.lines[1:]
		q.dropped++
	}
}
