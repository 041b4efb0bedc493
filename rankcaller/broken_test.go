package rankcaller_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/breaker"
	"github.com/carawaybeam/carawaybeam/rankcaller"
)

// TestBrokenAnswer guards against using a report or loads, and against taking a grant as accepted or refused, whose
// answer is invalid or incomplete.
func TestBrokenAnswer(t *testing.T) {
	for _, answer := range breaker.Broken() {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			ranks := rankcaller.New(carawaybeam.RankClientOptions{
				URL: "http://" + breaker.Start(t, answer).Address(), Timeout: time.Second,
			})
			_, err := ranks.Report(t.Context(), 1)
			is.True(err != nil)
			_, err = ranks.Loads(t.Context())
			is.True(err != nil)
			err = ranks.Grant(t.Context(), 1, grant(5))
			is.True(err != nil)
			var fenced *carawaybeam.FencedError
			is.True(!errors.As(err, &fenced))
		})
	}
}
