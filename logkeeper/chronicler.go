// Package chronicler keeps the last log lines that a process wrote of single
// requests, so that operators can ask for them by the request's identifier.
package logkeeper

import (
	"bytes"
	"strconv"
	"sync"

	"github.com/carawaybeam/carawaybeam"
)

// requestField begins the field of a line that names a request.
const requestField = `"request":`

type (
	// LogKeeper is a writer of log lines that keeps the last ones. Its methods
	// may be used by several goroutines at once.
	LogKeeper struct {
		limit carawaybeam.Bytes

		mu    sync.Mutex
		held  carawaybeam.Bytes
		lines [][]byte
	}
)

// New returns a Chronicler that keeps lines up to a limit in total.
func New(limit carawaybeam.Bytes) *LogKeeper { return &LogKeeper{limit: limit} }

// Write keeps a line that names a request. It never fails.
func (c *LogKeeper) Write(line []byte) (int, error) {
	if !bytes.Contains(line, []byte(requestField)) {
		return len(line), nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = append(c.lines, bytes.Clone(bytes.TrimSpace(line)))
	c.held += carawaybeam.Bytes(len(line))
	drop := 0
	for c.held > c.limit && drop < len(c.lines) {
		c.held -= carawaybeam.Bytes(len(c.lines[drop]) + 1)
		c.lines[drop] = nil
		drop++
	}
	c.lines = c.lines[drop:]
	return len(line), nil
}

// Lines returns the lines of a request in the order in which they were written.
func (c *LogKeeper) Lines(request carawaybeam.RequestID) []string {
	field := []byte(requestField + strconv.Quote(string(request)))
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	for _, line := range c.lines {
		if bytes.Contains(line, field) {
			found = append(found, string(line))
		}
	}
	return found
}
