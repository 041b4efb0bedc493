// Package rankcaller is the RankClient "rest", which reads reports from ranks and
// sends grants to them over HTTP.
//
// GET /v1/ranks/{rank}/report returns a carawaybeam.RankReport.
// PUT /v1/ranks/{rank}/grant accepts a carawaybeam.StepGrant. Its status is 409 if
// the rank refuses the grant because of its epoch. GET /v1/loads returns the load of
// each expert, by layer.
package rankcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const (
	// maxReportBytes is the largest report of a rank.
	maxReportBytes = 64 << 10

	// maxLoadsBytes is the largest response with the loads of a group.
	maxLoadsBytes = 8 << 20
)

type (
	// Client is a client of the ranks of a group.
	Client struct {
		options carawaybeam.RankClientOptions
		client  *http.Client
	}

	// StatusError reports an unexpected HTTP status of a response.
	StatusError struct {
		Status int
	}
)

var _ carawaybeam.RankClient = (*Client)(nil)

func (e *StatusError) Error() string {
	return fmt.Sprintf("rank responded with HTTP status %d", e.Status)
}

func init() {
	carawaybeam.RankClients.Register(
		"rest",
		func(options carawaybeam.RankClientOptions) (carawaybeam.RankClient, error) {
			return New(options), nil
		},
	)
}

// New returns a Client of the ranks at options.URL.
func New(options carawaybeam.RankClientOptions) *Client {
	return &Client{options: options, client: verifier.NewClient(options.Timeout)}
}

// Report returns the current state of the rank. It returns a *StatusError if the
// HTTP status is not 200.
func (c *Client) Report(ctx context.Context, rank carawaybeam.Rank) (carawaybeam.RankReport, error) {
	var report carawaybeam.RankReport
	response, err := c.call(ctx, http.MethodGet, c.url(rank, "report"), nil)
	if err != nil {
		return report, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report, &StatusError{Status: response.StatusCode}
	}
	err = verifier.DecodeJSON(response.Body, maxReportBytes, &report)
	return report, err
}

// Grant sends the grant to the rank. It returns a *carawaybeam.FencedError if the
// rank refused the grant because of its epoch, and a *StatusError for any other HTTP
// status that is not 200 or 204.
func (c *Client) Grant(ctx context.Context, rank carawaybeam.Rank, grant carawaybeam.StepGrant) error {
	body, err := json.Marshal(grant)
	if err != nil {
		return err
	}
	response, err := c.call(ctx, http.MethodPut, c.url(rank, "grant"), body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxReportBytes))
		return err
	case http.StatusConflict:
		return &carawaybeam.FencedError{Epoch: grant.Schedule.Current.ID.Epoch}
	default:
		return &StatusError{Status: response.StatusCode}
	}
}

// Loads returns the recent load of each expert, by layer. It returns a *StatusError
// if the HTTP status is not 200.
func (c *Client) Loads(ctx context.Context) ([]carawaybeam.LayerLoad, error) {
	response, err := c.call(ctx, http.MethodGet, c.options.URL+"/v1/loads", nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	var loads []carawaybeam.LayerLoad
	err = verifier.DecodeJSON(response.Body, maxLoadsBytes, &loads)
	return loads, err
}

func (c *Client) url(rank carawaybeam.Rank, resource string) string {
	return fmt.Sprintf("%s/v1/ranks/%d/%s", c.options.URL, rank, resource)
}

func (c *Client) call(ctx context.Context, method, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return c.client.Do(request)
}
