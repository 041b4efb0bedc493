package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

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
)

var (
	errEventTooLong = errors.New("event of the stream is too long")
	errPartialEvent = errors.New("stream ended inside an event")
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
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, line...)
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
		if value, ok := bytes.CutPrefix(line, eventIDField); ok {
			if n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				id = carawaybeam.EventID(n)
			}
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return r.event, id, nil
		}
	}
}

// relayStream forwards the events of a stream as they arrive. It forwards only
// complete events, so that another backend server can continue the stream after
// the last one.
func (p *pendingRequest) relayStream(ctx context.Context, reply *pooler.Reply, o *observation) result {
	events := &eventReader{reader: bufio.NewReaderSize(reply.Body, streamBuffer)}
	for {
		event, id, err := events.next()
		switch {
		case errors.Is(err, io.EOF) && p.started:
			return result{}
		case err != nil && ctx.Err() != nil:
			return interrupted(ctx, "stream did not end in time")
		case err != nil:
			return brokenOff("stream broke off: " + err.Error())
		}
		o.markFirstPart()
		if id != 0 && id != p.lastEvent+1 {
			if id <= p.lastEvent {
				continue
			}
			err := &EventOrderError{Last: p.lastEvent, Got: id}
			return result{failure: unknownOutcome(carawaybeam.ReasonCorrupt, err.Error()), backendFault: true}
		}
		if err := p.writeEvent(reply, event, events.reader.Buffered() == 0); err != nil {
			return result{failure: unknownOutcome(carawaybeam.ReasonDeadline, "client has gone: "+err.Error())}
		}
		if id != 0 {
			p.lastEvent = id
		}
	}
}

// writeEvent writes one event to the client. The first event is preceded by the
// head of the answer; when a stream is continued, the client keeps that head.
func (p *pendingRequest) writeEvent(reply *pooler.Reply, event []byte, flush bool) error {
	if !p.started {
		p.started = true
		p.status = reply.Status
		p.firstPart = time.Since(p.arrived)
		if err := p.writer.Head(reply.Status, reply.Header, unknownLength); err != nil {
			return err
		}
	}
	if _, err := p.writer.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return p.writer.Flush()
}
