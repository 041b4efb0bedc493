// Package recorder records the latest decisions of a process with their input, and
// writes them as traces on request.
//
// Each kind of decision has its own queue of encoded events with a limit in bytes, so
// that frequent decisions of one kind do not displace those of another. The queues are
// held in memory only. Prompts and answers are not recorded.
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

// DefaultLimit is the default memory limit for the events of one kind, in bytes.
const DefaultLimit carawaybeam.Bytes = 2 << 20

type (
	// Options configures a Recorder.
	Options struct {
		// Process names the process in the traces.
		Process string
		// Limit is the maximum total size of the encoded events of one kind. It
		// is DefaultLimit if 0.
		Limit carawaybeam.Bytes
	}

	// Recorder records the latest decisions. It is safe for concurrent use.
	Recorder struct {
		options Options
		start   time.Time
		mu      sync.Mutex
		queues  map[tracer.Kind]*queue
	}

	// queue holds the encoded events of one kind, oldest first.
	queue struct {
		lines [][]byte
		bytes carawaybeam.Bytes
		// dropped is the number of events that were dropped to make space for
		// later ones, were larger than the limit or could not be encoded.
		dropped int
	}

	// UnknownKindError reports that no event of a kind is recorded.
	UnknownKindError struct {
		Kind tracer.Kind
	}
)

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("no decision of kind %q is recorded", e.Kind)
}

// New returns a Recorder without events.
func New(options Options) *Recorder {
	if options.Limit <= 0 {
		options.Limit = DefaultLimit
	}
	return &Recorder{options: options, start: time.Now(), queues: make(map[tracer.Kind]*queue)}
}

// Write writes the recorded events of one kind as a trace. It returns an
// *UnknownKindError if none was recorded.
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

// record adds the event returned by newEvent, which gets the time since the start of
// the Recorder. It calls newEvent with the lock held, so that the events of a trace
// are in order of time.
func (r *Recorder) record(kind tracer.Kind, newEvent func(at tracer.Duration) any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line, err := json.Marshal(newEvent(tracer.Duration(time.Since(r.start))))
	if r.queues[kind] == nil {
		r.queues[kind] = &queue{}
	}
	if err != nil {
		r.queues[kind].dropped++
		return
	}
	r.queues[kind].add(append(line, '\n'), r.options.Limit)
}

// snapshot returns the encoded events of one kind and the number of dropped ones. The
// lines are nil if no event of this kind was recorded.
func (r *Recorder) snapshot(kind tracer.Kind) (lines [][]byte, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	queued, ok := r.queues[kind]
	if !ok {
		return nil, 0
	}
	return append(make([][]byte, 0, len(queued.lines)), queued.lines...), queued.dropped
}

// add appends a line, then drops the oldest lines until the total size is within the
// limit.
func (q *queue) add(line []byte, limit carawaybeam.Bytes) {
	q.lines = append(q.lines, line)
	q.bytes += carawaybeam.Bytes(len(line))
	for q.bytes > limit {
		q.bytes -= carawaybeam.Bytes(len(q.lines[0]))
		q.lines[0] = nil
		q.lines = q.lines[1:]
		q.dropped++
	}
}
