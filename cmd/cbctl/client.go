package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/applier"
	"github.com/carawaybeam/carawaybeam/configurer"
)

// maxAnswerBytes is the maximum size of an entry's answer.
const maxAnswerBytes = 64 << 20

// client calls the operators' API on the admin port of an entry.
type client struct {
	admin    string
	token    string
	operator string
	http     *http.Client
}

// call sends a request and decodes the JSON of the answer into result.
func (c *client) call(method, path string, query url.Values, body []byte, result any) error {
	data, err := c.raw(method, path, query, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// raw sends a request and returns the body of the answer. It returns an *exitError
// if the entry answers with a status other than 200.
func (c *client) raw(method, path string, query url.Values, body []byte) ([]byte, error) {
	target := url.URL{Scheme: "http", Host: c.admin, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequest(method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set(administrator.HeaderOperator, c.operator)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	return data, statusError(response.StatusCode, data)
}

// statusError returns an *exitError with the detail in the body, or nil for status
// 200.
func statusError(status int, data []byte) error {
	if status == http.StatusOK {
		return nil
	}
	var failure struct {
		Detail string `json:"detail"`
	}
	if json.Unmarshal(data, &failure) != nil || failure.Detail == "" {
		failure.Detail = http.StatusText(status)
	}
	code := exitFailed
	if status == http.StatusNotFound {
		code = exitNotFound
	}
	return &exitError{code: code, detail: failure.Detail}
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + kind + "/" + name
}

func (c *client) list(kind string) ([]administrator.Object, error) {
	var objects []administrator.Object
	err := c.call(http.MethodGet, "/v1/objects/"+kind, nil, nil, &objects)
	return objects, err
}

func (c *client) get(kind, name string) (administrator.Object, error) {
	var object administrator.Object
	err := c.call(http.MethodGet, objectPath(kind, name), nil, nil, &object)
	return object, err
}

// change replaces the document of an object, or deletes the object if document is
// nil. If the entry does not answer, the status of the result is uncertain: settle can
// find out by the change's identifier whether the change was made.
func (c *client) change(
	kind, name string,
	document []byte,
	expect *carawaybeam.StoreVersion,
) applier.Result {
	id := configurer.NewChangeID()
	query := url.Values{"change": {string(id)}}
	result := applier.Result{
		Status: applier.StatusUncertain, Change: id, Kind: carawaybeam.StoreKind(kind), Name: name,
	}
	if expect != nil {
		query.Set("expect", strconv.FormatUint(uint64(*expect), 10))
		result.Expect = *expect
	}
	method := http.MethodPut
	if document == nil {
		method = http.MethodDelete
	}
	if err := c.call(method, objectPath(kind, name), query, document, &result); err != nil {
		result.Detail = err.Error()
		if _, answered := err.(*exitError); answered { //nolint:errorlint // raw does not wrap this error
			result.Status = applier.StatusRefused
		}
	}
	return result
}

// settleCommand returns the command that settles an uncertain change.
func settleCommand(r applier.Result) string {
	return fmt.Sprintf("cbctl settle %s %s %s %d", r.Kind, r.Name, r.Change, r.Expect)
}
