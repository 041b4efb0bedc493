package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam/applier"
	"github.com/carawaybeam/carawaybeam/fakes/breaker"
	"github.com/carawaybeam/carawaybeam/verifier"
)

// TestBrokenAnswer guards against showing an invalid or incomplete answer, and against telling a change as made or
// refused that may have been either.
func TestBrokenAnswer(t *testing.T) {
	for _, answer := range breaker.Broken() {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			c := client{admin: breaker.Start(t, answer).Address(), http: verifier.NewClient(time.Second)}
			_, err := c.get("class", "name")
			is.True(err != nil)
			is.Equal(c.change("class", "name", []byte("{}"), nil).Status, applier.StatusUncertain)
		})
	}
}
