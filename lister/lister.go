// Package lister reads the platform's list of VMs over HTTP. It registers itself as
// the Lister plug-in "rest".
package lister

import (
	"context"
	"fmt"
	"net/http"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/verifier"
)

// maxListBytes is the maximum size of the list of VMs.
const maxListBytes = 16 << 20

type (
	// Lister is a client of the platform's list of VMs.
	Lister struct {
		options carawaybeam.ListerOptions
		client  *http.Client
	}

	// StatusError reports an HTTP status other than 200.
	StatusError struct {
		Status int
	}
)

func (e *StatusError) Error() string {
	return fmt.Sprintf("list of VMs: unexpected HTTP status %d", e.Status)
}

func init() {
	carawaybeam.Listers.Register("rest", func(options carawaybeam.ListerOptions) (carawaybeam.Lister, error) {
		return New(options), nil
	})
}

// New returns a Lister that reads the list at the URL of the options.
func New(options carawaybeam.ListerOptions) *Lister {
	return &Lister{options: options, client: verifier.NewClient(options.Timeout)}
}

// List returns all VMs in the platform's list.
func (l *Lister) List(ctx context.Context) ([]carawaybeam.VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.options.URL+"/v1/vms", http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	var vms []carawaybeam.VM
	if err := verifier.DecodeJSON(response.Body, maxListBytes, &vms); err != nil {
		return nil, err
	}
	return vms, nil
}
