package routes_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/replayer/queuer"
	"github.com/carawaybeam/carawaybeam/replayer/routes"
	"github.com/carawaybeam/carawaybeam/tracer"

	_ "github.com/carawaybeam/carawaybeam/router/expected"
	_ "github.com/carawaybeam/carawaybeam/router/leastinflight"
	_ "github.com/carawaybeam/carawaybeam/router/roundrobin"
)

// TestTrial prints tables.
func TestTrial(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../traces/router/*.jsonl")
	is.NoErr(err)
	for _, file := range files {
		for _, policy := range []string{"roundRobin", "leastInFlight", "expected"} {
			f, err := os.Open(file)
			is.NoErr(err)
			header, events, err := tracer.Read[queuer.Event](f, "router")
			is.NoErr(err)
			r, err := routes.Play(header, events, policy)
			is.NoErr(err)
			fmt.Printf("%-22s %-14s n %4.0f in %.4f settled %.4f p50 %.2f p95 %.2f p99 %.2f cached %.3f cross %.3f lost %.4f\n",
				strings.TrimSuffix(filepath.Base(file), ".jsonl"), policy, r["requests"], r["inTargetShare"], r["inTargetShareSettled"],
				r["firstTokenP50"], r["firstTokenP95"], r["firstTokenP99"], r["cachedShare"], r["crossingShare"], r["lostShare"])
		}
	}
}
