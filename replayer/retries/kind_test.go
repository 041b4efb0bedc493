package retries_test

import (
	"bufio"
	"encoding/json"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/replayer/retries"
	"github.com/carawaybeam/carawaybeam/tracer"

	_ "github.com/carawaybeam/carawaybeam/retrier/budget"
	_ "github.com/carawaybeam/carawaybeam/retrier/proof"
)

// replay puts a committed trace through a retrier, and returns the figures and
// the stated outcome.
func replay(t *testing.T, name, policy string) (map[string]float64, tracer.Outcome) {
	t.Helper()
	is := is.New(t)
	path := "../../traces/retrier/" + name
	file, err := os.Open(path + ".jsonl")
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	body := bufio.NewReader(file)
	line, err := body.ReadBytes('\n')
	is.NoErr(err)
	var header tracer.Header
	is.NoErr(json.Unmarshal(line, &header))
	figures, err := retries.Kind{}.Replay(header, body, policy)
	is.NoErr(err)
	stated, err := os.Open(path + ".outcome.json")
	is.NoErr(err)
	defer func() { _ = stated.Close() }()
	outcome, err := tracer.ReadOutcome(stated)
	is.NoErr(err)
	return figures, outcome
}

func TestStatedOutcomesAreMet(t *testing.T) {
	for _, name := range []string{"totalFailure", "fewFailures"} {
		t.Run(name, func(t *testing.T) {
			figures, outcome := replay(t, name, "budget")
			for _, miss := range outcome.Check(figures) {
				t.Error(miss)
			}
		})
	}
}

// A fixed number of tries must not keep to the budget, or the trace proves
// nothing.
func TestFixedTriesMissBudget(t *testing.T) {
	figures, outcome := replay(t, "totalFailure", "proof")
	if len(outcome.Check(figures)) == 0 {
		t.Error("proof meets the outcome of totalFailure")
	}
}
