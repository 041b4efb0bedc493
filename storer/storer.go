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
	"github.com/carawaybeam/carawaybeam/erakeeper"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const (
	// MaxValueBytes is the maximum size of a value in the store.
	MaxValueBytes = 1 << 20

	// maxAnswerBytes is the maximum size of an answer of the store, such as a long
	// list.
	maxAnswerBytes = 64 << 20

	// EraHeader is the header with the era of the store.
	EraHeader = "Carawaybeam-Era"
)

type (
	// Storer is a client of the object API. It is safe for concurrent use.
	Storer struct {
		options carawaybeam.StoreOptions
		client  *http.Client
		eras    *erakeeper.EraKeeper
	}

	// Answer is an answer of a store.
	Answer struct {
		Status int
		Header http.Header
		Body   []byte
		// TooLong is set if Body is only the beginning of a longer body.
		TooLong bool
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
	return &Storer{
		options: options,
		client:  &http.Client{Transport: verifier.NewTransport(transport)},
		eras:    erakeeper.New(options.Log),
	}
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
	return s.eras.GuardWrite(expect, func() (carawaybeam.StoreVersion, error) {
		target := objectPath(object.Kind, object.Name)
		err := s.call(ctx, http.MethodPut, target, condition(expect), object.Value, &written)
		return written.Version, err
	})
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
	return s.eras.GuardWrite(expect, func() (carawaybeam.StoreVersion, error) {
		err := s.call(ctx, http.MethodDelete, objectPath(kind, name), condition(expect), nil, &deleted)
		return deleted.Version, err
	})
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
	err := s.eras.GuardWatch(ctx, since, func(ctx context.Context) error {
		return s.send(ctx, http.MethodGet, "/v1/watch?"+query.Encode(), nil, nil, &changed)
	})
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
	answer, err := Exchange(s.client, request, maxAnswerBytes)
	if err != nil {
		return err
	}
	era, err := strconv.ParseUint(answer.Header.Get(EraHeader), 10, 16)
	if answer.Header.Get(EraHeader) != "" && err != nil {
		s.options.Log.Error().Err(err).Msg("storer: era of the store is invalid")
	}
	if err := s.eras.Admit(carawaybeam.StoreEra(era)); err != nil {
		return &carawaybeam.StoreError{Failure: FailureOf(method, err), Detail: err.Error()}
	}
	return decode(method, carawaybeam.StoreEra(era), answer, result)
}

// Exchange sends a request to a store and returns the answer with at most limit bytes of
// its body. Errors are of type *carawaybeam.StoreError.
func Exchange(client *http.Client, request *http.Request, limit int64) (Answer, error) {
	failed := func(err error) (Answer, error) {
		return Answer{}, &carawaybeam.StoreError{Failure: FailureOf(request.Method, err), Detail: err.Error()}
	}
	response, err := client.Do(request)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return failed(err)
	}
	answer := Answer{Status: response.StatusCode, Header: response.Header, Body: body}
	if int64(len(body)) > limit {
		answer.Body, answer.TooLong = body[:limit], true
	}
	return answer, nil
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

// decode converts an answer of an era to the result or to a *carawaybeam.StoreError.
func decode(method string, era carawaybeam.StoreEra, answer Answer, result any) error {
	failed := &carawaybeam.StoreError{Era: era}
	switch answer.Status {
	case http.StatusOK, http.StatusCreated:
		err := json.Unmarshal(answer.Body, result)
		if err == nil {
			return nil
		}
		failed.Failure, failed.Detail = FailureOf(method, err), err.Error()
	case http.StatusNotFound:
		failed.Failure, failed.Detail = carawaybeam.StoreNotFound, "no such object"
	case http.StatusPreconditionFailed:
		failed.Failure, failed.Detail = carawaybeam.StoreConflict, "object has changed"
		if err := json.Unmarshal(answer.Body, &failed.Current); err != nil {
			failed.Detail = "object has changed, present one is unreadable"
		}
	case http.StatusGone:
		failed.Failure, failed.Detail = carawaybeam.StoreExpired, "watch is too old"
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		failed.Failure, failed.Detail = carawaybeam.StoreUnavailable, http.StatusText(answer.Status)
	default:
		failed.Failure = FailureOf(method, errors.New("status"))
		failed.Detail = fmt.Sprintf("status %d", answer.Status)
	}
	return failed
}
