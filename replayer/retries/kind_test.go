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

// replay replays a committed trace through the retrier named policy, and returns
// the figures and the expected outcome.
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
	outcomeFile, err := os.Open(path + ".outcome.json")
	is.NoErr(err)
	defer func() { _ = outcomeFile.Close() }()
	outcome, err := tracer.ReadOutcome(outcomeFile)
	is.NoErr(err)
	return figures, outcome
}

func TestExpectedOutcomes(t *testing.T) {
	for _, name := range []string{"totalFailure", "fewFailures"} {
		t.Run(name, func(t *testing.T) {
			figures, outcome := replay(t, name, "budget")
			for _, miss := range outcome.Check(figures) {
				t.Error(miss)
			}
		})
	}
}

// TestRetrierWithoutBudgetMissesOutcome checks that "proof", which limits retries
// by a fixed number only, exceeds the retry budget. Otherwise the outcome of the
// trace would hold without a budget and test nothing.
func TestRetrierWithoutBudgetMissesOutcome(t *testing.T) {
	figures, outcome := replay(t, "totalFailure", "proof")
	if len(outcome.Check(figures)) == 0 {
		t.Error("proof meets the outcome of totalFailure")
	}
}
