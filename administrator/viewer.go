package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v5"
	"golang.org/x/sync/errgroup"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/enroller"
	"github.com/carawaybeam/carawaybeam/verifier"
)

const (
	// callTimeout is the timeout of a call to another entry. The round trip takes
	// a few milliseconds.
	callTimeout = time.Second

	// maxAnswerBytes is the maximum size of the answer of another entry.
	maxAnswerBytes = 64 << 20

	// ownParameter is the query parameter that keeps an entry from calling other
	// entries.
	ownParameter = "own"
)

type (
	// ViewerOptions configures a Viewer.
	ViewerOptions struct {
		// Entry is the entry of this process.
		Entry enroller.Entry
		// Entries returns all enrolled entries.
		Entries func() []enroller.Entry
		// Dump returns the state dump of this process.
		Dump func() ([]byte, error)
		// LogLines returns the log lines of this process about a request.
		LogLines func(request carawaybeam.RequestID) []string
		// Routing returns the routing configuration in force, or false if there is none yet.
		Routing func() (carawaybeam.Routing, bool)
	}

	// Viewer is the read-only part of the operators' API on entries that call
	// backend servers directly, without agents.
	Viewer struct {
		options ViewerOptions
		client  *http.Client
		// routingMu is held while the routing configuration is encoded.
		routingMu sync.Mutex
	}

	// entryState is the part of a state dump that a Viewer uses.
	entryState struct {
		Ready bool `json:"ready"`
		State struct {
			Config carawaybeam.ConfigVersion `json:"config"`
			// Pools holds the number of backend servers that accept requests.
			Pools map[carawaybeam.PoolID]int `json:"pools"`
			// Evacuations lists the data centres to which the entry sends no
			// requests.
			Evacuations struct {
				DataCentres []carawaybeam.DataCentre `json:"dataCentres"`
			} `json:"evacuations"`
		} `json:"state"`
	}

	// entryView is the state of one entry, or the error of the call.
	entryView struct {
		entry enroller.Entry
		state entryState
		err   error
	}

	// unexpectedStatusError reports that another entry answered with an HTTP
	// status other than 200.
	unexpectedStatusError struct {
		status int
	}
)

var errNoProcess = errors.New("no entry has this name")

func (e *unexpectedStatusError) Error() string { return fmt.Sprintf("entry answered %d", e.status) }

// NewViewer returns a Viewer.
func NewViewer(options ViewerOptions) *Viewer {
	return &Viewer{options: options, client: verifier.NewClient(callTimeout)}
}

// Route adds the routes of the operators' API to the router.
func (v *Viewer) Route(router *echo.Echo) {
	router.GET("/v1/status", v.status)
	router.GET("/v1/requests/:request/explanation", v.explain)
	router.GET("/v1/processes/:process/dump", v.dump)
	router.GET("/v1/routing", v.routing)
}

// status returns the configuration version of each entry and the number of backend
// servers of each class known to this one.
func (v *Viewer) status(c *echo.Context) error {
	entries := v.options.Entries()
	views := make([]entryView, len(entries))
	forEach(entries, func(i int, entry enroller.Entry) { views[i] = v.fetchView(c.Request().Context(), entry) })
	status := Status{Classes: []ClassStatus{}, Processes: make([]ProcessStatus, 0, len(views))}
	for _, s := range views {
		status.Processes = append(status.Processes, s.process())
		if s.entry.Name != v.options.Entry.Name {
			continue
		}
		status.ConfigVersion = s.state.State.Config
		status.EvacuatedDataCentres = s.state.State.Evacuations.DataCentres
		for pool, n := range s.state.State.Pools {
			status.Classes = append(status.Classes, ClassStatus{Class: carawaybeam.ClassID(pool), Live: n})
		}
	}
	slices.SortFunc(
		status.Classes,
		func(a, b ClassStatus) int { return strings.Compare(string(a.Class), string(b.Class)) },
	)
	return c.JSON(http.StatusOK, status)
}

// forEach calls a function for each entry, up to maxConcurrentCalls at the same
// time, and waits until all calls have returned.
func forEach(entries []enroller.Entry, call func(i int, entry enroller.Entry)) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, entry := range entries {
		group.Go(func() error {
			call(i, entry)
			return nil
		})
	}
	_ = group.Wait()
}

// process returns the state of the entry in the form that operators get.
func (s entryView) process() ProcessStatus {
	p := ProcessStatus{
		Process: s.entry.Name, Role: string(carawaybeam.RoleEntry), DataCentre: s.entry.DataCentre,
		State: stateLive, ConfigVersion: s.state.State.Config, InForce: s.err == nil,
	}
	switch {
	case s.err != nil:
		p.State, p.Detail = stateUnreachable, s.err.Error()
	case !s.state.Ready:
		p.State = stateNotReady
	}
	return p
}

// fetchView returns the state of an entry.
func (v *Viewer) fetchView(ctx context.Context, entry enroller.Entry) entryView {
	s := entryView{entry: entry}
	data, err := v.state(ctx, entry)
	if err == nil {
		err = json.Unmarshal(data, &s.state)
	}
	s.err = err
	return s
}

// state returns the state dump of an entry.
func (v *Viewer) state(ctx context.Context, entry enroller.Entry) ([]byte, error) {
	if entry.Name == v.options.Entry.Name {
		return v.options.Dump()
	}
	return v.get(ctx, entry, "/state")
}

// get sends a GET request to the admin port of an entry and returns the body of the
// answer.
func (v *Viewer) get(ctx context.Context, entry enroller.Entry, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(
		ctx,
		http.MethodGet,
		"http://"+string(entry.AdminAddress)+path,
		http.NoBody,
	)
	if err != nil {
		return nil, err
	}
	response, err := v.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, &unexpectedStatusError{status: response.StatusCode}
	}
	return data, nil
}

func (v *Viewer) dump(c *echo.Context) error {
	for _, entry := range v.options.Entries() {
		if entry.Name != c.Param("process") {
			continue
		}
		data, err := v.state(c.Request().Context(), entry)
		if err != nil {
			return c.JSON(http.StatusBadGateway, errorResponse{Detail: err.Error()})
		}
		return c.JSONBlob(http.StatusOK, data)
	}
	return c.JSON(http.StatusNotFound, errorResponse{Detail: errNoProcess.Error()})
}

// explain returns the log lines about a request. It asks the other entries only if
// this one has none.
func (v *Viewer) explain(c *echo.Context) error {
	request := carawaybeam.RequestID(c.Param("request"))
	if len(request) > maxRequestBytes {
		return c.JSON(http.StatusBadRequest, errorResponse{Detail: "identifier of the request is too long"})
	}
	explained := ExplanationResult{LogLines: v.options.LogLines(request), Unreachable: []string{}}
	if len(explained.LogLines) > 0 || c.QueryParam(ownParameter) != "" {
		return c.JSON(http.StatusOK, explained)
	}
	path := "/v1/requests/" + url.PathEscape(string(request)) + "/explanation?" + ownParameter + "=1"
	others := slices.DeleteFunc(slices.Clone(v.options.Entries()), func(other enroller.Entry) bool {
		return other.Name == v.options.Entry.Name
	})
	answers, errs := make([]ExplanationResult, len(others)), make([]error, len(others))
	forEach(others, func(i int, other enroller.Entry) {
		data, err := v.get(c.Request().Context(), other, path)
		if err == nil {
			err = json.Unmarshal(data, &answers[i])
		}
		errs[i] = err
	})
	explained.Asked = len(others)
	for i, other := range others {
		if errs[i] != nil {
			explained.Unreachable = append(explained.Unreachable, other.Name)
			continue
		}
		explained.LogLines = append(explained.LogLines, answers[i].LogLines...)
	}
	return c.JSON(http.StatusOK, explained)
}
