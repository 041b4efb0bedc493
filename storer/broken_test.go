package storer_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/breaker"
	"github.com/carawaybeam/carawaybeam/platform"
	"github.com/carawaybeam/carawaybeam/storer"
)

// TestBrokenAnswer guards against taking a list or a watch as complete, or a write as made or refused, whose answer is
// invalid or incomplete.
func TestBrokenAnswer(t *testing.T) {
	stores := map[string]func(carawaybeam.StoreOptions) carawaybeam.Store{
		"rest":     func(options carawaybeam.StoreOptions) carawaybeam.Store { return storer.New(options) },
		"platform": func(options carawaybeam.StoreOptions) carawaybeam.Store { return platform.NewStore(options) },
	}
	for name, newStore := range stores {
		for _, answer := range breaker.Broken() {
			t.Run(name+", "+answer.Name, func(t *testing.T) {
				is := is.New(t)
				store := newStore(carawaybeam.StoreOptions{
					URL: "http://" + breaker.Start(t, answer).Address(), Timeout: time.Second, Log: zerolog.Nop(),
				})
				ctx := t.Context()
				_, err := store.Get(ctx, "kind", "name")
				is.Equal(failure(err), carawaybeam.StoreUnavailable)
				_, _, err = store.List(ctx, "kind")
				is.Equal(failure(err), carawaybeam.StoreUnavailable)
				_, _, err = store.Watch(ctx, []carawaybeam.StoreKind{"kind"}, 1, 0)
				is.Equal(failure(err), carawaybeam.StoreUnavailable)
				_, err = store.Put(ctx, carawaybeam.Object{Kind: "kind", Name: "name", Value: []byte("{}")}, 1)
				is.Equal(failure(err), carawaybeam.StoreUncertain)
				_, err = store.Delete(ctx, "kind", "name", 1)
				is.Equal(failure(err), carawaybeam.StoreUncertain)
			})
		}
	}
}

// failure returns the failure of a call to the store, or an empty one if it succeeded.
func failure(err error) carawaybeam.StoreFailure {
	var failed *carawaybeam.StoreError
	if errors.As(err, &failed) {
		return failed.Failure
	}
	return ""
}
