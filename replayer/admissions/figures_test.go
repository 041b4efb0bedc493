package admissions_test

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/replayer/admissions"
	"github.com/carawaybeam/carawaybeam/replayer/queuer"
	"github.com/carawaybeam/carawaybeam/tracer"

	_ "github.com/carawaybeam/carawaybeam/limiter/fair"
	_ "github.com/carawaybeam/carawaybeam/limiter/unlimited"
)

// TestTrial prints tables.
func TestTrial(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../traces/limiter/*.jsonl")
	is.NoErr(err)
	for _, file := range files {
		for _, policy := range []string{"unlimited", "fair"} {
			f, err := os.Open(file)
			is.NoErr(err)
			header, events, err := tracer.Read[queuer.Event](f, "limiter")
			is.NoErr(err)
			r, err := admissions.Play(header, events, policy)
			is.NoErr(err)
			fmt.Printf("%-22s %-10s", filepath.Base(file), policy)
			for _, k := range slices.Sorted(maps.Keys(r)) {
				fmt.Printf(" %s %.4g", k, r[k])
			}
			fmt.Println()
		}
	}
}
