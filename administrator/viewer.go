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
	"time"

	"github.com/labstack/echo/v5"
	"golang.org/x/sync/errgroup"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/enroller"
)

const (
	// viewTimeout bounds a question to another entry, which is a few ms away.
	viewTimeout = time.Second

	// maxViewBytes bounds the answer.
	maxViewBytes = 64 << 20

	// ownParameter keeps an entry from asking others.
	ownParameter = "own"
)

type (
	// ViewerOptions is what a Viewer is made from.
	ViewerOptions struct {
		// Entry is the one that answers.
		Entry enroller.Entry
		// Entries returns all enrolled ones.
		Entries func() []enroller.Entry
		// Dump returns the own state dump.
		Dump func() ([]byte, error)
		// LogLines returns the own log lines of a request.
		LogLines func(request carawaybeam.RequestID) []string
	}

	// Viewer shows operators the entries that call backend servers themselves. It
	// changes nothing.
	Viewer struct {
		options ViewerOptions
		client  http.Client
	}

	// entryState is what a Viewer reads of a state dump.
	entryState struct {
		Ready bool `json:"ready"`
		State struct {
			Config carawaybeam.ConfigVersion `json:"config"`
			// Pools holds the backend servers that take work.
			Pools map[carawaybeam.PoolID]int `json:"pools"`
		} `json:"state"`
	}

	// seen is what one entry answered.
	seen struct {
		entry  enroller.Entry
		state  entryState
		failed error
	}

	// unexpectedStatusError reports the status of another entry.
	unexpectedStatusError struct {
		status int
	}
)

var errNoProcess = errors.New("no entry has this name")

func (e *unexpectedStatusError) Error() string { return fmt.Sprintf("entry answered %d", e.status) }

// NewViewer returns a Viewer.
func NewViewer(options ViewerOptions) *Viewer {
	return &Viewer{options: options, client: http.Client{Timeout: viewTimeout}}
}

// Route adds the routes for operators.
func (v *Viewer) Route(router *echo.Echo) {
	router.GET("/v1/status", v.status)
	router.GET("/v1/requests/:request/explanation", v.explain)
	router.GET("/v1/processes/:process/dump", v.dump)
}

// status tells what the entries have in force, and the backend servers that this
// one knows.
func (v *Viewer) status(c *echo.Context) error {
	entries := v.options.Entries()
	views := make([]seen, len(entries))
	forEach(entries, func(i int, entry enroller.Entry) { views[i] = v.look(c.Request().Context(), entry) })
	status := Status{Classes: []ClassStatus{}, Processes: make([]ProcessStatus, 0, len(views))}
	for _, s := range views {
		status.Processes = append(status.Processes, s.process())
		if s.entry.Name != v.options.Entry.Name {
			continue
		}
		status.ConfigVersion = s.state.State.Config
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

// forEach asks the entries, some at once, and waits.
func forEach(entries []enroller.Entry, ask func(i int, entry enroller.Entry)) {
	var group errgroup.Group
	group.SetLimit(maxQuestions)
	for i, entry := range entries {
		group.Go(func() error {
			ask(i, entry)
			return nil
		})
	}
	_ = group.Wait()
}

// process returns what was seen of an entry.
func (s seen) process() ProcessStatus {
	p := ProcessStatus{
		Process: s.entry.Name, Role: string(carawaybeam.RoleEntry), DataCentre: s.entry.DataCentre,
		State: stateLive, ConfigVersion: s.state.State.Config, InForce: s.failed == nil,
	}
	switch {
	case s.failed != nil:
		p.State, p.Detail = stateUnreachable, s.failed.Error()
	case !s.state.Ready:
		p.State = stateNotReady
	}
	return p
}

func (v *Viewer) look(ctx context.Context, entry enroller.Entry) seen {
	s := seen{entry: entry}
	data, err := v.state(ctx, entry)
	if err == nil {
		err = json.Unmarshal(data, &s.state)
	}
	s.failed = err
	return s
}

// state returns the state dump of an entry.
func (v *Viewer) state(ctx context.Context, entry enroller.Entry) ([]byte, error) {
	if entry.Name == v.options.Entry.Name {
		return v.options.Dump()
	}
	return v.ask(ctx, entry, "/state")
}

func (v *Viewer) ask(ctx context.Context, entry enroller.Entry, path string) ([]byte, error) {
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxViewBytes))
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
			return c.JSON(http.StatusBadGateway, failure{Detail: err.Error()})
		}
		return c.JSONBlob(http.StatusOK, data)
	}
	return c.JSON(http.StatusNotFound, failure{Detail: errNoProcess.Error()})
}

// explain returns the log lines that all entries wrote of a request.
func (v *Viewer) explain(c *echo.Context) error {
	request := carawaybeam.RequestID(c.Param("request"))
	if len(request) > maxRequestBytes {
		return c.JSON(http.StatusBadRequest, failure{Detail: "identifier of the request is too long"})
	}
	explained := ExplanationResult{LogLines: v.options.LogLines(request), Unreachable: []string{}}
	if len(explained.LogLines) > 0 || c.QueryParam(ownParameter) != "" {
		return c.JSON(http.StatusOK, explained)
	}
	path := "/v1/requests/" + url.PathEscape(string(request)) + "/explanation?" + ownParameter + "=1"
	others := slices.DeleteFunc(slices.Clone(v.options.Entries()), func(other enroller.Entry) bool {
		return other.Name == v.options.Entry.Name
	})
	answers, failures := make([]ExplanationResult, len(others)), make([]error, len(others))
	forEach(others, func(i int, other enroller.Entry) {
		data, err := v.ask(c.Request().Context(), other, path)
		if err == nil {
			err = json.Unmarshal(data, &answers[i])
		}
		failures[i] = err
	})
	explained.Asked = len(others)
	for i, other := range others {
		if failures[i] != nil {
			explained.Unreachable = append(explained.Unreachable, other.Name)
			continue
		}
		explained.LogLines = append(explained.LogLines, answers[i].LogLines...)
	}
	return c.JSON(http.StatusOK, explained)
}
