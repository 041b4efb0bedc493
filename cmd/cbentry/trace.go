package main

import (
	"bytes"
	"errors"
	"net/http"

	"github.com/labstack/echo/v5"

	"github.com/carawaybeam/carawaybeam/recorder"
	"github.com/carawaybeam/carawaybeam/tracer"
)

// mediaTypeTrace is the media type of JSON lines.
const mediaTypeTrace = "application/jsonl"

// routes adds the routes for operators and for the traces of the recorder to the router
// of the admin port.
func (e *entry) routes(router *echo.Echo) {
	e.administrator().Route(router)
	router.GET("/traces/:kind", e.serveTrace)
}

// serveTrace serves the recorded decisions of one kind.
func (e *entry) serveTrace(c *echo.Context) error {
	var trace bytes.Buffer
	err := e.recorder.Write(&trace, tracer.Kind(c.Param("kind")))
	if unknown, ok := errors.AsType[*recorder.UnknownKindError](err); ok {
		return c.String(http.StatusNotFound, unknown.Error()+"\n")
	}
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, mediaTypeTrace, trace.Bytes())
}
