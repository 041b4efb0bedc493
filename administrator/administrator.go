// Package administrator serves operators over HTTP on the admin port of an
// entry: changes of the configuration, status, and orders to other processes.
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
	// HeaderOperator carries the name of the operator who asks.
	HeaderOperator = "Carawaybeam-Operator"

	// maxDocumentBytes bounds the document of one change.
	maxDocumentBytes = 64 << 10

	// maxOperatorBytes bounds the name of an operator.
	maxOperatorBytes = 64
)

type (
	// Object is one object of the configuration as operators see it.
	Object struct {
		Kind      carawaybeam.StoreKind    `json:"kind"`
		Name      string                   `json:"name"`
		Version   carawaybeam.StoreVersion `json:"version"`
		ChangedBy string                   `json:"changedBy,omitempty"`
		ChangedAt *time.Time               `json:"changedAt,omitempty"`
		Document  json.RawMessage          `json:"document"`
	}

	// Options is what an Administrator is made from.
	Options struct {
		// TokenHash is the hexadecimal SHA-256 of the operators' token. Without
		// one nobody is served.
		TokenHash  string
		Applier    *applier.Applier
		Configurer *configurer.Configurer
		Tracker    *tracker.Tracker
		Dialer     carawaybeam.Dialer
		// Explain returns what this process recorded of a request. Nil stands
		// for nothing.
		Explain func(request carawaybeam.RequestID) (recorder.Explanation, bool)
	}

	// Administrator serves operators.
	Administrator struct {
		options Options
	}

	// failure is the answer to a request that cannot be served.
	failure struct {
		Detail string `json:"detail"`
	}
)

// New returns an Administrator.
func New(options Options) *Administrator { return &Administrator{options: options} }

// Route adds the routes for operators.
func (a *Administrator) Route(router *echo.Echo) {
	group := router.Group("/v1", a.authenticate)
	group.GET("/objects/:kind", a.list)
	group.GET("/objects/:kind/:name", a.get)
	group.PUT("/objects/:kind/:name", a.put)
	group.DELETE("/objects/:kind/:name", a.remove)
	group.POST("/objects/:kind/:name/settle", a.settle)
	group.GET("/objects/:kind/:name/force", a.force)
	group.GET("/status", a.status)
	group.GET("/requests/:request/explanation", a.explain)
	group.POST("/processes/:process/drain", a.drain)
	group.GET("/processes/:process/dump", a.dump)
}

// authenticate refuses callers without the operators' token.
func (a *Administrator) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		hash := configurer.HashToken(token)
		known := subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(a.options.TokenHash))) == 1
		if a.options.TokenHash == "" || !known {
			return c.JSON(http.StatusUnauthorized, failure{Detail: "operators' token is missing or wrong"})
		}
		return next(c)
	}
}

func kindOf(c *echo.Context) (carawaybeam.StoreKind, bool) {
	kind := carawaybeam.StoreKind(c.Param("kind"))
	return kind, kind == carawaybeam.KindClass || kind == carawaybeam.KindOrganisation
}

func unknownKind(c *echo.Context) error {
	return c.JSON(http.StatusNotFound, failure{Detail: "kind is none of class and organisation"})
}

// view returns an object without the record of its change in the document.
func view(object carawaybeam.Object) (Object, error) {
	record := configurer.Record(object)
	seen := Object{Kind: object.Kind, Name: object.Name, Version: object.Version, ChangedBy: record.By}
	if record.ID != "" {
		seen.ChangedAt = &record.At
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(object.Value, &fields); err != nil {
		return seen, err
	}
	delete(fields, "change")
	var err error
	seen.Document, err = json.Marshal(fields)
	return seen, err
}

func (a *Administrator) list(c *echo.Context) error {
	kind, ok := kindOf(c)
	if !ok {
		return unknownKind(c)
	}
	objects := []Object{}
	for _, held := range a.options.Configurer.Objects(kind) {
		if object, err := view(held); err == nil {
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
		return c.JSON(http.StatusNotFound, failure{Detail: "there is no such object"})
	}
	object, err := view(held)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, object)
}

// change reads what an operator asks for from the request.
func change(c *echo.Context) (applier.Change, error) {
	asked := applier.Change{
		ID:   configurer.ChangeID(c.QueryParam("change")),
		Name: c.Param("name"),
		By:   c.Request().Header.Get(HeaderOperator),
	}
	if len(asked.By) > maxOperatorBytes {
		return asked, errors.New("name of the operator is too long")
	}
	kind, ok := kindOf(c)
	if !ok {
		return asked, errors.New("kind is none of class and organisation")
	}
	asked.Kind = kind
	if asked.ID == "" {
		asked.ID = configurer.NewChangeID()
	}
	if text := c.QueryParam("expect"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return asked, errors.New("expect is no version")
		}
		version := carawaybeam.StoreVersion(number)
		asked.Expect = &version
	}
	return asked, nil
}

func (a *Administrator) put(c *echo.Context) error {
	asked, err := change(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, failure{Detail: err.Error()})
	}
	asked.Document, err = io.ReadAll(io.LimitReader(c.Request().Body, maxDocumentBytes+1))
	if err != nil || len(asked.Document) > maxDocumentBytes || len(asked.Document) == 0 {
		return c.JSON(http.StatusBadRequest, failure{Detail: "document is missing or too large"})
	}
	return c.JSON(http.StatusOK, a.options.Applier.Apply(c.Request().Context(), asked))
}

func (a *Administrator) remove(c *echo.Context) error {
	asked, err := change(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, failure{Detail: err.Error()})
	}
	return c.JSON(http.StatusOK, a.options.Applier.Apply(c.Request().Context(), asked))
}

func (a *Administrator) settle(c *echo.Context) error {
	asked, err := change(c)
	if err != nil || asked.Expect == nil || c.QueryParam("change") == "" {
		return c.JSON(http.StatusBadRequest, failure{Detail: "change and expect are needed"})
	}
	return c.JSON(http.StatusOK, a.options.Applier.Settle(c.Request().Context(), asked))
}
