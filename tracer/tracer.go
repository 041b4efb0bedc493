// Package tracer reads and writes traces, which are recorded requests, faults and
// decisions with their times, and the outcomes that replays of traces must have.
//
// A trace consists of JSON lines with keys in camel case. The first line is the header;
// each further line is an event of the type that the kind of the trace defines. Reading
// is strict: an unknown field, an event out of order or another version of the format
// is an error that contains the line number.
package tracer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	// Format is the name of the format in the header of every trace.
	Format = "carawaybeamTrace"

	// Version is the version of the format that this package reads and writes.
	Version = 1

	// maxLineBytes is the maximum length of a line of a trace.
	maxLineBytes = 16 << 20

	// headerLine is the line number of the header.
	headerLine = 1
)

type (
	// Kind is the subject of a trace. It determines the type of its events.
	Kind string

	// Header is the first line of a trace.
	Header struct {
		Format  string `json:"format"`
		Version int    `json:"version"`
		Kind    Kind   `json:"kind"`
		// Name and Source describe for readers what the trace shows and where it
		// was obtained, such as a generator and its seed.
		Name   string `json:"name"`
		Source string `json:"source"`
		Seed   uint64 `json:"seed,omitempty"`
		// Generator is the name of the generator that produces the events from
		// Seed. If it is set, the trace consists of the header alone.
		Generator string `json:"generator,omitempty"`
	}

	// Duration is a time.Duration that is encoded as text such as "2.5s".
	Duration time.Duration

	// Event is one line of a trace after its header.
	Event interface {
		// When returns the time of the event since the start of the trace.
		When() time.Duration
	}

	// Error reports a trace that cannot be read.
	Error struct {
		// Line is the number of the faulty line, from 1.
		Line int
		// Cause is the error in this line.
		Cause error
	}
)

var (
	errFormat              = errors.New("header has another format than that of traces")
	errVersion             = fmt.Errorf("version of the format is not %d", Version)
	errKind                = errors.New("trace is of another kind")
	errOutOfOrder          = errors.New("event is earlier than the previous one")
	errTrailingData        = errors.New("unexpected data after the JSON value")
	errEventsWithGenerator = errors.New("trace has both a generator and events")
	errLineTooLong         = fmt.Errorf("line is longer than %d bytes", maxLineBytes)
)

func (e *Error) Error() string { return fmt.Sprintf("trace line %d: %v", e.Line, e.Cause) }

func (e *Error) Unwrap() error { return e.Cause }

// UnmarshalText parses a duration such as "2.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText encodes the duration as text that UnmarshalText accepts.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Read reads a whole trace of the given kind. Errors are of type *Error.
func Read[E Event](r io.Reader, kind Kind) (Header, []E, error) {
	body := bufio.NewReader(r)
	header, err := ReadHeader(body)
	if err != nil {
		return header, nil, err
	}
	if header.Kind != kind {
		return header, nil, &Error{Line: headerLine, Cause: errKind}
	}
	events, err := ReadEvents[E](header, body)
	return header, events, err
}

// ReadHeader reads the first line of a trace. ReadEvents can then read the events from
// the same r. Errors are of type *Error.
func ReadHeader(r *bufio.Reader) (Header, error) {
	var header Header
	line, err := readLine(r)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return header, &Error{Line: headerLine, Cause: err}
	}
	if err := decode(line, &header); err != nil {
		return header, &Error{Line: headerLine, Cause: err}
	}
	switch {
	case header.Format != Format:
		return header, &Error{Line: headerLine, Cause: errFormat}
	case header.Version != Version:
		return header, &Error{Line: headerLine, Cause: errVersion}
	}
	return header, nil
}

// ReadEvents reads the events after a header. If the header names a generator, an event
// is an error. Errors are of type *Error.
func ReadEvents[E Event](header Header, r io.Reader) ([]E, error) {
	var events []E
	body := bufio.NewReader(r)
	for line := headerLine + 1; ; line++ {
		text, err := readLine(body)
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, &Error{Line: line, Cause: err}
		}
		if header.Generator != "" {
			return nil, &Error{Line: line, Cause: errEventsWithGenerator}
		}
		var event E
		if err := decode(text, &event); err != nil {
			return nil, &Error{Line: line, Cause: err}
		}
		if n := len(events); n > 0 && event.When() < events[n-1].When() {
			return nil, &Error{Line: line, Cause: errOutOfOrder}
		}
		events = append(events, event)
	}
}

// readLine returns the next line without its line feed, or io.EOF after the last line.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > maxLineBytes:
			return nil, errLineTooLong
		case err == nil:
			return bytes.TrimSuffix(line, []byte{'\n'}), nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(line) > 0:
			return line, nil
		default:
			return nil, err
		}
	}
}

// decode decodes a line that consists of a single JSON value without unknown fields.
func decode(line []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}

// Write writes a whole trace. It sets Format and Version of the header.
func Write[E Event](w io.Writer, header Header, events []E) error {
	if err := WriteHeader(w, header); err != nil {
		return err
	}
	encoder := json.NewEncoder(w)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	return nil
}

// WriteHeader writes the first line of a trace. It sets Format and Version of the header.
func WriteHeader(w io.Writer, header Header) error {
	header.Format = Format
	header.Version = Version
	return json.NewEncoder(w).Encode(header)
}
