package fetcher_test

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/fakes/storer"
	"github.com/carawaybeam/carawaybeam/fetcher"
)

func TestFetch(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(storer.New().Handler())
	defer server.Close()
	weights := fetcher.New(carawaybeam.WeightStoreOptions{URL: server.URL, Timeout: 10 * time.Second})
	size, err := weights.Fetch(t.Context(), "draft/1", 3, 255)
	is.NoErr(err)
	is.Equal(size, carawaybeam.Bytes(storer.WeightBytes))

	weights = fetcher.New(carawaybeam.WeightStoreOptions{URL: server.URL + "/none", Timeout: 10 * time.Second})
	_, err = weights.Fetch(t.Context(), "draft", 3, 255)
	var status *fetcher.StatusError
	is.True(errors.As(err, &status))
}
