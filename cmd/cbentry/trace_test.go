package main

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/limiter/unlimited"
	"github.com/carawaybeam/carawaybeam/recorder"
	"github.com/carawaybeam/carawaybeam/tracer"
)

func TestTraceIsServed(t *testing.T) {
	is := is.New(t)
	e := &entry{recorder: recorder.New(recorder.Options{Process: "entry-1"})}
	e.recorder.Limiter(unlimited.Limiter{}).Admit(time.Now(), carawaybeam.AdmitRequest{Organisation: "o"})
	router := echo.New()
	e.routes(router)

	answer := httptest.NewRecorder()
	router.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/traces/limiterDecisions", nil))
	is.Equal(answer.Code, http.StatusOK)
	_, events, err := tracer.Read[recorder.LimiterEvent](answer.Body, recorder.LimiterKind)
	is.NoErr(err)
	is.Equal(len(events), 1)

	answer = httptest.NewRecorder()
	router.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/traces/absent", nil))
	is.Equal(answer.Code, http.StatusNotFound)
}
