package pooler

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// body is the body of an answer. Closing it gives the connection back when all of
// the answer was read, and ends the connection otherwise.
type body struct {
	io.ReadCloser
	pooler     *Pooler
	connection *connection
	// stop undoes the end of the connection by the context.
	stop     func() bool
	written  chan error
	reusable bool
	idleFor  time.Duration
	complete bool
}

// Read reads the body. The end of the stream is reported only when the answer is
// complete.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close gives the connection back or ends it.
func (b *body) Close() error {
	alive := b.stop()
	if alive && b.complete && b.reusable && b.sent() && b.connection.reader.Buffered() == 0 {
		b.pooler.keep(b.connection, b.idleFor)
		return nil
	}
	b.connection.discard()
	return nil
}

// sent tells whether the whole request has been written.
func (b *body) sent() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

// ReadAll reads the rest of an answer of at most limit bytes, and checks that
// nothing follows it.
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

// encodeHead returns the request line and header of a request.
func encodeHead(request Request) []byte {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(request.Body))
	}
	// A bytes.Buffer never fails to write.
	_ = request.Header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}
