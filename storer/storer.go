// Package storer is a client of the HTTP object API of the platform's store. It
// registers itself as the Store plug-in "rest".
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/carawaybeam/carawaybeam"
)

const (
	// MaxValueBytes is the maximum size of a value in the store.
	MaxValueBytes = 1 << 20

	// maxAnswerBytes is the maximum size of an answer of the store, such as a long
	// list.
	maxAnswerBytes = 64 << 20
)

type (
	// Storer is a client of the object API. It is safe for concurrent use.
	Storer struct {
		options carawaybeam.StoreOptions
		client  *http.Client
	}

	// objectList is the answer to a list or watch request.
	objectList struct {
		Version carawaybeam.StoreVersion `json:"version"`
		Objects []carawaybeam.Object     `json:"objects"`
	}
)

var _ carawaybeam.Store = (*Storer)(nil)

func init() {
	carawaybeam.Stores.Register("rest", func(options carawaybeam.StoreOptions) (carawaybeam.Store, error) {
		return New(options), nil
	})
}

// New returns a Storer that uses the store at the URL of the options.
func New(options carawaybeam.StoreOptions) *Storer {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 16
	return &Storer{options: options, client: &http.Client{Transport: transport}}
}

// Get returns one object.
func (s *Storer) Get(ctx context.Context, kind carawaybeam.StoreKind, name string) (carawaybeam.Object, error) {
	var object carawaybeam.Object
	err := s.call(ctx, http.MethodGet, objectPath(kind, name), nil, nil, &object)
	return object, err
}

// List returns all objects of a kind and the version of the store.
func (s *Storer) List(
	ctx context.Context,
	kind carawaybeam.StoreKind,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	var listed objectList
	err := s.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(string(kind)), nil, nil, &listed)
	return listed.Objects, listed.Version, err
}

// Put writes an object if its stored version equals expect, where 0 stands for an
// absent object. It returns the new version. Values above MaxValueBytes are
// rejected without a call to the store.
func (s *Storer) Put(
	ctx context.Context,
	object carawaybeam.Object,
	expect carawaybeam.StoreVersion,
) (carawaybeam.StoreVersion, error) {
	if len(object.Value) > MaxValueBytes {
		return 0, &carawaybeam.StoreError{
			Failure: carawaybeam.StoreUnavailable,
			Detail:  fmt.Sprintf("value of %d bytes exceeds %d", len(object.Value), MaxValueBytes),
		}
	}
	var written carawaybeam.Object
	err := s.call(ctx, http.MethodPut, objectPath(object.Kind, object.Name), condition(expect), object.Value, &written)
	return written.Version, err
}

// Delete removes an object if its stored version equals expect. It returns the
// version of the deletion.
func (s *Storer) Delete(
	ctx context.Context,
	kind carawaybeam.StoreKind,
	name string,
	expect carawaybeam.StoreVersion,
) (carawaybeam.StoreVersion, error) {
	var deleted carawaybeam.Object
	err := s.call(ctx, http.MethodDelete, objectPath(kind, name), condition(expect), nil, &deleted)
	return deleted.Version, err
}

// Watch waits for changes of the kinds after the version since. It returns them
// with the version up to which they are complete, or no objects if none occurs
// within wait.
func (s *Storer) Watch(
	ctx context.Context,
	kinds []carawaybeam.StoreKind,
	since carawaybeam.StoreVersion,
	wait time.Duration,
) ([]carawaybeam.Object, carawaybeam.StoreVersion, error) {
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = string(kind)
	}
	query := url.Values{
		"kinds":       {strings.Join(names, ",")},
		"since":       {strconv.FormatUint(uint64(since), 10)},
		"waitSeconds": {strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)},
	}
	ctx, cancel := context.WithTimeout(ctx, wait+s.options.Timeout)
	defer cancel()
	var changed objectList
	err := s.send(ctx, http.MethodGet, "/v1/watch?"+query.Encode(), nil, nil, &changed)
	return changed.Objects, changed.Version, err
}

func objectPath(kind carawaybeam.StoreKind, name string) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// condition returns the header that makes a write conditional on the expected
// version.
func condition(expect carawaybeam.StoreVersion) http.Header {
	if expect == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.FormatUint(uint64(expect), 10)}}
}

// call sends a request with the timeout of the options.
func (s *Storer) call(ctx context.Context, method, path string, header http.Header, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	return s.send(ctx, method, path, header, body, result)
}

func (s *Storer) send(ctx context.Context, method, path string, header http.Header, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, s.options.URL+path, bytes.NewReader(body))
	if err != nil {
		return &carawaybeam.StoreError{Failure: carawaybeam.StoreUnavailable, Detail: err.Error()}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if s.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+s.options.Token)
	}
	status, data, err := Exchange(s.client, request, maxAnswerBytes)
	if err != nil {
		return err
	}
	return decode(method, status, data, result)
}

// Exchange sends a request to a store and returns the status and the body of the
// answer. It reads at most limit bytes of the body. Errors are of type
// *carawaybeam.StoreError.
func Exchange(client *http.Client, request *http.Request, limit int64) (int, []byte, error) {
	failed := func(err error) (int, []byte, error) {
		return 0, nil, &carawaybeam.StoreError{Failure: FailureOf(request.Method, err), Detail: err.Error()}
	}
	response, err := client.Do(request)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return failed(err)
	}
	return response.StatusCode, data, nil
}

// FailureOf classifies the transport error of a request. A failed write is uncertain
// unless the connection could not be established. A failed read is unavailable.
func FailureOf(method string, err error) carawaybeam.StoreFailure {
	var op *net.OpError
	if method == http.MethodGet || errors.As(err, &op) && op.Op == "dial" {
		return carawaybeam.StoreUnavailable
	}
	return carawaybeam.StoreUncertain
}

// decode converts an answer to the result or to a *carawaybeam.StoreError.
func decode(method string, status int, data []byte, result any) error {
	switch status {
	case http.StatusOK, http.StatusCreated:
		if err := json.Unmarshal(data, result); err != nil {
			return &carawaybeam.StoreError{Failure: FailureOf(method, err), Detail: err.Error()}
		}
		return nil
	case http.StatusNotFound:
		return &carawaybeam.StoreError{Failure: carawaybeam.StoreNotFound, Detail: "no such object"}
	case http.StatusPreconditionFailed:
		conflict := &carawaybeam.StoreError{Failure: carawaybeam.StoreConflict, Detail: "object has changed"}
		if err := json.Unmarshal(data, &conflict.Current); err != nil {
			conflict.Detail = "object has changed, present one is unreadable"
		}
		return conflict
	case http.StatusGone:
		return &carawaybeam.StoreError{Failure: carawaybeam.StoreExpired, Detail: "watch is too old"}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &carawaybeam.StoreError{Failure: carawaybeam.StoreUnavailable, Detail: http.StatusText(status)}
	default:
		return &carawaybeam.StoreError{
			Failure: FailureOf(method, errors.New("status")),
			Detail:  fmt.Sprintf("status %d", status),
		}
	}
}
