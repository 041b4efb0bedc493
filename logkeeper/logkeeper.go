// Package logkeeper keeps the latest log lines of a process that are about requests in
// memory, so that operators can query them by the identifier of a request.
package logkeeper

import (
	"bytes"
	"strconv"
	"sync"

	"github.com/carawaybeam/carawaybeam"
)

// requestField is the key of the log field with the identifier of a request.
const requestField = `"request":`

type (
	// LogKeeper is an io.Writer that keeps the latest log lines about requests. It is
	// safe for concurrent use.
	LogKeeper struct {
		limit carawaybeam.Bytes

		mu sync.Mutex
		// size is the total size of lines, each with its line feed.
		size  carawaybeam.Bytes
		lines [][]byte
	}
)

// New returns a LogKeeper that keeps lines of up to limit bytes in total.
func New(limit carawaybeam.Bytes) *LogKeeper { return &LogKeeper{limit: limit} }

// Write keeps one log line if it contains the identifier of a request, and drops the
// oldest lines until the total size is within the limit. It never fails.
func (k *LogKeeper) Write(line []byte) (int, error) {
	if !bytes.Contains(line, []byte(requestField)) {
		return len(line), nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lines = append(k.lines, bytes.Clone(bytes.TrimSpace(line)))
	k.size += carawaybeam.Bytes(len(line))
	drop := 0
	for k.size > k.limit && drop < len(k.lines) {
		k.size -= carawaybeam.Bytes(len(k.lines[drop]) + 1)
		k.lines[drop] = nil
		drop++
	}
	k.lines = k.lines[drop:]
	return len(line), nil
}

// Lines returns the kept lines about a request in the order in which they were written.
func (k *LogKeeper) Lines(request carawaybeam.RequestID) []string {
	field := []byte(requestField + strconv.Quote(string(request)))
	k.mu.Lock()
	defer k.mu.Unlock()
	var found []string
	for _, line := range k.lines {
		if bytes.Contains(line, field) {
			found = append(found, string(line))
		}
	}
	return found
}
