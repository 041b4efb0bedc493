// Package tracer reads and writes traces: recorded requests, faults and
// decisions, each with its time, and the outcomes stated for them.
//
// A trace is JSON lines in camel case. The first line is the header; each
// further line is one event of a type that the kind of the trace defines.
// Reading is strict: an unknown field, an event out of order or another version
// is an error that names the line.
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
	// Format is the name in the header of every trace.
	Format = "carawaybeamTrace"

	// Version is the version of the format that this package reads.
	Version = 1

	// maxLineBytes bounds one line of a trace.
	maxLineBytes = 16 << 20
)

type (
	// Kind tells what a trace is about and so the type of its events.
	Kind string

	// Header is the first line of a trace.
	Header struct {
		Format  string `json:"format"`
		Version int    `json:"version"`
		Kind    Kind   `json:"kind"`
		// Name and Source tell people what the trace shows and where it is
		// from, such as a generator and its seed.
		Name   string `json:"name"`
		Source string `json:"source"`
		Seed   uint64 `json:"seed,omitempty"`
	}

	// Duration is a time.Duration written as in "2.5s".
	Duration time.Duration

	// Event is one line of a trace behind its header.
	Event interface {
		// When returns the time of the event since the start of the trace.
		When() time.Duration
	}

	// Error reports a trace that cannot be read.
	Error struct {
		// Line counts from 1.
		Line  int
		Cause error
	}
)

var (
	errFormat  = errors.New("this is not a trace")
	errVersion = fmt.Errorf("version is not %d", Version)
	errKind    = errors.New("trace is of another kind")
	errOrder   = errors.New("event is earlier than the one before it")
	errTrail   = errors.New("text behind the event")
)

func (e *Error) Error() string { return fmt.Sprintf("trace line %d: %v", e.Line, e.Cause) }

func (e *Error) Unwrap() error { return e.Cause }

// UnmarshalText reads a duration such as "2.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the duration as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Read reads a whole trace of the given kind. Errors are of type *Error.
func Read[E Event](r io.Reader, kind Kind) (Header, []E, error) {
	var (
		header Header
		events []E
	)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	line := 0
	for scanner.Scan() {
		line++
		if line == 1 {
			if err := readHeader(scanner.Bytes(), kind, &header); err != nil {
				return header, nil, &Error{Line: line, Cause: err}
			}
			continue
		}
		var event E
		if err := decode(scanner.Bytes(), &event); err != nil {
			return header, nil, &Error{Line: line, Cause: err}
		}
		if n := len(events); n > 0 && event.When() < events[n-1].When() {
			return header, nil, &Error{Line: line, Cause: errOrder}
		}
		events = append(events, event)
	}
	if err := scanner.Err(); err != nil {
		return header, nil, &Error{Line: line + 1, Cause: err}
	}
	if line == 0 {
		return header, nil, &Error{Line: 1, Cause: io.ErrUnexpectedEOF}
	}
	return header, events, nil
}

func readHeader(line []byte, kind Kind, header *Header) error {
	if err := decode(line, header); err != nil {
		return err
	}
	switch {
	case header.Format != Format:
		return errFormat
	case header.Version != Version:
		return errVersion
	case header.Kind != kind:
		return errKind
	}
	return nil
}

func decode(line []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if decoder.More() {
		return errTrail
	}
	return nil
}

// Write writes a whole trace. It sets the format and version of the header.
func Write[E Event](w io.Writer, header Header, events []E) error {
	header.Format = Format
	header.Version = Version
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(header); err != nil {
		return err
	}
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	return nil
}
