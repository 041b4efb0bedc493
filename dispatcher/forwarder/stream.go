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
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10

	// streamBuffer holds several usual events of a stream.
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

	// EventOrderError reports an event that does not follow the one before.
	EventOrderError struct {
		Last, Got carawaybeam.EventID
	}
)

func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %d came behind event %d", e.Got, e.Last)
}

// next returns the next whole event with its empty line, and its identifier or
// 0. The event is valid until the next call. It returns io.EOF behind the last
// event of a complete stream.
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

// relay passes the events of a stream on as they arrive. A part of an event never
// reaches the client, so that another backend server can go on behind the last
// whole one.
func (p *pursuit) relay(ctx context.Context, reply *pooler.Reply, o *observation) result {
	events := &eventReader{reader: bufio.NewReaderSize(reply.Body, streamBuffer)}
	for {
		event, id, err := events.next()
		switch {
		case errors.Is(err, io.EOF) && p.begun:
			return result{}
		case err != nil && ctx.Err() != nil:
			return interrupted(ctx, "stream did not end in time")
		case err != nil:
			return result{
				failure: mayHaveRun(carawaybeam.ReasonBackendFailed, "stream broke off: "+err.Error()),
				blame:   true,
			}
		}
		o.answer()
		if id != 0 && id != p.lastEvent+1 {
			if id <= p.lastEvent {
				continue
			}
			err := &EventOrderError{Last: p.lastEvent, Got: id}
			return result{failure: mayHaveRun(carawaybeam.ReasonCorrupt, err.Error()), blame: true}
		}
		if err := p.pass(reply, event, events.reader.Buffered() == 0); err != nil {
			return result{failure: mayHaveRun(carawaybeam.ReasonDeadline, "client has gone: "+err.Error())}
		}
		if id != 0 {
			p.lastEvent = id
		}
	}
}

// pass writes one event to the client. A stream that is gone on with keeps the
// head of its first answer.
func (p *pursuit) pass(reply *pooler.Reply, event []byte, flush bool) error {
	if !p.begun {
		p.begun = true
		p.status = reply.Status
		p.first = time.Since(p.arrived)
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
