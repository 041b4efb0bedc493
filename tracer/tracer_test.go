package tracer_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/tracer"
)

const testKind tracer.Kind = "test"

const header = `{"format":"carawaybeamTrace","version":1,"kind":"test","name":"n","source":"s"}`

// event is the type of events in traces of testKind.
type event struct {
	At    tracer.Duration `json:"at"`
	Value int             `json:"value"`
}

func (e event) When() time.Duration { return time.Duration(e.At) }

func TestWriteThenRead(t *testing.T) {
	is := is.New(t)
	events := []event{{At: 0, Value: 1}, {At: tracer.Duration(time.Second), Value: 2}}
	var file bytes.Buffer
	is.NoErr(tracer.Write(&file, tracer.Header{Kind: testKind, Name: "n", Source: "s", Seed: 7}, events))
	read, got, err := tracer.Read[event](&file, testKind)
	is.NoErr(err)
	is.Equal(got, events)
	is.Equal(read.Seed, uint64(7))
	is.Equal(read.Format, tracer.Format)
}

func TestReadRefuses(t *testing.T) {
	tests := map[string]struct {
		text string
		line int
	}{
		"nothing":          {text: "", line: 1},
		"no JSON":          {text: "x", line: 1},
		"other format":     {text: `{"format":"x","version":1,"kind":"test","name":"","source":""}`, line: 1},
		"other version":    {text: strings.Replace(header, `"version":1`, `"version":2`, 1), line: 1},
		"other kind":       {text: strings.Replace(header, `"test"`, `"x"`, 1), line: 1},
		"unknown header":   {text: strings.Replace(header, `{`, `{"more":1,`, 1), line: 1},
		"unknown field":    {text: header + "\n" + `{"at":"0s","more":1}`, line: 2},
		"number for time":  {text: header + "\n" + `{"at":1}`, line: 2},
		"empty line":       {text: header + "\n\n" + `{"at":"0s"}`, line: 2},
		"second value":     {text: header + "\n" + `{"at":"0s"} {"at":"0s"}`, line: 2},
		"data after event": {text: header + "\n" + `{"at":"0s"}]`, line: 2},
		"cut off":          {text: header + "\n" + `{"at":"0s"}` + "\n" + `{"at":"1s"`, line: 3},
		"out of order":     {text: header + "\n" + `{"at":"2s"}` + "\n" + `{"at":"1s"}`, line: 3},
		"generator and events": {
			text: strings.Replace(header, `{`, `{"generator":"g",`, 1) + "\n" + `{"at":"0s"}`,
			line: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := tracer.Read[event](strings.NewReader(test.text), testKind)
			traceError, ok := errors.AsType[*tracer.Error](err)
			is.True(ok)
			is.Equal(traceError.Line, test.line)
		})
	}
}

func TestReadRefusesLongLine(t *testing.T) {
	is := is.New(t)
	long := io.MultiReader(strings.NewReader(header+"\n"), strings.NewReader(strings.Repeat(" ", 17<<20)))
	_, _, err := tracer.Read[event](long, testKind)
	traceError, ok := errors.AsType[*tracer.Error](err)
	is.True(ok)
	is.Equal(traceError.Line, 2)
}

func TestReadHeaderLeavesEvents(t *testing.T) {
	is := is.New(t)
	body := bufio.NewReader(strings.NewReader(header + "\n" + `{"at":"1s","value":3}`))
	read, err := tracer.ReadHeader(body)
	is.NoErr(err)
	is.Equal(read.Kind, testKind)
	events, err := tracer.ReadEvents[event](read, body)
	is.NoErr(err)
	is.Equal(events, []event{{At: tracer.Duration(time.Second), Value: 3}})
}

func TestReadOutcome(t *testing.T) {
	tests := map[string]struct {
		text  string
		valid bool
	}{
		"bounds":         {text: `{"policy":"p","bounds":{"f":{"max":1,"why":"w"}}}`, valid: true},
		"no bounds":      {text: `{"bounds":{}}`},
		"no limit":       {text: `{"bounds":{"f":{"why":"w"}}}`},
		"unknown field":  {text: `{"bounds":{"f":{"max":1,"why":"w","most":2}}}`},
		"data after end": {text: `{"bounds":{"f":{"max":1,"why":"w"}}} x`},
		"nothing":        {text: ``},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := tracer.ReadOutcome(strings.NewReader(test.text))
			is.Equal(err == nil, test.valid)
		})
	}
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	low, high := 1.0, 2.0
	outcome := tracer.Outcome{Bounds: map[string]tracer.Bound{
		"above":  {Max: &high},
		"below":  {Min: &low},
		"absent": {Max: &high},
		"edge":   {Min: &low, Max: &high},
		"nan":    {Max: &high},
	}}
	zero := 0.0
	misses := outcome.Check(map[string]float64{"above": 3, "below": 0.5, "edge": 2, "nan": zero / zero})
	names := make([]string, 0, len(misses))
	for _, miss := range misses {
		names = append(names, miss.Figure)
	}
	is.Equal(names, []string{"above", "absent", "below", "nan"})
}

// FuzzRead checks that any input either is refused with an error that contains the line
// number, or results in events that are unchanged after writing and reading them again.
func FuzzRead(f *testing.F) {
	f.Add(header)
	f.Add(header + "\n" + `{"at":"1s","value":3}` + "\n")
	f.Add(header + "\n" + `{"at":"-1ns","value":3}` + "\n" + `{"at":"1h","value":-3}`)
	f.Add(strings.Replace(header, `{`, `{"generator":"g","seed":18446744073709551615,`, 1))
	f.Fuzz(func(t *testing.T, text string) {
		read, events, err := tracer.Read[event](strings.NewReader(text), testKind)
		if err != nil {
			if traceError, ok := errors.AsType[*tracer.Error](err); !ok || traceError.Line < 1 {
				t.Fatalf("error without a line: %v", err)
			}
			return
		}
		is := is.New(t)
		var file bytes.Buffer
		is.NoErr(tracer.Write(&file, read, events))
		again, eventsAgain, err := tracer.Read[event](&file, testKind)
		is.NoErr(err)
		is.Equal(again, read)
		is.Equal(eventsAgain, events)
	})
}
