package executor

import (
	"strings"
	"time"
)

// streamType is the media type of streamed answers. The first part of any other answer
// may be the whole answer, whose time says little about the load.
const streamType = "text/event-stream"

// observeStart passes the time to the first part of a streamed answer to the adaptive
// limit.
func (e *Executor) observeStart(contentType string, took time.Duration) {
	if !isStream(contentType) {
		return
	}
	e.mu.Lock()
	running := e.running
	e.mu.Unlock()
	e.limit.Observe(running, took)
}

func isStream(contentType string) bool { return strings.HasPrefix(contentType, streamType) }
