package executor

import (
	"strings"
	"time"
)

// streamType is the media type of answers that come by parts. The first part of
// any other answer may be the whole of it and tells little of the load.
const streamType = "text/event-stream"

// observeStart teaches the adaptive limit how long an answer took to begin.
func (e *Executor) observeStart(contentType string, took time.Duration) {
	if !strings.HasPrefix(contentType, streamType) {
		return
	}
	e.mu.Lock()
	running := e.running
	e.mu.Unlock()
	e.limit.Observe(running, took)
}
