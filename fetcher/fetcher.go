// Package fetcher fetches the weights of experts over HTTP. It registers itself as
// the weight store plug-in "rest".
package fetcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/verifier"
)

type (
	// Fetcher is an HTTP client of the weight store. It is safe for concurrent
	// use.
	Fetcher struct {
		options carawaybeam.WeightStoreOptions
		client  *http.Client
	}

	// StatusError reports an HTTP status other than 200.
	StatusError struct {
		Status int
	}
)

var _ carawaybeam.WeightStore = (*Fetcher)(nil)

func (e *StatusError) Error() string {
	return fmt.Sprintf("weight store: unexpected HTTP status %d", e.Status)
}

func init() {
	carawaybeam.WeightStores.Register(
		"rest",
		func(options carawaybeam.WeightStoreOptions) (carawaybeam.WeightStore, error) {
			return New(options), nil
		},
	)
}

// New returns a Fetcher for the weight store at the URL of the options.
func New(options carawaybeam.WeightStoreOptions) *Fetcher {
	return &Fetcher{options: options, client: verifier.NewClient(options.Timeout)}
}

// Fetch reads the weights of one expert of one layer and returns their size. The
// error is a *StatusError if the status is not 200.
func (f *Fetcher) Fetch(
	ctx context.Context,
	model string,
	layer int,
	expert carawaybeam.Expert,
) (carawaybeam.Bytes, error) {
	address := fmt.Sprintf("%s/v1/weights/%s/%d/%d", f.options.URL, url.PathEscape(model), layer, expert)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return 0, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, &StatusError{Status: response.StatusCode}
	}
	size, err := io.Copy(io.Discard, response.Body)
	return carawaybeam.Bytes(size), err
}
