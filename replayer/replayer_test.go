package replayer_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/replayer"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// counter is a kind of trace whose replay counts the bytes after the header.
type counter struct{}

func (counter) Replay(_ tracer.Header, body io.Reader, policy string) (map[string]float64, error) {
	if policy == "broken" {
		return nil, io.ErrUnexpectedEOF
	}
	data, err := io.ReadAll(body)
	return map[string]float64{"bytes": float64(len(data))}, err
}

const trace = `{"format":"carawaybeamTrace","version":1,"kind":"testCounter","name":"n","source":"s"}` + "\nabc\n"

func TestReplay(t *testing.T) {
	is := is.New(t)
	replayer.Kinds.Register("testCounter", counter{})
	most := 3.0
	outcome := tracer.Outcome{Policy: "p", Bounds: map[string]tracer.Bound{"bytes": {Max: &most, Reason: "test"}}}
	report, err := replayer.Replay(strings.NewReader(trace), outcome, "")
	is.NoErr(err)
	is.Equal(report.Policy, "p")
	is.Equal(report.Figures["bytes"], 4.0)
	is.Equal(report.Misses, []string{"bytes is 4, want at most 3 (test)"})
	var table bytes.Buffer
	is.NoErr(replayer.WriteTable(&table, report, outcome))
	is.True(strings.Contains(table.String(), "MISSED: bytes is 4"))

	report.Figures["other.bytes"] = 9
	table.Reset()
	is.NoErr(replayer.WriteTable(&table, report, outcome))
	is.True(strings.Contains(table.String(), "  bytes          4  9      at most 3 (test)"))

	_, err = replayer.Replay(strings.NewReader(trace), outcome, "broken")
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	_, err = replayer.Replay(strings.NewReader(strings.Replace(trace, "testCounter", "x", 1)), outcome, "")
	_, ok := errors.AsType[*carawaybeam.UnknownPluginError](err)
	is.True(ok)
}
