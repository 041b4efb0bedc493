package lister_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/breaker"
	"github.com/carawaybeam/carawaybeam/lister"
)

// TestBrokenAnswer guards against using a list of VMs whose answer is invalid or incomplete.
func TestBrokenAnswer(t *testing.T) {
	for _, answer := range breaker.Broken() {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			// The beginning of the answer is a list.
			answer.Body = strings.ReplaceAll(answer.Body, "{}", "[]")
			vms := lister.New(carawaybeam.ListerOptions{
				URL: "http://" + breaker.Start(t, answer).Address(), Timeout: time.Second,
			})
			_, err := vms.List(t.Context())
			is.True(err != nil)
		})
	}
}
