// Package ranker reads and grants the steps of ranks over HTTP. It registers
// itself as the client of ranks "rest".
//
// GET /v1/ranks/{rank}/report answers with a carawaybeam.RankReport, and
// PUT /v1/ranks/{rank}/grant takes a carawaybeam.StepGrant, answering 409 to one
// that is refused for its epoch. GET /v1/loads answers with the load of each
// expert of each layer.
package ranker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// maxReportBytes bounds the report of a rank.
	maxReportBytes = 64 << 10

	// maxLoadsBytes bounds the loads of a group.
	maxLoadsBytes = 8 << 20
)

type (
	// Client is a client of the ranks of a group.
	Client struct {
		options carawaybeam.RankClientOptions
		client  *http.Client
	}

	// StatusError reports an answer that is no success.
	StatusError struct {
		Status int
	}
)

var _ carawaybeam.RankClient = (*Client)(nil)

func (e *StatusError) Error() string { return fmt.Sprintf("rank answered %d", e.Status) }

func init() {
	carawaybeam.RankClients.Register(
		"rest",
		func(options carawaybeam.RankClientOptions) (carawaybeam.RankClient, error) {
			return New(options), nil
		},
	)
}

// New returns a Ranker for the ranks at the URL of the options.
func New(options carawaybeam.RankClientOptions) *Client {
	return &Client{options: options, client: &http.Client{Timeout: options.Timeout}}
}

// Report reads what the rank tells of itself now.
func (r *Client) Report(ctx context.Context, rank carawaybeam.Rank) (carawaybeam.RankReport, error) {
	var report carawaybeam.RankReport
	response, err := r.call(ctx, http.MethodGet, r.url(rank, "report"), nil)
	if err != nil {
		return report, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report, &StatusError{Status: response.StatusCode}
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, err
}

// Grant gives the rank its next steps.
func (r *Client) Grant(ctx context.Context, rank carawaybeam.Rank, grant carawaybeam.StepGrant) error {
	body, err := json.Marshal(grant)
	if err != nil {
		return err
	}
	response, err := r.call(ctx, http.MethodPut, r.url(rank, "grant"), body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return &carawaybeam.FencedError{Epoch: grant.Schedule.Current.ID.Epoch}
	default:
		return &StatusError{Status: response.StatusCode}
	}
}

// Loads returns the load of each expert of each layer lately.
func (r *Client) Loads(ctx context.Context) ([]carawaybeam.LayerLoad, error) {
	response, err := r.call(ctx, http.MethodGet, r.options.URL+"/v1/loads", nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	var loads []carawaybeam.LayerLoad
	err = json.NewDecoder(io.LimitReader(response.Body, maxLoadsBytes)).Decode(&loads)
	return loads, err
}

func (r *Client) url(rank carawaybeam.Rank, part string) string {
	return fmt.Sprintf("%s/v1/ranks/%d/%s", r.options.URL, rank, part)
}

func (r *Client) call(ctx context.Context, method, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return r.client.Do(request)
}
