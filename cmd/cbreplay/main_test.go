package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/fakes/sampler"
	"github.com/carawaybeam/carawaybeam/planner"
	"github.com/carawaybeam/carawaybeam/replayer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

const (
	kept     = `{"policy":"static","bounds":{"moves":{"min":1,"why":"test"}}}`
	missed   = `{"policy":"static","bounds":{"moves":{"max":0,"why":"test"},"none":{"max":1,"why":"test"}}}`
	noPolicy = `{"bounds":{"moves":{"min":1,"why":"test"}}}`
)

// writeFile writes a file in a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// shortTrace returns a trace of four periods as text.
func shortTrace(t *testing.T) string {
	t.Helper()
	events, _ := sampler.Generate("stalledRank", 1)
	var text bytes.Buffer
	header := tracer.Header{Kind: planner.TraceKind, Name: "short", Source: "test"}
	if err := tracer.Write(&text, header, events[:4]); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

func TestRun(t *testing.T) {
	trace := shortTrace(t)
	tests := map[string]struct {
		trace, outcome string
		arguments      []string
		missed, bad    bool
	}{
		"kept":             {trace: trace, outcome: kept},
		"missed":           {trace: trace, outcome: missed, missed: true},
		"policy by flag":   {trace: trace, outcome: noPolicy, arguments: []string{"-policy", "drift"}},
		"no policy":        {trace: trace, outcome: noPolicy, bad: true},
		"unknown policy":   {trace: trace, outcome: kept, arguments: []string{"-policy", "x"}, bad: true},
		"argument":         {trace: trace, outcome: kept, arguments: []string{"x"}, bad: true},
		"unknown flag":     {trace: trace, outcome: kept, arguments: []string{"-x"}, bad: true},
		"bad outcome":      {trace: trace, outcome: `{}`, bad: true},
		"empty trace":      {trace: "", outcome: kept, bad: true},
		"truncated trace":  {trace: trace[:len(trace)-5], outcome: kept, bad: true},
		"unknown kind":     {trace: strings.Replace(trace, `"planner"`, `"x"`, 1), outcome: kept, bad: true},
		"header only":      {trace: trace[:strings.Index(trace, "\n")+1], outcome: kept, bad: true},
		"generator absent": {trace: generatorHeader, outcome: kept, bad: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arguments := append([]string{
				"-trace", writeFile(t, "trace.jsonl", test.trace),
				"-outcome", writeFile(t, "outcome.json", test.outcome),
			}, test.arguments...)
			var output bytes.Buffer
			err := run(arguments, &output)
			is.Equal(errors.Is(err, errMissed), test.missed)
			is.Equal(err != nil, test.missed || test.bad)
			is.Equal(strings.Contains(output.String(), "MISSED"), test.missed)
		})
	}
}

const generatorHeader = `{"format":"carawaybeamTrace","version":1,"kind":"planner",` +
	`"name":"n","source":"s","generator":"x"}`

func TestRunPrintsJSON(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	err := run([]string{
		"-trace", writeFile(t, "trace.jsonl", shortTrace(t)),
		"-outcome", writeFile(t, "outcome.json", missed),
		"-json",
	}, &output)
	is.True(errors.Is(err, errMissed))
	var report replayer.Report
	is.NoErr(json.Unmarshal(output.Bytes(), &report))
	is.Equal(len(report.Misses), 2)
	is.True(report.Figures["moves"] > 0)
}

func TestRunNeedsTrace(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	is.True(errors.Is(run(nil, &output), errNoTrace))
	is.True(errors.Is(run([]string{"-h"}, &output), flag.ErrHelp))
	is.True(errors.Is(run([]string{"-trace", "absent.jsonl", "-policy", "drift"}, &output), os.ErrNotExist))
}

// TestCommittedTraces checks that each committed planner trace equals the output
// of its generator for the seed in its header, and that its outcome is valid. A
// change of a generator without new traces would make them differ.
func TestCommittedTraces(t *testing.T) {
	is := is.New(t)
	for _, name := range sampler.Names() {
		path := filepath.Join("..", "..", "traces", "planner", name+".jsonl")
		file, err := os.Open(path)
		is.NoErr(err)
		header, events, err := tracer.Read[planner.Event](file, planner.TraceKind)
		is.NoErr(errors.Join(err, file.Close()))
		generated, ok := sampler.Generate(name, header.Seed)
		is.True(ok)
		if header.Generator == "" {
			is.Equal(events, generated)
		}
		outcome, err := readOutcome(strings.TrimSuffix(path, ".jsonl") + ".outcome.json")
		is.NoErr(err)
		is.Equal(outcome.Policy, "drift")
	}
}
