// Package logkeeper keeps the latest log lines of a process that are about requests in
// memory, so that operators can query them by the identifier of a request.
package logkeeper

import (
	"bytes"
	"strconv"
	"sync"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// requestField is the key of the log field with the identifier of a request.
	requestField = `"request":`

	// requestsField is the key of the log field with a list of such identifiers.
	requestsField = `"requests":[`
)

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

// Write keeps one log line if it contains the identifiers of requests, and drops the
// oldest lines until the total size is within the limit. It never fails.
func (k *LogKeeper) Write(line []byte) (int, error) {
	if !bytes.Contains(line, []byte(requestField)) && !bytes.Contains(line, []byte(requestsField)) {
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
	id := []byte(strconv.Quote(string(request)))
	field := append([]byte(requestField), id...)
	k.mu.Lock()
	defer k.mu.Unlock()
	var found []string
	for _, line := range k.lines {
		if bytes.Contains(line, field) || listContains(line, id) {
			found = append(found, string(line))
		}
	}
	return found
}

// listContains reports whether a line has a list of requests that contains the quoted
// identifier.
func listContains(line, id []byte) bool {
	_, list, found := bytes.Cut(line, []byte(requestsField))
	if !found {
		return false
	}
	list, _, _ = bytes.Cut(list, []byte("]"))
	return bytes.Contains(list, id)
}
