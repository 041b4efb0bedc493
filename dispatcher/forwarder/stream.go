package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/pooler"
)

const (
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 256 << 10

	// streamBuffer is the size of the read buffer. It holds several events of
	// the usual size.
	streamBuffer = 4 << 10

	unknownLength = -1

	headerContentType = "Content-Type"
	typeEventStream   = "text/event-stream"
)

var (
	errEventTooLong = errors.New("event of the stream is too long")
	errPartialEvent = errors.New("stream ended inside an event")
	errNotAnEvent   = errors.New("stream has a line that belongs to no event")
	errUnnumbered   = errors.New("answer that continues a stream begins with an event without an identifier")
	eventIDField    = []byte("id:")
)

type (
	// eventReader splits a stream into events.
	eventReader struct {
		reader *bufio.Reader
		event  []byte
	}

	// EventOrderError reports an event that does not follow the previous one.
	EventOrderError struct {
		// Last is the previous event, and Got the event that was received.
		Last, Got carawaybeam.EventID
	}
)

func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %d came behind event %d", e.Got, e.Last)
}

// next returns the next complete event, including the empty line at its end, and
// its identifier, or 0 if it has none. The event is valid until the next call.
// It returns io.EOF after the last event of a complete stream.
func (r *eventReader) next() ([]byte, carawaybeam.EventID, error) {
	r.event = r.event[:0]
	var id carawaybeam.EventID
	for begin := 0; ; {
		part, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, part...)
		switch {
		case len(r.event) > maxEventBytes:
			return nil, 0, errEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.event) > 0:
			return nil, 0, errPartialEvent
		case err != nil:
			return nil, 0, err
		}
		line := bytes.TrimRight(r.event[begin:], "\r\n")
		begin = len(r.event)
		if len(line) == 0 {
			return r.event, id, nil
		}
		if !isField(line) {
			return nil, 0, errNotAnEvent
		}
		if value, ok := bytes.CutPrefix(line, eventIDField); ok {
			if n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				id = carawaybeam.EventID(n)
			}
		}
	}
}

// isStream reports whether the answer is a stream of events that may be forwarded.
func (p *pendingRequest) isStream(reply *pooler.Reply) bool {
	if reply.Status != http.StatusOK || p.route.Kind != carawaybeam.RouteStream || !reply.Sealed || reply.Encoded {
		return false
	}
	contentType := reply.Header.Get(headerContentType)
	if contentType == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == typeEventStream
}

// relayStream forwards the events of a stream as they arrive. It forwards only
// complete events, so that another backend server can continue the stream after
// the last one. An answer that continues a stream must begin with the event after
// the last one; nothing of another answer is forwarded.
func (p *pendingRequest) relayStream(ctx context.Context, reply *pooler.Reply, o *observation) result {
	events := &eventReader{reader: bufio.NewReaderSize(reply.Body, streamBuffer)}
	continues := p.lastEvent > 0
	// begun is set once an event of this answer was forwarded, and numbered once that had
	// an identifier.
	begun, numbered := false, false
	first := p.lastEvent
	for {
		event, id, err := events.next()
		switch {
		case errors.Is(err, io.EOF) && begun:
			return result{}
		case err != nil && ctx.Err() != nil:
			return interrupted(ctx, "stream did not end in time")
		case errors.Is(err, errNotAnEvent):
			return corruptAnswer(err)
		case err != nil:
			return brokenAnswer(fmt.Errorf("stream broke off: %w", err))
		}
		o.markFirstPart()
		comment := isComment(event)
		switch {
		case comment && continues && !numbered:
			continue
		case id == 0 && continues && !numbered:
			return corruptAnswer(errUnnumbered)
		case id != 0 && id <= p.lastEvent && numbered:
			// The backend server has sent this event before.
			continue
		case id != 0 && id != p.lastEvent+1:
			return corruptAnswer(&EventOrderError{Last: p.lastEvent, Got: id})
		}
		if err := p.writeEvent(o.forwarder, reply, event, events.reader.Buffered() == 0); err != nil {
			return o.forwarder.writeFailure(p, err)
		}
		begun = begun || !comment
		if id != 0 {
			p.lastEvent, numbered = id, true
			o.own.Deliver(p.eventLength(id - first))
		}
	}
}

// brokenAnswer returns the result of an attempt whose answer could not be read to its end.
func brokenAnswer(err error) result {
	var invalid *carawaybeam.InvalidAnswerError
	if errors.As(err, &invalid) {
		return corruptAnswer(err)
	}
	return brokenOff(err.Error())
}

// corruptAnswer returns the result of an attempt whose answer is invalid, or not the rest of the stream.
func corruptAnswer(err error) result {
	return result{failure: unknownOutcome(carawaybeam.ReasonCorrupt, err.Error()), backendFault: true}
}

// isComment reports whether an event has no fields.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// isField reports whether a line of an event is a comment, or begins with the name of a field. The
// head of another answer does not.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= utf8.RuneSelf
		if !isLetter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// writeEvent writes one event to the client. The first event is preceded by the
// head of the answer; when a stream is continued, the client keeps that head.
func (p *pendingRequest) writeEvent(f *Forwarder, reply *pooler.Reply, event []byte, flush bool) error {
	if !p.started {
		p.started = true
		p.status = reply.Status
		p.firstPart = time.Since(p.arrived)
		if err := p.writer.Head(reply.Status, reply.Header, unknownLength); err != nil {
			return err
		}
		f.startSpool(p)
	}
	if p.spool != nil {
		return p.spool.Append(event)
	}
	if _, err := p.writer.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return p.writer.Flush()
}
