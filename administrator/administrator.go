// Package administrator implements the operators' HTTP API on the admin port of an
// entry. Operators use it to change the configuration, to query the status of the
// installation and to send commands to other processes.
package administrator

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/applier"
	"github.com/carawaybeam/carawaybeam/configurer"
	"github.com/carawaybeam/carawaybeam/recorder"
	"github.com/carawaybeam/carawaybeam/tracker"
)

const (
	// HeaderOperator is the header with the name of the operator who sends a
	// request.
	HeaderOperator = "Carawaybeam-Operator"

	// maxDocumentBytes is the maximum size of the document of one change.
	maxDocumentBytes = 64 << 10

	// maxOperatorBytes is the maximum length of an operator's name.
	maxOperatorBytes = 64
)

type (
	// Object is an object of the configuration in the form that operators get.
	// The record of its last change is not part of the document.
	Object struct {
		Kind      carawaybeam.StoreKind    `json:"kind"`
		Name      string                   `json:"name"`
		Version   carawaybeam.StoreVersion `json:"version"`
		ChangedBy string                   `json:"changedBy,omitempty"`
		ChangedAt *time.Time               `json:"changedAt,omitempty"`
		Document  json.RawMessage          `json:"document"`
	}

	// Options configures an Administrator.
	Options struct {
		// TokenHash is the hexadecimal SHA-256 hash of the operators' token. If
		// it is empty, every request is refused.
		TokenHash  string
		Applier    *applier.Applier
		Configurer *configurer.Configurer
		Tracker    *tracker.Tracker
		Dialer     carawaybeam.Dialer
		// Explain returns what this process recorded of a request, or false if
		// that is nothing. It may be nil.
		Explain func(request carawaybeam.RequestID) (recorder.Explanation, bool)
		// Evacuated returns the data centres to which this process sends no requests. It
		// may be nil.
		Evacuated func() []carawaybeam.DataCentre
	}

	// Administrator serves requests of operators.
	Administrator struct {
		options Options
	}

	// errorResponse is the body of an error response.
	errorResponse struct {
		Detail string `json:"detail"`
	}
)

// New returns an Administrator.
func New(options Options) *Administrator { return &Administrator{options: options} }

// Route adds the routes of the operators' API to the router.
func (a *Administrator) Route(router *echo.Echo) {
	group := router.Group("/v1", a.authenticate)
	group.GET("/objects/:kind", a.list)
	group.GET("/objects/:kind/:name", a.get)
	group.PUT("/objects/:kind/:name", a.put)
	group.DELETE("/objects/:kind/:name", a.remove)
	group.POST("/objects/:kind/:name/settle", a.settle)
	group.GET("/objects/:kind/:name/force", a.inForce)
	group.GET("/status", a.status)
	group.GET("/requests/:request/explanation", a.explain)
	group.POST("/processes/:process/drain", a.drain)
	group.GET("/processes/:process/dump", a.dump)
}

// authenticate is middleware that refuses requests without the operators' token.
func (a *Administrator) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		hash := configurer.HashToken(token)
		known := subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(a.options.TokenHash))) == 1
		if a.options.TokenHash == "" || !known {
			return c.JSON(http.StatusUnauthorized, errorResponse{Detail: "operators' token is missing or wrong"})
		}
		return next(c)
	}
}

// kindOf returns the kind in the path of a request, or false if operators may not
// read or change objects of this kind.
func kindOf(c *echo.Context) (carawaybeam.StoreKind, bool) {
	kind := carawaybeam.StoreKind(c.Param("kind"))
	return kind, kind == carawaybeam.KindClass || kind == carawaybeam.KindOrganisation
}

func unknownKind(c *echo.Context) error {
	return c.JSON(http.StatusNotFound, errorResponse{Detail: "kind is none of class and organisation"})
}

// newObject returns an object of the store in the form that operators get.
func newObject(stored carawaybeam.Object) (Object, error) {
	record := configurer.Record(stored)
	object := Object{Kind: stored.Kind, Name: stored.Name, Version: stored.Version, ChangedBy: record.By}
	if record.ID != "" {
		object.ChangedAt = &record.At
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(stored.Value, &fields); err != nil {
		return object, err
	}
	delete(fields, "change")
	var err error
	object.Document, err = json.Marshal(fields)
	return object, err
}

func (a *Administrator) list(c *echo.Context) error {
	kind, ok := kindOf(c)
	if !ok {
		return unknownKind(c)
	}
	objects := []Object{}
	for _, held := range a.options.Configurer.Objects(kind) {
		if object, err := newObject(held); err == nil {
			objects = append(objects, object)
		}
	}
	return c.JSON(http.StatusOK, objects)
}

func (a *Administrator) get(c *echo.Context) error {
	kind, ok := kindOf(c)
	if !ok {
		return unknownKind(c)
	}
	held, ok := a.options.Configurer.Object(kind, c.Param("name"))
	if !ok || held.Deleted || configurer.Record(held).Deleted {
		return c.JSON(http.StatusNotFound, errorResponse{Detail: "there is no such object"})
	}
	object, err := newObject(held)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, object)
}

// parseChange returns the change that a request asks for, without its document. It
// assigns an identifier if the request has none.
func parseChange(c *echo.Context) (applier.Change, error) {
	requested := applier.Change{
		ID:   configurer.ChangeID(c.QueryParam("change")),
		Name: c.Param("name"),
		By:   c.Request().Header.Get(HeaderOperator),
	}
	if len(requested.By) > maxOperatorBytes {
		return requested, errors.New("name of the operator is too long")
	}
	kind, ok := kindOf(c)
	if !ok {
		return requested, errors.New("kind is none of class and organisation")
	}
	requested.Kind = kind
	if requested.ID == "" {
		requested.ID = configurer.NewChangeID()
	}
	if text := c.QueryParam("expect"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return requested, errors.New("expect is no version")
		}
		version := carawaybeam.StoreVersion(number)
		requested.Expect = &version
	}
	return requested, nil
}

func (a *Administrator) put(c *echo.Context) error {
	requested, err := parseChange(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorResponse{Detail: err.Error()})
	}
	requested.Document, err = io.ReadAll(io.LimitReader(c.Request().Body, maxDocumentBytes+1))
	if err != nil || len(requested.Document) > maxDocumentBytes || len(requested.Document) == 0 {
		return c.JSON(http.StatusBadRequest, errorResponse{Detail: "document is missing or too large"})
	}
	return c.JSON(http.StatusOK, a.options.Applier.Apply(c.Request().Context(), requested))
}

func (a *Administrator) remove(c *echo.Context) error {
	requested, err := parseChange(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorResponse{Detail: err.Error()})
	}
	return c.JSON(http.StatusOK, a.options.Applier.Apply(c.Request().Context(), requested))
}

func (a *Administrator) settle(c *echo.Context) error {
	requested, err := parseChange(c)
	if err != nil || requested.Expect == nil || c.QueryParam("change") == "" {
		return c.JSON(http.StatusBadRequest, errorResponse{Detail: "change and expect are needed"})
	}
	return c.JSON(http.StatusOK, a.options.Applier.Settle(c.Request().Context(), requested))
}
