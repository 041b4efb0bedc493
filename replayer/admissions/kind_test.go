package admissions_test

import (
	"bufio"
	"encoding/json"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/replayer/admissions"
	"github.com/carawaybeam/carawaybeam/tracer"

	_ "github.com/carawaybeam/carawaybeam/limiter/fair"
	_ "github.com/carawaybeam/carawaybeam/limiter/unlimited"
)

// replay replays a committed trace through the limiter named policy, and returns
// the figures and the expected outcome.
func replay(t *testing.T, name, policy string) (map[string]float64, tracer.Outcome) {
	t.Helper()
	is := is.New(t)
	path := "../../traces/limiter/" + name
	file, err := os.Open(path + ".jsonl")
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	body := bufio.NewReader(file)
	line, err := body.ReadBytes('\n')
	is.NoErr(err)
	var header tracer.Header
	is.NoErr(json.Unmarshal(line, &header))
	figures, err := admissions.Kind{}.Replay(header, body, policy)
	is.NoErr(err)
	outcomeFile, err := os.Open(path + ".outcome.json")
	is.NoErr(err)
	defer func() { _ = outcomeFile.Close() }()
	outcome, err := tracer.ReadOutcome(outcomeFile)
	is.NoErr(err)
	return figures, outcome
}

func TestExpectedOutcomes(t *testing.T) {
	for _, name := range []string{"overload3Entries", "floodingOrganisation", "idleCapacity", "skewedClocks200ms"} {
		t.Run(name, func(t *testing.T) {
			figures, outcome := replay(t, name, "fair")
			for _, miss := range outcome.Check(figures) {
				t.Error(miss)
			}
		})
	}
}

// TestUnlimitedMissesOutcomes checks that the expected outcomes don't hold without
// admission control. Otherwise they would test nothing.
func TestUnlimitedMissesOutcomes(t *testing.T) {
	for _, name := range []string{"overload3Entries", "floodingOrganisation"} {
		figures, outcome := replay(t, name, "unlimited")
		if len(outcome.Check(figures)) == 0 {
			t.Errorf("unlimited meets the outcome of %s", name)
		}
	}
}
