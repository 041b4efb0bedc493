package pooler

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/carawaybeam/carawaybeam/verifier"
)

// body is the body of an answer. Close returns the connection to the pool if the
// whole answer was read, and closes it otherwise.
type body struct {
	io.ReadCloser
	pooler     *Pooler
	connection *connection
	// stop keeps the context from closing the connection. It returns false if
	// the context has already done so.
	stop func() bool
	// cancelled returns the error of the context.
	cancelled func() error
	sending   *verifier.Transmission
	reusable  bool
	idleFor   time.Duration
	maxIdle   int
	complete  bool
	// failed is set once the answer was found to be incomplete.
	failed bool
	closed bool
}

// Read reads from the body. It returns io.EOF only if the answer is complete.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
	case err != nil && !b.failed && !b.closed && !errors.Is(err, os.ErrDeadlineExceeded) && b.cancelled() == nil:
		b.failed = true
		b.pooler.countBroken()
	}
	return n, err
}

// Close returns the connection to the pool or closes it. Further calls do nothing, since
// another request may be using the connection by then.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	alive := b.stop()
	if alive && b.complete && b.reusable && b.sending.Succeeded() && b.connection.reader.Buffered() == 0 {
		b.pooler.put(b.connection, b.idleFor, b.maxIdle)
		return nil
	}
	b.connection.discard()
	return nil
}

// ReadAll reads the rest of the answer. It returns an error if the answer is
// incomplete or longer than limit bytes.
func (r *Reply) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("answer is longer than %d bytes", limit)
	}
	return data, nil
}

// Drain reads the rest of an answer whose content is irrelevant, so that its connection can be
// used again. It gives up if the rest is long or does not come at once.
func (r *Reply) Drain() {
	if b, ok := r.Body.(*body); ok {
		// If this fails, the connection is broken and the read fails too.
		_ = b.connection.SetReadDeadline(time.Now().Add(drainTimeout))
		defer func() { _ = b.connection.SetReadDeadline(time.Time{}) }()
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDrainBytes))
}

// encodeHead returns the request line and header of a request.
func encodeHead(request Request) []byte {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(request.Body))
	}
	// Writes to a bytes.Buffer never fail.
	_ = request.Header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}
