package fetcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/breaker"
	"github.com/carawaybeam/carawaybeam/fetcher"
)

// TestBrokenAnswer guards against using weights whose answer is invalid or incomplete.
func TestBrokenAnswer(t *testing.T) {
	for _, answer := range breaker.Broken() {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			weights := fetcher.New(carawaybeam.WeightStoreOptions{
				URL: "http://" + breaker.Start(t, answer).Address(), Timeout: time.Second,
			})
			_, err := weights.Fetch(t.Context(), "model", 1, 2)
			is.True(err != nil)
		})
	}
}
