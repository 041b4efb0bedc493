package routes_test

import (
	"bufio"
	"encoding/json"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/replayer/routes"
	"github.com/carawaybeam/carawaybeam/tracer"

	_ "github.com/carawaybeam/carawaybeam/router/expected"
	_ "github.com/carawaybeam/carawaybeam/router/leastinflight"
	_ "github.com/carawaybeam/carawaybeam/router/roundrobin"
)

// replay replays a committed trace through the router named policy, and returns
// the figures and the expected outcome.
func replay(t *testing.T, name, policy string) (map[string]float64, tracer.Outcome) {
	t.Helper()
	is := is.New(t)
	path := "../../traces/router/" + name
	file, err := os.Open(path + ".jsonl")
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	body := bufio.NewReader(file)
	line, err := body.ReadBytes('\n')
	is.NoErr(err)
	var header tracer.Header
	is.NoErr(json.Unmarshal(line, &header))
	figures, err := routes.Kind{}.Replay(header, body, policy)
	is.NoErr(err)
	outcomeFile, err := os.Open(path + ".outcome.json")
	is.NoErr(err)
	defer func() { _ = outcomeFile.Close() }()
	outcome, err := tracer.ReadOutcome(outcomeFile)
	is.NoErr(err)
	return figures, outcome
}

func TestExpectedOutcomes(t *testing.T) {
	names := []string{
		"kitamiWinter", "noReports", "dataCentreGone", "slowBackend", "storeOutage", "swings8Entries",
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			figures, outcome := replay(t, name, "expected")
			for _, miss := range outcome.Check(figures) {
				t.Error(miss)
			}
		})
	}
}

func TestExpectedBeatsBaselinesUnderLoad(t *testing.T) {
	for _, name := range []string{"kitamiWinter", "swings8Entries"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			expected, _ := replay(t, name, "expected")
			for _, baseline := range []string{"roundRobin", "leastInFlight"} {
				figures, _ := replay(t, name, baseline)
				is.True(expected["inTargetShare"] > figures["inTargetShare"])
				is.True(expected["cachedShare"] > figures["cachedShare"])
			}
		})
	}
}

func TestReplayIsRepeatable(t *testing.T) {
	is := is.New(t)
	first, _ := replay(t, "coldCaches", "expected")
	second, _ := replay(t, "coldCaches", "expected")
	is.Equal(first, second)
}

func TestUnknownPolicyIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := routes.ReplayEvents(tracer.Header{}, nil, "none")
	is.True(err != nil)
}
