package administrator_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v5"
	"github.com/matryer/is"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/administrator"
	"github.com/carawaybeam/carawaybeam/enroller"
	"github.com/carawaybeam/carawaybeam/fakes/breaker"
)

// TestBrokenAnswerOfEntry guards against showing operators an invalid or incomplete answer of another entry.
func TestBrokenAnswerOfEntry(t *testing.T) {
	for _, answer := range breaker.Broken() {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			other := enroller.Entry{
				Name: "entry-1", AdminAddress: carawaybeam.Address(breaker.Start(t, answer).Address()),
			}
			router := echo.New()
			administrator.NewViewer(administrator.ViewerOptions{
				Entry:    enroller.Entry{Name: "entry-0"},
				Entries:  func() []enroller.Entry { return []enroller.Entry{other} },
				LogLines: func(carawaybeam.RequestID) []string { return nil },
			}).Route(router)
			server := httptest.NewServer(router)
			defer server.Close()
			var explained administrator.ExplanationResult
			is.Equal(get(t, server.URL+"/v1/requests/r1/explanation", &explained), http.StatusOK)
			is.Equal(explained.Unreachable, []string{"entry-1"})
			var failure map[string]any
			is.Equal(get(t, server.URL+"/v1/processes/entry-1/dump", &failure), http.StatusBadGateway)
		})
	}
}
